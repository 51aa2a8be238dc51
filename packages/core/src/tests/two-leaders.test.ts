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
			now,
			{kind: 'refused', reason: 'fenced'},
			now,
		);
		for (const {zone, token} of this.fencedZones.splice(0)) {
			this.apply(this.leadership.handleTokenRefusal(zone, token, now), now);
		}
	}

	apply(changes: ReturnType<Leadership['tick']>, now: number): void {
		for (const change of changes) {
			if (change.kind === 'claimed') {
				this.scheduler.startLeadingZone(change.zone, change.token, now);
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
		fixture.refuseHold(refusingWorker, now + 6);
		fixture.receiveReport(refusingWorker, now + 8);
		expect(fixture.starts).toEqual([]);
		fixture.receiveReport(runningWorker, now + 9, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.tickUntil(now + 20, now + 60);
		expect(fixture.starts).toEqual([]);
	});

	it.each([
		['stalls', [102, 350, 368, 1, 2, 3, 4, 5, 6, 7, 8, 9]],
		['cuts', [86, 186, 231, 242, 739, 871, 924, 988, 1, 2, 3, 4]],
		['both', [130, 264, 502, 533, 653, 675, 721, 777, 937, 952, 957, 962]],
	] as const)(
		'never has two runs of a task at the same time on model days of the kind %s',
		(day, seeds) => {
			for (const seed of seeds) {
				const {overlaps, completedCount} = playModel(day, seed);
				expect(overlaps, `seed ${seed}`).toEqual([]);
				expect(completedCount, `seed ${seed}`).toBeGreaterThan(0);
			}
		},
	);
});
