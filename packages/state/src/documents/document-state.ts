import {match} from 'ts-pattern';
import * as z from 'zod';
import {changeDepartures, type DeparturesChange} from './departures.js';
import {departureSchema, type Document} from './document.js';

/** The evacuated availability zones in order, and a number that increases by one with each change of them. */
export const evacuationsSchema = z.object({revision: z.number(), zoneIds: z.array(z.string()).readonly()});
export type Evacuations = z.infer<typeof evacuationsSchema>;

const noEvacuations: Evacuations = {revision: 0, zoneIds: []};

const documentStateSchema = z.object({
	configuration: z.object({number: z.number(), text: z.string()}).nullable(),
	versions: z.record(z.string(), z.number()),
	/** Absent in snapshots of earlier versions. */
	evacuations: evacuationsSchema.default(noEvacuations),
	/** Endpoints that have left or are leaving, the oldest departure first; absent while there have been none. */
	departures: z.array(departureSchema).readonly().optional(),
});

/** The state that results from the documents of a log. */
export type DocumentState = z.infer<typeof documentStateSchema>;

/**
 * `stored`: in force from now on. `known`: already in force, or superseded by a
 * higher number; a retry of the document must be acknowledged again. `conflict`:
 * the number in force belongs to a document with different content.
 */
export type DocumentOutcome = 'stored' | 'known' | 'conflict';

export type AppliedDocument = {readonly state: DocumentState; readonly outcome: DocumentOutcome};

export const createDocumentState = (): DocumentState => ({configuration: null, versions: {}, evacuations: noEvacuations});

export const applyDocument = (state: DocumentState, document: Document): AppliedDocument => match(document)
	.with({kind: 'configuration'}, ({number, text}) => applyConfiguration(state, number, text))
	.with({kind: 'version'}, ({model, version}) => applyVersion(state, model, version))
	.with({kind: 'evacuation'}, ({zoneId, isEvacuated}) => applyEvacuation(state, zoneId, isEvacuated))
	.with({kind: 'departures'}, change => applyDepartures(state, change))
	.exhaustive();

const applyConfiguration = (state: DocumentState, number: number, text: string): AppliedDocument => {
	const current = state.configuration;
	if (current === null || number > current.number) {
		return {state: {...state, configuration: {number, text}}, outcome: 'stored'};
	}

	const isConflicting = number === current.number && text !== current.text;
	return {state, outcome: isConflicting ? 'conflict' : 'known'};
};

const applyVersion = (state: DocumentState, model: string, version: number): AppliedDocument => version > (state.versions[model] ?? 0)
	? {state: {...state, versions: {...state.versions, [model]: version}}, outcome: 'stored'}
	: {state, outcome: 'known'};

const applyEvacuation = (state: DocumentState, zoneId: string, isEvacuated: boolean): AppliedDocument => {
	const {revision, zoneIds} = state.evacuations;
	if (zoneIds.includes(zoneId) === isEvacuated) {
		return {state, outcome: 'known'};
	}

	const changed = isEvacuated ? [...zoneIds, zoneId].toSorted() : zoneIds.filter(other => other !== zoneId);
	return {state: {...state, evacuations: {revision: revision + 1, zoneIds: changed}}, outcome: 'stored'};
};

const applyDepartures = (state: DocumentState, change: DeparturesChange): AppliedDocument => {
	const known = state.departures ?? [];
	const departures = changeDepartures(known, change);
	return departures === known ? {state, outcome: 'known'} : {state: {...state, departures}, outcome: 'stored'};
};

export const encodeDocumentState = (state: DocumentState): string => JSON.stringify(state);

export const decodeDocumentState = (text: string): DocumentState => documentStateSchema.parse(JSON.parse(text));
