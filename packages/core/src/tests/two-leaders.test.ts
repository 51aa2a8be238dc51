import {describe, expect, it} from 'vitest';
import {Leadership, type Heartbeat} from '../leadership.js';
import {playModel} from './leaders-model.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const zones = ['zone-a', 'zone-b'];
const startMs = 100_000;

/** A leadership and a scheduler that follows its changes, with one worker in each of two zones. */
class LeaderFixture extends SchedulerFixture {
	readonly leadership = new Leadership(
		{name: 'entry-1', zone: 'zone-a', processorShare: 1},
		zones,
	);

	constructor() {
		super(zones);
		this.leadership.setScope('region');
		this.leadership.setWarm();
		this.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2', {zone: 'zone-b'})],
			startMs,
		);
	}

	/** Elects itself the leader of both zones by the returned time. */
	elect(): number {
		let now = startMs;
		while (this.leadership.ledZones.size < zones.length) {
			now += 20;
			this.leadership.receiveHeartbeat(peerFixture, now);
			this.apply(this.leadership.tick(now), now);
		}

		return now;
	}

	/** Lets a worker refuse the present fencing token of its zone. */
	refuseHold(worker: string, now: number): void {
		this.scheduler.handleHoldOutcome(
			worker,
			{sentAtMs: now, fencingToken: this.scheduler.pool.token},
			{kind: 'refused', reason: 'fenced'},
			now,
		);
		for (const {zone, token} of this.fencedZones.splice(0)) {
			this.apply(
				this.leadership.handleTokenRefusal(zone, token, false, now),
				now,
			);
		}
	}

	/** Applies changes of leadership, and reads the list of workers at once after a claim. */
	apply(changes: ReturnType<Leadership['tick']>, now: number): void {
		for (const change of changes) {
			if (change.kind === 'claimed') {
				this.scheduler.startLeadingZone(change.zone, change.token, now);
				this.scheduler.recordCurrentList(now, true);
			}
		}
	}
}

const peerFixture: Heartbeat = {
	name: 'entry-2',
	zone: 'zone-b',
	address: 'entry-2:1',
	incarnation: '1',
	intervalMs: 100,
	processorShare: 1,
	isStopping: false,
	isWarm: false,
	leads: {},
	highestToken: 0,
	hears: {},
	yields: {},
	members: [],
};

