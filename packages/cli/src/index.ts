export * from './format-rows.js';
export * from './program.js';
export * from './progress.js';
export * from './send-command.js';
export * from './wait-for.js';
export * from './reference/reference-pages.js';
