export {tickRouter, type RequestOutcome} from './health.js';
export {recordLoadReport, type LoadReport} from './load.js';
export {setEntries} from './placement.js';
export * from './router.js';
export type {
	EjectionReason, Endpoint, RouterNotice, RouterOptions, RouterState, RouteTarget,
} from './types.js';
export {changedHostIds, updateRouter} from './update-router.js';
