import {
	passMs, prefillMs, type EngineReport, type WeightsProof,
} from '@bitternpaddle/coordination';
import type {EngineProfile} from '@bitternpaddle/state';
import type {Timeline} from './timeline.js';

/** A request as an engine processes it. */
export type EngineWork = {
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Waiting requests start in ascending order; 0 is the most urgent. */
	readonly urgency: number;
	/** Called when the first token is ready and streaming of the answer begins. */
	onFirstToken(): void;
	onFinished(): void;
	/** Called when the engine is down, or crashes while it holds the request. */
	onAborted(): void;
};

type RunningRequest = {readonly work: EngineWork; remainingPromptTokens: number; remainingAnswerTokens: number; hasFirstToken: boolean};

/** Simulated engine with continuous batching: each pass prefills a bounded chunk of the waiting prompts and decodes for all requests whose prompt is complete. */
export type ModelEngine = {
	readonly id: string;
	readonly zoneId: string;
	submit(work: EngineWork): void;
	report(): EngineReport;
	/** How slow its host is at the moment; `null` if its answers do not advertise it. */
	slowdown(): number | null;
	/** Finishes all queued and running requests while it reports itself busy, then loads for `loadMs`; calls `onReady` when it serves again. */
	reload(loadMs: number, onReady: () => void): void;
	/** Crashes the engine: aborts all its requests; it serves again at `readyAtMs`, or never if `null`. */
	lose(readyAtMs: number | null): void;
	/** Total time spent on passes so far. */
	busyMs(): number;
};

/** The only version of the weights in the model. */
export const modelVersion = 1;

const wholeWeights = (engineId: string): WeightsProof => ({
	type: 'whole', version: modelVersion, engineId, startedAtMs: null,
});

/** Prompt tokens prefilled per step, beside the decoding requests. */
const prefillTokensPerStep = 2048;

export type EngineOptions = {readonly id: string; readonly zoneId: string; readonly profile: EngineProfile; readonly timeline: Timeline; slowdown(): number | null};

export const createModelEngine = ({id, zoneId, profile, timeline, slowdown}: EngineOptions): ModelEngine => {
	const waiting: EngineWork[] = [];
	let running: RunningRequest[] = [];
	let isInPass = false;
	let isReloading = false;
	let readyAtMs: number | null = 0;
	let reloadMs = 0;
	let onReloaded = (): void => undefined;
	let busyMs = 0;
	/** Incremented by each crash, so that a pass started before it has no effect. */
	let generation = 0;

	const isUnavailable = (): boolean => readyAtMs === null || timeline.nowMs() < readyAtMs;

	const admit = (): void => {
		while (running.length < profile.slots && waiting.length > 0) {
			const work = waiting.shift()!;
			running.push({
				work, remainingPromptTokens: work.promptTokens, remainingAnswerTokens: work.answerTokens, hasFirstToken: false,
			});
		}
	};

	const prefill = (): number => {
		let tokenBudget = prefillTokensPerStep * profile.stepsPerPass;
		const initialBudget = tokenBudget;
		for (const request of running) {
			const tokens = Math.min(tokenBudget, request.remainingPromptTokens);
			request.remainingPromptTokens -= tokens;
			tokenBudget -= tokens;
		}

		return initialBudget - tokenBudget;
	};

	const finishPass = (): void => {
		for (const request of running.filter(({remainingPromptTokens}) => remainingPromptTokens === 0)) {
			if (!request.hasFirstToken) {
				request.hasFirstToken = true;
				request.work.onFirstToken();
			}

			request.remainingAnswerTokens -= profile.stepsPerPass;
		}

		const finished = running.filter(({remainingAnswerTokens}) => remainingAnswerTokens <= 0);
		running = running.filter(({remainingAnswerTokens}) => remainingAnswerTokens > 0);
		for (const {work} of finished) {
			work.onFinished();
		}
	};

	const runPass = (): void => {
		if (isInPass || isUnavailable()) {
			return;
		}

		if (isReloading && running.length === 0 && waiting.length === 0) {
			isReloading = false;
			readyAtMs = timeline.nowMs() + reloadMs;
			timeline.at(readyAtMs, () => {
				onReloaded();
				runPass();
			});
			return;
		}

		admit();
		if (running.length === 0) {
			return;
		}

		const prefilledTokens = prefill();
		const decodingCount = running.filter(({remainingPromptTokens}) => remainingPromptTokens === 0).length;
		const passDurationMs = (slowdown() ?? 1) * (passMs(profile, decodingCount) + prefillMs(profile, prefilledTokens));
		isInPass = true;
		busyMs += passDurationMs;
		const passGeneration = generation;
		timeline.after(passDurationMs, () => {
			if (passGeneration === generation) {
				isInPass = false;
				finishPass();
				runPass();
			}
		});
	};

	return {
		id, zoneId, slowdown,
		submit(work) {
			if (readyAtMs === null) {
				work.onAborted();
				return;
			}

			const index = waiting.findIndex(({urgency}) => urgency > work.urgency);
			waiting.splice(index === -1 ? waiting.length : index, 0, work);
			runPass();
		},
		report: () => ({
			running: running.length, queued: waiting.length, pace: slowdown() ?? 1, isBusy: isReloading || (isUnavailable() && readyAtMs !== null && reloadMs > 0), isStrained: false,
			weights: isUnavailable() && reloadMs === 0 ? {type: 'none'} : wholeWeights(id), readyInMs: isUnavailable() && readyAtMs !== null && reloadMs === 0 ? readyAtMs - timeline.nowMs() : null,
		}),
		reload(loadMs, onReady) {
			isReloading = true;
			reloadMs = loadMs;
			onReloaded = onReady;
			runPass();
		},
		lose(nextReadyAtMs) {
			generation++;
			isInPass = false;
			isReloading = false;
			reloadMs = 0;
			readyAtMs = nextReadyAtMs;
			const aborted = [...running.map(({work}) => work), ...waiting];
			running = [];
			waiting.length = 0;
			for (const work of aborted) {
				work.onAborted();
			}

			if (nextReadyAtMs !== null) {
				timeline.at(nextReadyAtMs, runPass);
			}
		},
		busyMs: () => busyMs,
	};
};
