import type {Document, DocumentOutcome, DocumentState} from '@bitternpaddle/state';

export type SubmitOnceOptions = {
	/** The configuration in force according to the committed log. */
	current(): DocumentState['configuration'];
	/** Appends a document to the log. */
	propose(document: Document): Promise<DocumentOutcome>;
};

/**
 * Submits documents as the leader. A configuration that is sent again while it is being
 * committed, or after it is in force, is not appended again: callers repeat a long one
 * that takes more than their timeout, and each copy would delay the others further.
 */
export const createSubmitOnce = ({current, propose}: SubmitOnceOptions): (document: Document) => Promise<DocumentOutcome> => {
	let pending: {readonly text: string; readonly outcome: Promise<DocumentOutcome>} | null = null;
	return async document => {
		if (document.kind !== 'configuration') {
			return propose(document);
		}

		const inForce = current();
		if (inForce?.number === document.number && inForce.text === document.text) {
			return 'known';
		}

		if (pending?.text === document.text) {
			return pending.outcome;
		}

		const submission = {text: document.text, outcome: propose(document)};
		pending = submission;
		try {
			return await submission.outcome;
		} finally {
			if (pending === submission) {
				pending = null;
			}
		}
	};
};
