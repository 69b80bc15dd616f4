import {match} from 'ts-pattern';
import * as z from 'zod';
import type {Document} from './document.js';

const documentStateSchema = z.object({
	configuration: z.object({number: z.number(), text: z.string()}).nullable(),
	versions: z.record(z.string(), z.number()),
});

/** What the documents of a log amount to. */
export type DocumentState = z.infer<typeof documentStateSchema>;

/**
 * `stored`: in force from now on. `known`: already in force, or overtaken by a
 * higher number; a resent document must be acknowledged again. `conflict`: the
 * number in force was given to other content.
 */
export type DocumentOutcome = 'stored' | 'known' | 'conflict';

export type AppliedDocument = {readonly state: DocumentState; readonly outcome: DocumentOutcome};

export const createDocumentState = (): DocumentState => ({configuration: null, versions: {}});

export const applyDocument = (state: DocumentState, document: Document): AppliedDocument => match(document)
	.with({kind: 'configuration'}, ({number, text}) => applyConfiguration(state, number, text))
	.with({kind: 'version'}, ({model, version}) => applyVersion(state, model, version))
	.exhaustive();

const applyConfiguration = (state: DocumentState, number: number, text: string): AppliedDocument => {
	const held = state.configuration;
	if (held === null || number > held.number) {
		return {state: {...state, configuration: {number, text}}, outcome: 'stored'};
	}

	const isOther = number === held.number && text !== held.text;
	return {state, outcome: isOther ? 'conflict' : 'known'};
};

const applyVersion = (state: DocumentState, model: string, version: number): AppliedDocument => version > (state.versions[model] ?? 0)
	? {state: {...state, versions: {...state.versions, [model]: version}}, outcome: 'stored'}
	: {state, outcome: 'known'};

export const encodeDocumentState = (state: DocumentState): string => JSON.stringify(state);

export const decodeDocumentState = (text: string): DocumentState => documentStateSchema.parse(JSON.parse(text));
