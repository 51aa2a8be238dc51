import {describe, expect, it} from 'vitest';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const startMs = 100_000;

function createLeader(): SchedulerFixture {
	const fixture = new SchedulerFixture();
	fixture.leadIdleWorkers([workerFixture('w1')], startMs);
	return fixture;
}

describe('the cancelling of a job', () => {
	it('that a leader does not know holds for its submission, which it has overtaken', () => {
		const fixture = createLeader();
		expect(fixture.scheduler.cancelForCaller('j1', startMs)).toBe('unknown');
		fixture.scheduler.submit(
			poolJobFixture('j1'),
			'r1',
			false,
			startMs + 10_000,
		);
		expect(fixture.starts).toEqual([]);
		expect(fixture.answers).toEqual([
			{receiver: 'r1', id: 'j1', answer: {kind: 'cancelled'}},
		]);
	});

	it('stops the job, and is not told again as that of a job which is there', () => {
		const fixture = createLeader();
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		expect(fixture.scheduler.cancelForCaller('j1', startMs + 10)).toBe(
			'cancelled',
		);
		expect(fixture.stops.map(({task}) => task)).toEqual(['j1.0.0.0']);
		expect(fixture.scheduler.cancelForCaller('j1', startMs + 20)).toBe(
			'unknown',
		);
	});

	it('leaves the result of a job that has ended', () => {
		const fixture = createLeader();
		fixture.scheduler.submit(poolJobFixture('j1'), 'r1', false, startMs);
		fixture.receiveReport('w1', startMs + 100, {
			ended: [{number: 1, task: 'j1.0.0.0', run: 1, how: 'done'}],
		});
		expect(fixture.scheduler.cancelForCaller('j1', startMs + 200)).toBe('over');
		expect(fixture.scheduler.getJobState('j1')).toEqual({kind: 'completed'});
	});

	it('that an entry VM was told before it became the leader has the runs of the job stopped without delay', () => {
		const fixture = new SchedulerFixture();
		fixture.scheduler.cancelForCaller('j1', startMs);
		fixture.scheduler.updateWorkers([workerFixture('w1')], startMs);
		fixture.scheduler.startLeadingZone('zone-a', 7, startMs);
		fixture.receiveReport('w1', startMs + 10, {
			running: [{task: 'j1.0.0.0', run: 1}],
		});
		fixture.scheduler.tick(startMs + 20);
		expect(fixture.stops.map(({task}) => task)).toEqual(['j1.0.0.0']);
	});
});
