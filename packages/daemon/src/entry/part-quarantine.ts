import {
	addPartSightings, adoptPartVerdict, clearPart, countPartCompletions, createPartLedger, hasPartRecords, isUndecided, judgeParts, knownParts, modelOfPart, narrowVerdicts,
	partCompletionsToRepeat, partSightingsToRepeat, partVerdictOn, prunePartLedger,
	type PartExit, type PartSighting, type PartVerdict, type PromptPart,
} from '@bitternpaddle/coordination';
import type {EntryCrashesParameters} from '@bitternpaddle/protocol';
import type {Logger, Metrics} from '@bitternpaddle/transport';

/** What entries tell each other about prompt parts. */
export type PartNews = NonNullable<EntryCrashesParameters['parts']>;

export type PartQuarantineOptions = {
	readonly entryId: string;
	/** Sends news to all other entries. */
	sendToAll(news: PartNews): void;
	/** Called when further requests are refused. */
	onVerdict(): void;
	/** Called with exits that a verdict explains. */
	onExplained(exits: ReadonlyArray<Pick<PartExit, 'address' | 'atMs'>>): void;
	readonly logger: Logger;
	readonly metrics?: Metrics;
	nowMs(): number;
};

/** Keeps requests with a message that crashes the endpoints that run it away from all other endpoints. */
export type PartQuarantine = {
	verdictOn(parts: () => readonly PromptPart[]): PartVerdict | null;
	recordEndpointExit(run: Omit<PartSighting, 'seenBy'>): void;
	recordCompletion(parts: () => readonly PromptPart[]): void;
	/** What is sent again to a random entry; `null` if there is nothing to tell. */
	newsToRepeat(): PartNews | null;
	receive(news: PartNews): void;
	close(): void;
};

const noNews: PartNews = {
	sightings: [], verdicts: [], completions: [], counts: [],
};
const judgeIntervalMs = 250;
/** Keeps a message below the size that entries accept. */
const maxItems = 8;

