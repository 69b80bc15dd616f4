import {match} from 'ts-pattern';
import * as z from 'zod';
import type {Condition} from './condition.js';

export const subjectSchema = z.enum(['replicas', 'transfers', 'hosts', 'revision', 'models', 'versions', 'adapters', 'fleets', 'services', 'teams', 'moves', 'requests', 'zones']);
export type Subject = z.infer<typeof subjectSchema>;

export type FieldType = 'text' | 'number' | 'boolean';

/** Columns of the query result for each subject. Conditions are checked against them before the query is sent. */
export const subjectFields = {
	replicas: {
		host: 'text', zone: 'text', fleet: 'text', version: 'text', ready: 'boolean', serving: 'text', adapters: 'text', status: 'text',
	},
	transfers: {
		host: 'text', version: 'text', state: 'text', chunks: 'text', originBytes: 'number', peerBytes: 'number', detail: 'text',
	},
	hosts: {
		host: 'text', role: 'text', zone: 'text', service: 'text', provider: 'text', status: 'text', revision: 'number', address: 'text',
	},
	revision: {
		revision: 'number', inForce: 'number', hosts: 'number', missing: 'text', outOfService: 'text',
	},
	models: {model: 'text', traffic: 'text'},
	versions: {version: 'text', manifest: 'text', withdrawn: 'boolean'},
	adapters: {
		adapter: 'text', version: 'text', manifest: 'text', withdrawn: 'boolean', fleets: 'text', ready: 'number',
	},
	fleets: {
		fleet: 'text', provider: 'text', version: 'text', replicas: 'number', zones: 'text', loaded: 'boolean', ready: 'number',
	},
	services: {
		service: 'text', repeatable: 'boolean', whole: 'number', firstToken: 'number', withinMs: 'number',
	},
	teams: {team: 'text', share: 'number'},
	moves: {
		model: 'text', from: 'text', to: 'text', state: 'text', moved: 'number', of: 'number', step: 'number', detail: 'text',
	},
	requests: {
		request: 'text', entry: 'text', team: 'text', target: 'text', host: 'text', attempts: 'number', ageMs: 'number', answering: 'boolean',
	},
	zones: {
		zone: 'text', hosts: 'number', serving: 'number', evacuated: 'boolean',
	},
} as const satisfies Record<Subject, Record<string, FieldType>>;

export type ConditionError = {readonly message: string; readonly expected: readonly string[]};

/** Returns why a condition is invalid for the rows of a subject, or `null`. */
export const checkCondition = (subject: Subject, {field, operator, value}: Condition): ConditionError | null => {
	const fields: Record<string, FieldType> = subjectFields[subject];
	const type = fields[field];
	if (type === undefined) {
		return {message: `${subject} have no field "${field}".`, expected: Object.keys(fields)};
	}

	return match(type)
		.with('text', () => null)
		.with('number', () => /^\d+(?:\.\d+)?$/v.test(value) ? null : {message: `"${field}" is a number, "${value}" is not.`, expected: [`${field} ${operator} a number`]})
		.with('boolean', () => (operator === '=' || operator === '!=') && (value === 'true' || value === 'false')
			? null
			: {message: `"${field}" is true or false.`, expected: [`${field} = true`, `${field} = false`]})
		.exhaustive();
};
