import {
	coldPermitState, coldPermitsToRequest, createColdAccount, createColdIssuer, createIssuerTerm, fallbackCount, fallbackCountOf, hasQueuedColdRequests, isColdIssuerSilent, issueColdPermits,
	issuerOrder, noTermReason, pruneColdIssuer, recordColdReply, recordConfirmation, recordPeers, requestColdPermits, returnColdPermits, takeUnusedPermits,
	unpermittedCount, useColdPermit,
	type ColdAccount, type ColdBounds, type ColdReply, type ColdRequest, type ColdReturn, type ColdTerms, type EndpointStart, type NoTerm, type PermitState,
} from '@bitternpaddle/coordination';
import type {LimitMessage} from './limit-message.js';

export type ColdExchangeOptions = {
	readonly selfAddress: string;
	readonly bounds: ColdBounds;
	send(message: ColdMessage, addresses: readonly string[]): void;
	/** The limit of a cold endpoint; `null` if it is not known here as cold. */
	perSecondOf(start: EndpointStart): number | null;
	/** Called when the issuer of an endpoint's permits stops answering or answers again. */
	onIssuerChange(change: {readonly start: EndpointStart; readonly issuerAddress: string; readonly isSilent: boolean}): void;
	/** Called when this entry, as the issuer, starts or stops (`null`) withholding the permits of an endpoint. */
	onWithheld(start: EndpointStart, reason: Exclude<NoTerm, 'notIssuer'> | null): void;
	/** Called when a request is queued or a permit is held here; `tick` must then be called periodically. */
	onWork(): void;
	/** Called when permits of another entry arrive; requests may wait for them. */
	onGranted(): void;
	/** Called with the number of permits that expired unused. */
	onUnused(count: number): void;
	nowMs(): number;
};

export type ColdMessage = Extract<LimitMessage, {type: 'coldRequest' | 'coldReply' | 'coldReturn'}>;

/** Shares the limit of a cold endpoint among all entries, within any second. */
export type ColdExchange = {
	/** Records the other entries. */
	recordPeers(peers: readonly string[]): void;
	/** Records when a core host confirmed this entry. */
	recordConfirmation(atMs: number): void;
	/** Requests permits unless one is held or requested. */
	request(start: EndpointStart): void;
	state(start: EndpointStart): PermitState;
	/** Consumes a permit for a request that is sent to the endpoint. */
	use(start: EndpointStart): void;
	/** Handles a message of another entry; a request is ignored unless this entry may issue. */
	receive(message: ColdMessage): void;
	/** Grants available permits to queued requests and returns those that expired here; `false` if nothing remains to be done. */
	tick(): boolean;
	remove(start: EndpointStart): void;
	prune(): void;
};

type TrackedAccount = {readonly account: ColdAccount; isIssuerSilent: boolean};

