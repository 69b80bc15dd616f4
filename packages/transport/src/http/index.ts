export * from './address.js';
export * from './connection-pool.js';
export * from './http-client.js';
export * from './http-server.js';
export * from './is-refusing-connections.js';
export * from './listen.js';
export type * from './overload.js';
export * from './refuse-connection.js';
export * from './when-drained.js';
