import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	desiredStateFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

describe('scheduled job', () => {
	it('is answered when its last task has ended', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(poolJobFixture('j1', 2), 'r1', false, startMs);
		expect(fixture.starts.map(({task, run}) => [task, run])).toEqual([
			['j1.0.0.0', 1],
			['j1.0.0.1', 1],
		]);
		for (const start of fixture.starts) {
			fixture.answerStart(start, startMs + 1);
		}

		const ended = [
			{number: 1, task: 'j1.0.0.0', run: 1, how: 'done' as const},
			{number: 2, task: 'j1.0.0.1', run: 1, how: 'done' as const},
		];
		fixture.receiveReport('w1', startMs + 100, {
			running: [{task: 'j1.0.0.1', run: 1}],
			ended: ended.slice(0, 1),
		});
		expect(fixture.answers).toEqual([]);
		fixture.receiveReport('w1', startMs + 110, {ended});
		expect(fixture.answers).toEqual([
			{receiver: 'r1', id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it('runs once and gives copies of the request the same answer', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r2', false, startMs + 10);
		fixture.receiveReport('w1', startMs + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r3', false, startMs + 1300);
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.answers.map(({receiver}) => receiver)).toEqual(['r2', 'r3']);
	});

	it('retries a failed task until its attempts are used up', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		for (const run of [1, 2, 3]) {
			const {worker, task} = fixture.starts.at(-1)!;
			fixture.answerStart(fixture.starts.at(-1)!, startMs + run);
			fixture.receiveReport(worker.id, startMs + run, {
				ended: [{number: run, task, run, how: 'failed'}],
			});
		}

		expect(fixture.starts.map(({run}) => run)).toEqual([1, 2, 3]);
		expect(fixture.answers[0]?.answer.kind).toBe('failed');
	});

	it('is refused if a task exceeds the capacity of every worker, or its queue does not exist', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(
			poolJobFixture('big', 1, {processorMillis: 65_000}),
			'r1',
			false,
			startMs,
		);
		fixture.scheduler.applyDesiredState({
			...desiredStateFixture(2),
			queues: [],
		});
		fixture.scheduler.submit(poolJobFixture('late'), 'r1', false, startMs);
		expect(fixture.answers.map(({answer}) => answer)).toMatchObject([
			{kind: 'not-run', reason: 'cannot-fit'},
			{kind: 'not-run', reason: 'queue-unknown'},
		]);
		expect(fixture.starts).toEqual([]);
	});

	it('uses the latest desired state after an older one is applied', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.applyDesiredState({
			...desiredStateFixture(3),
			queues: [],
		});
		fixture.scheduler.applyDesiredState(desiredStateFixture(2));
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		expect(fixture.answers[0]?.answer).toMatchObject({
			reason: 'queue-unknown',
		});
	});
});

describe('unanswered start command', () => {
	it('is resent to the same worker with the same run number', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		const [first] = fixture.starts;
		fixture.answerStart(first!, startMs + 50, {kind: 'silent'});
		expect(fixture.starts).toHaveLength(2);
		expect(fixture.starts[1]).toMatchObject({run: 1, worker: first!.worker});
	});

	it('is replaced on another worker only after a stop has ruled out that the run starts', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		const {worker, task} = fixture.starts[0]!;
		for (const attempt of [1, 2, 3]) {
			fixture.answerStart(fixture.starts.at(-1)!, startMs + 50 * attempt, {
				kind: 'silent',
			});
		}

		expect(fixture.starts).toHaveLength(3);
		expect(fixture.stops).toMatchObject([{task, run: 1}]);
		fixture.scheduler.handleStopOutcome(
			worker.id,
			task,
			{kind: 'done', clockMs: startMs + 160},
			startMs + 160,
		);
		fixture.receiveReport(worker.id, startMs + 170, {sentAtMs: startMs + 165});
		expect(fixture.starts).toHaveLength(3);
		fixture.receiveReport(worker.id, startMs + 230, {sentAtMs: startMs + 215});
		expect(fixture.starts[3]).toMatchObject({task, run: 2});
		expect(fixture.starts[3]?.worker.id).not.toBe(worker.id);
	});

	it('carries an expiry time one lease after it is sent', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 5);
		expect(fixture.starts[0]?.leaseExpiresAtMs).toBe(startMs + 5 + 1000);
	});
});

