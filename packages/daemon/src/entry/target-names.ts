import type {RouteTarget} from '@bitternpaddle/coordination';

/** The value of `model` in a caller's request. */
export const modelNameOf = ({modelId, adapterId}: Extract<RouteTarget, {type: 'model'}>): string => adapterId === undefined ? modelId : `${modelId}/${adapterId}`;

/** The name of a target in log lines and errors. */
export const targetNameOf = (target: RouteTarget): string => target.type === 'model' ? `model ${modelNameOf(target)}` : `service ${target.serviceId}`;
