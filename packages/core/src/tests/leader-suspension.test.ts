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
	fixture.scheduler.recordCurrentList(startMs - 100, true);
	fixture.tickUntil(startMs - 80, startMs);
	return fixture;
}

const resumedAtMs = startMs + 460;

describe('a leader that handles something after a suspension, before its next check', () => {
	it('starts no job that is submitted then, before its workers have reported anew', () => {
		const fixture = leaderFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-a']}),
			'r1',
			false,
			resumedAtMs,
		);
		fixture.scheduler.flush(resumedAtMs);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.tick(resumedAtMs + 1);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.recordCurrentList(resumedAtMs + 2, true);
		fixture.receiveReport('w1', resumedAtMs + 3);
		fixture.tickUntil(resumedAtMs + 20, resumedAtMs + 60);
		expect(fixture.starts).toHaveLength(1);
	});

	it.each([0, 200])(
		'starts no job that it reads %d ms later, and that its receiver may have sent elsewhere, before it knows the other zone',
		(delayMs) => {
			const fixture = leaderFixture();
			const job = poolJobFixture('j1', 1, {patienceMs: 60_000, runMs: 5000});
			fixture.scheduler.flush(resumedAtMs);
			fixture.scheduler.tick(resumedAtMs + 1);
			fixture.scheduler.recordCurrentList(resumedAtMs + 2, true);
			fixture.receiveReport('w1', resumedAtMs + 3);
			const readAtMs = resumedAtMs + delayMs;
			fixture.tickUntil(resumedAtMs + 20, readAtMs);
			fixture.scheduler.submit(job, 'r1', false, readAtMs + 5);
			fixture.tickUntil(readAtMs + 20, readAtMs + 1840);
			expect(fixture.starts).toEqual([]);
			fixture.tickUntil(readAtMs + 1860, readAtMs + 1900);
			expect(fixture.starts).toHaveLength(1);
		},
	);

	it('ignores a report that was requested before, and starts nothing in the room that it frees', () => {
		const fixture = leaderFixture();
		for (const id of ['j1', 'j2', 'j3']) {
			fixture.scheduler.submit(
				poolJobFixture(id, 1, {zones: ['zone-a'], patienceMs: 60_000}),
				'r1',
				true,
				startMs,
			);
		}

		fixture.tickUntil(startMs, startMs + 60);
		expect(fixture.starts).toHaveLength(2);
		const hold = {sentAtMs: startMs + 60};
		const ended = [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}] as const;
		fixture.receiveReport('w1', resumedAtMs + 60, {...hold, ended});
		fixture.scheduler.flush(resumedAtMs + 60);
		expect(fixture.starts).toHaveLength(2);
		fixture.scheduler.tick(resumedAtMs + 61);
		fixture.receiveReport('w1', resumedAtMs + 62, {ended});
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it.each([
		['sends no start again', {kind: 'silent'}],
		['extends no lease', {kind: 'done', clockMs: startMs}],
	] as const)('%s after the outcome of one', (_case, outcome) => {
		const fixture = leaderFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-a']}),
			'r1',
			false,
			startMs,
		);
		fixture.scheduler.flush(startMs);
		const holdCount = fixture.holds.length;
		fixture.answerStart(fixture.starts[0]!, resumedAtMs, outcome);
		fixture.scheduler.flush(resumedAtMs);
		expect(fixture.starts).toHaveLength(1);
		expect(
			fixture.holds
				.slice(holdCount)
				.filter(({leaseExpiresAtMs}) => leaseExpiresAtMs !== undefined),
		).toEqual([]);
	});
});

describe('a start that was not sent as it was outdated', () => {
	it('is repeated once the workers have reported, and does not count against its worker', () => {
		const fixture = leaderFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {zones: ['zone-a']}),
			'r1',
			false,
			startMs,
		);
		fixture.scheduler.flush(startMs + 10);
		expect(fixture.starts[0]).toMatchObject({
			decidedAtMs: startMs + 10,
			sendUntilMs: startMs + 280,
		});
		fixture.answerStart(fixture.starts[0]!, resumedAtMs, {
			kind: 'not-sent',
			isOutdated: true,
		});
		expect(fixture.scheduler.pool.findWorker('w1')).toMatchObject({
			contactFailures: 0,
		});
		fixture.scheduler.tick(resumedAtMs + 1);
		fixture.scheduler.recordCurrentList(resumedAtMs + 2, true);
		fixture.receiveReport('w1', resumedAtMs + 3);
		fixture.tickUntil(resumedAtMs + 20, resumedAtMs + 60);
		expect(fixture.starts.slice(1)).toMatchObject([{worker: {id: 'w1'}}]);
	});
});

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
