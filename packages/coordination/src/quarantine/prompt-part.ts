import type {Service} from '@bitternpaddle/state';

/** A part of the prompts of several requests: the model that reads it, and its id there. */
export type PromptPart = string & {readonly __brand: 'PromptPart'};

/** Does not occur in an id. */
const separator = '/';

export const promptPart = (model: string, id: string): PromptPart => `${model}${separator}${id}` as PromptPart;

/** The same id at another model is another part. */
export const promptPartOf = ({name, engine}: Pick<Service, 'name' | 'engine'>, id: string): PromptPart => promptPart(engine?.model ?? name, id);

export const modelOfPart = (part: PromptPart): string => part.slice(0, part.lastIndexOf(separator));

export const idOfPart = (part: PromptPart): string => part.slice(part.lastIndexOf(separator) + 1);
