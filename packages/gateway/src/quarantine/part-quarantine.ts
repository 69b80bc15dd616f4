import type {Buffer} from 'node:buffer';
import {
	addPartSightings, adoptPartVerdict, clearPart, countPartCompletions, createPartLedger, hasPartRecords, isUndecided, judgeParts, knownParts, modelOfPart,
	narrowVerdicts, partVerdictOn, prunePartLedger, surpriseOf,
	type PartExit, type PartSighting, type PartVerdict, type PromptPart, type Random,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import type {GatewayMetrics} from '../process/gateway-metrics.js';
import {createPartExchange} from './part-exchange.js';
import type {PartUpdate} from './part-update.js';

export type PartQuarantineOptions = {
	/** Address of this entry, by which others know who saw an exit. */
	readonly selfAddress: string;
	/** The other entries. */
	peers(): readonly string[];
	send(data: Uint8Array, addresses: readonly string[]): void;
	/** Called when further requests are refused. */
	onVerdict(verdict: PartVerdict): void;
	/** Called with exits that a verdict explains. */
	onExplained(exits: ReadonlyArray<Pick<PartExit, 'address' | 'atMs'>>): void;
	readonly logger: Logger;
	readonly metrics: GatewayMetrics;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Prevents requests with a prompt part that crashes the endpoints that run it from being
 * sent to further endpoints, even if they share nothing else. All entries share what they
 * know.
 */
export type PartQuarantine = {
	/** The verdict that prevents a request with these parts from being sent; `null` if it may be sent. */
	verdictOn(parts: readonly PromptPart[]): PartVerdict | null;
	/** Whether runs that complete are evidence for or against any part. */
	isActive(): boolean;
	/** Records runs that broke because their endpoints exited. */
	recordBroken(runs: ReadonlyArray<Omit<PartSighting, 'seenBy'>>): void;
	/** Records a run that was successful; it counts once its endpoint has survived it. */
	recordSuccess(run: CompletedRun): void;
	/** Records that the endpoint at the address exited: runs that completed just before may be among those that crashed it. */
	recordExit(address: string): void;
	/** Sends what this entry knows to another one. */
	shareWith(address: string): void;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
	close(): void;
};

export type CompletedRun = {readonly parts: readonly PromptPart[]; readonly address: string; readonly atMs: number};

const judgeMs = 250;
/** Evidence is judged for this long after it arrived, since other entries may not have reported all of it yet. */
const judgedAfterMs = 1000;
const pruneMs = 5000;
/** A run may complete a short answer before it crashes its endpoint; crashes follow within about 100 ms. In a series of exits endpoints live for less than a second. */
const survivalMs = 100;
const maxUnproven = 4096;

export const createPartQuarantine = ({selfAddress, peers, send, onVerdict, onExplained, logger, metrics, random, nowMs}: PartQuarantineOptions): PartQuarantine => {
	const ledger = createPartLedger();
	/** Completed runs whose endpoint may still exit; oldest first. */
	let unproven: CompletedRun[] = [];
	let judgedUntilMs = Number.NEGATIVE_INFINITY;

	const logVerdict = ({parts, evidence, untilMs}: PartVerdict, cause: 'judged' | 'adopted' | 'narrowed' | 'renewed', figures: object = {}): void => {
		const now = nowMs();
		logger.event('BP4065', {
			promptParts: parts, cause, ...figures, endpoints: evidence.map(({address}) => address), agesMs: evidence.map(({atMs}) => Math.round(now - atMs)),
			seenBy: evidence.map(({seenBy}) => seenBy), untilMs: Math.round(untilMs - now),
		});
		metrics.count('quarantined_parts', 'Verdicts on prompt parts that crash endpoints.');
	};

	const announceVerdict = (verdict: PartVerdict, cause: 'judged' | 'narrowed' | 'renewed', figures?: object): void => {
		logVerdict(verdict, cause, figures);
		onVerdict(verdict);
		exchange.broadcast({verdicts: [verdict]});
	};

	const judge = (): void => {
		for (const verdict of narrowVerdicts(ledger, nowMs())) {
			announceVerdict(verdict, 'narrowed');
		}

		for (const {verdict, evidence, exits} of judgeParts(ledger, nowMs())) {
			onExplained(exits);
			announceVerdict(verdict, 'judged', {...evidence, surprise: surpriseOf(evidence)});
		}
	};

	const recordSightings = (sightings: readonly PartSighting[]): readonly PartSighting[] => {
		const recorded = addPartSightings(ledger, sightings, nowMs());
		if (recorded.sightings.length > 0) {
			judgedUntilMs = nowMs() + judgedAfterMs;
		}

		for (const verdict of recorded.verdicts) {
			announceVerdict(verdict, 'renewed');
		}

		onExplained(recorded.sightings.filter(sighting => ledger.exits.some(({address, atMs, attributedTo}) => attributedTo !== null && address === sighting.address && atMs === sighting.atMs)));
		return recorded.sightings;
	};

	const clear = (part: PromptPart, atMs: number): boolean => {
		const changed = clearPart(ledger, part, atMs, nowMs());
		for (const {parts} of changed) {
			logger.event('BP4066', {promptPart: part, ageMs: Math.round(nowMs() - atMs), remainingParts: parts});
		}

		return changed.length > 0;
	};

	const recordProven = ({parts, atMs}: CompletedRun): void => {
		const model = modelOfPart(parts[0]!);
		countPartCompletions(ledger, model, 1, atMs);
		judgedUntilMs = nowMs() + judgedAfterMs;
		exchange.countCompletion(model, atMs);
		for (const part of knownParts(ledger, parts)) {
			if (clear(part, atMs)) {
				exchange.broadcast({completions: [{part, atMs}]});
			}
		}
	};

	const recordSurvived = (): void => {
		const provenUntilMs = nowMs() - survivalMs;
		const proven = unproven.filter(({atMs}) => atMs <= provenUntilMs);
		unproven = unproven.filter(({atMs}) => atMs > provenUntilMs);
		for (const run of proven) {
			recordProven(run);
		}
	};

	const applyUpdate = ({sightings, verdicts, completions, counts}: PartUpdate): void => {
		for (const {part, atMs} of completions) {
			clear(part, atMs);
		}

		for (const {model, count, fromMs} of counts) {
			countPartCompletions(ledger, model, count, fromMs);
			judgedUntilMs = nowMs() + judgedAfterMs;
		}

		recordSightings(sightings);
		for (const verdict of verdicts) {
			const adopted = adoptPartVerdict(ledger, verdict, nowMs());
			if (adopted !== null) {
				logVerdict(adopted, 'adopted');
				onExplained(adopted.evidence);
				onVerdict(adopted);
			}
		}
	};

	const exchange = createPartExchange({
		ledger, peers, send, random, nowMs, onUpdate: applyUpdate,
	});
	const judgeTimer = setInterval(() => {
		recordSurvived();
		if (nowMs() < judgedUntilMs && isUndecided(ledger, nowMs())) {
			judge();
		}
	}, judgeMs);
	const pruneTimer = setInterval(() => {
		prunePartLedger(ledger, nowMs());
	}, pruneMs);
	metrics.gauge('quarantine_part_verdicts', 'Prompt parts whose requests are sent to no endpoint.', () => ledger.verdicts.size);
	metrics.gauge('quarantine_part_records', 'Prompt parts of runs that broke when their endpoints exited.', () => ledger.parts.size);
	return {
		verdictOn: parts => partVerdictOn(ledger, parts, nowMs()),
		isActive: () => hasPartRecords(ledger),
		recordBroken(runs) {
			const sightings = recordSightings(runs.filter(({parts}) => parts.length > 0).map(run => ({...run, seenBy: selfAddress})));
			if (sightings.length > 0) {
				exchange.broadcast({sightings});
			}
		},
		recordSuccess(run) {
			if (hasPartRecords(ledger) && run.parts.length > 0) {
				unproven.push(run);
				unproven.splice(0, Math.max(0, unproven.length - maxUnproven));
			}
		},
		recordExit(address) {
			if (unproven.length > 0) {
				recordSurvived();
				unproven = unproven.filter(run => run.address !== address);
			}
		},
		shareWith: exchange.shareWith,
		receive: exchange.receive,
		close() {
			clearInterval(judgeTimer);
			clearInterval(pruneTimer);
			exchange.close();
		},
	};
};
