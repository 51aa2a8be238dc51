/** Starts an installation on stand-ins and sends both users' kinds of request through it. */
import {Caller, Installation, entryItem, teamItem} from './installation.js';

const installation = await Installation.start({
	zones: ['zone-a', 'zone-b'],
	entryVmsPerZone: 3,
	targetsPerZone: 3,
	items: [teamItem('coastal'), entryItem('macro-check')],
});
const caller = new Caller('coastal');
const [first, second] = installation.entryVms;
if (first !== undefined && second !== undefined) {
	const [identifier = ''] = await caller.reserve(first);
	const answer = await caller.submit(second, identifier, {
		entry: 'macro-check',
		tasks: [
			{input: {runMs: 50, value: 'rice'}},
			{input: {runMs: 80, value: 'beans'}},
		],
	});
	console.log(answer.status, JSON.stringify(answer.body));
}

await installation.stop();
