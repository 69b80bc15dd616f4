export * from './agent-node.js';
export * from './chunk-writer.js';
export {UnusableDigestsError, type DigestOrigin} from './digest-source.js';
export type * from './engine-client.js';
export * from './paced-links.js';
export * from './staged-weights.js';
export * from './version-loader.js';
export * from './weight-exchange.js';
export * from './weights-prover.js';
