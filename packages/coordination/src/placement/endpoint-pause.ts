import type {EndpointLoad} from './endpoint-load.js';

/** The pause requested in the headers of an endpoint's answer. */
export type PauseNotice
	= | {readonly type: 'none'}
		| {readonly type: 'pause'; readonly pauseMs: number}
		/** The requested pause cannot be parsed and is ignored. */
		| {readonly type: 'unreadable'; readonly text: string};

/** Caps a pause, so that an excessive value does not exclude a recovered endpoint indefinitely. */
const maxPauseMs = 600_000;

export const isPaused = ({pausedUntilMs}: EndpointLoad, nowMs: number): boolean => nowMs < pausedUntilMs;

/** Records a pause that begins at `nowMs`; an earlier pause that ends later stays in force. */
export const recordPause = (load: EndpointLoad, pauseMs: number, nowMs: number): void => {
	load.pausedUntilMs = Math.max(load.pausedUntilMs, nowMs + Math.min(maxPauseMs, pauseMs));
};
