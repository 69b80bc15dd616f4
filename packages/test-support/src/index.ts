export * from './engine/fake-engine.js';
export * from './origin/fake-origin.js';
export * from './service/fake-service.js';
