export * from './departures.js';
export * from './document.js';
export * from './document-state.js';
