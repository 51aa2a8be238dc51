import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	desiredStateFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const start = 100_000;

describe('a job', () => {
	it('is answered when the last of its tasks has ended', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(poolJobFixture('j1', 2), 'r1', false, start);
		expect(fixture.starts.map(({task, run}) => [task, run])).toEqual([
			['j1.0.0.0', 1],
			['j1.0.0.1', 1],
		]);
		for (const order of fixture.starts) {
			fixture.started(order, start + 1);
		}

		const ended = [
			{number: 1, task: 'j1.0.0.0', run: 1, how: 'done' as const},
			{number: 2, task: 'j1.0.0.1', run: 1, how: 'done' as const},
		];
		fixture.report('w1', start + 100, {
			running: [{task: 'j1.0.0.1', run: 1}],
			ended: ended.slice(0, 1),
		});
		expect(fixture.answers).toEqual([]);
		fixture.report('w1', start + 110, {ended});
		expect(fixture.answers).toEqual([
			{receiver: 'r1', id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it('gives every copy the one answer, and starts nothing again', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r2', false, start + 10);
		fixture.report('w1', start + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r3', false, start + 1300);
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.answers.map(({receiver}) => receiver)).toEqual(['r2', 'r3']);
	});

	it('runs a failed task again until its attempts are used up', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1'), workerFixture('w2')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		for (const run of [1, 2, 3]) {
			const {worker, task} = fixture.starts.at(-1)!;
			fixture.started(fixture.starts.at(-1)!, start + run);
			fixture.report(worker.id, start + run, {
				ended: [{number: run, task, run, how: 'failed'}],
			});
		}

		expect(fixture.starts.map(({run}) => run)).toEqual([1, 2, 3]);
		expect(fixture.answers[0]?.answer.kind).toBe('failed');
	});

	it('is refused when no worker could ever hold a task, or its queue is gone', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(
			poolJobFixture('big', 1, {processorMillis: 65_000}),
			'r1',
			false,
			start,
		);
		fixture.scheduler.configure({...desiredStateFixture(2), queues: []});
		fixture.scheduler.submit(poolJobFixture('late'), 'r1', false, start);
		expect(fixture.answers.map(({answer}) => answer)).toMatchObject([
			{kind: 'not-run', reason: 'cannot-fit'},
			{kind: 'not-run', reason: 'queue-unknown'},
		]);
		expect(fixture.starts).toEqual([]);
	});

	it('keeps the newest desired state when an older one comes', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.configure({...desiredStateFixture(3), queues: []});
		fixture.scheduler.configure(desiredStateFixture(2));
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		expect(fixture.answers[0]?.answer).toMatchObject({
			reason: 'queue-unknown',
		});
	});
});

describe('an order without an answer', () => {
	it('is sent again to the same worker with the same number', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1'), workerFixture('w2')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		const [first] = fixture.starts;
		fixture.started(first!, start + 50, {kind: 'silent'});
		expect(fixture.starts).toHaveLength(2);
		expect(fixture.starts[1]).toMatchObject({run: 1, worker: first!.worker});
	});

	it('moves to another worker only after a stop has made sure that it will not run', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1'), workerFixture('w2')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		const {worker, task} = fixture.starts[0]!;
		for (const attempt of [1, 2, 3]) {
			fixture.started(fixture.starts.at(-1)!, start + 50 * attempt, {
				kind: 'silent',
			});
		}

		expect(fixture.starts).toHaveLength(3);
		expect(fixture.stops).toMatchObject([{task, run: 1}]);
		fixture.scheduler.stopAnswered(
			worker.id,
			task,
			{kind: 'done', clockMs: start + 160},
			start + 160,
		);
		fixture.report(worker.id, start + 170, {sentAtMs: start + 165});
		expect(fixture.starts).toHaveLength(3);
		fixture.report(worker.id, start + 230, {sentAtMs: start + 215});
		expect(fixture.starts[3]).toMatchObject({task, run: 2});
		expect(fixture.starts[3]?.worker.id).not.toBe(worker.id);
	});

	it('carries an end after which it is void, at most a lease away', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start + 5);
		expect(fixture.starts[0]?.leaseUntilMs).toBe(start + 5 + 1000);
	});
});

