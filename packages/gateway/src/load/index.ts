export * from './load-listener.js';
export * from './load-relay.js';
export * from './load-report.js';
export * from './load-reporter.js';
export * from './load-socket.js';
export * from './relay-plan.js';
