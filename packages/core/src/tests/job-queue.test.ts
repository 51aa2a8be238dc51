import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	FairShortestFirstQueue,
	FirstInFirstOutQueue,
	type JobQueue,
	type WaitingJob,
} from '../job-queue.js';
import {jobFixture} from './placement-fixtures.js';

const slots = 8;
const runs = {seed: 1, numRuns: 100};

function createFairQueue(
	fairnessMs = 1000,
): FairShortestFirstQueue<WaitingJob> {
	return new FairShortestFirstQueue({
		slots: () => slots,
		stretch: 4,
		fairnessMs,
	});
}

function add(queue: JobQueue<WaitingJob>, job: WaitingJob): void {
	queue.add(job, job.workMs);
}

/** Serves whole jobs until the queue is empty. */
function serveAll(queue: JobQueue<WaitingJob>): readonly string[] {
	const job = queue.next(() => true);
	if (job === undefined) {
		return [];
	}

	queue.recordServed(job, job.waitingWorkMs);
	queue.remove(job);
	return [job.identifier, ...serveAll(queue)];
}

/** Adds a small job, then serves the next job in the queue. */
function serveAmongSmall(
	queue: JobQueue<WaitingJob>,
	index: number,
	team: string,
): string {
	add(queue, jobFixture(`small-${index}`, {team, arrivedAtMs: index * 100}));
	const job = queue.next(() => true)!;
	queue.recordServed(job, job.waitingWorkMs);
	queue.remove(job);
	return job.identifier;
}

describe('FirstInFirstOutQueue', () => {
	it('serves jobs in order of arrival', () => {
		const queue = new FirstInFirstOutQueue<WaitingJob>();
		add(queue, jobFixture('large', {workMs: 100_000}));
		add(queue, jobFixture('small'));
		expect(serveAll(queue)).toEqual(['large', 'small']);
		expect(queue.waitingWorkMs).toBe(0);
	});
});

describe('FairShortestFirstQueue', () => {
	it('lets small jobs overtake a large one until its due time', () => {
		const queue = createFairQueue();
		add(queue, jobFixture('large', {workMs: 8000, longestMs: 500}));
		add(queue, jobFixture('soon after', {arrivedAtMs: 1000}));
		add(queue, jobFixture('too late', {arrivedAtMs: 4000}));
		expect(serveAll(queue)).toEqual(['soon after', 'large', 'too late']);
	});

	it('sums the work ahead of a job', () => {
		const queue = createFairQueue();
		add(queue, jobFixture('large', {workMs: 8000}));
		add(queue, jobFixture('small', {workMs: 50}));
		expect(queue.workAheadMs(jobFixture('next'))).toBe(50);
		expect(queue.workAheadMs(jobFixture('late', {arrivedAtMs: 9000}))).toBe(
			8050,
		);
	});

	it('serves a waiting team before one whose served work exceeds the fairness limit', () => {
		const queue = createFairQueue(100);
		const greedy = jobFixture('greedy-1', {team: 'greedy'});
		add(queue, greedy);
		add(queue, jobFixture('greedy-2', {team: 'greedy', arrivedAtMs: 1}));
		add(queue, jobFixture('modest', {team: 'modest', arrivedAtMs: 500}));
		queue.recordServed(greedy, 50);
		expect(queue.next(() => true)?.identifier).toBe('greedy-1');
		queue.recordServed(greedy, 50 * 1000);
		expect(queue.next(() => true)?.identifier).toBe('modest');
	});

	it('skips jobs that cannot be served', () => {
		const queue = createFairQueue();
		add(queue, jobFixture('first', {entry: 'blocked'}));
		add(queue, jobFixture('second', {arrivedAtMs: 1}));
		expect(queue.next(({entry}) => entry !== 'blocked')?.identifier).toBe(
			'second',
		);
		expect(queue.next(() => false)).toBeUndefined();
	});

	it('does not starve a large job while small jobs keep arriving', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 100, max: 50_000}),
				fc.integer({min: 1, max: 3}),
				(workMs, teams) => {
					const queue = createFairQueue();
					add(queue, jobFixture('waits', {workMs}));
					const turns = Array.from({length: 1000}, (_, index) =>
						serveAmongSmall(queue, index, `team-${index % teams}`),
					);
					expect(turns).toContain('waits');
				},
			),
			runs,
		);
	});

	it('leaves no waiting work after any sequence of additions, removals and services', () => {
		fc.assert(
			fc.property(
				fc.array(
					fc.record({
						team: fc.constantFrom('a', 'b', 'c'),
						workMs: fc.integer({min: 1, max: 10_000}),
						arrivedAtMs: fc.integer({min: 0, max: 10_000}),
						isRemoved: fc.boolean(),
					}),
					{maxLength: 30},
				),
				(changes) => {
					const queue = createFairQueue();
					const jobs = changes.map((change, index) =>
						jobFixture(`job-${index}`, change),
					);
					for (const job of jobs) {
						add(queue, job);
					}

					const removed = jobs.filter((_, index) => changes[index]!.isRemoved);
					for (const job of removed) {
						queue.remove(job);
					}

					expect(serveAll(queue).length).toBe(jobs.length - removed.length);
					expect(queue.waitingWorkMs).toBe(0);
					expect(queue.size).toBe(0);
				},
			),
			runs,
		);
	});
});
