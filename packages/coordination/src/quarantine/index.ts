export * from './request-fingerprint.js';
