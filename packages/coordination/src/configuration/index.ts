export * from './change-history.js';
export * from './host-configuration.js';
export * from './plan-membership.js';
export * from './plan-rollouts.js';
export * from './presence.js';
export * from './report-fold.js';
export * from './snapshot-codec.js';
export * from './watch-grant.js';
