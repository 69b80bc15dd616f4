export * from './service-rooms.js';
