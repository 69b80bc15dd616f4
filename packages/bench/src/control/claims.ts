import {
	applyClaim, claimLimits, concludeClaim, createLedger, idempotencyKey, requestId, serviceId, teamId, type Change, type Ledger,
} from '@bitternpaddle/state';

const sizes = [1000, 50_000, 199_000] as const;
const claimsPerCase = 500;
const warmUpClaims = 50;
const keyOf = (index: number): string => `marshals/ledger/booking-${index}`;

type Outcome = Extract<Change, {type: 'concludeClaim'}>['outcome'];

/** Creates a ledger as restored from an older snapshot: claims one millisecond apart, all with retained answers that fill the limit on bodies. */
const createFullLedger = (claims: number, body: string): Ledger => {
	const order = Array.from({length: claims}, (_, index) => ({key: keyOf(index), atMs: index}));
	const {claimCount: _, starts: __, ...empty} = createLedger();
	return {
		...empty,
		claims: Object.fromEntries(order.map(({key, atMs}) => [key, {
			requestId: `request-${atMs}`, bodyDigest: 'digest', atMs, place: null, state: createRanOutcome(body),
		}])),
		claimOrder: order, claimBodies: order.map(({key}) => key), claimBodyBytes: claims * body.length, claimClockMs: claims,
	};
};

const createRanOutcome = (body: string) => ({
	type: 'ran' as const, status: 200, contentType: 'application/json', body,
}) satisfies Outcome;

const claimNameOf = (index: number) => ({
	teamId: teamId('marshals'), serviceId: serviceId('ledger'), key: idempotencyKey(`booking-${index}`), requestId: requestId(`request-${index}`),
});

/** Returns the median microseconds of a step, without the warm-up steps. */
const medianMicros = (step: (position: number) => void): number => {
	const micros: number[] = [];
	for (let position = 0; position < warmUpClaims + claimsPerCase; position++) {
		const startedAtMs = performance.now();
		step(position);
		micros.push((performance.now() - startedAtMs) * 1000);
	}

	const sorted = micros.slice(warmUpClaims).toSorted((a, b) => a - b);
	return Math.round(sorted[Math.floor(sorted.length / 2)]! * 10) / 10;
};

const measureLedgerSize = (claims: number) => {
	const body = 'x'.repeat(Math.floor(claimLimits.maxBodyBytes / claims));
	const withoutEviction = createFullLedger(claims, body);
	const withEviction = createFullLedger(claims, body);
	const answered = createFullLedger(claims, body);
	const claim = (ledger: Ledger, index: number, atMs: number): void => {
		const result = applyClaim(ledger, {
			type: 'claim', ...claimNameOf(index), bodyDigest: 'digest', atMs, place: null,
		});
		if (result.type !== 'claimed') {
			throw new Error(`claim ${index} of ${claims} was not accepted: ${JSON.stringify(result)}`);
		}
	};

	return {
		/** No claim is evicted. */
		claimMicros: medianMicros(position => {
			claim(withoutEviction, claims + position, claims);
		}),
		/** Each new claim evicts the oldest one. */
		forgettingClaimMicros: medianMicros(position => {
			claim(withEviction, claims + position, claimLimits.retentionMs + 1 + position);
		}),
		/** A claim and its answer, for which the oldest body is evicted. */
		claimAndAnswerMicros: medianMicros(position => {
			claim(answered, claims + position, claims);
			concludeClaim(answered, {
				type: 'concludeClaim', ...claimNameOf(claims + position), attemptId: null, outcome: createRanOutcome(body),
			}, claims + position);
		}),
	};
};

/** Measures what one claim costs in ledgers of different sizes: only applying it to the state, without the log. */
export const measureClaims = async (): Promise<Record<string, unknown>> => ({
	claims: Object.fromEntries(sizes.map(claims => [claims, measureLedgerSize(claims)])),
	unit: 'microseconds, median', claimsPerCase,
});
