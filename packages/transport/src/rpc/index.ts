export * from './rpc-client.js';
export * from './rpc-server.js';
