import type {Catalog, Ledger} from './types.js';

export const createCatalog = (): Catalog => ({
	revision: 0,
	digest: '',
	models: {},
	versions: {},
	adapters: {},
	fleets: {},
	services: {},
	teams: {},
	hosts: {},
	rollouts: {},
});

export const createLedger = (): Ledger => ({
	claims: {}, claimCount: 0, claimOrder: [], claimBodies: [], claimBodyBytes: 0, claimClockMs: 0,
	results: {}, resultDigests: {}, resultOrder: [], starts: {claimOrder: 0, claimBodies: 0, resultOrder: 0},
});
