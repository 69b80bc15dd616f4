export * from './address.js';
export * from './connection-pool.js';
export * from './http-client.js';
export * from './http-server.js';
