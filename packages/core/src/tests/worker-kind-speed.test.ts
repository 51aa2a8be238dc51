import {describe, expect, it} from 'vitest';
import {RunTimeTails} from '../run-time-tail.js';
import {seededRandom} from '../seeded-random.js';
import {kindOf} from '../worker-kind.js';
import {WorkerKindSpeeds} from '../worker-kind-speed.js';
import {WorkerPace} from '../worker-pace.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';
import {SimulatedRuns} from './simulated-runs.js';

const startMs = 100_000;
const slowKind = 'a/64000';
const quickKind = 'b/96000';

/** Draws run times relative to their estimates: estimates off by up to 40 %, and 3 of 100 tasks take seven times as long. */
function ratioSource(seed: number): () => number {
	const random = seededRandom(seed);
	return () => (0.6 + 0.8 * random()) * (random() < 0.03 ? 7 : 1);
}

function learnKinds(runsPerKind: number): WorkerKindSpeeds {
	const speeds = new WorkerKindSpeeds();
	const draw = ratioSource(1);
	for (let count = 0; count < runsPerKind; count += 1) {
		speeds.record(slowKind, draw() / 0.7);
		speeds.record(quickKind, draw() / 1.7);
	}

	return speeds;
}

describe('WorkerKindSpeeds', () => {
	it('learns how far apart two kinds of hardware are, in spite of bad estimates and rare long runs', () => {
		const speeds = learnKinds(200);
		const apart =
			Math.exp(speeds.logSlowdown(slowKind)) /
			Math.exp(speeds.logSlowdown(quickKind));
		expect(apart).toBeGreaterThan(2.2);
		expect(apart).toBeLessThan(2.7);
	});

	it('claims nothing after a few runs, or where all workers are of one kind', () => {
		expect(learnKinds(10).logSlowdown(slowKind)).toBe(0);
		const single = new WorkerKindSpeeds();
		for (let count = 0; count < 100; count += 1) {
			single.record(slowKind, 2);
		}

		expect(single.logSlowdown(slowKind)).toBe(0);
	});

	it('is known to the next leader at once, whose own runs soon outweigh what it was told', () => {
		const next = new WorkerKindSpeeds();
		next.import(learnKinds(200).export());
		expect(next.logSlowdown(slowKind)).toBeGreaterThan(0.2);
		for (let count = 0; count < 200; count += 1) {
			next.record(slowKind, 1);
		}

		expect(next.logSlowdown(slowKind)).toBeLessThan(0.1);
	});

	it('bounds the number of kinds', () => {
		const speeds = new WorkerKindSpeeds();
		for (let index = 0; index < 100; index += 1) {
			for (let count = 0; count < 40; count += 1) {
				speeds.record(`kind-${index}`, 2);
			}
		}

		expect(speeds.export()).toHaveLength(32);
	});
});

describe('WorkerPace of a kind', () => {
	it('returns to the pace of its kind without new runs', () => {
		const pace = new WorkerPace(Math.log(1.4));
		expect(pace.slowdownFactor(0)).toBeCloseTo(1.4);
		for (let count = 0; count < 10; count += 1) {
			pace.recordEndedRun(4, 0);
		}

		expect(pace.isSlow(0)).toBe(true);
		expect(pace.slowdownFactor(30_000)).toBeCloseTo(1.4, 1);
		expect(pace.isSlow(30_000)).toBe(false);
	});

	it('takes a worker as slow after a run of seven times its estimate only where such runs are not common', () => {
		const [plain, inTail] = [new WorkerPace(), new WorkerPace()];
		for (const pace of [plain, inTail]) {
			pace.recordEndedRun(1.2, 0, pace === inTail);
			pace.recordEndedRun(8, 0, pace === inTail);
		}

		expect(plain.isSlow(0)).toBe(true);
		expect(inTail.isSlow(0)).toBe(false);
	});
});

describe('RunTimeTails', () => {
	it('finds the queues in which a few runs take many times as long', () => {
		const tails = new RunTimeTails();
		const draw = ratioSource(2);
		for (let count = 0; count < 400; count += 1) {
			tails.record('with', draw());
			tails.record('without', 0.6 + 0.8 * ((count % 10) / 10));
		}

		expect(['with', 'without'].map((queue) => tails.hasTail(queue))).toEqual([
			true,
			false,
		]);
		expect(tails.largestRatio('with')).toBeGreaterThan(5);
		const next = new RunTimeTails();
		next.import(tails.export());
		expect(next.hasTail('with')).toBe(true);
	});
});

