export * from './create-manifest.js';
export * from './manifest.js';
