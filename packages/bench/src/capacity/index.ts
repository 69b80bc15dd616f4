export * from './definitions.js';
export * from './estimate.js';
export * from './letter.js';
export * from './measure-capacity.js';
export * from './page.js';
export * from './slope.js';
