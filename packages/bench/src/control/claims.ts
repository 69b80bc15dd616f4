import {
	applyClaim, claimLimits, concludeClaim, createLedger, idempotencyKey, requestId, serviceId, teamId, type Change, type Ledger,
} from '@bitternpaddle/state';

const sizes = [1000, 50_000, 199_000] as const;
const claimsPerCase = 500;
const warmUpClaims = 50;
const keyOf = (index: number): string => `marshals/ledger/booking-${index}`;

type Outcome = Extract<Change, {type: 'concludeClaim'}>['outcome'];

/** A ledger as an older snapshot holds it: claims made a millisecond apart, all with kept answers that fill the bound on bodies. */
const createFullLedger = (claims: number, body: string): Ledger => {
	const order = Array.from({length: claims}, (_, index) => ({key: keyOf(index), atMs: index}));
	const {claimCount: _, starts: __, ...empty} = createLedger();
	return {
		...empty,
		claims: Object.fromEntries(order.map(({key, atMs}) => [key, {
			requestId: `request-${atMs}`, bodyDigest: 'digest', atMs, place: null, state: ranWith(body),
		}])),
		claimOrder: order, claimBodies: order.map(({key}) => key), claimBodyBytes: claims * body.length, claimClockMs: claims,
	};
};

const ranWith = (body: string) => ({
	type: 'ran' as const, status: 200, contentType: 'application/json', body,
}) satisfies Outcome;

const nameOf = (index: number) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey(`booking-${index}`), requestId: requestId(`request-${index}`),
});

/** Microseconds of one step, the median of those that follow the warm-up. */
const medianMicros = (step: (position: number) => void): number => {
	const micros: number[] = [];
	for (let position = 0; position < warmUpClaims + claimsPerCase; position++) {
		const beganAtMs = performance.now();
		step(position);
		micros.push((performance.now() - beganAtMs) * 1000);
	}

	const sorted = micros.slice(warmUpClaims).toSorted((a, b) => a - b);
	return Math.round(sorted[Math.floor(sorted.length / 2)]! * 10) / 10;
};

const measureAt = (claims: number) => {
	const body = 'x'.repeat(Math.floor(claimLimits.maxBodyBytes / claims));
	const added = createFullLedger(claims, body);
	const aged = createFullLedger(claims, body);
	const answered = createFullLedger(claims, body);
	const claim = (ledger: Ledger, index: number, atMs: number): void => {
		const result = applyClaim(ledger, {
			type: 'claim', ...nameOf(index), bodyDigest: 'digest', atMs, place: null,
		});
		if (result.type !== 'claimed') {
			throw new Error(`claim ${index} of ${claims} got ${JSON.stringify(result)}`);
		}
	};

	return {
		/** Nothing is forgotten. */
		claimMicros: medianMicros(position => {
			claim(added, claims + position, claims);
		}),
		/** Each new claim is the end of the oldest one. */
		forgettingClaimMicros: medianMicros(position => {
			claim(aged, claims + position, claimLimits.keptMs + 1 + position);
		}),
		/** A claim and its answer, for which the oldest body goes. */
		claimAndAnswerMicros: medianMicros(position => {
			claim(answered, claims + position, claims);
			concludeClaim(answered, {
				type: 'concludeClaim', ...nameOf(claims + position), attemptId: null, outcome: ranWith(body),
			}, claims + position);
		}),
	};
};

/** What one claim costs in ledgers of different sizes; the state's step alone, without the log. */
export const measureClaims = async (): Promise<Record<string, unknown>> => ({
	claims: Object.fromEntries(sizes.map(claims => [claims, measureAt(claims)])),
	unit: 'microseconds, median', claimsPerCase,
});
