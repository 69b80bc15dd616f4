export * from './retry-credit.js';
export * from './retry-pool.js';
export * from './retry-terms.js';
export * from './sliding-count.js';
export * from './voter-part.js';
