import type {HostRecord} from './types.js';

/** Whether operators' orders let the host accept requests and assignments. */
export const mayServe = ({status, isEvacuated}: Pick<HostRecord, 'status' | 'isEvacuated'>): boolean => status === 'serving' && isEvacuated !== true;
