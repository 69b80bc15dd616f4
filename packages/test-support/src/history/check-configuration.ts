import {eventsOf, type EventOf, type HistoryEvent} from './events.js';
import type {Violation} from './violation.js';

type Sample = EventOf<'hostSampled'>;

/** Hosts out of service may have any revision, since they serve nothing by it. */
const samplesInService = (events: readonly HistoryEvent[]): Sample[] => eventsOf(events, 'hostSampled').filter(sample => sample.isInService);

/** Checks that no host in service returns to an older revision, even over restarts, and that equal revisions are equal states on all hosts. */
export const checkRevisions = (events: readonly HistoryEvent[]): Violation[] => {
	const violations: Violation[] = [];
	const highest = new Map<string, number>();
	const digests = new Map<number, Sample>();
	for (const sample of samplesInService(events)) {
		const {hostId, revision, digest, atMs} = sample;
		const highestBefore = highest.get(hostId) ?? 0;
		if (revision < highestBefore) {
			violations.push({type: 'revisionWentBack', atMs, detail: `${hostId} went from revision ${highestBefore} to ${revision}`});
		}

		highest.set(hostId, Math.max(highestBefore, revision));
		const known = digests.get(revision);
		if (known === undefined) {
			digests.set(revision, sample);
		} else if (known.digest !== digest) {
			violations.push({type: 'revisionsDiffer', atMs, detail: `revision ${revision} is ${digest} on ${hostId} and ${known.digest} on ${known.hostId}`});
		}
	}

	return violations;
};

/** Checks that an accepted change is in force within `boundMs` on every host that is then in service. */
export const checkInForce = (events: readonly HistoryEvent[], boundMs: number): Violation[] => {
	const violations: Violation[] = [];
	const accepted: Array<{readonly dueAtMs: number; readonly revision: number}> = [];
	for (const event of events) {
		if (event.type === 'commandEnded' && event.outcome.type === 'accepted') {
			accepted.push({dueAtMs: event.atMs + boundMs, revision: event.outcome.revision});
		} else if (event.type === 'hostSampled' && event.isInService) {
			const missed = accepted.find(({dueAtMs, revision}) => event.atMs > dueAtMs && event.revision < revision);
			if (missed !== undefined) {
				violations.push({type: 'notInForce', atMs: event.atMs, detail: `${event.hostId} serves by revision ${event.revision}, but revision ${missed.revision} was due`});
			}
		}
	}

	return violations;
};

/** Checks that all resends of a command get the same result, and that of the commands with an equal expected revision at most one is accepted. */
export const checkCommands = (events: readonly HistoryEvent[]): Violation[] => {
	const violations: Violation[] = [];
	const results = new Map<string, string>();
	const winners = new Map<number, string>();
	for (const {commandId, ifRevision, outcome, atMs} of eventsOf(events, 'commandEnded')) {
		if (outcome.type === 'unknown') {
			continue;
		}

		const result = outcome.type === 'accepted' ? `accepted at ${outcome.revision}` : 'refused';
		const earlier = results.get(commandId) ?? result;
		if (earlier !== result) {
			violations.push({type: 'resendChangedResult', atMs, detail: `${commandId} was ${earlier}, then ${result}`});
		}

		results.set(commandId, earlier);
		if (ifRevision === null || outcome.type !== 'accepted') {
			continue;
		}

		const winner = winners.get(ifRevision) ?? commandId;
		if (winner !== commandId) {
			violations.push({type: 'racersBothAccepted', atMs, detail: `${winner} and ${commandId} were both accepted for revision ${ifRevision}`});
		}

		winners.set(ifRevision, winner);
	}

	return violations;
};
