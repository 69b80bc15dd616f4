import {passMs, readMs, type EngineReport} from '@bitternpaddle/coordination';
import type {EngineProfile} from '@bitternpaddle/state';
import type {Timeline} from './timeline.js';

/** A request at an engine. */
export type EngineWork = {
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** 0 goes first among those that wait. */
	readonly urgency: number;
	/** The first token is ready; the answer is on its way. */
	onFirstToken(): void;
	onEnd(): void;
	/** The engine was lost, or stopped what it ran. */
	onCut(): void;
};

type Running = {readonly work: EngineWork; unreadTokens: number; tokensLeft: number; hasBegun: boolean};

/** An engine with continuous batching: prompts are read in pieces between passes that write for all. */
export type ModelEngine = {
	readonly id: string;
	readonly zoneId: string;
	take(work: EngineWork): void;
	report(): EngineReport;
	/** Finishes what it runs, takes nothing new, and serves again `loadMs` later; `onReady` then. */
	reload(loadMs: number, onReady: () => void): void;
	/** Cuts all that it runs; serves again at `readyAtMs`, or never. */
	lose(readyAtMs: number | null): void;
	/** Of the time until now, what it spent on passes. */
	busyMs(): number;
};

/** Tokens that are read in one step beside those that write. */
const chunkTokens = 2048;

export type EngineOptions = {readonly id: string; readonly zoneId: string; readonly profile: EngineProfile; readonly timeline: Timeline};

export const createModelEngine = ({id, zoneId, profile, timeline}: EngineOptions): ModelEngine => {
	const waiting: EngineWork[] = [];
	let running: Running[] = [];
	let isPassing = false;
	let isLeaving = false;
	let readyAtMs: number | null = 0;
	let reloadMs = 0;
	let onReloaded = (): void => undefined;
	let busyMs = 0;
	/** Ends the passes of an engine that was lost. */
	let start = 0;

	const isOut = (): boolean => readyAtMs === null || timeline.nowMs() < readyAtMs;

	const admit = (): void => {
		while (running.length < profile.slots && waiting.length > 0) {
			const work = waiting.shift()!;
			running.push({
				work, unreadTokens: work.promptTokens, tokensLeft: work.answerTokens, hasBegun: false,
			});
		}
	};

	const read = (): number => {
		let room = chunkTokens * profile.stepsPerPass;
		const before = room;
		for (const request of running) {
			const tokens = Math.min(room, request.unreadTokens);
			request.unreadTokens -= tokens;
			room -= tokens;
		}

		return before - room;
	};

	const endPass = (): void => {
		for (const request of running.filter(({unreadTokens}) => unreadTokens === 0)) {
			if (!request.hasBegun) {
				request.hasBegun = true;
				request.work.onFirstToken();
			}

			request.tokensLeft -= profile.stepsPerPass;
		}

		const ended = running.filter(({tokensLeft}) => tokensLeft <= 0);
		running = running.filter(({tokensLeft}) => tokensLeft > 0);
		for (const {work} of ended) {
			work.onEnd();
		}
	};

	const pass = (): void => {
		if (isPassing || isOut()) {
			return;
		}

		if (isLeaving && running.length === 0 && waiting.length === 0) {
			isLeaving = false;
			readyAtMs = timeline.nowMs() + reloadMs;
			timeline.at(readyAtMs, () => {
				onReloaded();
				pass();
			});
			return;
		}

		admit();
		if (running.length === 0) {
			return;
		}

		const readTokens = read();
		const writers = running.filter(({unreadTokens}) => unreadTokens === 0).length;
		const tookMs = passMs(profile, writers) + readMs(profile, readTokens);
		isPassing = true;
		busyMs += tookMs;
		const startOfPass = start;
		timeline.after(tookMs, () => {
			if (startOfPass === start) {
				isPassing = false;
				endPass();
				pass();
			}
		});
	};

	return {
		id, zoneId,
		take(work) {
			if (readyAtMs === null) {
				work.onCut();
				return;
			}

			const index = waiting.findIndex(({urgency}) => urgency > work.urgency);
			waiting.splice(index === -1 ? waiting.length : index, 0, work);
			pass();
		},
		report: () => ({
			running: running.length, queued: waiting.length, pace: 1, isBusy: isLeaving || (isOut() && readyAtMs !== null && reloadMs > 0), isStrained: false,
			version: isOut() && reloadMs === 0 ? null : 1, readyInMs: isOut() && readyAtMs !== null && reloadMs === 0 ? readyAtMs - timeline.nowMs() : null,
		}),
		reload(loadMs, onReady) {
			isLeaving = true;
			reloadMs = loadMs;
			onReloaded = onReady;
			pass();
		},
		lose(nextReadyAtMs) {
			start++;
			isPassing = false;
			isLeaving = false;
			reloadMs = 0;
			readyAtMs = nextReadyAtMs;
			const cut = [...running.map(({work}) => work), ...waiting];
			running = [];
			waiting.length = 0;
			for (const work of cut) {
				work.onCut();
			}

			if (nextReadyAtMs !== null) {
				timeline.at(nextReadyAtMs, pass);
			}
		},
		busyMs: () => busyMs,
	};
};
