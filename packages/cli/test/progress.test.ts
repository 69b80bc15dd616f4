import t from 'tap';
import {formatProgress, loadProgress} from '@bitternpaddle/cli';

t.test('the progress of a load sums its transfers and estimates the remaining time', async t => {
	const fleetRow = {fleet: 'fair', replicas: 4, ready: 1};
	const transferRows = [
		{
			host: 'h1', chunks: '100/100', originBytes: 400, peerBytes: 600,
		},
		{
			host: 'h2', chunks: '40/100', originBytes: 0, peerBytes: 400,
		},
		{
			host: 'h3', chunks: '10/100', originBytes: 100, peerBytes: 0,
		},
	];
	// 150 of 300 chunks took 30 s, so the remaining 150 take another 30 s.
	const progress = loadProgress({fleetRow, transferRows, elapsedMs: 30_000});
	t.equal(formatProgress(progress), '1/4 replicas ready, 150/300 chunks, 1,500 bytes moved, about 30 s left');
	t.equal(formatProgress(loadProgress({fleetRow, transferRows: [], elapsedMs: 500})), '1/4 replicas ready, 0/0 chunks, 0 bytes moved');
});
