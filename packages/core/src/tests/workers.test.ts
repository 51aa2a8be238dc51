import {describe, expect, it} from 'vitest';
import {projectLastStartMs} from '../start-projection.js';
import {WorkerDirectory} from '../worker-directory.js';
import {WorkerPace} from '../worker-pace.js';
import {workerFixture} from './pool-fixtures.js';

describe('WorkerDirectory', () => {
	it('drops a worker that the store no longer lists', () => {
		const directory = new WorkerDirectory();
		directory.put(workerFixture('w1'));
		directory.remove('w1', 1000);
		expect(directory.entries(1000)).toEqual([]);
	});

	it('keeps entries that expired in a store outage until their workers must have registered again', () => {
		const directory = new WorkerDirectory();
		directory.put(workerFixture('w1'));
		directory.put(workerFixture('w2'));
		directory.handleStoreReconnect(1000);
		directory.replaceAll([workerFixture('w2')], 1000);
		expect(directory.entries(3000)).toHaveLength(2);
		directory.put(workerFixture('w1'));
		expect(directory.entries(4000)).toHaveLength(2);
		directory.handleStoreReconnect(5000);
		directory.replaceAll([workerFixture('w2')], 5000);
		expect(directory.entries(7600).map(({id}) => id)).toEqual(['w2']);
	});

	it('keeps an unlisted worker for the same time', () => {
		const directory = new WorkerDirectory();
		directory.addUnlisted(workerFixture('w1'), 1000);
		expect(directory.entries(2000)).toHaveLength(1);
		expect(directory.unlistedCount).toBe(1);
		expect(directory.entries(4000)).toEqual([]);
		expect(directory.unlistedCount).toBe(0);
	});
});

describe('WorkerPace', () => {
	it('counts a worker as slow after a few slow runs, and no longer some seconds later', () => {
		const pace = new WorkerPace();
		for (const now of [100, 200, 300]) {
			pace.recordEndedRun(5, now);
		}

		expect(pace.isSlow(300)).toBe(true);
		expect(pace.isSlow(9000)).toBe(false);
	});

	it('counts a worker as slow from an ongoing run that exceeds its estimate', () => {
		const pace = new WorkerPace();
		pace.recordOngoingRun(4, 100);
		expect(pace.isSlow(100)).toBe(true);
	});

	it('does not count a worker as slow when single estimates are off by 40 %', () => {
		const pace = new WorkerPace();
		for (const [index, ratio] of [1.4, 0.6, 1.4, 1.4, 0.7, 1.4].entries()) {
			pace.recordEndedRun(ratio, index * 100);
		}

		expect(pace.isSlow(600)).toBe(false);
	});
});

describe('projectLastStartMs', () => {
	it('starts a task at once if it fits, otherwise when enough running tasks are expected to end', () => {
		const workers = [
			{
				freeProcessorMillis: 10,
				runEnds: [{atMs: 300, processorMillis: 40}],
				slowdownFactor: 1,
			},
			{
				freeProcessorMillis: 30,
				runEnds: [{atMs: 200, processorMillis: 20}],
				slowdownFactor: 1,
			},
		];
		const task = {processorMillis: 30, expectedMs: 100};
		expect(projectLastStartMs([], [task], workers, 0)).toBe(0);
		expect(projectLastStartMs([task], [task], workers, 0)).toBe(100);
		expect(projectLastStartMs([task, task], [task], workers, 0)).toBe(200);
	});

	it('returns infinity for a task that fits on no worker', () => {
		expect(
			projectLastStartMs([], [{processorMillis: 99, expectedMs: 1}], [], 0),
		).toBe(Number.POSITIVE_INFINITY);
	});

	it('lengthens runs on a slow worker by its slowdown factor', () => {
		const workers = [{freeProcessorMillis: 30, runEnds: [], slowdownFactor: 5}];
		const task = {processorMillis: 30, expectedMs: 100};
		expect(projectLastStartMs([task], [task], workers, 0)).toBe(500);
	});
});