describe('a scheduler with rare long runs', () => {
	const tail = {queue: 'macro-check', longShare: 0.03, largestRatio: 9};

	/** Lets one of two runs of a worker take 900 ms instead of 100; returns the number of stop commands and the worker's state. */
	function playLongRun(hasTail: boolean): {
		readonly stopCount: number;
		readonly isSlow: boolean;
	} {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		if (hasTail) {
			fixture.scheduler.importLearned({kinds: [], tails: [tail]});
		}

		const from = startMs + 300;
		for (const id of ['long', 'short']) {
			fixture.scheduler.submit(poolJobFixture(id), 'r1', false, from);
		}

		for (const start of fixture.starts) {
			fixture.answerStart(start, from + 1);
		}

		for (let now = from + 20; now <= from + 900; now += 20) {
			fixture.receiveReport('w1', now, {
				running: ['long', ...(now < from + 100 ? ['short'] : [])].map((id) => ({
					task: `${id}.0.0.0`,
					run: 1,
				})),
				ended:
					now === from + 100
						? [{number: 1, task: 'short.0.0.0', run: 1, how: 'done'}]
						: [],
			});
			fixture.scheduler.tick(now);
		}

		return {
			stopCount: fixture.stops.length,
			isSlow: fixture.scheduler.pool.findWorker('w1')!.pace.isSlow(from + 900),
		};
	}

	it('lets a long run of such a queue end, and does not avoid its worker; elsewhere it stops the run', () => {
		expect(playLongRun(true)).toEqual({stopCount: 0, isSlow: false});
		const elsewhere = playLongRun(false);
		expect(elsewhere.stopCount).toBeGreaterThan(0);
		expect(elsewhere.isSlow).toBe(true);
	});

	it('takes the worker as slow if several of its runs are overdue at once', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.importLearned({kinds: [], tails: [tail]});
		fixture.scheduler.submit(poolJobFixture('j1', 2), 'r1', false, startMs + 1);
		for (const start of fixture.starts) {
			fixture.answerStart(start, startMs + 2);
		}

		for (let now = startMs + 20; now <= startMs + 400; now += 20) {
			fixture.receiveReport('w1', now, {
				running: [0, 1].map((index) => ({task: `j1.0.0.${index}`, run: 1})),
			});
			fixture.scheduler.tick(now);
		}

		expect(
			fixture.scheduler.pool.findWorker('w1')!.pace.isSlow(startMs + 400),
		).toBe(true);
	});
});

describe('a scheduler with two kinds of workers', () => {
	/**
	 * Plays 3 s of jobs of two tasks at two thirds of the capacity of four quick and four slow workers. Returns the median time
	 * until an answer.
	 */
	function playMedianMs(knowsKinds: boolean): number {
		const fixture = new SchedulerFixture();
		const workers = Array.from({length: 8}, (_, index) =>
			index % 2 === 0
				? workerFixture(`w${index}`, {labels: ['a', 'r1']})
				: workerFixture(`w${index}`, {labels: ['b', 'r1']}),
		);
		fixture.leadIdleWorkers(workers, startMs);
		if (knowsKinds) {
			fixture.scheduler.importLearned({
				tails: [],
				kinds: [
					{kind: kindOf(workers[0]!), logRatio: Math.log(1.4), count: 40},
					{kind: kindOf(workers[1]!), logRatio: Math.log(0.6), count: 40},
				],
			});
		}

		const slowdown = (id: string) =>
			Number(id.slice(1)) % 2 === 0 ? 1.4 : 0.6;
		const arrivals = new Map<string, number>();
		const times: number[] = [];
		const runs = new SimulatedRuns(
			fixture,
			workers,
			(_task, worker) => 200 * slowdown(worker),
		);
		for (let now = startMs + 300; now < startMs + 4000; now += 5) {
			if (now % 40 === 0 && now < startMs + 3300) {
				const id = `j${now}`;
				arrivals.set(id, now);
				fixture.scheduler.submit(
					poolJobFixture(id, 2, {runMs: 200}),
					'r1',
					false,
					now,
				);
			}

			runs.advance(now);
			for (const {id, answer} of runs.takeAnswers()) {
				times.push(
					answer.kind === 'completed'
						? now - arrivals.get(id)!
						: Number.POSITIVE_INFINITY,
				);
			}
		}

		return times.toSorted((left, right) => left - right)[
			Math.floor(times.length / 2)
		]!;
	}

	it('answers sooner if it knows the speeds of the kinds from the leader before it', () => {
		const [unknown, known] = [playMedianMs(false), playMedianMs(true)];
		expect(known).toBeLessThanOrEqual(unknown);
	});
});
