import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

/** Creates a leader of zone-a whose worker has reported, and which has ticked until `startMs`. */
function leaderFixture(): SchedulerFixture {
	const fixture = new SchedulerFixture(
		['zone-a', 'zone-b'],
		undefined,
		() => undefined,
	);
	fixture.leadIdleWorkers([workerFixture('w1')], startMs - 100);
	fixture.tickUntil(startMs - 80, startMs);
	return fixture;
}

describe('the log of a leader', () => {
	it('tells why a job was taken for settled, and the age of the last check', () => {
		const fixture = leaderFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-a']}),
			'r1',
			false,
			startMs + 5,
		);
		fixture.scheduler.flush(startMs + 10);
		fixture.scheduler.submit(
			poolJobFixture('j2', 1, {zones: ['zone-a']}),
			'r1',
			true,
			startMs + 15,
		);
		fixture.tickUntil(startMs + 20, startMs + 60);
		expect(
			fixture.decisions.filter(({event}) => event === 'placed'),
		).toMatchObject([
			{
				inputs: {
					ledZones: 'zone-a',
					jobZones: 'zone-a',
					settled: 'new',
					checkAgeMs: 10,
				},
			},
			{inputs: {settled: 'all-reported', checkAgeMs: 0}},
		]);
	});

	it('tells of a suspension, and of starts that are not confirmed when the last zone is dropped', () => {
		const fixture = leaderFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-a']}),
			'r1',
			false,
			startMs,
		);
		fixture.scheduler.flush(startMs);
		fixture.scheduler.tick(startMs + 460);
		fixture.scheduler.stopLeadingZones(['zone-a'], startMs + 470);
		expect(fixture.decisions.slice(-2)).toMatchObject([
			{
				event: 'leader-suspended',
				inputs: {gapMs: 460, jobs: 1, workers: 1, runs: 1, token: 7},
			},
			{
				event: 'last-zone-dropped',
				inputs: {unconfirmed: 1, oldestMs: 470, tasks: 'j1.0.0.0'},
			},
		]);
	});

	it('counts samples of a clock that are far behind, and tells of one a second', () => {
		const fixture = leaderFixture();
		for (const now of [startMs + 100, startMs + 300, startMs + 500]) {
			fixture.receiveReport('w1', now, {clockMs: now});
			fixture.receiveReport('w1', now + 60, {clockMs: now});
		}

		expect(fixture.scheduler.pool.clockSamples.behindCount).toBe(3);
		expect(
			fixture.decisions.filter(
				(decision) =>
					decision.event === 'worker' && decision.reason === 'clock-behind',
			),
		).toMatchObject([{worker: 'w1', inputs: {behindMs: 60}}]);
	});
});
