export {retryAfterMsHeader, type FetchOutcome} from './fetch-chunk.js';
export * from './transfer.js';
export * from './transfer-links.js';
export * from './upload-server.js';