describe('run of a task', () => {
	function createFixtureWithRun(): SchedulerFixture {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {runMs: 3000, patienceMs: 9000}),
			'r1',
			false,
			startMs,
		);
		fixture.answerStart(fixture.starts[0]!, startMs + 1);
		return fixture;
	}

	it('is stopped, not retried, when reports do not list it', () => {
		const fixture = createFixtureWithRun();
		fixture.receiveReport('w1', startMs + 50, {sentAtMs: startMs + 10});
		fixture.receiveReport('w1', startMs + 60, {sentAtMs: startMs + 55});
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.stops).toHaveLength(1);
	});

	it('is retried only after its lease has certainly expired when its worker does not answer', () => {
		const fixture = createFixtureWithRun();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs + 2,
		);
		fixture.receiveReport('w2', startMs + 3);
		// From here on, no hold command to w1 is answered.
		let answeredHolds = fixture.holds.length - 1;
		for (let now = startMs + 20; now <= startMs + 1000; now += 20) {
			fixture.scheduler.tick(now);
			if (fixture.holds.length > answeredHolds) {
				answeredHolds = fixture.holds.length;
				fixture.scheduler.handleHoldOutcome(
					'w1',
					{sentAtMs: now, fencingToken: 7},
					{kind: 'silent'},
					now,
				);
			}
		}

		const lastExtensionMs = fixture.holds.findLast(
			({worker, leaseExpiresAtMs}) =>
				worker.id === 'w1' && leaseExpiresAtMs !== undefined,
		)!.leaseExpiresAtMs!;
		expect(fixture.holds.at(-1)?.leaseExpiresAtMs).toBeUndefined();
		expect(fixture.starts).toHaveLength(1);
		fixture.tickUntil(startMs + 1020, lastExtensionMs + 20);
		expect(fixture.starts).toHaveLength(1);
		fixture.tickUntil(lastExtensionMs + 40, lastExtensionMs + 300);
		expect(fixture.starts[1]).toMatchObject({run: 2, worker: {id: 'w2'}});
	});

	it('is retried when its worker process has restarted', () => {
		const fixture = createFixtureWithRun();
		fixture.receiveReport('w1', startMs + 50, {bornMs: 2});
		expect(fixture.starts).toHaveLength(2);
	});

	it('is stopped when its caller leaves', () => {
		const fixture = createFixtureWithRun();
		expect(
			fixture.scheduler.cancel('j1', 'caller-left', 'r1', startMs + 50),
		).toBe(true);
		expect(fixture.stops).toHaveLength(1);
		expect(fixture.answers[0]?.answer).toEqual({
			kind: 'may-have-run',
			reason: 'caller-left',
		});
	});
});

describe('worker selection', () => {
	it('excludes workers that drain or are no longer listed', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.updateWorkers(
			[workerFixture('w1', {state: 'draining'})],
			startMs + 1,
		);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 2);
		expect(fixture.starts).toEqual([]);
	});

	it('sets aside a worker that fails every task', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		for (const number of [1, 2, 3]) {
			const id = `j${number}`;
			fixture.scheduler.submit(
				poolJobFixture(id),
				'r1',
				false,
				startMs + number,
			);
			const task = `${id}.0.0.0`;
			fixture.answerStart(fixture.starts.at(-1)!, startMs + number);
			fixture.receiveReport('w1', startMs + number, {
				ended: [{number: 2 * number, task, run: 1, how: 'failed'}],
			});
			fixture.scheduler.cancel(id, 'cancelled', 'r1', startMs + number);
			fixture.receiveReport('w1', startMs + number, {
				ended: [{number: 2 * number + 1, task, run: 2, how: 'stopped'}],
			});
		}

		expect(fixture.decisions).toContainEqual(
			expect.objectContaining({event: 'worker', reason: 'set-aside'}),
		);
	});

	it('requests a report shortly after the next expected end of a run', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		fixture.answerStart(fixture.starts[0]!, startMs + 1);
		expect(fixture.holds.at(-1)?.maxReportDelayMs).toBeLessThanOrEqual(150);
		expect(fixture.holds.at(-1)?.maxReportDelayMs).toBeGreaterThanOrEqual(100);
	});
});

