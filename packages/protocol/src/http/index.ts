export * from './end-marker.js';
export * from './error-body.js';
export * from './headers.js';
export * from './issue.js';
