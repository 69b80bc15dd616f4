export * from './statement.js';
export * from './subject-fields.js';
