import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
const workers = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'].map((id) =>
	workerFixture(id),
);
const patientJob = poolJobFixture('deadly', 1, {patienceMs: 60_000});

/** Confirms a run's start, ends its worker's process at once, and lets its lease expire; returns the time after. */
function crashAfterStart(
	fixture: SchedulerFixture,
	runIndex: number,
	now: number,
): number {
	const start = fixture.starts[runIndex]!;
	fixture.answerStart(start, now);
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
	}

	return afterMs;
}

describe('a task that crashes the workers that start it', () => {
	it('is given up as failed once two workers have crashed under it', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(workers, startMs);
		fixture.scheduler.submit(patientJob, 'r1', false, startMs);
		let now = startMs;
		for (let run = 0; run < 5 && run < fixture.starts.length; run += 1) {
			now = crashAfterStart(fixture, run, now);
		}

		expect(fixture.starts).toHaveLength(2);
		expect(fixture.answers).toMatchObject([{answer: {kind: 'failed'}}]);
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
		expect(fixture.answers.at(-1)).toMatchObject({answer: {kind: 'failed'}});
	});
});
