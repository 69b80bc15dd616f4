export * from './configuration/index.js';
export * from './consensus/index.js';
export * from './door/index.js';
export * from './requests/index.js';
export * from './routing/index.js';
export * from './swarm/index.js';
export * from './utils/index.js';
