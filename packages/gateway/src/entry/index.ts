export * from './attempt.js';
export * from './endpoint-connections.js';
export * from './entry-node.js';
export * from './endpoint-view.js';
export * from './event-splitter.js';

export * from './front-server.js';
export * from './serve-request.js';
export * from './entry-lease.js';
export * from './wait-queue.js';
