export type ViolationType
	= | 'ranMoreThanOnce' | 'ranAfterNotRun' | 'notWhole' | 'foreignAnswer' | 'mixedWeights' | 'noAnswer'
		| 'workAfterLeaving' | 'cutByPlannedStop' | 'revisionWentBack' | 'revisionsDiffer' | 'notInForce'
		| 'resendChangedResult' | 'racersBothAccepted';

/** One violated invariant, with the time of the event that shows it. */
export type Violation = {readonly type: ViolationType; readonly atMs: number; readonly detail: string};