describe('a leader that was late', () => {
	/** Lets six short runs start on a worker and end while the leader is late, which has read the first end only. */
	function playLateLeader(): SchedulerFixture {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		for (let index = 0; index < 6; index += 1) {
			fixture.scheduler.submit(
				poolJobFixture(`j${index}`, 1, {
					runMs: 60,
					processorMillis: 1000,
					patienceMs: 2500,
				}),
				'r1',
				false,
				startMs,
			);
		}

		for (const start of fixture.starts) {
			fixture.answerStart(start, startMs + 1);
		}

		fixture.scheduler.tick(startMs + 20);
		fixture.receiveReport('w1', startMs + 470, {
			sentAtMs: startMs + 5,
			ended: [{number: 1, task: fixture.starts[0]!.task, run: 1, how: 'done'}],
			running: fixture.starts.slice(1).map(({task}) => ({task, run: 1})),
		});
		fixture.scheduler.tick(startMs + 470);
		return fixture;
	}

	it('does not take the runs whose ends it has not read yet for stuck', () => {
		const fixture = playLateLeader();
		expect(fixture.starts).toHaveLength(6);
		expect(fixture.stops).toEqual([]);
	});

	it('does not take the worker for slow', () => {
		const [worker] = playLateLeader().scheduler.pool.workers;
		expect(worker!.pace.isSlow(startMs + 470)).toBe(false);
	});
});

describe('run that takes many times as long as expected', () => {
	const runMs = 100;

	/** Starts a job's one task on one of two workers, and ticks until shortly after six times its expected run time. */
	function playStuckRun(patienceMs: number): SchedulerFixture {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			startMs,
		);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {runMs, patienceMs}),
			'r1',
			false,
			startMs,
		);
		fixture.answerStart(fixture.starts[0]!, startMs + 1);
		fixture.tickUntil(startMs + 20, startMs + 6 * runMs - 20);
		expect(fixture.stops).toEqual([]);
		fixture.tickUntil(startMs + 6 * runMs, startMs + 6 * runMs + 20);
		return fixture;
	}

	it('is stopped, and its task starts on another worker once it has ended', () => {
		const fixture = playStuckRun(5000);
		expect(fixture.stops).toHaveLength(1);
		expect(fixture.starts).toHaveLength(1);
		const [first] = fixture.starts;
		fixture.receiveReport(first!.worker.id, startMs + 660, {
			ended: [{number: 1, task: first!.task, run: 1, how: 'stopped'}],
		});
		expect(fixture.starts).toHaveLength(2);
		expect(fixture.starts[1]!.worker.id).not.toBe(first!.worker.id);
		expect(fixture.starts[1]!.run).toBe(2);
	});

	it('is left alone when its task was stopped for this before, since the estimate may be wrong', () => {
		const fixture = playStuckRun(5000);
		const [first] = fixture.starts;
		fixture.receiveReport(first!.worker.id, startMs + 660, {
			ended: [{number: 1, task: first!.task, run: 1, how: 'stopped'}],
		});
		const second = fixture.starts[1]!;
		fixture.answerStart(second, startMs + 661);
		for (let now = startMs + 680; now < startMs + 2000; now += 20) {
			fixture.receiveReport(second.worker.id, now, {
				running: [{task: second.task, run: 2}],
			});
			fixture.scheduler.tick(now);
		}

		expect(fixture.stops).toHaveLength(1);
	});

	it('is left alone when another run would end after its caller has left', () => {
		expect(playStuckRun(700).stops).toEqual([]);
	});
});

