import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
	Caller,
	Installation,
	createEntryItem,
	createTeamItem,
} from '../installation.js';

describe('copies of a request at several entry VMs', () => {
	let installation: Installation;
	const caller = new Caller('coastal');

	beforeAll(async () => {
		installation = await Installation.start({
			zones: ['zone-a', 'zone-b'],
			entryVmsPerZone: 2,
			targetsPerZone: 2,
			items: [createTeamItem('coastal'), createEntryItem('macro-check')],
		});
	});

	afterAll(async () => {
		await installation.stop();
	});

	it('receive the same answer, and each task starts once', async () => {
		const [first, second, third] = installation.entryVms;
		const [identifier = ''] = await caller.reserve(first!);
		const job = {
			entry: 'macro-check',
			tasks: [{input: {runMs: 50, value: 1}}, {input: {runMs: 20, value: 2}}],
		};
		const answers = await Promise.all(
			[first!, second!, third!].map(async (part) =>
				caller.submit(part, identifier, job),
			),
		);
		expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
		expect(answers.map(({body}) => body.outputs)).toEqual(
			Array.from({length: 3}, () => [
				{task: `${identifier}.0`, value: 1},
				{task: `${identifier}.1`, value: 2},
			]),
		);
		const {starts} = await installation.fetchAllTargetRecords();
		expect(starts.toSorted()).toEqual([`${identifier}.0`, `${identifier}.1`]);
	});
});
