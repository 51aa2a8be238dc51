import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
const patient = {runMs: 5000, patienceMs: 60_000};
const unclaimed = {task: 'j9.0.0.0', run: 1};

/** Claims zone-a, whose workers list these runs. */
function claim(
	runningByWorker: Readonly<
		Record<string, ReadonlyArray<{readonly task: string; readonly run: number}>>
	>,
): SchedulerFixture {
	const fixture = new SchedulerFixture();
	const ids = Object.keys(runningByWorker);
	fixture.scheduler.updateWorkers(
		ids.map((id) => workerFixture(id)),
		startMs,
	);
	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	for (const id of ids) {
		fixture.receiveReport(id, startMs + 5, {running: runningByWorker[id]!});
	}

	return fixture;
}

/** Ticks and reports that a worker runs `running` every 20 ms. */
function keepReporting(
	fixture: SchedulerFixture,
	running: ReadonlyArray<{readonly task: string; readonly run: number}>,
	fromMs: number,
	toMs: number,
): void {
	for (let now = fromMs; now <= toMs; now += 20) {
		fixture.receiveReport('w1', now, {running});
		fixture.scheduler.tick(now);
	}
}

const countExtensions = (fixture: SchedulerFixture): number =>
	fixture.holds.filter(({leaseExpiresAtMs}) => leaseExpiresAtMs !== undefined)
		.length;

describe('runs that no job has claimed', () => {
	it('are not kept at work beyond the lease of their own leader, until a copy may have started elsewhere', () => {
		const fixture = claim({w1: [unclaimed]});
		keepReporting(fixture, [unclaimed], startMs + 20, startMs + 1300);
		expect(countExtensions(fixture)).toBe(0);
	});

	it('are not kept at work by a start on their worker', () => {
		const fixture = claim({w1: [unclaimed]});
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r1', false, startMs + 10);
		keepReporting(fixture, [unclaimed], startMs + 20, startMs + 400);
		expect(fixture.starts).toEqual([]);
		keepReporting(fixture, [], startMs + 420, startMs + 420);
		expect(fixture.starts).toHaveLength(1);
	});

	it('are not kept at work by the lease of a claimed run on their worker, which is extended as soon as they are gone', () => {
		const claimed = {task: 'j1.0.0.0', run: 1};
		const fixture = claim({w1: [unclaimed, claimed]});
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r1', true, startMs + 10);
		keepReporting(fixture, [unclaimed, claimed], startMs + 20, startMs + 100);
		expect(fixture.stops).toEqual([]);
		keepReporting(fixture, [unclaimed, claimed], startMs + 120, startMs + 180);
		expect(fixture.stops[0]).toMatchObject(unclaimed);
		expect(fixture.stops.every(({task}) => task === unclaimed.task)).toBe(true);
		expect(countExtensions(fixture)).toBe(0);
		keepReporting(fixture, [claimed], startMs + 200, startMs + 200);
		expect(countExtensions(fixture)).toBeGreaterThan(0);
		expect(fixture.answers).toEqual([]);
	});

	it('are stopped early for the sake of waiting tasks, but not before living receivers have submitted their jobs', () => {
		const fixture = claim({w1: [unclaimed]});
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r1', false, startMs + 10);
		keepReporting(fixture, [unclaimed], startMs + 20, startMs + 100);
		expect(fixture.stops).toEqual([]);
		keepReporting(fixture, [unclaimed], startMs + 120, startMs + 140);
		expect(fixture.stops).toMatchObject([unclaimed]);
	});

	it('have their lease extended as soon as a receiver submits their job', () => {
		const fixture = claim({w1: [unclaimed]});
		keepReporting(fixture, [unclaimed], startMs + 20, startMs + 40);
		const job = poolJobFixture('j9', 1, patient);
		fixture.scheduler.submit(job, 'r1', true, startMs + 50);
		keepReporting(fixture, [unclaimed], startMs + 60, startMs + 1500);
		expect(countExtensions(fixture)).toBeGreaterThan(0);
		expect(fixture.stops).toEqual([]);
		expect(fixture.starts).toEqual([]);
		expect(fixture.scheduler.jobCount).toBe(1);
	});

	it('complete the job of a copy that arrives after they have ended', () => {
		const fixture = claim({w1: [unclaimed]});
		keepReporting(fixture, [unclaimed], startMs + 20, startMs + 400);
		fixture.receiveReport('w1', startMs + 410, {
			ended: [{number: 1, ...unclaimed, how: 'done'}],
		});
		fixture.tickUntil(startMs + 420, startMs + 1300);
		fixture.scheduler.submit(poolJobFixture('j9'), 'r2', false, startMs + 1310);
		expect(fixture.answers).toMatchObject([
			{id: 'j9', answer: {kind: 'completed'}},
		]);
		expect(fixture.starts).toEqual([]);
	});
});
