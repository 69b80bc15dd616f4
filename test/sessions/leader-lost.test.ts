import t from 'tap';
import {waitUntil} from '@bitternpaddle/daemon';
import {loadFirstVersion, startSession} from '../support/session.js';
import {runProgram} from '../support/run-program.js';

// The leader is lost right after an operator's command. The operator may have
// lost the response, resends the command with the same command id and gets the
// first result; a command that another operator sends against the same revision
// is refused because the configuration has changed.
t.test('a leader lost under an operator\'s hands', {timeout: 120_000}, async t => {
	const session = await startSession(t, {engines: 3, entries: 1});
	const {cluster, type, note, flags} = session;
	await loadFirstVersion(session, 'fair-mornings', 'new', 2);
	const command = ['run', '--command-id', 'night-1', 'create model night-desk'] as const;
	await type(...command);
	const first = await runProgram([...command, ...flags]);
	const leader = cluster.controls.find(control => control.isLeader())!;
	await leader.close();
	note('the leader is lost');
	await waitUntil('another leader is elected', () => cluster.controls.some(control => control !== leader && control.isLeader()));
	await waitUntil('commands are accepted', async () => (await session.queryRows('show models')).length === 2);
	const resent = await runProgram([...command, ...flags]);
	t.equal(resent.text, first.text, 'the resend gets exactly the first result');
	await type(...command);
	await type('query', 'show models');
	const revision = String((await session.queryRows('show revision'))[0]!.revision);
	await type('run', '--if-revision', revision, 'create model dawn-desk');
	await type('run', '--if-revision', revision, 'create model dusk-desk');
	await type('query', 'show models');
	await type('run', '--wait', 'move 10% of pitch-desk from fleet fair-mornings to fleet fair-mornings');
	await session.callers(12);
	t.matchSnapshot(session.transcript().replaceAll(/--if-revision \d+/gv, '--if-revision N'));
});