describe('a run', () => {
	function running(): SchedulerFixture {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {runMs: 3000, patienceMs: 9000}),
			'r1',
			false,
			start,
		);
		fixture.started(fixture.starts[0]!, start + 1);
		return fixture;
	}

	it('that a list omits is not taken for ended', () => {
		const fixture = running();
		fixture.report('w1', start + 50, {sentAtMs: start + 10});
		fixture.report('w1', start + 60, {sentAtMs: start + 55});
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.stops).toHaveLength(1);
	});

	it('is taken for ended when its lease has surely run out, and not before', () => {
		const fixture = running();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			start + 2,
		);
		fixture.report('w2', start + 3);
		// No hold of w1 is answered from now on.
		let answered = fixture.holds.length - 1;
		for (let now = start + 20; now <= start + 1000; now += 20) {
			fixture.scheduler.tick(now);
			if (fixture.holds.length > answered) {
				answered = fixture.holds.length;
				fixture.scheduler.holdAnswered('w1', now, {kind: 'silent'}, now);
			}
		}

		const lastExtensionMs = fixture.holds.findLast(
			({worker, leaseUntilMs}) =>
				worker.id === 'w1' && leaseUntilMs !== undefined,
		)!.leaseUntilMs!;
		expect(fixture.holds.at(-1)?.leaseUntilMs).toBeUndefined();
		expect(fixture.starts).toHaveLength(1);
		fixture.tickUntil(start + 1020, lastExtensionMs + 20);
		expect(fixture.starts).toHaveLength(1);
		fixture.tickUntil(lastExtensionMs + 40, lastExtensionMs + 300);
		expect(fixture.starts[1]).toMatchObject({run: 2, worker: {id: 'w2'}});
	});

	it('ends with the life of its worker', () => {
		const fixture = running();
		fixture.report('w1', start + 50, {bornMs: 2});
		expect(fixture.starts).toHaveLength(2);
	});

	it('is stopped when its caller has left', () => {
		const fixture = running();
		expect(fixture.scheduler.cancel('j1', 'caller-left', start + 50)).toBe(
			true,
		);
		expect(fixture.stops).toHaveLength(1);
		expect(fixture.answers[0]?.answer).toEqual({
			kind: 'may-have-run',
			reason: 'caller-left',
		});
	});
});

describe('workers', () => {
	it('get nothing once they drain or are no longer listed', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1'), workerFixture('w2')], start);
		fixture.scheduler.updateWorkers(
			[workerFixture('w1', {state: 'draining'})],
			start + 1,
		);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start + 2);
		expect(fixture.starts).toEqual([]);
	});

	it('that fail everything are set aside', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		for (const number of [1, 2, 3]) {
			const id = `j${number}`;
			fixture.scheduler.submit(poolJobFixture(id), 'r1', false, start + number);
			const task = `${id}.0.0.0`;
			fixture.started(fixture.starts.at(-1)!, start + number);
			fixture.report('w1', start + number, {
				ended: [{number: 2 * number, task, run: 1, how: 'failed'}],
			});
			fixture.scheduler.cancel(id, 'cancelled', start + number);
			fixture.report('w1', start + number, {
				ended: [{number: 2 * number + 1, task, run: 2, how: 'stopped'}],
			});
		}

		expect(fixture.decisions).toContainEqual(
			expect.objectContaining({event: 'worker', reason: 'set-aside'}),
		);
	});

	it('are asked for a report shortly after the next expected end', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		fixture.started(fixture.starts[0]!, start + 1);
		expect(fixture.holds.at(-1)?.waitMs).toBeLessThanOrEqual(150);
		expect(fixture.holds.at(-1)?.waitMs).toBeGreaterThanOrEqual(100);
	});
});

describe('an entry VM that is out of reach', () => {
	it('has nothing more started for it, and its jobs are given up in time', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		const job = poolJobFixture('j1', 3);
		fixture.scheduler.submit(job, 'r1', false, start);
		expect(fixture.starts).toHaveLength(2);
		fixture.scheduler.receiverLost('r1', start + 10);
		fixture.started(fixture.starts[0]!, start + 11);
		fixture.report('w1', start + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.tickUntil(start + 120, start + 600);
		expect(fixture.starts).toHaveLength(2);
		fixture.tickUntil(start + 620, start + 640);
		expect(fixture.stops).toHaveLength(1);
		expect(fixture.scheduler.jobCount).toBe(0);
	});
});

describe('a refused attempt', () => {
	it('starts nothing when its message is delivered once more, but the caller may come back', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		const long = poolJobFixture('long', 2, {runMs: 300});
		fixture.scheduler.submit(long, 'r1', false, start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start + 1);
		expect(fixture.answers).toMatchObject([{answer: {kind: 'not-run'}}]);
		fixture.scheduler.cancel('long', 'cancelled', start + 2);
		const ended = [1, 2].map((number) => ({
			number,
			task: `long.0.0.${number - 1}`,
			run: 1,
			how: 'stopped' as const,
		}));
		fixture.report('w1', start + 20, {ended});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', true, start + 30);
		expect(fixture.starts).toHaveLength(2);
		expect(fixture.answers.at(-1)?.answer.kind).toBe('may-have-run');
		fixture.scheduler.submit(
			poolJobFixture('j1', 1, {attempt: 'entry/again'}),
			'r1',
			false,
			start + 1000,
		);
		expect(fixture.starts).toHaveLength(3);
	});
});
