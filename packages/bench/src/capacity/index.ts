export * from './definitions.js';
export * from './estimate.js';
export * from './target-deployment.js';
export * from './measure-capacity.js';
export * from './page.js';
export * from './slope.js';
