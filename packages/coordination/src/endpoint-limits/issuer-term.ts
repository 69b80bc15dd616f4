import {rendezvousOrder} from '../utils/rendezvous.js';
import type {EndpointStart} from './limit-ledger.js';

type PeerList = {readonly peers: readonly string[]; readonly sinceMs: number};

/** Determines whether this entry may issue permits for cold endpoints. */
export type IssuerTerm = {
	readonly selfAddress: string;
	/** The lists of the other entries that were in force within the hand-over time, the current one last; empty until the first one is received. */
	lists: PeerList[];
	/** When a core host last confirmed this entry and held all acknowledged documents. */
	confirmedAtMs: number;
	/** When it was confirmed again after a time in which the others may have replaced it. */
	reconfirmedAtMs: number;
};

/**
 * A new issuer waits for this long, in which the permits of the previous one expire and
 * the others receive the list of entries, which an open poll of 700 ms delays.
 */
const handOverMs = 1200;
/** Less than the 2500 ms after which core hosts drop a silent entry and the others turn to the next issuer. */
const confirmationMs = 2000;
/**
 * An entry that starts or comes back takes over from an issuer that may just have lost the
 * core and does not know: until that one is no longer confirmed, and its permits of the
 * last second have expired.
 */
const returnMs = confirmationMs + 1100;

export const createIssuerTerm = (selfAddress: string): IssuerTerm => ({
	selfAddress, lists: [], confirmedAtMs: Number.NEGATIVE_INFINITY, reconfirmedAtMs: Number.NEGATIVE_INFINITY,
});

const isSame = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every(address => b.includes(address));

/** Records the list of the other entries that is in force from now on. */
export const recordPeers = (term: IssuerTerm, peers: readonly string[], nowMs: number): void => {
	const current = term.lists.at(-1);
	if (current !== undefined && isSame(current.peers, peers)) {
		return;
	}

	// Of the lists before the hand-over time, only the last one was in force within it.
	const firstKept = term.lists.findLastIndex(({sinceMs}) => sinceMs <= nowMs - handOverMs);
	term.lists = [...term.lists.slice(Math.max(0, firstKept)), {peers, sinceMs: nowMs}];
};

export const recordConfirmation = (term: IssuerTerm, confirmedAtMs: number, nowMs: number): void => {
	if (nowMs - term.confirmedAtMs > confirmationMs) {
		term.reconfirmedAtMs = nowMs;
	}

	term.confirmedAtMs = Math.max(term.confirmedAtMs, confirmedAtMs);
};

/** The entries by their order as issuers of an endpoint's permits. */
export const issuerOrder = (start: EndpointStart, {selfAddress, lists}: IssuerTerm): string[] => rendezvousOrder(start, [selfAddress, ...(lists.at(-1)?.peers ?? [])]);

/** Why this entry does not issue the permits of an endpoint; `null` if it does. */
export type NoTerm = 'notIssuer' | 'unconfirmed' | 'newIssuer';

export const noTermReason = (term: IssuerTerm, start: EndpointStart, nowMs: number): NoTerm | null => {
	const {selfAddress, lists, confirmedAtMs, reconfirmedAtMs} = term;
	if (issuerOrder(start, term)[0] !== selfAddress) {
		return 'notIssuer';
	}

	if (nowMs - confirmedAtMs > confirmationMs) {
		return 'unconfirmed';
	}

	const isKnownSince = lists.length > 0 && lists[0]!.sinceMs <= nowMs - handOverMs;
	const recent = lists.filter((_, index) => (lists[index + 1]?.sinceMs ?? Number.POSITIVE_INFINITY) > nowMs - handOverMs);
	const wasIssuer = recent.every(({peers}) => rendezvousOrder(start, [selfAddress, ...peers])[0] === selfAddress);
	return isKnownSince && wasIssuer && reconfirmedAtMs <= nowMs - returnMs ? null : 'newIssuer';
};