export const createPartQuarantine = ({entryId, sendToAll, onVerdict, onExplained, logger, metrics, nowMs}: PartQuarantineOptions): PartQuarantine => {
	const ledger = createPartLedger();
	const counts = new Map<string, {count: number; fromMs: number}>();
	let nextVerdictIndex = 0;
	const ageOf = (atMs: number): number => Math.max(0, Math.round(nowMs() - atMs));

	const encodeVerdict = ({parts, sinceMs, untilMs, evidence}: PartVerdict): PartNews['verdicts'][number] => ({
		parts: [...parts], sinceAgeMs: ageOf(sinceMs), remainingMs: Math.round(untilMs - nowMs()), evidence: evidence.map(({address, atMs, seenBy}) => ({address, ageMs: ageOf(atMs), seenBy})),
	});
	const encodeSighting = ({address, atMs, request, parts, seenBy, isFresh}: PartSighting): PartNews['sightings'][number] => ({
		address, ageMs: ageOf(atMs), request, parts: [...parts], seenBy, isFresh,
	});

	const announce = (verdict: PartVerdict, cause: 'judged' | 'adopted' | 'narrowed' | 'renewed'): void => {
		const {parts, evidence, untilMs} = verdict;
		logger.event('BP2005', {
			promptParts: parts, cause, hosts: evidence.map(({address}) => address), agesMs: evidence.map(({atMs}) => ageOf(atMs)), seenBy: evidence.map(({seenBy}) => seenBy),
			untilMs: Math.round(untilMs - nowMs()),
		});
		metrics?.increment('entry.quarantined', {});
		onExplained(evidence);
		onVerdict();
		if (cause !== 'adopted') {
			sendToAll({...noNews, verdicts: [encodeVerdict(verdict)]});
		}
	};

	const judge = (): void => {
		for (const verdict of narrowVerdicts(ledger, nowMs())) {
			announce(verdict, 'narrowed');
		}

		for (const {verdict, exits} of judgeParts(ledger, nowMs())) {
			onExplained(exits);
			announce(verdict, 'judged');
		}
	};

	const recordSightings = (sightings: readonly PartSighting[]): readonly PartSighting[] => {
		const {sightings: recorded, verdicts} = addPartSightings(ledger, sightings, nowMs());
		for (const verdict of verdicts) {
			announce(verdict, 'renewed');
		}

		return recorded;
	};

	/** Tells others of completed runs while they are evidence. */
	const sendCounts = (): void => {
		if (counts.size > 0 && isUndecided(ledger, nowMs())) {
			sendToAll({...noNews, completions: completionsToRepeat(), counts: [...counts].slice(0, maxItems).map(([model, {count, fromMs}]) => ({model, count, ageMs: ageOf(fromMs)}))});
		}

		counts.clear();
	};

	const verdictsToRepeat = (): PartNews['verdicts'] => {
		const all = [...ledger.verdicts.values()];
		nextVerdictIndex = nextVerdictIndex < all.length ? nextVerdictIndex : 0;
		const verdicts = all.slice(nextVerdictIndex, nextVerdictIndex + maxItems);
		nextVerdictIndex += verdicts.length;
		return verdicts.map(verdict => encodeVerdict(verdict));
	};

	const completionsToRepeat = (): PartNews['completions'] => partCompletionsToRepeat(ledger, nowMs()).slice(-maxItems).map(({part, atMs}) => ({part, ageMs: ageOf(atMs)}));

	const timer = setInterval(() => {
		if (isUndecided(ledger, nowMs())) {
			judge();
		}
	}, judgeIntervalMs);
	timer.unref();
	const countTimer = setInterval(sendCounts, 2 * judgeIntervalMs);
	countTimer.unref();
	return {
		verdictOn: parts => ledger.verdicts.size > 0 ? partVerdictOn(ledger, parts(), nowMs()) : null,
		recordEndpointExit(run) {
			const sighting = {...run, seenBy: entryId};
			if (run.parts.length > 0 && recordSightings([sighting]).length > 0) {
				sendToAll({...noNews, sightings: [encodeSighting(sighting)]});
			}
		},
		recordCompletion(parts) {
			if (!hasPartRecords(ledger) || parts().length === 0) {
				return;
			}

			const atMs = nowMs();
			const model = modelOfPart(parts()[0]!);
			countPartCompletions(ledger, model, 1, atMs);
			const {count, fromMs} = counts.get(model) ?? {count: 0, fromMs: atMs};
			counts.set(model, {count: count + 1, fromMs});
			for (const part of knownParts(ledger, parts())) {
				if (clearPart(ledger, part, atMs, atMs).length > 0) {
					sendToAll({...noNews, completions: [{part, ageMs: 0}]});
				}
			}
		},
		newsToRepeat() {
			prunePartLedger(ledger, nowMs());
			const news: PartNews = {
				...noNews, sightings: partSightingsToRepeat(ledger, nowMs()).slice(-maxItems).map(sighting => encodeSighting(sighting)),
				verdicts: verdictsToRepeat(), completions: completionsToRepeat(),
			};
			return news.sightings.length + news.verdicts.length + news.completions.length === 0 ? null : news;
		},
		receive(news) {
			const now = nowMs();
			for (const {part, ageMs} of news.completions) {
				clearPart(ledger, part as PromptPart, now - ageMs, now);
			}

			for (const {model, count, ageMs} of news.counts) {
				countPartCompletions(ledger, model, count, now - ageMs);
			}

			recordSightings(news.sightings.map(({address, ageMs, request, parts, seenBy, isFresh}) => ({
				address, atMs: now - ageMs, request, parts: parts as PromptPart[], seenBy, isFresh,
			})));
			for (const {parts, sinceAgeMs, remainingMs, evidence} of news.verdicts) {
				const adopted = adoptPartVerdict(ledger, {
					parts: parts as PromptPart[], sinceMs: now - sinceAgeMs, untilMs: now + remainingMs, evidence: evidence.map(({address, ageMs, seenBy}) => ({address, atMs: now - ageMs, seenBy})),
				}, now);
				if (adopted !== null) {
					announce(adopted, 'adopted');
				}
			}
		},
		close() {
			clearInterval(timer);
			clearInterval(countTimer);
		},
	};
};