describe('two leaders at once', () => {
	it('does not start a job again that another leader has started, after it has claimed one refused zone anew', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		fixture.receiveReport('w2', now + 1);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, now + 2);
		const [refusedStart] = fixture.starts.splice(0);
		// A second leader has fenced both workers, has got the job from its receiver and runs it on the other worker.
		const [refusingWorker, runningWorker] =
			refusedStart!.worker.id === 'w1' ? ['w1', 'w2'] : ['w2', 'w1'];
		fixture.answerStart(refusedStart!, now + 5, {
			kind: 'refused',
			reason: 'fenced',
		});
		for (const start of fixture.starts.splice(0)) {
			fixture.answerStart(start, now + 6, {kind: 'refused', reason: 'fenced'});
		}

		fixture.refuseHold(refusingWorker, now + 7);
		fixture.receiveReport(refusingWorker, now + 8);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport(runningWorker, now + 9, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(now + 20, now + 60);
		expect(fixture.starts).toEqual([]);
	});

	it('ignores reports to hold commands under an earlier token', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		const earlierToken = fixture.scheduler.pool.token;
		fixture.receiveReport('w1', now + 1);
		fixture.receiveReport('w2', now + 1);
		fixture.refuseHold('w1', now + 2);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, now + 3);
		fixture.receiveReport('w1', now + 3);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', now + 4, {fencingToken: earlierToken});
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', now + 5);
		expect(fixture.starts).toHaveLength(1);
	});

	it('starts neither a job that was submitted under an earlier token nor a new one before all workers have reported', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		const job = poolJobFixture('j1');
		const leaderToken = fixture.scheduler.pool.token;
		fixture.scheduler.submit({...job, leaderToken: 1}, 'r1', false, now + 2);
		fixture.scheduler.submit(
			{...poolJobFixture('j2'), leaderToken},
			'r1',
			false,
			now + 2,
		);
		fixture.tickUntil(now + 20, now + 100);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport('w2', now + 110);
		expect(fixture.starts.map(({task}) => task)).toEqual([
			'j1.0.0.0',
			'j2.0.0.0',
		]);
	});

	it('does not take the reports under its token as complete for a job that was under a higher token', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		fixture.receiveReport('w2', now + 1);
		const leaderToken = fixture.scheduler.pool.token;
		const job = poolJobFixture('j1', 1, {patienceMs: 60_000});
		fixture.scheduler.submit(
			{...job, leaderToken, earlierToken: leaderToken + 1},
			'r1',
			true,
			now + 2,
		);
		fixture.tickUntil(now + 20, now + 1800);
		expect(fixture.starts).toEqual([]);
	});

	it('does not start a run again whose lease has lapsed by its own clock while it was suspended', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		fixture.receiveReport('w2', now + 1);
		const job = poolJobFixture('j1', 1, {runMs: 5000, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', false, now + 2);
		const [start] = fixture.starts.splice(0);
		fixture.answerStart(start!, now + 5);
		fixture.tickUntil(now + 20, now + 40);
		const resumedAtMs = now + 1400;
		fixture.tickUntil(resumedAtMs, resumedAtMs + 100);
		expect(fixture.starts).toEqual([]);
		const worker = start!.worker.id;
		fixture.receiveReport(worker, resumedAtMs + 110, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'lapsed'}],
		});
		fixture.tickUntil(resumedAtMs + 120, resumedAtMs + 140);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport(worker === 'w1' ? 'w2' : 'w1', resumedAtMs + 150);
		expect(fixture.starts).toEqual([]);
		fixture.scheduler.recordCurrentList(resumedAtMs + 155, true);
		fixture.tickUntil(resumedAtMs + 160, resumedAtMs + 160);
		expect(fixture.starts).toHaveLength(1);
	});

	it('does not give up a resubmitted job after a suspension, while the new reports are on their way', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {patienceMs: 1500}),
			'r1',
			true,
			now + 2,
		);
		fixture.tickUntil(now + 20, now + 40);
		fixture.scheduler.tick(now + 500);
		fixture.scheduler.recordCurrentList(now + 505, true);
		fixture.receiveReport('w1', now + 510);
		fixture.receiveReport('w2', now + 510);
		fixture.tickUntil(now + 520, now + 600);
		expect(fixture.answers).toEqual([]);
		expect(fixture.starts).toHaveLength(1);
	});

	it('gives up a job that its receiver submits to another leader, and starts it again only after its run has stopped', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		fixture.receiveReport('w2', now + 1);
		const job = poolJobFixture('j1', 1, {patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', false, now + 2);
		const [start] = fixture.starts.splice(0);
		const worker = start!.worker.id;
		fixture.answerStart(start!, now + 5);
		fixture.scheduler.release('j1', 'r2', now + 10);
		expect(fixture.scheduler.jobCount).toBe(1);
		fixture.scheduler.release('j1', 'r1', now + 10);
		expect(fixture.scheduler.jobCount).toBe(0);
		expect(fixture.answers).toEqual([]);
		expect(fixture.stops).toMatchObject([{task: 'j1.0.0.0', run: 1}]);
		fixture.scheduler.submit(job, 'r1', true, now + 15);
		fixture.tickUntil(now + 20, now + 80);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport(worker, now + 90, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'stopped'}],
		});
		expect(fixture.starts).toMatchObject([{task: 'j1.0.0.0', run: 2}]);
	});

	it('adopts a run that a report listed while the task was placed elsewhere in vain', () => {
		const fixture = new LeaderFixture();
		const now = fixture.elect();
		fixture.receiveReport('w1', now + 1);
		fixture.receiveReport('w2', now + 1);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, now + 2);
		const [start] = fixture.starts.splice(0);
		const [worker, other] =
			start!.worker.id === 'w1' ? ['w1', 'w2'] : ['w2', 'w1'];
		fixture.refuseHold(other, now + 3);
		fixture.receiveReport(other, now + 5, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.receiveReport(worker, now + 6);
		fixture.answerStart(start!, now + 50, {
			kind: 'refused',
			reason: 'fenced',
		});
		fixture.receiveReport(worker, now + 55);
		fixture.tickUntil(now + 60, now + 120);
		expect(fixture.starts).toEqual([]);
	});

	it.each([
		['stalls', [66, 102, 350, 368, 1, 2, 3, 4, 5, 6, 7, 8, 9]],
		['cuts', [85, 86, 175, 186, 193, 210, 231, 242, 298, 478, 600, 686]],
		['both', [130, 264, 349, 502, 533, 653, 760, 855, 937, 952, 957, 1424]],
	] as const)(
		'never has two runs of a task at the same time on model days of the kind %s',
		(day, seeds) => {
			for (const seed of seeds) {
				const {overlaps, completedCount} = playModel(day, seed);
				expect(overlaps, `seed ${seed}`).toEqual([]);
				expect(completedCount, `seed ${seed}`).toBeGreaterThan(0);
			}

			for (const seed of seeds.slice(0, 4)) {
				const {overlaps} = playModel(day, seed, {longestRunMs: 2500});
				expect(overlaps, `seed ${seed} with long tasks`).toEqual([]);
			}
		},
	);
});

describe('a refusal of a leader that has no reports of some workers yet', () => {
	/** A leader since `startMs` whose second worker has not reported, with a first one that is busy for `runMs`. */
	function halfReportedFixture(runMs: number): SchedulerFixture {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 400);
		const busy = poolJobFixture('busy', 2, {runMs, patienceMs: 9000});
		fixture.scheduler.submit(busy, 'r1', false, startMs + 400);
		return fixture;
	}

	// Its receiver would send a copy of a job that is at work on the silent worker to another zone, which starts it at once.
	it('does not let the receiver send the job to another zone, until the leases of unknown runs have ended', () => {
		const fixture = halfReportedFixture(3000);
		const job = poolJobFixture('early', 1, {zones: ['zone-a']});
		fixture.scheduler.submit(job, 'r1', false, startMs + 410);
		fixture.tickUntil(startMs + 420, startMs + 1900);
		expect(fixture.answers).toMatchObject([
			{id: 'early', answer: {kind: 'may-have-run'}},
		]);
		expect(fixture.starts).toHaveLength(2);
		for (const start of fixture.starts) {
			fixture.answerStart(start, startMs + 1910);
		}

		const late = poolJobFixture('late', 1, {zones: ['zone-a']});
		fixture.scheduler.submit(late, 'r1', false, startMs + 1920);
		expect(fixture.answers[1]).toMatchObject({
			id: 'late',
			answer: {kind: 'not-run'},
		});
		expect(fixture.answers[1]!.answer).not.toHaveProperty('isUnsettled');
	});

	it('does not follow from a wait that the receiver names', () => {
		const fixture = halfReportedFixture(100);
		const job = poolJobFixture('j1', 1, {balancingWaitMs: 0});
		fixture.scheduler.submit(job, 'r1', false, startMs + 410);
		expect(fixture.answers).toEqual([]);
	});
});
