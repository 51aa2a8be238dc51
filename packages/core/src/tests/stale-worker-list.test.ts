import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

describe('a new leader with an old list of workers', () => {
	it('does not take reports of the listed workers as complete for a job that another leader may run on workers missing from the list', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 50_000);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 5);
		const job = poolJobFixture('j1', 1, {runMs: 900, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 300);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs + 300,
		);
		fixture.receiveReport('w2', startMs + 310, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(startMs + 320, startMs + 400);
		expect(fixture.starts).toEqual([]);
	});

	it('does not start a job that it sees first while the list is old', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 50_000);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.scheduler.recordCurrentList(startMs - 50_000, true);
		fixture.receiveReport('w1', startMs + 5);
		const job = poolJobFixture('j1', 1, {runMs: 900, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', false, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 300);
		expect([fixture.starts, fixture.answers]).toEqual([[], []]);
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs + 310);
		fixture.tickUntil(startMs + 320, startMs + 320);
		expect(fixture.starts).toHaveLength(1);
	});

	it.each([
		['while the store is reachable', true],
		['while the store is unreachable', false],
	] as const)(
		'waits for a list that was read after the claim, %s',
		(_, canReadList) => {
			const fixture = new SchedulerFixture();
			fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 600);
			fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
			fixture.scheduler.recordCurrentList(startMs - 600, canReadList);
			fixture.receiveReport('w1', startMs + 5);
			const job = poolJobFixture('j1', 1, {
				runMs: 5000,
				patienceMs: 60_000,
			});
			fixture.scheduler.submit(job, 'r1', true, startMs + 10);
			fixture.tickUntil(startMs + 20, startMs + 100);
			expect([fixture.starts, fixture.answers]).toEqual([[], []]);
			fixture.scheduler.recordCurrentList(startMs + 110, canReadList);
			fixture.tickUntil(startMs + 120, startMs + 120);
			expect(fixture.starts).toHaveLength(1);
		},
	);

	it('logs with each placement how long after the claim the list was read', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 600);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.scheduler.recordCurrentList(startMs - 600, true);
		fixture.receiveReport('w1', startMs + 5);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {patienceMs: 60_000}),
			'r1',
			true,
			startMs + 10,
		);
		fixture.tickUntil(startMs + 20, startMs + 100);
		fixture.scheduler.recordCurrentList(startMs + 110, true);
		fixture.tickUntil(startMs + 120, startMs + 120);
		expect(
			fixture.decisions.filter(({event}) => event === 'placed'),
		).toMatchObject([
			{inputs: {settled: 'all-reported', listAfterClaimMs: 110}},
		]);
	});

	it('starts such a job after the longest lease of another leader if the list cannot be read again', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 50_000);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 5);
		const job = poolJobFixture('j1', 1, {runMs: 5000, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', true, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 1840);
		expect(fixture.starts).toEqual([]);
		fixture.tickUntil(startMs + 1860, startMs + 1900);
		expect(fixture.starts).toHaveLength(1);
	});
});
