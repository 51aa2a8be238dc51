import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
const patient = {runMs: 5000, patienceMs: 60_000};

/** Claims a zone with two workers, and lets a job wait for the report of the second one, since its caller is lost. */
function waitWithoutCaller(): SchedulerFixture {
	const fixture = new SchedulerFixture();
	fixture.scheduler.updateWorkers(
		[workerFixture('w1'), workerFixture('w2')],
		startMs,
	);
	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	fixture.receiveReport('w1', startMs);
	fixture.scheduler.submit(
		poolJobFixture('j1', 1, patient),
		'r1',
		false,
		startMs,
	);
	fixture.scheduler.markCallerLost('j1', 'r1', startMs);
	return fixture;
}

/** Lets the second worker report some time after the caller was lost, with ticks until then. */
function reportAfter(fixture: SchedulerFixture, afterMs: number): void {
	fixture.tickUntil(startMs + 20, startMs + afterMs - 20);
	expect(fixture.starts).toEqual([]);
	fixture.receiveReport('w2', startMs + afterMs);
}

describe('a waiting job whose caller has lost its connection', () => {
	it('is started while no copy of its request can have arrived elsewhere', () => {
		const fixture = waitWithoutCaller();
		reportAfter(fixture, 600);
		expect(fixture.starts).toHaveLength(1);
	});

	// Its caller sends a copy 1.3 s after the loss, to any entry VM.
	it('is not started when a copy may be about to start elsewhere, but when its caller submits it here again', () => {
		const fixture = waitWithoutCaller();
		reportAfter(fixture, 1000);
		fixture.scheduler.tick(startMs + 1020);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {...patient, attempt: 'entry/copy'}),
			'r1',
			false,
			startMs + 1300,
		);
		fixture.scheduler.tick(startMs + 1300);
		expect(fixture.starts).toHaveLength(1);
	});

	it('is not announced to other leaders for long once it can neither start nor run', () => {
		const fixture = waitWithoutCaller();
		fixture.tickUntil(startMs + 20, startMs + 1000);
		expect(fixture.scheduler.findReturnableJobs(startMs + 1000)).toEqual([]);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run', reason: 'caller-left'}},
		]);
	});

	it('has no start repeated when a copy may be about to start elsewhere', () => {
		const fixture = waitWithoutCaller();
		reportAfter(fixture, 880);
		fixture.answerStart(fixture.starts[0]!, startMs + 930, {kind: 'silent'});
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.stops).toMatchObject([{task: 'j1.0.0.0', run: 1}]);
	});

	it('is not started for the time by which its leader was told late of the loss', () => {
		const fixture = waitWithoutCaller();
		fixture.scheduler.markCallerReturned('j1', 'r1', startMs);
		fixture.tickUntil(startMs + 20, startMs + 500);
		fixture.scheduler.markCallerLost('j1', 'r1', startMs + 500, 500);
		fixture.receiveReport('w2', startMs + 1000);
		expect(fixture.starts).toEqual([]);
	});
});