export const createColdExchange = (options: ColdExchangeOptions): ColdExchange => {
	const {selfAddress, bounds, send, perSecondOf, onIssuerChange, onWithheld, onWork, onGranted, onUnused, nowMs} = options;
	const issuer = createColdIssuer();
	const term = createIssuerTerm(selfAddress);
	const accounts = new Map<EndpointStart, TrackedAccount>();
	const withheld = new Map<EndpointStart, NoTerm>();

	const trackedFor = (start: EndpointStart): TrackedAccount => {
		const tracked = accounts.get(start) ?? {account: createColdAccount(), isIssuerSilent: false};
		accounts.set(start, tracked);
		return tracked;
	};

	const termsOf = (start: EndpointStart, perSecond: number): ColdTerms => ({
		perSecond, entryCount: (term.lists.at(-1)?.peers.length ?? 0) + 1,
		fallbackCount() {
			if (term.lists.length === 0) {
				// An entry that has just started does not know how many others send.
				return 0;
			}

			const order = issuerOrder(start, term);
			return fallbackCountOf(fallbackCount(perSecond, bounds), order.indexOf(selfAddress), order.length);
		},
	});

	const updateIssuerState = (start: EndpointStart, tracked: TrackedAccount): void => {
		const isSilent = isColdIssuerSilent(tracked.account, nowMs());
		if (isSilent !== tracked.isIssuerSilent) {
			tracked.isIssuerSilent = isSilent;
			onIssuerChange({start, issuerAddress: issuerOrder(start, term)[0]!, isSilent});
		}
	};

	const mayIssue = (start: EndpointStart): boolean => {
		const reason = noTermReason(term, start, nowMs());
		const reported = reason === 'notIssuer' ? null : reason;
		if (reported !== (withheld.get(start) ?? null)) {
			if (reported === null) {
				withheld.delete(start);
			} else {
				withheld.set(start, reported);
			}

			onWithheld(start, reported);
		}

		return reason === null;
	};

	const handleReply = (start: EndpointStart, reply: ColdReply): void => {
		const tracked = accounts.get(start);
		if (tracked === undefined) {
			return;
		}

		const isUsable = recordColdReply(tracked.account, reply, nowMs());
		updateIssuerState(start, tracked);
		onWork();
		if (isUsable) {
			onGranted();
		}
	};

	const deliver = (start: EndpointStart, entryAddress: string, reply: ColdReply): void => {
		if (entryAddress === selfAddress) {
			handleReply(start, reply);
		} else {
			send({type: 'coldReply', start, reply}, [entryAddress]);
		}
	};

	const handleRequest = (request: ColdRequest): void => {
		const {start, entryAddress} = request;
		if (!mayIssue(start)) {
			return;
		}

		const perSecond = Math.min(request.perSecond, perSecondOf(start) ?? Number.POSITIVE_INFINITY);
		const reply = requestColdPermits(issuer, {...request, perSecond}, nowMs());
		deliver(start, entryAddress, reply);
		if (reply.type === 'queued') {
			onWork();
		}
	};

	const handleReturn = (returned: ColdReturn): void => {
		returnColdPermits(issuer, returned);
	};

	const returnUnused = (start: EndpointStart, {account}: TrackedAccount): void => {
		const unused = takeUnusedPermits(account, nowMs());
		if (unused.length === 0) {
			return;
		}

		onUnused(unused.length);
		const issuerAddress = issuerOrder(start, term)[0]!;
		for (const sentAtMs of new Set(unused)) {
			const returned: ColdReturn = {
				start, entryAddress: selfAddress, count: unused.filter(atMs => atMs === sentAtMs).length, sentAtMs,
			};
			if (issuerAddress === selfAddress) {
				handleReturn(returned);
			} else {
				send({type: 'coldReturn', returned}, [issuerAddress]);
			}
		}
	};

	const request = (start: EndpointStart): void => {
		const perSecond = perSecondOf(start);
		if (perSecond === null) {
			return;
		}

		const tracked = trackedFor(start);
		const sentAtMs = nowMs();
		const count = coldPermitsToRequest(tracked.account, perSecond, sentAtMs);
		updateIssuerState(start, tracked);
		if (count === 0) {
			return;
		}

		const coldRequest: ColdRequest = {
			start, entryAddress: selfAddress, count, perSecond, sentAtMs, unpermittedCount: unpermittedCount(tracked.account, sentAtMs),
		};
		const issuerAddress = issuerOrder(start, term)[0]!;
		if (issuerAddress === selfAddress) {
			handleRequest(coldRequest);
		} else {
			send({type: 'coldRequest', request: coldRequest}, [issuerAddress]);
		}
	};

	return {
		recordPeers(peers) {
			recordPeers(term, peers, nowMs());
		},
		recordConfirmation(atMs) {
			recordConfirmation(term, atMs, nowMs());
		},
		request,
		state(start) {
			const perSecond = perSecondOf(start);
			return perSecond === null ? {type: 'available'} : coldPermitState(trackedFor(start).account, termsOf(start, perSecond), nowMs());
		},
		use(start) {
			if (perSecondOf(start) === null) {
				return;
			}

			const {account} = trackedFor(start);
			useColdPermit(account, nowMs());
			if (isColdIssuerSilent(account, nowMs())) {
				// While this entry sends without permits, nothing else would show that the issuer answers again.
				request(start);
			}
		},
		receive(message) {
			switch (message.type) {
				case 'coldRequest': {
					handleRequest(message.request);
					break;
				}

				case 'coldReply': {
					handleReply(message.start, message.reply);
					break;
				}

				case 'coldReturn': {
					handleReturn(message.returned);
					break;
				}
			}
		},
		tick() {
			for (const [start, tracked] of accounts) {
				returnUnused(start, tracked);
			}

			for (const {start, entryAddress, reply} of issueColdPermits(issuer, mayIssue, nowMs())) {
				deliver(start, entryAddress, reply);
			}

			return hasQueuedColdRequests(issuer) || [...accounts.values()].some(({account}) => account.permits.length > 0);
		},
		remove(start) {
			accounts.delete(start);
			withheld.delete(start);
		},
		prune() {
			pruneColdIssuer(issuer, nowMs());
			for (const start of withheld.keys()) {
				if (perSecondOf(start) === null) {
					withheld.delete(start);
				}
			}
		},
	};
};
