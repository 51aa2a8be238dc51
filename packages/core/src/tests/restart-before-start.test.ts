import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

describe('a start on a worker that has started anew', () => {
	it('is not taken for lost by a report from before it, while the new process carries it out', () => {
		const fixture = new SchedulerFixture();
		const workers = [workerFixture('w1'), workerFixture('w2')];
		fixture.leadIdleWorkers(workers, 0);
		const [early, late] = ['j1', 'j2'].map((id) =>
			poolJobFixture(id, 1, {runMs: 3000, patienceMs: 20_000}),
		);
		fixture.scheduler.submit(early!, 'r1', false, 10);
		fixture.answerStart(fixture.starts[0]!, 12);
		fixture.receiveReport('w1', 14, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		// The worker restarts and answers a hold command; then it gets the start.
		fixture.scheduler.submit(late!, 'r1', false, 100);
		const startsOfLate = () =>
			fixture.starts.filter(({task}) => task === 'j2.0.0.0');
		expect(startsOfLate().map(({worker}) => worker.id)).toEqual(['w1']);
		fixture.receiveReport('w1', 102, {sentAtMs: 99, bornMs: 50});
		fixture.answerStart(startsOfLate()[0]!, 104);
		fixture.receiveReport('w1', 110, {
			bornMs: 50,
			running: [{task: 'j2.0.0.0', run: 1}],
		});
		fixture.tickUntil(120, 400);
		expect(startsOfLate().map(({worker}) => worker.id)).toEqual(['w1']);
	});
});
