import {
	createPermitAccount, createPermitIssuer, discardPermits, hasQueuedRequests, isIssuerSilent, issuePermits, recordPermitReply, permitState, permitsToRequest, prefetchesPermits, pruneIssuer,
	rendezvousOrder, requestPermits, usePermit, type EndpointStart, type PermitAccount, type PermitReply, type PermitState, type Random, type SharedLimit,
} from '@bitternpaddle/coordination';
import type {LimitMessage} from './limit-message.js';

export type PermitExchangeOptions = {
	readonly selfAddress: string;
	/** The other entries; `null` while they are not known. */
	peers(): readonly string[] | null;
	send(message: LimitMessage, addresses: readonly string[]): void;
	/** The known limit of an endpoint; `null` if none is in force. */
	limitOf(start: EndpointStart): (SharedLimit & {readonly perSecond: number}) | null;
	/** Called when the issuer of an endpoint's permits stops answering or answers again. */
	onIssuerChange(change: {readonly start: EndpointStart; readonly issuerAddress: string; readonly isSilent: boolean}): void;
	/** Called when a request is queued here; `issue` must then be called periodically. */
	onQueued(): void;
	/** Called when permits of another entry arrive; requests may wait for them. */
	onGranted(): void;
	readonly random: Random;
	nowMs(): number;
};

/**
 * Shares the limit of an endpoint among all entries. One entry, selected by
 * rendezvous hashing, issues permits at the rate of the limit to the entries that
 * have requests for the endpoint. Does not depend on core hosts.
 */
export type PermitExchange = {
	/** Requests permits unless enough are held, a request is pending, or the other entries are not known. */
	request(start: EndpointStart): void;
	state(start: EndpointStart): PermitState;
	/** Consumes a permit for a request that is sent to the endpoint. */
	use(start: EndpointStart): void;
	/** Handles a permit request of another entry; ignored unless this entry is the issuer. */
	handleRequest(request: Extract<LimitMessage, {type: 'request'}>): void;
	handleReply(start: EndpointStart, reply: PermitReply): void;
	/** Grants available permits to queued requests; `false` if none remain queued. */
	issue(): boolean;
	/** Discards permits that were granted under a higher limit. */
	discard(start: EndpointStart): void;
	remove(start: EndpointStart): void;
	prune(): void;
};

type TrackedAccount = {readonly account: PermitAccount; isIssuerSilent: boolean};

export const createPermitExchange = (options: PermitExchangeOptions): PermitExchange => {
	const {selfAddress, peers, send, limitOf, onIssuerChange, onQueued, onGranted, random, nowMs} = options;
	const issuer = createPermitIssuer();
	const accounts = new Map<EndpointStart, TrackedAccount>();

	const trackedFor = (start: EndpointStart): TrackedAccount => {
		const tracked = accounts.get(start) ?? {account: createPermitAccount(), isIssuerSilent: false};
		accounts.set(start, tracked);
		return tracked;
	};

	/** `null` while the other entries are not known: an entry that took itself for the only one would issue the whole limit to itself. */
	const issuerOf = (start: EndpointStart): string | null => {
		const others = peers();
		return others === null ? null : rendezvousOrder(start, [selfAddress, ...others])[0]!;
	};

	const updateIssuerState = (start: EndpointStart, tracked: TrackedAccount): void => {
		const isSilent = isIssuerSilent(tracked.account, nowMs());
		if (isSilent !== tracked.isIssuerSilent) {
			tracked.isIssuerSilent = isSilent;
			onIssuerChange({start, issuerAddress: issuerOf(start) ?? selfAddress, isSilent});
		}
	};

	const handleReply = (start: EndpointStart, reply: PermitReply): void => {
		const tracked = accounts.get(start);
		if (tracked === undefined) {
			return;
		}

		recordPermitReply(tracked.account, reply, nowMs());
		updateIssuerState(start, tracked);
		if (reply.type === 'granted') {
			onGranted();
		}
	};

	const deliver = (start: EndpointStart, entryAddress: string, reply: PermitReply): void => {
		if (entryAddress === selfAddress) {
			handleReply(start, reply);
			return;
		}

		const limit = limitOf(start);
		if (limit !== null) {
			send({type: 'reply', limit, reply}, [entryAddress]);
		}
	};

	const issue = (): boolean => {
		for (const {start, entryAddress, count} of issuePermits(issuer, nowMs())) {
			deliver(start, entryAddress, {type: 'granted', count});
		}

		return hasQueuedRequests(issuer);
	};

	const answerRequest = (entryAddress: string, count: number, {start, perSecond}: SharedLimit & {readonly perSecond: number}): void => {
		const reply = requestPermits(issuer, {
			start, entryAddress, count, perSecond,
		}, nowMs());
		deliver(start, entryAddress, reply);
		if (reply.type === 'queued') {
			onQueued();
		}
	};

	const request = (start: EndpointStart): void => {
		const limit = limitOf(start);
		const issuerAddress = issuerOf(start);
		if (limit === null || issuerAddress === null) {
			return;
		}

		const tracked = trackedFor(start);
		const count = permitsToRequest(tracked.account, limit.perSecond, nowMs());
		updateIssuerState(start, tracked);
		if (count === 0) {
			return;
		}

		if (issuerAddress === selfAddress) {
			answerRequest(selfAddress, count, limit);
		} else {
			send({
				type: 'request', entryAddress: selfAddress, count, limit,
			}, [issuerAddress]);
		}
	};

	const termsOf = (perSecond: number) => ({perSecond, entryCount: (peers()?.length ?? 0) + 1, random});

	return {
		request,
		state(start) {
			const limit = limitOf(start);
			return limit === null ? {type: 'available'} : permitState(trackedFor(start).account, termsOf(limit.perSecond), nowMs());
		},
		use(start) {
			const limit = limitOf(start);
			if (limit !== null) {
				const {account} = trackedFor(start);
				usePermit(account, termsOf(limit.perSecond), nowMs());
				if (prefetchesPermits(account, limit.perSecond, nowMs())) {
					request(start);
				}
			}
		},
		handleRequest({entryAddress, count, limit: {start}}) {
			const limit = limitOf(start);
			// Entries whose lists of entries differ may select different issuers, which would together issue twice the limit.
			if (limit !== null && issuerOf(start) === selfAddress) {
				answerRequest(entryAddress, count, limit);
			}
		},
		handleReply,
		issue,
		discard(start) {
			discardPermits(trackedFor(start).account);
		},
		remove(start) {
			accounts.delete(start);
		},
		prune() {
			pruneIssuer(issuer, nowMs());
			for (const start of accounts.keys()) {
				if (limitOf(start) === null) {
					accounts.delete(start);
				}
			}
		},
	};
};
