import {silentLogger} from '@bitternpaddle/transport';
import t from 'tap';
import {checkVoters} from '@bitternpaddle/daemon';

// Guards against a control group that is started with too few voters and says so only when one is lost.
t.test('numbers of voters that tolerate less than they seem to are logged', async t => {
	const eventsFor = (count: number): string[] => {
		const events: string[] = [];
		checkVoters(Array.from({length: count}, (_, index) => `c${index}`), {
			...silentLogger,
			event(id) {
				events.push(id);
			},
		});
		return events;
	};

	t.same([1, 2, 3, 4, 5, 6].map(count => eventsFor(count)), [['BP1013'], ['BP1013'], [], ['BP1014'], [], ['BP1014']]);
});
