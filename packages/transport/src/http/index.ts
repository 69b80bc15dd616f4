export * from './address.js';
export * from './answer-status.js';
export * from './connection-pool.js';
export * from './connection-tracker.js';
export * from './cut-connection.js';
export * from './http-client.js';
export * from './http-server.js';
export * from './is-refusing-connections.js';
export * from './limit-reporter.js';
export * from './listen.js';
export {
	endAndClose, OverloadError, type LimitName, type OnLimit, type ServerLimits,
} from './overload.js';
export * from './body-collector.js';
export * from './collect-garbage.js';
export * from './read-body.js';
export * from './read-limits.js';
export * from './refuse-connection.js';
export * from './server-guard.js';
export * from './timeout-signal.js';
export * from './watch-for-reset.js';
export * from './when-drained.js';
