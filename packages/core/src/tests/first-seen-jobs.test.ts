import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
/** Longest time after a claim for which a run of an earlier leader can be at work on a worker that has not reported. */
const priorRunsMs = 1850;
const patient = {runMs: 5000, patienceMs: 60_000};

/** Claims zone-a with two workers, of which only `w1` has reported. */
function claimWithOneReport(
	content: Parameters<SchedulerFixture['receiveReport']>[2] = {},
): SchedulerFixture {
	const fixture = new SchedulerFixture();
	fixture.scheduler.updateWorkers(
		[workerFixture('w1'), workerFixture('w2')],
		startMs,
	);
	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	fixture.receiveReport('w1', startMs + 5, content);
	return fixture;
}

/** Lets hold commands to a worker fail until it counts as silent. */
function failHolds(
	fixture: SchedulerFixture,
	worker: string,
	now: number,
	isRefused = false,
): void {
	for (const sentAtMs of [now, now + 1]) {
		fixture.scheduler.handleHoldOutcome(
			worker,
			{sentAtMs, fencingToken: fixture.scheduler.pool.token},
			{kind: 'not-sent', isRefused},
			sentAtMs,
		);
	}
}

describe('a job that a leader sees for the first time', () => {
	it('is not started while a worker that has not reported since the claim may run it', () => {
		const fixture = claimWithOneReport();
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r2', false, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 400);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', startMs + 410, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(startMs + 420, startMs + 500);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', startMs + 510, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		expect(fixture.answers).toMatchObject([{answer: {kind: 'completed'}}]);
	});

	it('has no task started by what is known of another one, while a worker has not reported', () => {
		const fixture = claimWithOneReport({
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		const job = poolJobFixture('j1', 2, patient);
		fixture.scheduler.submit(job, 'r2', false, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 400);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', startMs + 410, {
			running: [{task: 'j1.0.0.1', run: 1}],
		});
		fixture.tickUntil(startMs + 420, startMs + 500);
		expect(fixture.starts).toEqual([]);
	});

	it('is not started after a suspension before all workers have reported anew', () => {
		const fixture = claimWithOneReport();
		fixture.receiveReport('w2', startMs + 6);
		fixture.tickUntil(startMs + 20, startMs + 40);
		const resumedAtMs = startMs + 2500;
		fixture.scheduler.tick(resumedAtMs);
		fixture.receiveReport('w1', resumedAtMs + 5);
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r2', false, resumedAtMs + 10);
		fixture.tickUntil(resumedAtMs + 20, resumedAtMs + 400);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', resumedAtMs + 410);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.recordCurrentList(resumedAtMs + 415, true);
		fixture.tickUntil(resumedAtMs + 420, resumedAtMs + 420);
		expect(fixture.starts).toHaveLength(1);
	});

	it.each([
		['is silent', false],
		['refuses connections, as behind a partition', true],
	])(
		'is started once every run of earlier leaders has ended on a worker that %s',
		(_, isRefused) => {
			const fixture = claimWithOneReport();
			failHolds(fixture, 'w2', startMs + 6, isRefused);
			const job = poolJobFixture('j1', 1, patient);
			fixture.scheduler.submit(job, 'r2', false, startMs + 10);
			fixture.tickUntil(startMs + 20, startMs + priorRunsMs - 10);
			expect(fixture.starts).toEqual([]);
			fixture.tickUntil(startMs + priorRunsMs + 10, startMs + 1900);
			expect(fixture.starts).toHaveLength(1);
		},
	);

	it('is not started sooner because the platform lists a worker no longer that has not reported', () => {
		const fixture = claimWithOneReport();
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs + 8);
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r2', false, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + priorRunsMs - 10);
		expect(fixture.starts).toEqual([]);
		fixture.tickUntil(startMs + priorRunsMs + 10, startMs + 1900);
		expect(fixture.starts).toHaveLength(1);
	});

	it('is not started before a worker has reported that is listed only after the claim', () => {
		const fixture = claimWithOneReport();
		fixture.receiveReport('w2', startMs + 6);
		fixture.scheduler.updateWorkers(
			['w1', 'w2', 'w3'].map((id) => workerFixture(id)),
			startMs + 300,
		);
		const job = poolJobFixture('j1', 1, patient);
		fixture.scheduler.submit(job, 'r2', false, startMs + 310);
		fixture.tickUntil(startMs + 320, startMs + 400);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w3', startMs + 410, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		expect(fixture.starts).toEqual([]);
	});

	it('is answered at once, and not as `not-run`, if its caller cannot wait for a silent worker', () => {
		const fixture = claimWithOneReport();
		failHolds(fixture, 'w2', startMs + 6);
		const job = poolJobFixture('j1', 1, {patienceMs: 1500});
		fixture.tickUntil(startMs + 20, startMs + 280);
		fixture.scheduler.submit(job, 'r2', false, startMs + 300);
		fixture.tickUntil(startMs + 300, startMs + 320);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run', reason: 'leader-lost'}},
		]);
		expect(fixture.starts).toEqual([]);
	});

	it('is started without a wait while a worker that has reported before is silent', () => {
		const fixture = claimWithOneReport();
		fixture.receiveReport('w2', startMs + 6);
		fixture.tickUntil(startMs + 20, startMs + 280);
		failHolds(fixture, 'w2', startMs + 300);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1),
			'r2',
			false,
			startMs + 310,
		);
		expect(fixture.starts).toHaveLength(1);
	});
});

