import {describe, expect, it} from 'vitest';
import {projectLastStartMs} from '../start-projection.js';
import {WorkerDirectory} from '../worker-directory.js';
import {WorkerPace} from '../worker-pace.js';
import {workerFixture} from './pool-fixtures.js';

describe('directory of workers', () => {
	it('drops a worker that the store no longer lists', () => {
		const directory = new WorkerDirectory();
		directory.put(workerFixture('w1'));
		directory.remove('w1', 1000);
		expect(directory.entries(1000)).toEqual([]);
	});

	it('keeps entries that lapsed while the store was away until they must have come back', () => {
		const directory = new WorkerDirectory();
		directory.put(workerFixture('w1'));
		directory.put(workerFixture('w2'));
		directory.storeReturned(1000);
		directory.replace([workerFixture('w2')], 1000);
		expect(directory.entries(3000)).toHaveLength(2);
		directory.put(workerFixture('w1'));
		expect(directory.entries(4000)).toHaveLength(2);
		directory.storeReturned(5000);
		directory.replace([workerFixture('w2')], 5000);
		expect(directory.entries(7600).map(({id}) => id)).toEqual(['w2']);
	});

	it('takes a worker on the word of another entry VM for as long', () => {
		const directory = new WorkerDirectory();
		directory.vouch(workerFixture('w1'), 1000);
		expect(directory.entries(2000)).toHaveLength(1);
		expect(directory.entries(4000)).toEqual([]);
	});
});

describe('pace of a worker', () => {
	it('knows a slow worker after a few runs, and forgets it within seconds', () => {
		const pace = new WorkerPace();
		for (const now of [100, 200, 300]) {
			pace.ended(5, now);
		}

		expect(pace.isSlow(300)).toBe(true);
		expect(pace.isSlow(9000)).toBe(false);
	});

	it('learns from a run that goes on', () => {
		const pace = new WorkerPace();
		pace.goesOn(4, 100);
		expect(pace.isSlow(100)).toBe(true);
	});

	it('is not misled by estimates that are off by 40 %', () => {
		const pace = new WorkerPace();
		for (const [index, ratio] of [1.4, 0.6, 1.4, 1.4, 0.7, 1.4].entries()) {
			pace.ended(ratio, index * 100);
		}

		expect(pace.isSlow(600)).toBe(false);
	});
});

describe('projection', () => {
	it('starts what fits at once and the rest when room is expected', () => {
		const workers = [
			{freeProcessorMillis: 10, runEnds: [{atMs: 300, processorMillis: 40}], slowdownFactor: 1},
			{freeProcessorMillis: 30, runEnds: [{atMs: 200, processorMillis: 20}], slowdownFactor: 1},
		];
		const task = {processorMillis: 30, expectedMs: 100};
		expect(projectLastStartMs([], [task], workers, 0)).toBe(0);
		expect(projectLastStartMs([task], [task], workers, 0)).toBe(100);
		expect(projectLastStartMs([task, task], [task], workers, 0)).toBe(200);
	});

	it('is infinite for a task that fits nowhere', () => {
		expect(projectLastStartMs([], [{processorMillis: 99, expectedMs: 1}], [], 0)).toBe(
			Number.POSITIVE_INFINITY,
		);
	});

	it('counts on longer runs on a slow worker', () => {
		const workers = [{freeProcessorMillis: 30, runEnds: [], slowdownFactor: 5}];
		const task = {processorMillis: 30, expectedMs: 100};
		expect(projectLastStartMs([task], [task], workers, 0)).toBe(500);
	});
});
