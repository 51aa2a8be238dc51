import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
/** Longest time after a claim for which a run of an earlier leader can be at work. */
const priorRunsMs = 1850;
/** A job that is projected anew 300 ms after its arrival, and whose answer is of use for 4.5 s. */
const longJob = {runMs: 900, patienceMs: 5000};

/** Claims zone-a while the store is away; its worker has reported, but others may be missing from the old list. */
function claimWithOldList(isEvacuated: boolean): SchedulerFixture {
	const fixture = new SchedulerFixture();
	fixture.scheduler.updateWorkers([workerFixture('w1')], startMs - 2000);
	if (isEvacuated) {
		fixture.scheduler.setEvacuatedZones(new Set(['zone-a']), startMs - 2000);
	}

	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	fixture.scheduler.recordCurrentList(startMs - 2000, false);
	fixture.receiveReport('w1', startMs + 5);
	return fixture;
}

describe('a job that waits until the runs of an earlier leader have ended', () => {
	it('is handed back as not run by the leader of an evacuated zone, and not given up before as possibly run', () => {
		const fixture = claimWithOldList(true);
		const job = poolJobFixture('j1', 1, longJob);
		fixture.scheduler.submit(job, 'r1', false, startMs + 200);
		fixture.tickUntil(startMs + 200, startMs + priorRunsMs - 10);
		expect(fixture.answers).toEqual([]);
		fixture.tickUntil(startMs + priorRunsMs, startMs + priorRunsMs);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'not-run', reason: 'no-workers'}},
		]);
		expect(fixture.answers[0]?.answer).not.toHaveProperty('isUnsettled');
	});

	it('is refused as not run if the workers are busy by then, so that another zone can run it', () => {
		const fixture = claimWithOldList(false);
		fixture.receiveReport('w1', startMs + 10, {
			running: ['j8.0.0.0', 'j9.0.0.0'].map((task) => ({
				task,
				run: 1,
				processorMillis: 32_000,
			})),
		});
		for (const id of ['j8', 'j9']) {
			const busy = poolJobFixture(id, 1, {
				runMs: 20_000,
				processorMillis: 32_000,
				patienceMs: 60_000,
			});
			fixture.scheduler.submit(busy, 'r1', true, startMs + 20);
		}

		const job = poolJobFixture('j1', 1, longJob);
		fixture.scheduler.submit(job, 'r1', false, startMs + 200);
		for (let now = startMs + 200; now <= startMs + 1900; now += 20) {
			fixture.receiveReport('w1', now, {
				running: ['j8.0.0.0', 'j9.0.0.0'].map((task) => ({task, run: 1})),
			});
			fixture.scheduler.tick(now);
			if (now < startMs + priorRunsMs) {
				expect(fixture.answers).toEqual([]);
			}
		}

		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'not-run', reason: 'overloaded'}},
		]);
	});
});
