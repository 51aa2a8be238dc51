import {describe, expect, it} from 'vitest';
import {type CommandOutcome} from '../worker-command.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
const workers = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'].map((id) =>
	workerFixture(id),
);
/** Not `failed`: a partition that refuses connections looks like a crash, and the worker may yet report the run as done. */
const givenUp = {kind: 'may-have-run', reason: 'workers-crashed'} as const;
const patientJob = poolJobFixture('deadly', 1, {patienceMs: 60_000});

/**
 * Confirms a run's start, ends its worker's process at once, and lets its lease expire; returns the time after. Meanwhile
 * jobs with one long task each are submitted.
 */
function crashAfterStart(
	fixture: SchedulerFixture,
	runIndex: number,
	now: number,
	longJobs: readonly string[] = [],
	startOutcome?: CommandOutcome,
): number {
	const start = fixture.starts[runIndex]!;
	for (const other of fixture.starts.filter(
		({worker}) => worker.id === start.worker.id,
	)) {
		fixture.answerStart(other, now, startOutcome);
	}

	const hold = {sentAtMs: now, fencingToken: fixture.scheduler.pool.token};
	const afterMs = now + 1400;
	for (let atMs = now + 20; atMs <= afterMs; atMs += 20) {
		fixture.scheduler.handleHoldOutcome(
			start.worker.id,
			hold,
			{kind: 'not-sent', isRefused: true},
			atMs,
		);
		fixture.scheduler.tick(atMs);
		if (atMs === now + 40) {
			for (const id of longJobs) {
				fixture.scheduler.submit(
					poolJobFixture(id, 1, {runMs: 5000}),
					'r1',
					false,
					atMs,
				);
			}
		}

		for (const other of fixture.starts) {
			if (other.worker.id !== start.worker.id) {
				fixture.receiveReport(other.worker.id, atMs, {
					running: [{task: other.task, run: other.run}],
				});
			}
		}
	}

	return afterMs;
}

describe('a task that crashes the workers that start it', () => {
	it('is given up once two workers have crashed under it', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers, startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		let now = startMs;
		for (let run = 0; run < 5 && run < fixture.starts.length; run += 1) {
			now = crashAfterStart(fixture, run, now);
		}

		expect(fixture.starts).toHaveLength(2);
		expect(fixture.answers).toMatchObject([{answer: givenUp}]);
	});

	it('does not start again when its job returns to the leader that gave it up', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers, startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		let now = crashAfterStart(fixture, 0, startMs);
		for (let run = 1; run < 5; run += 1) {
			fixture.scheduler.cancel('deadly', 'caller-left', 'r1', now);
			fixture.scheduler.submit(
				{...patientJob, attempt: `copy ${run}`},
				'r1',
				false,
				now + 10,
			);
			fixture.tickUntil(now + 20, now + 60);
			now += 60;
			if (fixture.starts.length > run) {
				now = crashAfterStart(fixture, run, now);
			}
		}

		expect(fixture.starts).toHaveLength(2);
		expect(fixture.answers.at(-1)).toMatchObject({answer: givenUp});
	});

	it('starts again on an idle worker, and other tasks go to other workers', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers.slice(0, 4), startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		const now = crashAfterStart(fixture, 0, startMs, ['long']);
		const [first, long, second] = fixture.starts;
		expect([first!.worker.id, long!.worker.id]).not.toContain(
			second!.worker.id,
		);
		fixture.scheduler.submit(poolJobFixture('next'), 'r1', false, now);
		expect(fixture.starts.at(-1)!.worker.id).toBe(long!.worker.id);
	});

	it('is not started on a worker that runs another such task', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers.slice(0, 2), startMs);
		const twoTasks = poolJobFixture('deadly', 2, {patienceMs: 60_000});
		fixture.scheduler.submit(twoTasks, 'r1', false, startMs);
		crashAfterStart(fixture, 0, startMs);
		expect(fixture.starts).toHaveLength(3);
	});

	it('puts no other task at risk once its answer is of no use any more', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers.slice(0, 2), startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		crashAfterStart(fixture, 0, startMs, ['long']);
		expect(fixture.starts.map(({task}) => task)).toEqual([
			'deadly.0.0.0',
			'long.0.0.0',
		]);
	});

	it('is not blamed for a crash before which the worker did not confirm its start', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers.slice(0, 3), startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		const now = crashAfterStart(fixture, 0, startMs, [], {kind: 'silent'});
		crashAfterStart(fixture, fixture.starts.length - 1, now);
		expect(fixture.answers).toEqual([]);
		expect(fixture.starts.map(({run}) => run)).toEqual([1, 1, 2, 3]);
	});

	it('is blamed for a crash before which the worker confirmed its start late', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers.slice(0, 4), startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		fixture.answerStart(fixture.starts[0]!, startMs + 50, {kind: 'silent'});
		const now = crashAfterStart(fixture, 0, startMs + 70);
		crashAfterStart(fixture, 2, now);

		expect(fixture.starts.map(({run}) => run)).toEqual([1, 1, 2]);
		expect(fixture.answers).toMatchObject([{answer: givenUp}]);
	});

	it('leaves no run of its job on workers that a later leader finds', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.importLostRuns(
			['w8', 'w9'].map((worker, index) => ({
				task: 'deadly.0.0.0',
				run: index + 1,
				worker,
				isSuspect: true,
			})),
			startMs,
		);
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 5, {
			running: [{task: 'deadly.0.0.1', run: 1}],
		});
		fixture.scheduler.tick(startMs + 20);
		expect(fixture.stops).toMatchObject([{task: 'deadly.0.0.1'}]);
	});

	it('leaves no caller waiting who will have left before the task can run again', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers, startMs);
		const job = poolJobFixture('hurried', 1, {patienceMs: 1200});
		fixture.scheduler.submit(job, 'r1', false, startMs);
		fixture.answerStart(fixture.starts[0]!, startMs + 5);
		fixture.scheduler.handleHoldOutcome(
			'w1',
			{sentAtMs: startMs, fencingToken: fixture.scheduler.pool.token},
			{kind: 'not-sent', isRefused: true},
			startMs + 20,
		);
		expect(fixture.answers).toMatchObject([
			{answer: {kind: 'may-have-run', reason: 'worker-lost'}},
		]);
	});
});
