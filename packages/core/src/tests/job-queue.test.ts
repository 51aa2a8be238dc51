import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	FairShortestFirst,
	FirstInFirstOut,
	type JobQueue,
	type WaitingJob,
} from '../job-queue.js';
import {jobFixture} from './placement-fixtures.js';

const slots = 8;
const runs = {seed: 1, numRuns: 100};

function fairQueue(fairnessMs = 1000): FairShortestFirst<WaitingJob> {
	return new FairShortestFirst({slots: () => slots, stretch: 4, fairnessMs});
}

function add(queue: JobQueue<WaitingJob>, job: WaitingJob): void {
	queue.add(job, job.workMs);
}

/** Serves whole jobs until the queue is empty. */
function served(queue: JobQueue<WaitingJob>): readonly string[] {
	const job = queue.next(() => true);
	if (job === undefined) {
		return [];
	}

	queue.served(job, job.waitingMs);
	queue.remove(job);
	return [job.identifier, ...served(queue)];
}

/** Adds a small job, then serves the job that is next. */
function serveAmongSmall(
	queue: JobQueue<WaitingJob>,
	index: number,
	team: string,
): string {
	add(queue, jobFixture(`small-${index}`, {team, arrivedAtMs: index * 100}));
	const job = queue.next(() => true)!;
	queue.served(job, job.waitingMs);
	queue.remove(job);
	return job.identifier;
}

describe('first in, first out', () => {
	it('serves jobs as they came', () => {
		const queue = new FirstInFirstOut<WaitingJob>();
		add(queue, jobFixture('large', {workMs: 100_000}));
		add(queue, jobFixture('small'));
		expect(served(queue)).toEqual(['large', 'small']);
		expect(queue.waitingMs).toBe(0);
	});
});

describe('fair shortest first', () => {
	it('lets small jobs pass a large one until its stretched ideal time has passed', () => {
		const queue = fairQueue();
		add(queue, jobFixture('large', {workMs: 8000, longestMs: 500}));
		add(queue, jobFixture('soon after', {arrivedAtMs: 1000}));
		add(queue, jobFixture('too late', {arrivedAtMs: 4000}));
		expect(served(queue)).toEqual(['soon after', 'large', 'too late']);
	});

	it('counts the work that goes before a job', () => {
		const queue = fairQueue();
		add(queue, jobFixture('large', {workMs: 8000}));
		add(queue, jobFixture('small', {workMs: 50}));
		expect(queue.aheadMs(jobFixture('next'))).toBe(50);
		expect(queue.aheadMs(jobFixture('late', {arrivedAtMs: 9000}))).toBe(8050);
	});

	it('lets a team that waits go before one that was given much', () => {
		const queue = fairQueue(100);
		const greedy = jobFixture('greedy-1', {team: 'greedy'});
		add(queue, greedy);
		add(queue, jobFixture('greedy-2', {team: 'greedy', arrivedAtMs: 1}));
		add(queue, jobFixture('modest', {team: 'modest', arrivedAtMs: 500}));
		queue.served(greedy, 50);
		expect(queue.next(() => true)?.identifier).toBe('greedy-1');
		queue.served(greedy, 50 * 1000);
		expect(queue.next(() => true)?.identifier).toBe('modest');
	});

	it('passes over jobs that may not be served', () => {
		const queue = fairQueue();
		add(queue, jobFixture('first', {entry: 'blocked'}));
		add(queue, jobFixture('second', {arrivedAtMs: 1}));
		expect(queue.next(({entry}) => entry !== 'blocked')?.identifier).toBe(
			'second',
		);
		expect(queue.next(() => false)).toBeUndefined();
	});

	it('starves no job, however many small ones arrive after it', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 100, max: 50_000}),
				fc.integer({min: 1, max: 3}),
				(workMs, teams) => {
					const queue = fairQueue();
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

	it('keeps count of the waiting work whatever is added, served and removed', () => {
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
					const queue = fairQueue();
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

					expect(served(queue).length).toBe(jobs.length - removed.length);
					expect(queue.waitingMs).toBe(0);
					expect(queue.size).toBe(0);
				},
			),
			runs,
		);
	});
});
