import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const start = 100_000;

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

	it('takes over the newest run of a task, whatever ends of earlier ones are listed', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.updateWorkers(
			['w1', 'w2', 'w3'].map((id) => workerFixture(id)),
			start,
		);
		fixture.scheduler.lead('zone-a', 7, start);
		fixture.report('w1', start + 1, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 2, how: 'stopped'}],
		});
		fixture.report('w2', start + 2, {running: [{task: 'j1.0.0.0', run: 3}]});
		fixture.report('w3', start + 3, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'stopped'}],
		});
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', true, start + 5);
		fixture.tickUntil(start + 20, start + 100);
		expect(fixture.starts).toEqual([]);
		fixture.report('w2', start + 110, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 3, how: 'done'}],
		});
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
