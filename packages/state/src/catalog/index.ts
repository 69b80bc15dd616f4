export * from './apply-change.js';
export * from './apply-command.js';
export * from './canonical-json.js';
export * from './claims.js';
export * from './create-catalog.js';
export * from './digest.js';
export {planAssignments} from './plan-assignments.js';
export {modelOfVersion, type Refusal} from './refusal.js';
export * from './types.js';
