export * from './format-rows.js';
export * from './program.js';
export * from './send-command.js';
