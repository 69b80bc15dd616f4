import {toleratedLosses} from '@bitternpaddle/coordination';
import type {Logger} from '@bitternpaddle/transport';

/** Logs whether the configured number of control voters tolerates fewer losses than an operator may expect. */
export const checkVoters = (voters: readonly string[], logger: Logger): void => {
	const tolerated = toleratedLosses(voters.map(voter => ({zoneId: voter, regionId: voter}))).hosts;
	if (tolerated === 0) {
		logger.event('BP1013', {voters: voters.join(',')});
	} else if (voters.length % 2 === 0) {
		logger.event('BP1014', {voters: voters.join(','), toleratedLosses: tolerated});
	}
};
