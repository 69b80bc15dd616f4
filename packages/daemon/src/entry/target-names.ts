import type {RouteTarget} from '@bitternpaddle/coordination';

/** What the caller writes as the model. */
export const modelNameOf = ({modelId, adapterId}: Extract<RouteTarget, {type: 'model'}>): string => adapterId === undefined ? modelId : `${modelId}/${adapterId}`;

/** What a log line or an error calls it. */
export const nameOf = (target: RouteTarget): string => target.type === 'model' ? `model ${modelNameOf(target)}` : `service ${target.serviceId}`;
