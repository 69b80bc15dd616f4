export * from './configuration-holder.js';
export * from './core-client.js';
export * from './evacuated-zones.js';
export * from './methods.js';
export type * from './request-protocol.js';
export * from './wanted-versions.js';
