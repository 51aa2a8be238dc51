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
const limitedTeam = createTeamItem('kruidhof', {
	quota: {concurrency, startsPerSecond: 100_000},
});
const limitedCaller = new Caller('kruidhof');
const otherCaller = new Caller('coastal');
let installation: Installation;

async function startInstallation(): Promise<Installation> {
	return Installation.start({
		zones: ['zone-a', 'zone-b'],
		entryVmsPerZone: 2,
		targetsPerZone: 3,
		items: [
			createTeamItem('coastal'),
			limitedTeam,
			createEntryItem('price-check'),
		],
		// Without a division of slots, only the limit bounds the number of started tasks.
		settings: {placement: {slots: 'shared'}},
	});
}

function createHeldJob(count: number): unknown {
	return {
		entry: 'price-check',
		tasks: Array.from({length: count}, () => ({input: {behave: 'hold'}})),
	};
}

/** Submits `count` jobs, each with one held task, at the entry VM with this index. */
async function submitHeldJobs(
	index: number,
	count: number,
): Promise<ReadonlyArray<Promise<HttpResponse<JobAnswer>>>> {
	const entryVm = installation.entryVms[index]!;
	const identifiers = await limitedCaller.reserve(entryVm, count);
	return identifiers.map(async (identifier) =>
		limitedCaller.submit(entryVm, identifier, createHeldJob(1)),
	);
}

/** Counts the task starts at all targets. */
async function countStarts(): Promise<number> {
	const {starts} = await installation.fetchAllTargetRecords();
	return starts.length;
}

/** Runs a job of another team at every entry VM, so that each one has run tasks since the limit was reached. */
async function runOtherTeamJobAtEachEntryVm(): Promise<void> {
	await Promise.all(
		installation.entryVms.map(async (entryVm) => {
			const [identifier = ''] = await otherCaller.reserve(entryVm);
			const {status} = await otherCaller.submit(entryVm, identifier, {
				entry: 'price-check',
				tasks: [{input: {runMs: 200}}],
			});
			expect(status).toBe(200);
		}),
	);
}

/** Releases held tasks until all jobs are answered, and expects at most `limit` tasks to run at a time. Starts of the other team are left out. */
async function releaseUntilAnswered(
	jobs: ReadonlyArray<Promise<HttpResponse<JobAnswer>>>,
	otherTeamStarts: number,
	limit: number,
): Promise<void> {
	const answers: Array<HttpResponse<JobAnswer>> = [];
	const collectedAnswers = jobs.map(async (job) => {
		answers.push(await job);
	});
	let released = 0;
	await waitUntil(async () => {
		const started = (await countStarts()) - otherTeamStarts;
		expect(started - released).toBeLessThanOrEqual(limit);
		released += await installation.releaseTasks();
		return answers.length === jobs.length;
	});
	await Promise.all(collectedAnswers);
	expect(answers.map(({body}) => body.verdict)).toEqual(
		answers.map(() => 'completed'),
	);
}

describe("a team's concurrency limit across entry VMs", () => {
	afterEach(async () => {
		await installation.stop();
	});

	it('is used in full and not exceeded when every entry VM has load', async () => {
		installation = await startInstallation();
		const jobs = await Promise.all(
			installation.entryVms.map(async (_, index) => submitHeldJobs(index, 10)),
		);
		await waitUntil(async () => (await countStarts()) === concurrency);
		await runOtherTeamJobAtEachEntryVm();
		expect(await countStarts()).toBe(
			concurrency + installation.entryVms.length,
		);
		await releaseUntilAnswered(
			jobs.flat(),
			installation.entryVms.length,
			concurrency,
		);
	});

	it('is available in full to the only entry VM that has load', async () => {
		installation = await startInstallation();
		const jobs = await submitHeldJobs(0, 20);
		await waitUntil(async () => (await countStarts()) === concurrency);
		await runOtherTeamJobAtEachEntryVm();
		await releaseUntilAnswered(jobs, installation.entryVms.length, concurrency);
	});

	it('changes when an operator edits the limit', async () => {
		installation = await startInstallation();
		const jobs = await submitHeldJobs(1, 30);
		await waitUntil(async () => (await countStarts()) === concurrency);
		await installation.publishItem(
			createTeamItem('kruidhof', {
				quota: {concurrency: 20, startsPerSecond: 100_000},
			}),
			2,
		);
		await waitUntil(async () => (await countStarts()) === 20);
		await releaseUntilAnswered(jobs, 0, 20);
	});
});
