export * from './condition.js';
export * from './complete-line.js';
export * from './statement-forms.js';
export * from './statement.js';
export * from './subject-fields.js';
