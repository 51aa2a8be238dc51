import {type JobAnswer} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {
	Caller,
	Installation,
	createEntryItem,
	createTeamItem,
	waitUntil,
	type HttpResponse,
} from '../installation.js';

const concurrency = 12;
const team = createTeamItem('kruidhof', {
	quota: {concurrency, startsPerSecond: 100_000},
});
const kruidhof = new Caller('kruidhof');
const coastal = new Caller('coastal');
let installation: Installation;

async function start(): Promise<Installation> {
	return Installation.start({
		zones: ['zone-a', 'zone-b'],
		entryVmsPerZone: 2,
		targetsPerZone: 3,
		items: [createTeamItem('coastal'), team, createEntryItem('price-check')],
		// Limits alone decide here, not the division of slots.
		settings: {placement: {slots: 'shared'}},
	});
}

function heldTasks(count: number): unknown {
	return {
		entry: 'price-check',
		tasks: Array.from({length: count}, () => ({input: {behave: 'hold'}})),
	};
}

/** Submits jobs of one held task each at one entry VM. */
async function submitHeld(
	index: number,
	count: number,
): Promise<ReadonlyArray<Promise<HttpResponse<JobAnswer>>>> {
	const entryVm = installation.entryVms[index]!;
	const identifiers = await kruidhof.reserve(entryVm, count);
	return identifiers.map(async (identifier) =>
		kruidhof.submit(entryVm, identifier, heldTasks(1)),
	);
}

async function allStarts(): Promise<number> {
	const {starts} = await installation.fetchAllTargetRecords();
	return starts.length;
}

/** A job of a team without need of the limit passes through every entry VM, so that each has had its turn. */
async function passThroughAll(): Promise<void> {
	await Promise.all(
		installation.entryVms.map(async (entryVm) => {
			const [identifier = ''] = await coastal.reserve(entryVm);
			const {status} = await coastal.submit(entryVm, identifier, {
				entry: 'price-check',
				tasks: [{input: {runMs: 200}}],
			});
			expect(status).toBe(200);
		}),
	);
}

/** Releases what is held until all jobs have their answers; at no time may more than `limit` be held at once. */
async function releaseUntilDone(
	jobs: ReadonlyArray<Promise<HttpResponse<JobAnswer>>>,
	before: number,
	limit: number,
): Promise<void> {
	const answers: Array<HttpResponse<JobAnswer>> = [];
	const collected = jobs.map(async (job) => {
		answers.push(await job);
	});
	let released = 0;
	await waitUntil(async () => {
		const started = (await allStarts()) - before;
		expect(started - released).toBeLessThanOrEqual(limit);
		released += await installation.releaseTasks();
		return answers.length === jobs.length;
	});
	await Promise.all(collected);
	expect(answers.map(({body}) => body.verdict)).toEqual(
		answers.map(() => 'completed'),
	);
}

describe("a team's concurrency over all entry VMs", () => {
	afterEach(async () => {
		await installation.stop();
	});

	it('is not exceeded under load from all of them, and is used in full', async () => {
		installation = await start();
		const jobs = await Promise.all(
			installation.entryVms.map(async (_, index) => submitHeld(index, 10)),
		);
		await waitUntil(async () => (await allStarts()) === concurrency);
		await passThroughAll();
		expect(await allStarts()).toBe(concurrency + installation.entryVms.length);
		await releaseUntilDone(
			jobs.flat(),
			installation.entryVms.length,
			concurrency,
		);
	});

	it('moves to the one entry VM that needs it', async () => {
		installation = await start();
		const jobs = await submitHeld(0, 20);
		await waitUntil(async () => (await allStarts()) === concurrency);
		await passThroughAll();
		await releaseUntilDone(jobs, installation.entryVms.length, concurrency);
	});

	it('follows an edit of the limit', async () => {
		installation = await start();
		const jobs = await submitHeld(1, 30);
		await waitUntil(async () => (await allStarts()) === concurrency);
		await installation.publishItem(
			createTeamItem('kruidhof', {
				quota: {concurrency: 20, startsPerSecond: 100_000},
			}),
			2,
		);
		await waitUntil(async () => (await allStarts()) === 20);
		await releaseUntilDone(jobs, 0, 20);
	});
});
