import type {Buffer} from 'node:buffer';
import {
	isUnderPressure, pruneReceivedDemand, recordReceivedDemand, sharedFigures, type PriorityDemand, type Random,
} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';
import {samplePeers} from '../link/gossip.js';
import {decodeDemandMessage, encodeDemandMessage, type ServiceDemandFigures} from './demand-message.js';

export type DemandExchangeOptions = {
	readonly selfAddress: string;
	/** The other entries. */
	peers(): readonly string[];
	send(data: Uint8Array, addresses: readonly string[]): void;
	/** The demand on the services whose requests can have more than one priority, by service. */
	demands(): ReadonlyMap<string, PriorityDemand>;
	readonly logger: Logger;
	readonly random: Random;
	nowMs(): number;
};

/** Exchanges the demand by priority with the other entries. */
export type DemandExchange = {
	/** Sends the own demand; called every `exchangeIntervalMs`. */
	tick(): void;
	/** Requests the demand of other entries, once; does nothing until there are peers. */
	sync(): void;
	/** Handles a datagram from another entry; `false` if it is of another kind. */
	receive(data: Buffer): boolean;
};

/** Received demand expires after more than two intervals, so that one lost datagram has little effect. */
export const exchangeIntervalMs = 400;
const peersToSync = 3;
/** An entry without a message for this long is logged: three intervals without pressure, as timers of a busy host fire late. */
const silentMs = 2500;

export const createDemandExchange = ({selfAddress, peers, send, demands, logger, random, nowMs}: DemandExchangeOptions): DemandExchange => {
	let hasSynced = false;
	let tickCount = 0;
	/** When a message of each entry was last received. */
	const lastReceivedAtMs = new Map<string, number>();

	const ownServices = (): ServiceDemandFigures[] => [...demands()]
		.map(([serviceName, demand]) => ({serviceName, figures: sharedFigures(demand, nowMs())}))
		.filter(({figures}) => figures.size > 0);

	const sendTo = (services: readonly ServiceDemandFigures[], addresses: readonly string[]): void => {
		// One datagram per service keeps each within one packet.
		for (const service of services) {
			send(encodeDemandMessage({type: 'demand', entryAddress: selfAddress, services: [service]}), addresses);
		}
	};

	const expire = (): void => {
		for (const demand of demands().values()) {
			pruneReceivedDemand(demand, nowMs());
		}

		for (const [address, atMs] of lastReceivedAtMs) {
			if (nowMs() - atMs >= silentMs) {
				lastReceivedAtMs.delete(address);
				logger.event('BP4060', {address, ageMs: Math.round(nowMs() - atMs)});
			}
		}
	};

	return {
		tick() {
			expire();
			tickCount++;
			const services = ownServices();
			// Without pressure, the demand only has to be known when pressure begins.
			const isDue = tickCount % 2 === 0 || services.some(({figures}) => isUnderPressure(figures));
			const addresses = peers();
			if (isDue && addresses.length > 0) {
				sendTo(services, addresses);
			}
		},
		sync() {
			if (hasSynced || peers().length === 0) {
				return;
			}

			hasSynced = true;
			send(encodeDemandMessage({type: 'sync', entryAddress: selfAddress}), samplePeers(peers(), peersToSync, random));
		},
		receive(data) {
			const message = decodeDemandMessage(data);
			if (message === null) {
				return false;
			}

			const {entryAddress} = message;
			if (message.type === 'sync') {
				sendTo(ownServices(), [entryAddress]);
				return true;
			}

			for (const {serviceName, figures} of message.services) {
				const demand = demands().get(serviceName);
				if (demand !== undefined) {
					recordReceivedDemand(demand, entryAddress, {figures, atMs: nowMs()});
					lastReceivedAtMs.set(entryAddress, nowMs());
				}
			}

			return true;
		},
	};
};
