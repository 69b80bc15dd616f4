import type {RouterNotice} from '@bitternpaddle/coordination';
import type {Logger, Metrics} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';

export type TellNoticeOptions = {readonly logger: Logger; readonly metrics?: Metrics};

/** Logs and counts what operators may want to know of the router's decisions. */
export const tellNotice = (notice: RouterNotice, {logger, metrics}: TellNoticeOptions): void => {
	match(notice)
		.with({type: 'ejected'}, ({hostId, reason}) => {
			logger.event('BP2101', {hostId, reason});
			metrics?.increment('entry.ejected', {reason});
		})
		.with({type: 'returned'}, ({hostId}) => {
			logger.event('BP2102', {hostId});
		})
		.with({type: 'panicked'}, ({group}) => {
			logger.event('BP2103', {group});
		})
		.exhaustive();
};
