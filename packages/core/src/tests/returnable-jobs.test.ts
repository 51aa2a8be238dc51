import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const zones = ['zone-a', 'zone-b'];
const startMs = 100_000;
const copyDelayMs = 1300;

/** The schedulers of two leaders of one zone each, with one worker each. */
class TwoZonesFixture {
	readonly first = new SchedulerFixture(zones);
	readonly second = new SchedulerFixture(zones);
	#now = startMs;

	/** Claims both zones; the worker of the second zone has reported that nothing runs. */
	constructor() {
		const workers = [
			workerFixture('w1'),
			workerFixture('w2', {zone: 'zone-b'}),
		];
		this.first.scheduler.updateWorkers(workers, startMs);
		this.second.scheduler.updateWorkers(workers, startMs);
		this.first.scheduler.startLeadingZone('zone-a', 7, startMs);
		this.second.scheduler.startLeadingZone('zone-b', 8, startMs);
		this.second.receiveReport('w2', startMs);
	}

	/** Submits the copy of a job to the leader of the second zone, as one that no leader has had. */
	submitCopy(id: string, patienceMs = 5000): void {
		this.second.scheduler.submit(
			poolJobFixture(id, 1, {
				attempt: `entry-2/${id}`,
				runMs: 5000,
				zones: ['zone-b'],
				leaderToken: 8,
				patienceMs,
			}),
			'r2',
			false,
			this.#now,
		);
	}

	/** Submits a job to the leader of the first zone, and confirms its start. */
	startJob(id: string): void {
		this.first.receiveReport('w1', this.#now);
		this.first.scheduler.submit(
			poolJobFixture(id, 1, {
				runMs: 5000,
				zones: ['zone-a'],
				leaderToken: 7,
				patienceMs: 9000,
			}),
			'r1',
			false,
			this.#now,
		);
		this.first.answerStart(this.first.starts.at(-1)!, this.#now);
	}

	/** Ticks both leaders until a time after the start. */
	tickUntil(afterStartMs: number): void {
		while (this.#now < startMs + afterStartMs) {
			this.#now += 20;
			this.first.scheduler.tick(this.#now);
			this.second.scheduler.tick(this.#now);
		}
	}
}

describe('a copy that reaches the leader of another zone', () => {
	it('is not started while the first leader cannot stop the runs of a lost receiver', () => {
		const fixture = new TwoZonesFixture();
		fixture.startJob('j1');
		fixture.tickUntil(100);
		fixture.first.scheduler.markReceiverUnreachable('r1', startMs + 100);
		fixture.tickUntil(600);
		// The lease that is extended after this report is the last that the worker gets.
		fixture.first.receiveReport('w1', startMs + 600, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(100 + copyDelayMs);
		fixture.submitCopy('j1');
		fixture.tickUntil(1620);
		expect(fixture.second.starts).toEqual([]);
		fixture.tickUntil(3700);
		expect(fixture.second.starts).toHaveLength(1);
	});

	it('is not started while the first leader keeps a run that no job has claimed', () => {
		const fixture = new TwoZonesFixture();
		fixture.first.receiveReport('w1', startMs, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(280);
		fixture.submitCopy('j1');
		fixture.tickUntil(760);
		expect(fixture.second.starts).toEqual([]);
		expect(fixture.first.stops).not.toEqual([]);
		fixture.first.receiveReport('w1', startMs + 760, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'stopped'}],
		});
		fixture.tickUntil(820);
		expect(fixture.second.starts).toHaveLength(1);
	});
});
