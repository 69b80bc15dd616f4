import t from 'tap';
import {waitUntil} from '@bitternpaddle/daemon';
import {firstLoad, startSession} from '../support/session.js';
import {runProgram} from '../support/run-program.js';

// The leader is lost between an operator's order and the look at it. The
// operator, who may have lost the answer, sends the order again under the same
// command id and is given the first result; a colleague's order that was made
// up against the same revision is told that somebody was faster.
t.test('a leader lost under an operator\'s hands', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 3, entries: 1});
	const {cluster, type, note, flags} = session;
	await firstLoad(session, 'fair-mornings', 'new', 2);
	const order = ['run', '--command-id', 'night-1', 'create model night-desk'] as const;
	await type(...order);
	const first = await runProgram([...order, ...flags]);
	const leader = cluster.controls.find(control => control.isLeader())!;
	await leader.close();
	note('the leader is lost');
	await waitUntil('another leader', () => cluster.controls.some(control => control !== leader && control.isLeader()));
	await waitUntil('orders are taken', async () => (await session.ask('show models')).length === 2);
	const again = await runProgram([...order, ...flags]);
	t.equal(again.text, first.text, 'the resend gets the first result, to the number');
	await type(...order);
	await type('query', 'show models');
	const revision = String((await session.ask('show revision'))[0]!.revision);
	await type('run', '--if-revision', revision, 'create model dawn-desk');
	await type('run', '--if-revision', revision, 'create model dusk-desk');
	await type('query', 'show models');
	await type('run', '--wait', 'move 10% of pitch-desk from fleet fair-mornings to fleet fair-mornings');
	await session.callers(12);
	t.matchSnapshot(session.transcript().replaceAll(/--if-revision \d+/gv, '--if-revision N'));
});
