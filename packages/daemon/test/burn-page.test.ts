import t from 'tap';
import {
	buildBurnReport, countSample, createBurnCounter, exportCounts, type BurnReport,
} from '@bitternpaddle/coordination';
import {renderBurnHtml, renderBurnText} from '@bitternpaddle/daemon';

const nowMs = Date.UTC(2026, 5, 4, 11, 59, 30);
const hourMs = 3_600_000;

/** 100 requests in each of the last ten hours, 2 of them bad in the last one; the team name contains markup. */
const sampleReport = (): BurnReport => {
	const counter = createBurnCounter();
	for (let hour = 9; hour >= 0; hour--) {
		for (let index = 0; index < 100; index++) {
			countSample(counter, {
				serviceId: 'bp-writers', teamId: '<b>marshals</b>', atMs: nowMs - (hour * hourMs), isComplete: hour > 0 || index >= 2, firstTokenMs: 120, firstTokenBoundMs: 1000,
			});
		}
	}

	return buildBurnReport({
		nowMs, answers: [{entryId: 'entry-1', ...exportCounts(counter, nowMs)}], missingEntries: ['entry-2'], objectives: new Map(),
	});
};

t.test('the report as text', async t => {
	t.matchSnapshot(renderBurnText(sampleReport()));
	t.matchSnapshot(renderBurnText({
		nowMs, heardEntries: ['entry-1'], missingEntries: [], rows: [],
	}));
});

t.test('the page is self-contained and shows the data of the report', async t => {
	const page = renderBurnHtml(sampleReport());
	t.notMatch(page, /https?:|src=|url\(|@import|<script|<link/v, 'it loads nothing');
	t.equal(page.match(/<svg /gv)?.length, 3, 'three plots for the one service');
	t.match(page, 'Not heard, so not counted: entry-2');
	t.match(page, '&lt;b&gt;marshals&lt;/b&gt;');
	t.notMatch(page, '<b>marshals', 'names are escaped');
	t.match(page, '<td>2 of 1,000</td>');
	t.match(page, '2026-06-04 11:00 UTC: burn rate 20', 'the last hour: 2 of 100 against 0.1%');
	t.equal(page.match(/<rect /gv)?.length, 10, 'a bar for each hour with requests, none for the others');
	t.notMatch(page, 'NaN');
});
