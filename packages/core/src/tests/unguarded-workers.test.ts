import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	desiredStateFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

/** Creates a scheduler whose workers start whatever they are told to. */
function unguardedFixture(): SchedulerFixture {
	const fixture = new SchedulerFixture();
	fixture.scheduler.applyDesiredState({
		...desiredStateFixture(2),
		unguardedServices: ['menu'],
	});
	return fixture;
}

describe('a worker that does not guard its capacity', () => {
	it('gets no start beside a run of another leader whose needs are not known', () => {
		const fixture = unguardedFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		const running = [
			{task: 'unknown.0.0.0', run: 1, processorMillis: 1000},
		] as const;
		fixture.receiveReport('w1', startMs, {running});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 10);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w1', startMs + 40);
		fixture.scheduler.submit(poolJobFixture('j2'), 'r1', false, startMs + 60);
		expect(fixture.starts).toMatchObject([
			{task: 'j1.0.0.0'},
			{task: 'j2.0.0.0'},
		]);
	});

	it('gets no start after a restart until its entry shows the capacity of the new process', () => {
		const fixture = unguardedFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.receiveReport('w1', startMs + 10, {bornMs: 2});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 20);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.updateWorkers(
			[
				workerFixture('w1', {
					bornMs: 2,
					capacity: {
						processorMillis: 16_000,
						memoryMb: 131_072,
						accelerators: 0,
					},
				}),
			],
			startMs + 30,
		);
		fixture.tickUntil(startMs + 40, startMs + 80);
		expect(fixture.starts).toEqual([]);
	});

	it('counts a run that is being stopped until the worker lists its end', () => {
		const fixture = unguardedFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(
			poolJobFixture('j1', 2, {runMs: 5000}),
			'r1',
			false,
			startMs,
		);
		for (const start of fixture.starts.slice(0, 2)) {
			fixture.answerStart(start, startMs + 5);
		}

		fixture.scheduler.cancel('j1', 'cancelled', 'r1', startMs + 20);
		fixture.scheduler.submit(
			poolJobFixture('j2', 1, {runMs: 5000}),
			'r1',
			false,
			startMs + 30,
		);
		fixture.tickUntil(startMs + 40, startMs + 80);
		expect(fixture.starts).toHaveLength(2);
	});
});
