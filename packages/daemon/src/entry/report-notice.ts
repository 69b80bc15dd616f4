import type {RouterNotice} from '@bitternpaddle/coordination';
import type {Logger, Metrics} from '@bitternpaddle/transport';
import {match} from 'ts-pattern';

export type ReportNoticeOptions = {readonly logger: Logger; readonly metrics?: Metrics};

/** Logs and counts the router's decisions that are relevant to operators. */
export const reportNotice = (notice: RouterNotice, {logger, metrics}: ReportNoticeOptions): void => {
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
