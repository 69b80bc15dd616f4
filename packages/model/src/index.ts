export * from './engine.js';
export * from './entry.js';
export * from './scenario.js';
export * from './scenarios.js';
export * from './tally.js';
export * from './timeline.js';
export * from './upper-bound.js';
export * from './simulate-scenario.js';
