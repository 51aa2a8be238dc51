import {describe, expect, it} from 'vitest';
import {ArrivalOrder, ObjectiveOrder, type QueuedJob} from '../pool-queue.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

describe('scheduler under overload', () => {
	/**
	 * Simulates 2 s of load at 1.5 times the pool's capacity on workers without delays or failures. Returns the number of
	 * jobs that met their objective, by queue.
	 */
	function simulateOverload(
		queueOrder?: ArrivalOrder,
	): Readonly<Record<string, number>> {
		const fixture = new SchedulerFixture(['zone-a'], queueOrder);
		const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => workerFixture(id));
		fixture.leadIdleWorkers(workers, startMs);
		const inTimeCounts: Record<string, number> = {};
		const arrivals = new Map<
			string,
			{readonly queue: string; readonly atMs: number}
		>();
		const activeRuns = new Map<
			string,
			{readonly endMs: number; readonly worker: string}
		>();
		const lastEndNumbers = new Map<string, number>();
		let handledStarts = 0;
		let handledAnswers = 0;
		for (let now = startMs; now < startMs + 2600; now += 10) {
			if (now < startMs + 2000 && now % 30 === 0) {
				const queue = now % 60 === 0 ? 'macro-check' : 'plan-rebuild';
				const id = `j${now}`;
				arrivals.set(id, {queue, atMs: now});
				const runMs = queue === 'macro-check' ? 60 : 300;
				fixture.scheduler.submit(
					poolJobFixture(id, 2, {queue, runMs}),
					'r1',
					false,
					now,
				);
			}

			for (const command of fixture.starts.slice(handledStarts)) {
				const {queue} = arrivals.get(command.task.split('.')[0]!)!;
				activeRuns.set(command.task, {
					endMs: now + (queue === 'macro-check' ? 60 : 300),
					worker: command.worker.id,
				});
			}

			handledStarts = fixture.starts.length;
			for (const {id} of workers) {
				const ended = [...activeRuns].filter(
					([, run]) => run.worker === id && run.endMs <= now,
				);
				for (const [task] of ended) {
					activeRuns.delete(task);
				}

				let number = lastEndNumbers.get(id) ?? 0;
				const listed = ended.map(([task]) => {
					number += 1;
					return {number, task, run: 1, how: 'done' as const};
				});
				lastEndNumbers.set(id, number);
				const running = [...activeRuns]
					.filter(([, run]) => run.worker === id)
					.map(([task]) => ({task, run: 1}));
				fixture.receiveReport(id, now, {running, ended: listed});
			}

			fixture.scheduler.tick(now);
			for (const {id, answer} of fixture.answers.slice(handledAnswers)) {
				const {queue, atMs} = arrivals.get(id)!;
				const objectiveMs = 1.6 * (queue === 'macro-check' ? 60 : 300) + 60;
				if (answer.kind === 'completed' && now - atMs <= objectiveMs) {
					inTimeCounts[queue] = (inTimeCounts[queue] ?? 0) + 1;
				}
			}

			handledAnswers = fixture.answers.length;
		}

		return inTimeCounts;
	}

	it('meets at least as many objectives as arrival order, and more in the urgent queue', () => {
		const objectiveOrder = simulateOverload();
		const arrivalOrder = simulateOverload(new ArrivalOrder());
		const sumCounts = (counts: Readonly<Record<string, number>>) =>
			Object.values(counts).reduce((sum, count) => sum + count, 0);
		expect(sumCounts(objectiveOrder)).toBeGreaterThanOrEqual(
			sumCounts(arrivalOrder),
		);
		expect(objectiveOrder['macro-check']).toBeGreaterThan(
			arrivalOrder['macro-check'] ?? 0,
		);
	});

	it('refuses a job that cannot start in time on arrival, with a retry delay', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(
			poolJobFixture('long', 2, {runMs: 3000, patienceMs: 9000}),
			'r1',
			false,
			startMs,
		);
		fixture.scheduler.submit(poolJobFixture('short'), 'r1', false, startMs + 1);
		expect(fixture.answers[0]).toMatchObject({
			id: 'short',
			answer: {kind: 'not-run', reason: 'overloaded'},
		});
		const {answer} = fixture.answers[0]!;
		expect('retryAfterMs' in answer && answer.retryAfterMs).toBe(2999);
	});
});

describe('ObjectiveOrder', () => {
	const jobFixture = (id: string, change: Partial<QueuedJob>): QueuedJob => ({
		id,
		queueName: 'macro-check',
		priority: 0,
		arrivedAtMs: startMs,
		latestObjectiveStartMs: startMs + 100,
		latestUsefulStartMs: startMs + 400,
		latestFirstStartMs: startMs + 100,
		waitingCoreMs: 1,
		hasStarted: false,
		...change,
	});

	// A wide job that a fault has delayed took room from jobs that could still be answered in time.
	it('puts a started job behind others once its answer can be of no use any more', () => {
		const started = jobFixture('started', {hasStarted: true});
		const fresh = jobFixture('fresh', {
			arrivedAtMs: startMs + 450,
			latestObjectiveStartMs: startMs + 550,
			latestUsefulStartMs: startMs + 850,
		});
		const order = new ObjectiveOrder();
		expect(order.compare(started, fresh, startMs + 390)).toBeLessThan(0);
		expect(order.compare(started, fresh, startMs + 460)).toBeGreaterThan(0);
	});
});

