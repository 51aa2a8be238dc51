import {describe, expect, it} from 'vitest';
import {ObjectiveOrder} from '../pool-queue.js';
import {
	QueueShares,
	computeFairLevel,
	defaultQueueShareSettings,
} from '../queue-shares.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';
import {SimulatedRuns} from './simulated-runs.js';

const startMs = 100_000;

describe('computeFairLevel', () => {
	it('cuts the largest demands to one level, and none while there is room for all', () => {
		expect(computeFairLevel([10, 50, 80], 100)).toBe(45);
		expect(computeFairLevel([10, 20, 30], 100)).toBe(Number.POSITIVE_INFINITY);
		expect(computeFairLevel([90, 90], 100)).toBe(50);
	});
});

describe('QueueShares', () => {
	it('gives a claim to a queue that gets less than half of its fair share, within about a second', () => {
		const shares = new QueueShares();
		const claimedAtMs: number[] = [];
		for (let now = startMs; now < startMs + 2000; now += 10) {
			shares.recordDemand('flood', 100, now);
			shares.recordDemand('small', 20, now);
			shares.recordStart('flood', 60, now);
			if (shares.hasClaim('small', now)) {
				claimedAtMs.push(now - startMs);
			}
		}

		expect(claimedAtMs[0]).toBeLessThan(1000);
		expect(shares.hasClaim('flood', startMs + 2000)).toBe(false);
		expect(shares.hasClaim('unknown', startMs + 2000)).toBe(false);
	});

	it('ends a claim once it is met, and lends what is not asked for', () => {
		const shares = new QueueShares();
		for (let now = startMs; now < startMs + 1000; now += 10) {
			shares.recordDemand('flood', 100, now);
			shares.recordDemand('small', 20, now);
			shares.recordStart('flood', 60, now);
			shares.recordStart('small', 15, now);
		}

		expect(shares.hasClaim('small', startMs + 1000)).toBe(false);
		for (let now = startMs + 1000; now < startMs + 9000; now += 10) {
			shares.recordDemand('flood', 100, now);
			shares.recordStart('flood', 75, now);
		}

		expect(shares.hasClaim('small', startMs + 9000)).toBe(false);
	});
});

const runTimesMs = {'macro-check': 60, 'plan-rebuild': 300};

type Queue = keyof typeof runTimesMs;

/**
 * Plays 3 s on four workers in which the most urgent queue alone asks for one and a half times their room, and the least
 * urgent one for a fifth. Returns the share of each queue's jobs that met their objective.
 */
function playFlood(shares?: QueueShares): Readonly<Record<Queue, number>> {
	const fixture = new SchedulerFixture(['zone-a'], new ObjectiveOrder(shares));
	const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => workerFixture(id));
	fixture.leadIdleWorkers(workers, startMs);
	const arrivals = new Map<
		string,
		{readonly queue: Queue; readonly atMs: number}
	>();
	const runs = new SimulatedRuns(
		fixture,
		workers,
		(task) => runTimesMs[arrivals.get(task.split('.')[0]!)!.queue],
	);
	const counts = {
		'macro-check': {all: 0, inTime: 0},
		'plan-rebuild': {all: 0, inTime: 0},
	};
	const submit = (queue: Queue, now: number) => {
		const id = `${queue}-${now}`;
		arrivals.set(id, {queue, atMs: now});
		counts[queue].all += 1;
		fixture.scheduler.submit(
			poolJobFixture(id, 2, {queue, runMs: runTimesMs[queue]}),
			'r1',
			false,
			now,
		);
	};

	for (let now = startMs + 300; now < startMs + 4300; now += 10) {
		if (now < startMs + 3300) {
			submit('macro-check', now);
			if (now % 400 === 0) {
				submit('plan-rebuild', now);
			}
		}

		runs.advance(now);
		for (const {id, answer} of runs.takeAnswers()) {
			const {queue, atMs} = arrivals.get(id)!;
			counts[queue].inTime += Number(
				answer.kind === 'completed' &&
					now - atMs <= 1.6 * runTimesMs[queue] + 60,
			);
		}
	}

	const shareOf = (queue: Queue) => counts[queue].inTime / counts[queue].all;
	return {
		'macro-check': shareOf('macro-check'),
		'plan-rebuild': shareOf('plan-rebuild'),
	};
}

describe('a flood of the most urgent queue', () => {
	it('leaves the least urgent queue a part of its fair share, which strict priority does not', () => {
		const strict = playFlood();
		const shared = playFlood(new QueueShares());
		expect(strict['plan-rebuild']).toBeLessThan(0.2);
		// Half of its demand, which is below the fair level, from one second on of three.
		const {guaranteedPart} = defaultQueueShareSettings;
		expect(shared['plan-rebuild']).toBeGreaterThan((guaranteedPart * 2) / 3);
		expect(shared['macro-check']).toBeGreaterThan(strict['macro-check'] - 0.15);
	});
});
