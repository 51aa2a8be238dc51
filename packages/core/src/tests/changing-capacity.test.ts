import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

/** Creates the entry of a worker with an amount of processor capacity. */
function entryFixture(processorMillis: number) {
	return workerFixture('w1', {
		capacity: {processorMillis, memoryMb: 131_072, accelerators: 0},
	});
}

describe('a worker whose capacity changes while it runs', () => {
	it('gets no start while its runs use more than what is left of it', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([entryFixture(64_000)], startMs);
		const jobs = ['j1', 'j2'].map((id) =>
			poolJobFixture(id, 1, {runMs: 500, patienceMs: 9000}),
		);
		for (const job of jobs) {
			fixture.scheduler.submit(job, 'r1', false, startMs);
		}

		fixture.scheduler.updateWorkers([entryFixture(40_000)], startMs + 10);
		fixture.receiveReport('w1', startMs + 20, {
			running: [{task: 'j2.0.0.0', run: 1}],
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.scheduler.submit(poolJobFixture('j3'), 'r1', false, startMs + 30);
		expect(fixture.starts.map(({task}) => task)).toEqual([
			'j1.0.0.0',
			'j2.0.0.0',
		]);
	});

	it('gets waiting tasks as soon as it has grown again', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([entryFixture(64_000)], startMs);
		fixture.scheduler.submit(
			poolJobFixture('j1', 2, {runMs: 200}),
			'r1',
			false,
			startMs,
		);
		fixture.scheduler.updateWorkers([entryFixture(54_000)], startMs + 10);
		fixture.scheduler.submit(
			poolJobFixture('j2', 1, {runMs: 500}),
			'r1',
			false,
			startMs + 20,
		);
		fixture.scheduler.updateWorkers([entryFixture(96_000)], startMs + 30);
		expect(fixture.starts.map(({task}) => task)).toContain('j2.0.0.0');
	});

	it('is no reason to refuse a job for good that fits when the capacity is back', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([entryFixture(64_000)], startMs);
		fixture.scheduler.updateWorkers([entryFixture(20_000)], startMs + 10);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 20);
		expect(fixture.answers).toMatchObject([
			{answer: {kind: 'not-run', reason: 'overloaded', retryAfterMs: 1000}},
		]);
	});

	it('stays of the kind whose speed is known', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([entryFixture(64_000)], startMs);
		const {kind} = fixture.scheduler.pool.findWorker('w1')!;
		fixture.scheduler.updateWorkers([entryFixture(20_000)], startMs + 10);
		expect(fixture.scheduler.pool.findWorker('w1')!.kind).toBe(kind);
	});

	it('is not asked again and again for room that its entry still shows', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([entryFixture(64_000)], startMs);
		const job = poolJobFixture('j1', 1, {runMs: 5000, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', false, startMs);
		let refusedCount = 0;
		const refuseStarts = (fromMs: number, toMs: number): void => {
			for (let now = fromMs; now <= toMs; now += 20) {
				for (const start of fixture.starts.slice(refusedCount)) {
					refusedCount += 1;
					fixture.answerStart(start, now, {
						kind: 'refused',
						reason: 'no-room',
						clockMs: now,
					});
				}

				fixture.receiveReport('w1', now);
				fixture.scheduler.tick(now);
			}
		};

		refuseStarts(startMs + 5, startMs + 1500);
		expect(refusedCount).toBe(2);
		refuseStarts(startMs + 1520, startMs + 2500);
		expect(refusedCount).toBeGreaterThan(2);
	});
});
