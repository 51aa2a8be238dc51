import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;
const task = 'j1.0.0.0';
const job = poolJobFixture('j1', 1, {runMs: 5000, patienceMs: 60_000});
const doneOnFirst = {
	ended: [{number: 1, task, run: 1, how: 'done'}],
} as const;

/** Claims zone-a with two workers that have not reported. */
function claim(): SchedulerFixture {
	const fixture = new SchedulerFixture();
	fixture.scheduler.updateWorkers(
		[workerFixture('w1'), workerFixture('w2')],
		startMs,
	);
	fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
	return fixture;
}

describe('two runs of one task with the same number', () => {
	it.each([
		['w1', 'w2'],
		['w2', 'w1'],
	])(
		'are told apart by their workers: a run at work is adopted beside the stopped one (%s reports first)',
		(first, second) => {
			const fixture = claim();
			const contents = {
				w1: {ended: [{number: 1, task, run: 1, how: 'stopped' as const}]},
				w2: {running: [{task, run: 1}]},
			};
			for (const [index, id] of [first, second].entries()) {
				fixture.receiveReport(
					id,
					startMs + 5 + index,
					contents[id as 'w1' | 'w2'],
				);
			}

			fixture.scheduler.submit(job, 'r1', true, startMs + 10);
			fixture.tickUntil(startMs + 20, startMs + 100);
			expect(fixture.starts).toEqual([]);
			fixture.receiveReport('w2', startMs + 110, doneOnFirst);
			expect(fixture.answers).toMatchObject([{answer: {kind: 'completed'}}]);
		},
	);

	it('need no third run if the first is reported as done after the second has failed', () => {
		const fixture = claim();
		fixture.receiveReport('w2', startMs + 5);
		fixture.scheduler.submit(job, 'r1', false, startMs + 10);
		fixture.tickUntil(startMs + 20, startMs + 1900);
		expect(fixture.starts).toMatchObject([{run: 1, worker: {id: 'w2'}}]);
		fixture.scheduler.updateWorkers(
			[workerFixture('w1'), workerFixture('w2', {state: 'draining'})],
			startMs + 1905,
		);
		fixture.receiveReport('w2', startMs + 1910, {
			ended: [{number: 1, task, run: 1, how: 'failed'}],
		});
		fixture.receiveReport('w1', startMs + 1920, doneOnFirst);
		fixture.tickUntil(startMs + 1940, startMs + 2000);
		expect(fixture.starts).toHaveLength(1);
		expect(fixture.answers).toMatchObject([{answer: {kind: 'completed'}}]);
	});

	it('end with the first that is done: the other one is stopped, and its end starts nothing', () => {
		const fixture = claim();
		fixture.receiveReport('w2', startMs + 5, {running: [{task, run: 1}]});
		const wideJob = poolJobFixture('j1', 2, {runMs: 5000, patienceMs: 60_000});
		fixture.scheduler.submit(wideJob, 'r1', true, startMs + 10);
		fixture.receiveReport('w1', startMs + 20, doneOnFirst);
		expect(fixture.stops).toMatchObject([{task, run: 1, worker: {id: 'w2'}}]);
		fixture.receiveReport('w2', startMs + 40, {
			ended: [{number: 1, task, run: 1, how: 'stopped'}],
		});
		fixture.tickUntil(startMs + 60, startMs + 200);
		expect(fixture.starts.map((start) => start.task)).toEqual(['j1.0.0.1']);
	});
});
