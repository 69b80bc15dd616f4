import t from 'tap';
import type {Document, DocumentOutcome} from '@bitternpaddle/state';
import {createSubmitOnce} from '@bitternpaddle/gateway';

const configuration = (number: number, text: string): Document => ({kind: 'configuration', number, text});

// Guards against a long configuration that is appended again with each repeat of a caller whose timeout has passed, until none is confirmed in time.
t.test('a configuration that is sent again is appended once', async t => {
	const proposed: Array<{readonly document: Document; settle(outcome: DocumentOutcome | Error): void}> = [];
	let inForce: {number: number; text: string} | null = null;
	const submit = createSubmitOnce({
		current: () => inForce,
		propose: async document => new Promise((resolve, reject) => {
			proposed.push({
				document, settle(outcome) {
					if (outcome instanceof Error) {
						reject(outcome);
					} else {
						resolve(outcome);
					}
				},
			});
		}),
	});
	const repeats = Array.from({length: 10}, async () => submit(configuration(1, 'one')));
	t.equal(proposed.length, 1);
	proposed[0]!.settle('stored');
	t.same(new Set(await Promise.all(repeats)), new Set(['stored']));
	inForce = {number: 1, text: 'one'};
	t.equal(await submit(configuration(1, 'one')), 'known');
	t.equal(proposed.length, 1);
	const conflicting = submit(configuration(1, 'other'));
	t.equal(proposed.length, 2, 'the log decides on another text under the same number');
	proposed[1]!.settle('conflict');
	t.equal(await conflicting, 'conflict');
	const failed = [submit(configuration(2, 'two')), submit(configuration(2, 'two'))];
	proposed[2]!.settle(new Error('no quorum'));
	for (const outcome of failed) {
		await t.rejects(outcome, {message: 'no quorum'});
	}

	const again = submit(configuration(2, 'two'));
	t.equal(proposed.length, 4, 'after a failure it is appended again');
	proposed[3]!.settle('stored');
	t.equal(await again, 'stored');
});
