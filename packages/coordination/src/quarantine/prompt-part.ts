import type {Service} from '@bitternpaddle/state';

/** A part of the prompts of several requests: the model that reads it, and its id there. */
export type PromptPart = string & {readonly __brand: 'PromptPart'};

const separator = '/';

/** The same id at another model is another part. */
export const promptPartOf = ({name, engine}: Pick<Service, 'name' | 'engine'>, id: string): PromptPart => `${engine?.model ?? name}${separator}${id}` as PromptPart;
