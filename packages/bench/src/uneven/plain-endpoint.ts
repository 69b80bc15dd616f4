import {randomFraction, type Random} from '@bitternpaddle/coordination';
import type {Timeline} from '@bitternpaddle/model';

export type EndpointSettings = {
	readonly id: string;
	readonly zoneId: string;
	readonly slots: number;
	/** Mean time of a request while the host is as fast as usual. */
	readonly usualMs: number;
	/** Requests that wait at most; further ones are refused at once. */
	readonly queueLimit: number;
	/** Slowdown of the host, besides its load, at a time. */
	slowdownAt(nowMs: number): number;
	/** Slowdown by the share of slots that are taken. */
	slowdownByLoad(usedShare: number): number;
};

/** The load in the head of an answer. */
export type Head = {readonly active: number; readonly slots: number; readonly slowdown: number};

export type PlainEndpoint = EndpointSettings & {
	/** `reply` receives whether the request was run, and the load at that time. */
	receive(reply: (isRun: boolean, head: Head) => void): void;
};

/** Times of single requests vary by this share of the usual time. */
const variation = 0.3;

/** A simulated plain endpoint: `slots` requests run concurrently, the others wait in order. */
export const createPlainEndpoint = (settings: EndpointSettings, timeline: Timeline, random: Random): PlainEndpoint => {
	const {slots, usualMs, queueLimit} = settings;
	const waiting: Array<(isRun: boolean, head: Head) => void> = [];
	let running = 0;
	const slowdown = (): number => settings.slowdownAt(timeline.nowMs()) * settings.slowdownByLoad(running / slots);
	const head = (): Head => ({active: running + waiting.length, slots, slowdown: slowdown()});

	const startNext = (): void => {
		const reply = running < slots ? waiting.shift() : undefined;
		if (reply === undefined) {
			return;
		}

		running++;
		const tookMs = usualMs * slowdown() * (1 + (variation * ((2 * randomFraction(random)) - 1)));
		timeline.after(tookMs, () => {
			running--;
			reply(true, head());
			startNext();
		});
	};

	return {
		...settings,
		receive(reply) {
			if (running >= slots && waiting.length >= queueLimit) {
				reply(false, head());
				return;
			}

			waiting.push(reply);
			startNext();
		},
	};
};
