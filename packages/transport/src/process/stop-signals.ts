import process from 'node:process';

export type StopSignalOptions = {
	/** @default ['SIGTERM', 'SIGINT'] */
	readonly signals?: readonly NodeJS.Signals[];
	/** Called on the first of the signals. */
	stop(signal: NodeJS.Signals): void;
};

/**
 * Handles the signals that stop a process. Later ones do not end it while it stops, except
 * for a second SIGINT, with which an operator at a terminal ends it at once. Must be called
 * before the process accepts connections.
 */
export const handleStopSignals = ({signals = ['SIGTERM', 'SIGINT'], stop}: StopSignalOptions): void => {
	let isStopping = false;
	const handle = (signal: NodeJS.Signals): void => {
		if (signal === 'SIGINT') {
			process.off('SIGINT', handle);
		}

		if (!isStopping) {
			isStopping = true;
			stop(signal);
		}
	};

	for (const signal of signals) {
		process.on(signal, handle);
	}
};