describe('unreachable entry VM', () => {
	it('gets no more tasks started, and its jobs are abandoned after the timeout', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		const job = poolJobFixture('j1', 3);
		fixture.scheduler.submit(job, 'r1', false, startMs);
		expect(fixture.starts).toHaveLength(2);
		fixture.scheduler.markReceiverUnreachable('r1', startMs + 10);
		fixture.answerStart(fixture.starts[0]!, startMs + 11);
		fixture.receiveReport('w1', startMs + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.tickUntil(startMs + 120, startMs + 600);
		expect(fixture.starts).toHaveLength(2);
		fixture.tickUntil(startMs + 620, startMs + 640);
		expect(fixture.stops).toHaveLength(1);
		expect(fixture.scheduler.jobCount).toBe(0);
	});
});

describe('caller that has left', () => {
	it('ends its job only at the receiver that has it, as the caller may have sent it again elsewhere', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		const job = poolJobFixture('j1');
		fixture.scheduler.submit(job, 'r1', false, startMs);
		fixture.scheduler.submit(
			{...job, attempt: 'entry/again'},
			'r2',
			false,
			startMs + 10,
		);
		expect(
			fixture.scheduler.cancel('j1', 'caller-left', 'r1', startMs + 20),
		).toBe(false);
		expect(fixture.stops).toEqual([]);
		expect(fixture.scheduler.jobCount).toBe(1);
		expect(
			fixture.scheduler.cancel('j1', 'caller-left', 'r2', startMs + 30),
		).toBe(true);
	});
});

describe('refused attempt', () => {
	it('starts nothing when its message is delivered again, while a new attempt of the caller runs', () => {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers([workerFixture('w1')], startMs);
		const long = poolJobFixture('long', 2, {runMs: 300});
		fixture.scheduler.submit(long, 'r1', false, startMs);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs + 1);
		expect(fixture.answers).toMatchObject([{answer: {kind: 'not-run'}}]);
		fixture.scheduler.cancel('long', 'cancelled', 'r1', startMs + 2);
		const ended = [1, 2].map((number) => ({
			number,
			task: `long.0.0.${number - 1}`,
			run: 1,
			how: 'stopped' as const,
		}));
		fixture.receiveReport('w1', startMs + 20, {ended});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', true, startMs + 30);
		expect(fixture.starts).toHaveLength(2);
		expect(fixture.answers.at(-1)?.answer.kind).toBe('may-have-run');
		fixture.tickUntil(startMs + 40, startMs + 980);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {attempt: 'entry/again'}),
			'r1',
			false,
			startMs + 1000,
		);
		expect(fixture.starts).toHaveLength(3);
	});

	it('logs under which token, for which zones and receiver a job was admitted and placed', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.leadIdleWorkers([workerFixture('w1')], 1000);
		for (const change of [
			{zones: ['zone-a'], leaderToken: 7},
			{leaderToken: 5, earlierToken: 6},
		]) {
			fixture.scheduler.submit(
				poolJobFixture(`j${change.leaderToken}`, 1, change),
				'r1',
				false,
				1000,
			);
		}

		const logged = fixture.decisions.flatMap((decision) =>
			decision.event === 'admitted' || decision.event === 'placed'
				? [[decision.id, decision.event, decision.inputs]]
				: [],
		);
		expect(logged).toMatchObject([
			['j7', 'admitted', {receiver: 'r1', zones: 'zone-a', token: 7}],
			['j7', 'placed', {token: 7}],
			['j5', 'admitted', {zones: '*', earlierToken: 6, unsettled: 1}],
		]);
		expect(logged[0]?.[2]).not.toHaveProperty('unsettled');
	});
});
