import type {CallContext} from './call-context.js';
import type {CallProgress} from './call-progress.js';
import type {Call} from './gateway-call.js';

/** Whether a further attempt may be sent now on the charge that the call holds. */
export const holdsCharge = ({retryBudget}: CallContext, {charge}: CallProgress): boolean => charge !== null && retryBudget.isValid(charge);

/** Returns the charge that the call holds, if any. */
export const releaseCharge = ({retryBudget}: CallContext, progress: CallProgress): void => {
	if (progress.charge !== null) {
		retryBudget.release(progress.charge);
		progress.charge = null;
	}
};

/** Makes the call hold a charge for one further attempt; `false` if the retry budget is used up. */
export const chargeRetry = async (context: CallContext, {requestId, service: {name}}: Call, progress: CallProgress): Promise<boolean> => {
	const {retryBudget, logger, metrics} = context;
	if (holdsCharge(context, progress)) {
		return true;
	}

	releaseCharge(context, progress);
	const charge = await retryBudget.take(name);
	// Another attempt of the call may have taken one meanwhile.
	releaseCharge(context, progress);
	progress.charge = charge;
	if (charge === null) {
		metrics.count('retries_denied', 'Further attempts that the retry budget did not allow.');
		logger.event('BP4072', {requestId, service: name});
		return false;
	}

	metrics.count('retries', 'Further attempts that were taken from the retry budget.');
	logger.event('BP4071', {requestId, service: name, source: charge.source});
	return true;
};