describe('spare capacity of zones', () => {
	it('is what is free on the workers of each zone, and nothing while a task waits for them', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.leadIdleWorkers(
			[workerFixture('w1'), workerFixture('w2', {zone: 'zone-b'})],
			startMs,
		);
		fixture.scheduler.startLeadingZone('zone-b', 7, startMs);
		expect(fixture.scheduler.computeSpareMillis(startMs)).toEqual({
			'zone-a': 64_000,
			'zone-b': 0,
		});
		fixture.receiveReport('w2', startMs + 1);
		fixture.tickUntil(startMs + 20, startMs + 280);
		const inZoneA = {zones: ['zone-a'], runMs: 1000};
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, inZoneA),
			'r1',
			false,
			startMs + 300,
		);
		expect(fixture.scheduler.computeSpareMillis(startMs + 300)).toEqual({
			'zone-a': 37_000,
			'zone-b': 64_000,
		});
		fixture.scheduler.submit(
			poolJobFixture('j2', 2, {...inZoneA, runMs: 3000}),
			'r1',
			false,
			startMs + 310,
		);
		expect(fixture.scheduler.computeSpareMillis(startMs + 310)).toEqual({
			'zone-a': 0,
			'zone-b': 64_000,
		});
	});

	it('does not allow a late start for a job that another zone has refused, as after the loss of a leader', () => {
		const admits = (change: {readonly refusingZones?: number}) => {
			const fixture = new SchedulerFixture();
			fixture.leadIdleWorkers([workerFixture('w1')], startMs);
			fixture.tickUntil(startMs + 20, startMs + 280);
			const busy = poolJobFixture('busy', 2, {runMs: 100, patienceMs: 9000});
			fixture.scheduler.submit(busy, 'r1', false, startMs + 300);
			fixture.scheduler.submit(
				poolJobFixture('j1', 1, {waitedMs: 60, ...change}),
				'r1',
				false,
				startMs + 310,
			);
			return fixture.answers.length === 0;
		};

		expect(admits({})).toBe(true);
		expect(admits({refusingZones: 1})).toBe(false);
	});
});

describe('a job that another zone has room for', () => {
	/** A leader whose only worker is busy for 100 ms, with a job at a second receiver that waits. */
	function busyFixture(): SchedulerFixture {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.tickUntil(startMs + 20, startMs + 280);
		const busy = poolJobFixture('busy', 2, {runMs: 100, patienceMs: 9000});
		fixture.scheduler.submit(busy, 'r1', false, startMs + 300);
		return fixture;
	}

	it('is let go beyond the wait that its receiver names, and admitted in its next attempt', () => {
		const fixture = busyFixture();
		const job = poolJobFixture('j1');
		fixture.scheduler.submit(
			{...job, balancingWaitMs: 72},
			'r1',
			false,
			startMs + 305,
		);
		expect(fixture.answers).toMatchObject([
			{
				id: 'j1',
				answer: {kind: 'not-run', reason: 'overloaded', isBalanced: true},
			},
		]);
		fixture.scheduler.submit(
			{...job, attempt: 'entry/j1+'},
			'r1',
			false,
			startMs + 306,
		);
		expect(fixture.answers).toHaveLength(1);
		expect(fixture.scheduler.getJobState('j1')).toBe('queued');
	});

	it('is admitted within that wait', () => {
		const fixture = busyFixture();
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {balancingWaitMs: 97}),
			'r1',
			false,
			startMs + 305,
		);
		expect(fixture.answers).toEqual([]);
	});

	// The receiver of a copy does not know that its first one is at work under this leader.
	it('is not let go while it runs or waits here for another receiver, or may have run', () => {
		const fixture = busyFixture();
		fixture.scheduler.submit(
			poolJobFixture('waiting'),
			'r1',
			false,
			startMs + 305,
		);
		for (const [id, taskCount, isResubmitted] of [
			['busy', 2, false],
			['waiting', 1, false],
			['indeterminate', 1, true],
		] as const) {
			fixture.scheduler.submit(
				poolJobFixture(id, taskCount, {
					attempt: `other/${id}`,
					balancingWaitMs: 0,
				}),
				'r2',
				isResubmitted,
				startMs + 310,
			);
		}

		expect(fixture.answers).toEqual([]);
		expect(fixture.starts).toHaveLength(2);
	});
});
