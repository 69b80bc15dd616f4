import {createSwitchPermits, returnPermit, takePermit} from '@bitternpaddle/coordination';

export type PermitDeskOptions = {
	/** Endpoints of a service that serve. */
	engineCount(serviceName: string): number;
	nowMs(): number;
};

/** Where agents wait in line to take the engine beside them out of service. */
export type PermitDesk = {
	/** Whether `holder` may switch now, or may within the wait. */
	ask(holder: string, serviceName: string): Promise<boolean>;
	giveBack(holder: string): void;
	close(): void;
};

type Waiting = {readonly holder: string; readonly serviceName: string; readonly untilMs: number; answer(isGranted: boolean): void};

/**
 * How long an agent waits before it asks again. A third of the engines is out at
 * once, so most of a fleet waits for most of a wave; asking every tenth of a
 * second, and each core host until one leads, they would send three thousand
 * calls a second where a hundred engines switch.
 */
const waitMs = 300;
/** How often permits that ended by themselves are looked for. */
const lookMs = 50;

export const createPermitDesk = ({engineCount, nowMs}: PermitDeskOptions): PermitDesk => {
	const permits = createSwitchPermits();
	let waiting: Waiting[] = [];
	let timer: NodeJS.Timeout | null = null;
	let isClosed = false;

	const mayGo = ({holder, serviceName}: Pick<Waiting, 'holder' | 'serviceName'>): boolean => takePermit(permits, {
		holder, serviceName, engineCount: engineCount(serviceName),
	}, nowMs());

	/** Answers those who may go now or have waited long enough, in the order in which they came. */
	const serve = (): void => {
		const still: Waiting[] = [];
		for (const waiter of waiting) {
			const isGranted = !isClosed && mayGo(waiter);
			if (isGranted || isClosed || nowMs() >= waiter.untilMs) {
				waiter.answer(isGranted);
			} else {
				still.push(waiter);
			}
		}

		waiting = still;
		if (waiting.length === 0 && timer !== null) {
			clearInterval(timer);
			timer = null;
		}
	};

	return {
		async ask(holder, serviceName) {
			if (isClosed || mayGo({holder, serviceName})) {
				return !isClosed;
			}

			return new Promise(resolve => {
				waiting.push({
					holder, serviceName, untilMs: nowMs() + waitMs, answer: resolve,
				});
				timer ??= setInterval(serve, lookMs);
			});
		},
		giveBack(holder) {
			returnPermit(permits, holder);
			serve();
		},
		close() {
			isClosed = true;
			serve();
		},
	};
};
