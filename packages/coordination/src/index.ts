export * from './admission/index.js';
export * from './burn/index.js';
export * from './configuration/index.js';
export * from './consensus/index.js';
export * from './door/index.js';
export * from './routing/index.js';
export * from './swarm/index.js';
export * from './utils/index.js';
