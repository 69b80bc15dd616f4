import type {Change, RefusalCode} from './types.js';

export type Refusal = {readonly code: RefusalCode; readonly message: string};

/** `null` if the change was applied; on a refusal the catalog is unchanged. */
export type Outcome = Refusal | null;

export type ChangeOf<Type extends Change['type']> = Extract<Change, {type: Type}>;

export const refuse = (code: RefusalCode, message: string): Refusal => ({code, message});

export const createUnique = <Value>(records: Record<string, Value>, kind: string, id: string, value: Value): Outcome => {
	if (id in records) {
		return refuse('exists', `${kind} ${id} exists already`);
	}

	records[id] = value;
	return null;
};

export const modelOfVersion = (versionId: string): string => versionId.slice(0, versionId.indexOf(':'));
