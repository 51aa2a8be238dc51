import {describe, expect, it} from 'vitest';
import {LostRunRegister} from '../lost-runs.js';

const now = 1000;

/** Creates a run of the only task of a job. */
function runFixture(jobId: string, run = 1, startedAtMs = now) {
	return {task: `${jobId}.0.0.0`, run, startedAtMs, isConfirmed: true};
}

describe('lost runs', () => {
	it('suspect tasks that started together at a first crash, and only earlier suspects after that', () => {
		const register = new LostRunRegister();
		register.recordWorkerLoss(
			[runFixture('a'), runFixture('b')],
			'w1',
			true,
			now,
		);
		register.recordWorkerLoss(
			[runFixture('a', 2), runFixture('c')],
			'w2',
			true,
			now,
		);
		expect(['a', 'b', 'c'].map((id) => register.assess(`${id}.0.0.0`))).toEqual(
			['crashing', 'suspect', 'unsuspected'],
		);
	});

	it('do not suspect a task that had run for long beside the one that crashed the worker', () => {
		const register = new LostRunRegister();
		register.recordWorkerLoss(
			[runFixture('old', 1, now - 500), runFixture('new')],
			'w1',
			true,
			now,
		);
		expect(['old', 'new'].map((id) => register.assess(`${id}.0.0.0`))).toEqual([
			'unsuspected',
			'suspect',
		]);
	});

	it('suspect no task of a worker that cannot be reached, but bound its losses', () => {
		const register = new LostRunRegister();
		const suspicions = ['w1', 'w2', 'w3'].map((worker, index) => {
			const run = runFixture('a', index + 1);
			register.recordWorkerLoss([run], worker, false, now);
			return register.assess(run.task);
		});
		expect(suspicions).toEqual([
			'unsuspected',
			'unsuspected',
			'lost-too-often',
		]);
	});

	it('count one crash once, however often it is seen and whoever reports it', () => {
		const register = new LostRunRegister();
		const lostRuns = register.recordWorkerLoss(
			[runFixture('a')],
			'w1',
			true,
			now,
		);
		expect(
			register.recordWorkerLoss([runFixture('a')], 'w1', true, now),
		).toEqual([]);
		expect(register.record(lostRuns, now)).toEqual([]);
		expect(register.assess('a.0.0.0')).toBe('suspect');
	});

	it('clear no suspect when the same crash is seen again', () => {
		const register = new LostRunRegister();
		const runs = [runFixture('a'), runFixture('b')];
		register.recordWorkerLoss([runs[0]!], 'w0', true, now);
		const both = [{...runs[0]!, run: 2}, runs[1]!];
		register.recordWorkerLoss(both, 'w1', true, now);
		register.recordWorkerLoss(both, 'w1', true, now);
		expect(register.assess('b.0.0.0')).toBe('unsuspected');
	});

	it('are forgotten a minute after the last one of their job', () => {
		const register = new LostRunRegister();
		register.recordWorkerLoss([runFixture('a')], 'w1', true, now);
		register.record([], now + 60_001);
		expect(register.ofJob('a')).toEqual([]);
	});
});
