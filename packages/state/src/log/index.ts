export {DamagedLogError, encodeFrame} from './frames.js';
export {replaceFile} from './files.js';
export * from './folder-lock.js';
export * from './log-store.js';
export * from './records.js';
