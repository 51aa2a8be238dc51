import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
/** Longest time after a claim for which a run of an earlier leader can be at work. */
const priorRunsMs = 1850;
/** A job that is projected anew 76 ms after its arrival, and may start up to 940 ms after it. */
const job = poolJobFixture('j1', 1, {
	runMs: 200,
	patienceMs: 5000,
	zones: ['zone-a'],
});
/** A job that is projected anew 300 ms after its arrival, and may start up to 3.6 s after it. */
const longJob = poolJobFixture('j1', 1, {
	runMs: 900,
	patienceMs: 5000,
	zones: ['zone-a'],
});
const busyTasks = ['j8.0.0.0', 'j9.0.0.0'];

/** Claims zone-a while the store is away; its worker has reported these runs, but others may be missing from the old list. */
function claimWithOldList(runningTasks: readonly string[]): SchedulerFixture {
	const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
	fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 2000);
	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	fixture.scheduler.recordCurrentList(startMs - 2000, false);
	reportRunning(fixture, runningTasks, startMs + 5);
	return fixture;
}

function reportRunning(
	fixture: SchedulerFixture,
	tasks: readonly string[],
	now: number,
): void {
	fixture.receiveReport('w1', now, {
		running: tasks.map((task) => ({task, run: 1})),
	});
}

describe('a job that waits until the runs of an earlier leader have ended', () => {
	it('is handed back as not run by the leader of an evacuated zone while another zone can run it, and not given up before', () => {
		const fixture = claimWithOldList([]);
		fixture.scheduler.setEvacuatedZones(new Set(['zone-a']), startMs + 5);
		fixture.tickUntil(startMs + 20, startMs + 940);
		fixture.scheduler.submit(job, 'r1', false, startMs + 950);
		fixture.tickUntil(startMs + 960, startMs + priorRunsMs - 10);
		expect(fixture.answers).toEqual([]);
		fixture.tickUntil(startMs + priorRunsMs, startMs + priorRunsMs);
		expect(fixture.answers).toEqual([
			{
				id: 'j1',
				receiver: 'r1',
				answer: {kind: 'not-run', reason: 'no-workers', retryAfterMs: 2000},
			},
		]);
	});

	it('is given up without delay by the leader of an evacuated zone if no other zone can run it by then', () => {
		const fixture = claimWithOldList([]);
		fixture.scheduler.setEvacuatedZones(new Set(['zone-a']), startMs + 5);
		fixture.tickUntil(startMs + 20, startMs + 180);
		fixture.scheduler.submit(longJob, 'r1', false, startMs + 200);
		fixture.tickUntil(startMs + 220, startMs + 520);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run', reason: 'leader-lost'}},
		]);
	});

	it('is refused as not run if the workers are busy by then, so that another zone can run it', () => {
		const fixture = claimWithOldList(busyTasks);
		for (const task of busyTasks) {
			const busyJob = poolJobFixture(task.slice(0, 2), 1, {
				runMs: 20_000,
				patienceMs: 60_000,
			});
			fixture.scheduler.submit(busyJob, 'r1', true, startMs + 20);
		}

		fixture.tickUntil(startMs + 20, startMs + 940);
		fixture.scheduler.submit(job, 'r1', false, startMs + 950);
		for (let now = startMs + 960; now < startMs + priorRunsMs; now += 20) {
			reportRunning(fixture, busyTasks, now);
			fixture.scheduler.tick(now);
		}

		expect(fixture.answers).toEqual([]);
		reportRunning(fixture, busyTasks, startMs + priorRunsMs);
		fixture.scheduler.tick(startMs + priorRunsMs);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'not-run', reason: 'overloaded'}},
		]);
	});

	it('starts when an idle worker answers again that was silent, and is not given up before', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		for (const now of [startMs + 60, startMs + 120]) {
			fixture.scheduler.handleHoldOutcome(
				'w1',
				{sentAtMs: now - 60, fencingToken: 7},
				{kind: 'silent'},
				now,
			);
		}

		fixture.tickUntil(startMs + 20, startMs + 180);
		fixture.scheduler.submit(longJob, 'r1', false, startMs + 200);
		fixture.tickUntil(startMs + 220, startMs + 700);
		expect(fixture.answers).toEqual([]);
		fixture.receiveReport('w1', startMs + 710);
		expect(fixture.starts).toHaveLength(1);
	});
});