/**
 * Plays 3 s after a claim with a new job each 20 ms on eight workers, which report after 20 ms; the last one may be silent. Returns
 * when the first task started after the claim, and how many jobs started within 100 ms of their arrival or were answered instead.
 */
function playFirstSeconds(isOneSilent: boolean) {
	const fixture = new SchedulerFixture();
	const ids = Array.from({length: 8}, (_, index) => `w${index}`);
	fixture.scheduler.updateWorkers(
		ids.map((id) => workerFixture(id)),
		startMs,
	);
	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	const startDelays: number[] = [];
	const runs: Array<{
		readonly task: string;
		readonly worker: string;
		readonly endMs: number;
	}> = [];
	const endNumbers = new Map<string, number>();
	let startCount = 0;
	let firstStartMs: number | undefined;
	for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 20) {
		const now = startMs + elapsedMs;
		fixture.scheduler.tick(now);
		for (const id of ids) {
			const isSilent = isOneSilent && id === 'w7';
			if (isSilent && elapsedMs % 200 === 0) {
				failHolds(fixture, id, now);
			} else if (!isSilent && elapsedMs > 0) {
				const own = runs.filter(({worker}) => worker === id);
				fixture.receiveReport(id, now, {
					running: own
						.filter(({endMs}) => endMs > now)
						.map(({task}) => ({task, run: 1})),
					ended: own
						.filter(({endMs}) => endMs > now - 20 && endMs <= now)
						.map(({task}) => {
							const number = (endNumbers.get(id) ?? 0) + 1;
							endNumbers.set(id, number);
							return {number, task, run: 1, how: 'done' as const};
						}),
				});
			}
		}

		fixture.scheduler.submit(
			poolJobFixture(`j${elapsedMs}`, 1),
			'r1',
			false,
			now,
		);
		for (const {task, worker} of fixture.starts.slice(startCount)) {
			firstStartMs ??= elapsedMs;
			const arrivedMs = Number(/^j(\d+)\./.exec(task)![1]);
			startDelays.push(elapsedMs - arrivedMs);
			runs.push({task, worker: worker.id, endMs: now + 100});
		}

		startCount = fixture.starts.length;
	}

	const countAnswers = (kind: string) =>
		fixture.answers.filter(({answer}) => answer.kind === kind).length;
	return {
		firstStartMs,
		promptCount: startDelays.filter((delayMs) => delayMs <= 100).length,
		notRunCount: countAnswers('not-run'),
		mayHaveRunCount: countAnswers('may-have-run'),
	};
}

describe('the first seconds after a claim', () => {
	it('delay new jobs only until the reports if all workers answer, and to the end of earlier leases if one does not', () => {
		expect(playFirstSeconds(false)).toEqual({
			firstStartMs: 20,
			promptCount: 150,
			notRunCount: 0,
			mayHaveRunCount: 0,
		});
		const {firstStartMs, promptCount, notRunCount} = playFirstSeconds(true);
		expect(firstStartMs).toBeGreaterThanOrEqual(priorRunsMs);
		expect(firstStartMs).toBeLessThan(priorRunsMs + 40);
		// All jobs that arrive once earlier leases have ended.
		expect(promptCount).toBeGreaterThanOrEqual(57);
		expect(notRunCount).toBe(0);
	});
});
