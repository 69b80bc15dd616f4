/** A busy event loop is late by this much without having stalled. */
const minStallMs = 50;

/**
 * A signal that aborts after `timeoutMs` in which this process ran. After a stall, timers
 * run before the data that arrived meanwhile is read; `AbortSignal.timeout` would discard
 * it. At most the timeout again is added.
 */
export const timeoutSignal = (timeoutMs: number): AbortSignal => {
	const controller = new AbortController();
	let remainingExtensionMs = timeoutMs;
	const arm = (durationMs: number): void => {
		const dueAtMs = performance.now() + durationMs;
		const timer = setTimeout(() => {
			const lateMs = performance.now() - dueAtMs;
			const extensionMs = Math.min(lateMs, remainingExtensionMs);
			if (lateMs < minStallMs || extensionMs <= 0) {
				controller.abort(new DOMException(`no result within ${timeoutMs} ms`, 'TimeoutError'));
				return;
			}

			remainingExtensionMs -= extensionMs;
			arm(extensionMs);
		}, durationMs);
		timer.unref();
	};

	arm(timeoutMs);
	return controller.signal;
};
