export * from './engine/fake-engine.js';
export * from './folder/index.js';
export * from './history/index.js';
export * from './origin/fake-origin.js';
export * from './ports/free-addresses.js';
export * from './relay/relay.js';
export * from './service/fake-service.js';
export * from './trace/index.js';
