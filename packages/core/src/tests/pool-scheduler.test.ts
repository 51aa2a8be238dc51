import {describe, expect, it} from 'vitest';
import {ArrivalOrder} from '../pool-queue.js';
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

describe('a new leader', () => {
	it('takes over what runs and what has ended, and starts only the rest', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], start);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.report('w1', start + 5, {
			running: [{task: 'j1.0.0.0', run: 2}],
			ended: [{number: 4, task: 'j1.0.0.1', run: 1, how: 'done'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1', 3), 'r1', true, start + 10);
		fixture.tickUntil(start + 20, start + 60);
		expect(fixture.starts.map(({task}) => task)).toEqual(['j1.0.0.2']);
	});

	it('takes ends that workers list after it got the job, and starts nothing again', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			start,
		);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.scheduler.submit(poolJobFixture('j1', 2), 'r1', true, start + 5);
		fixture.report('w1', start + 20, {
			ended: [{number: 3, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		fixture.report('w2', start + 25, {
			running: [{task: 'j1.0.0.1', run: 1}],
		});
		fixture.tickUntil(start + 40, start + 60);
		fixture.report('w2', start + 70, {
			ended: [{number: 1, task: 'j1.0.0.1', run: 1, how: 'done'}],
		});
		expect(fixture.starts).toEqual([]);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'completed'}},
		]);
	});

	it('starts a job in doubt only when all workers have reported, or every earlier lease has run out', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2')],
			start,
		);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.report('w1', start + 5);
		const job = poolJobFixture('j1', 1, {runMs: 5000, patienceMs: 60_000});
		fixture.scheduler.submit(job, 'r1', true, start + 10);
		fixture.tickUntil(start + 20, start + 1840);
		expect(fixture.starts).toEqual([]);
		fixture.tickUntil(start + 1860, start + 1900);
		expect(fixture.starts).toHaveLength(1);
	});

	it('does not call a job not run that went to another leader and came back', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		const wide = poolJobFixture('wide', 2, {runMs: 90, patienceMs: 9000});
		const job = poolJobFixture('j1', 1, {patienceMs: 250});
		fixture.scheduler.submit(wide, 'r1', false, start);
		fixture.scheduler.submit(job, 'r1', false, start);
		fixture.scheduler.submit(job, 'r1', true, start + 50);
		fixture.tickUntil(start + 60, start + 160);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run'}},
		]);
	});

	it('keeps a job that comes before the workers have reported, and starts it when they do', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], start);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start + 5);
		fixture.tickUntil(start + 20, start + 40);
		expect([fixture.answers, fixture.starts]).toEqual([[], []]);
		fixture.report('w1', start + 50);
		expect(fixture.starts).toMatchObject([{task: 'j1.0.0.0'}]);
	});

	it('runs a job late that was held up without a leader, after those that are in time', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], start);
		fixture.scheduler.lead('zone-a', 7, start);
		const size = {processorMillis: 40_000};
		const heldUp = poolJobFixture('late', 1, {...size, waitedMs: 300});
		fixture.scheduler.submit(heldUp, 'r1', false, start + 5);
		fixture.scheduler.submit(
			poolJobFixture('in-time', 1, size),
			'r1',
			false,
			start + 10,
		);
		fixture.report('w1', start + 20);
		fixture.report('w1', start + 120, {
			ended: [{number: 1, task: 'in-time.0.0.0', run: 1, how: 'done'}],
		});
		expect(fixture.starts.map(({task}) => task)).toEqual([
			'in-time.0.0.0',
			'late.0.0.0',
		]);
	});

	it('starts no run again that may go on in a zone that it has given up', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		const workers = [
			workerFixture('w1', {zone: 'zone-b'}),
			workerFixture('w2', {
				capacity: {processorMillis: 96_000, memoryMb: 64, accelerators: 0},
			}),
		];
		fixture.lead(workers, start);
		fixture.scheduler.lead('zone-b', 8, start);
		fixture.report('w1', start);
		const job = poolJobFixture('j1', 1, {
			processorMillis: 64_000,
			runMs: 5000,
			patienceMs: 60_000,
		});
		const later = start + 5000;
		fixture.scheduler.submit(job, 'r1', false, later);
		fixture.scheduler.drop(['zone-b'], later + 20);
		fixture.scheduler.submit(job, 'r1', true, later + 40);
		fixture.scheduler.submit({...job, attempt: 'next'}, 'r1', true, later + 50);
		fixture.tickUntil(later + 60, later + 1840);
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.answers.map(({answer}) => answer.kind)).toEqual([
			'may-have-run',
			'may-have-run',
		]);
		fixture.tickUntil(later + 1900, later + 1940);
		expect(fixture.starts).toHaveLength(2);
	});

	it('says at once that a job may have run when the doubt cannot end before its caller leaves', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.lead([workerFixture('w1')], start);
		const job = poolJobFixture('j1', 1, {patienceMs: 1500, waitedMs: 400});
		fixture.scheduler.submit(job, 'r1', true, start);
		fixture.scheduler.tick(start + 20);
		expect(fixture.answers).toMatchObject([
			{id: 'j1', answer: {kind: 'may-have-run'}},
		]);
		expect(fixture.starts).toEqual([]);
	});

	it('does not call a job in doubt not run', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(
			{...poolJobFixture('j1'), queue: 'unknown'},
			'r1',
			true,
			start,
		);
		expect(fixture.answers[0]?.answer.kind).toBe('may-have-run');
	});

	it('stops runs that no job claims, after the time in which receivers come back', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], start);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.report('w1', start, {running: [{task: 'j9.0.0.0', run: 1}]});
		fixture.tickUntil(start + 20, start + 680);
		expect(fixture.stops).toEqual([]);
		fixture.tickUntil(start + 700, start + 720);
		expect(fixture.stops).toMatchObject([{task: 'j9.0.0.0', run: 1}]);
	});

	it('forgets its jobs without an answer when it no longer leads', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		fixture.scheduler.drop(['zone-a'], start + 10);
		fixture.tickUntil(start + 20, start + 3000);
		expect(fixture.answers).toEqual([]);
		expect(fixture.scheduler.jobCount).toBe(0);
	});

	it('gets the jobs of an earlier one that gives up all zones at once, none of them answered', () => {
		const fixture = new SchedulerFixture(['zone-a', 'zone-b']);
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.lead('zone-b', 7, start);
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, start);
		expect(fixture.starts).toHaveLength(1);
		fixture.scheduler.drop(['zone-a', 'zone-b'], start + 10);
		expect(fixture.answers).toEqual([]);
		expect(fixture.stops).toEqual([]);
	});

	it('is told through the receivers which tasks are done', () => {
		const earlier = new SchedulerFixture();
		earlier.lead([workerFixture('w1')], start);
		earlier.scheduler.submit(poolJobFixture('j1', 3), 'r1', false, start);
		earlier.report('w1', start + 100, {
			running: [{task: 'j1.0.0.1', run: 1}],
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		earlier.scheduler.drop(['zone-a'], start + 101);
		expect(earlier.progress).toEqual([
			{receiver: 'r1', id: 'j1', doneTasks: ['j1.0.0.0']},
		]);
		const later = new SchedulerFixture();
		later.scheduler.updateWorkers([workerFixture('w1')], start + 102);
		later.scheduler.lead('zone-a', 8, start + 102);
		later.report('w1', start + 103, {running: [{task: 'j1.0.0.1', run: 1}]});
		later.scheduler.submit(
			poolJobFixture('j1', 3, {doneTasks: ['j1.0.0.0']}),
			'r1',
			true,
			start + 104,
		);
		later.tickUntil(start + 110, start + 170);
		expect(later.starts.map(({task}) => task)).toEqual(['j1.0.0.2']);
	});

	it('reports the token that a worker has refused', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers([workerFixture('w1')], start);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.scheduler.holdAnswered(
			'w1',
			start,
			{kind: 'refused', reason: 'fenced'},
			start + 1,
		);
		expect(fixture.fences).toEqual([{zone: 'zone-a', token: 7}]);
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

describe('overload', () => {
	/** Plays 2 s of a load of 1.5 times the pool's capacity on ideal workers, and counts the jobs in time by queue. */
	function playOverload(
		order?: ArrivalOrder,
	): Readonly<Record<string, number>> {
		const fixture = new SchedulerFixture(['zone-a'], order);
		const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => workerFixture(id));
		fixture.lead(workers, start);
		const inTime: Record<string, number> = {};
		const arrivals = new Map<
			string,
			{readonly queue: string; readonly atMs: number}
		>();
		const live = new Map<
			string,
			{readonly endMs: number; readonly worker: string}
		>();
		const endNumbers = new Map<string, number>();
		let seenStarts = 0;
		let seenAnswers = 0;
		for (let now = start; now < start + 2600; now += 10) {
			if (now < start + 2000 && now % 30 === 0) {
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

			for (const order_ of fixture.starts.slice(seenStarts)) {
				const {queue} = arrivals.get(order_.task.split('.')[0]!)!;
				live.set(order_.task, {
					endMs: now + (queue === 'macro-check' ? 60 : 300),
					worker: order_.worker.id,
				});
			}

			seenStarts = fixture.starts.length;
			for (const {id} of workers) {
				const ended = [...live].filter(
					([, run]) => run.worker === id && run.endMs <= now,
				);
				for (const [task] of ended) {
					live.delete(task);
				}

				let number = endNumbers.get(id) ?? 0;
				const listed = ended.map(([task]) => {
					number += 1;
					return {number, task, run: 1, how: 'done' as const};
				});
				endNumbers.set(id, number);
				const running = [...live]
					.filter(([, run]) => run.worker === id)
					.map(([task]) => ({task, run: 1}));
				fixture.report(id, now, {running, ended: listed});
			}

			fixture.scheduler.tick(now);
			for (const {id, answer} of fixture.answers.slice(seenAnswers)) {
				const {queue, atMs} = arrivals.get(id)!;
				const objectiveMs = 1.6 * (queue === 'macro-check' ? 60 : 300) + 60;
				if (answer.kind === 'completed' && now - atMs <= objectiveMs) {
					inTime[queue] = (inTime[queue] ?? 0) + 1;
				}
			}

			seenAnswers = fixture.answers.length;
		}

		return inTime;
	}

	it('serves more callers in time than first come, first served, and urgent ones first', () => {
		const own = playOverload();
		const baseline = playOverload(new ArrivalOrder());
		const total = (counts: Readonly<Record<string, number>>) =>
			Object.values(counts).reduce((sum, count) => sum + count, 0);
		expect(total(own)).toBeGreaterThanOrEqual(total(baseline));
		expect(own['macro-check']).toBeGreaterThan(baseline['macro-check'] ?? 0);
	});

	it('refuses at once, with the time to come back, what cannot start in time', () => {
		const fixture = new SchedulerFixture();
		fixture.lead([workerFixture('w1')], start);
		fixture.scheduler.submit(
			poolJobFixture('long', 2, {runMs: 3000, patienceMs: 9000}),
			'r1',
			false,
			start,
		);
		fixture.scheduler.submit(poolJobFixture('short'), 'r1', false, start + 1);
		expect(fixture.answers[0]).toMatchObject({
			id: 'short',
			answer: {kind: 'not-run', reason: 'overloaded'},
		});
		const {answer} = fixture.answers[0]!;
		expect('retryAfterMs' in answer && answer.retryAfterMs).toBe(2999);
	});
});
