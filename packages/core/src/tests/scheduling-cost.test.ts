import fc from 'fast-check';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {FreeCapacityIndex} from '../free-capacity-index.js';
import {PoolWorker} from '../pool-worker.js';
import {projectLastStartMs, type ProjectedTask} from '../start-projection.js';
import {BestFit} from '../worker-selection.js';
import {
	SchedulerFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

const seed = 20_261_204;
const startMs = 100_000;
/** Largest number of workers of the size to design for. */
const mostWorkers = 810;

const workerArbitrary = fc.record({
	capacityMillis: fc.constantFrom(16_000, 32_000, 64_000),
	usedMillis: fc.array(fc.integer({min: 1, max: 24_000}), {maxLength: 3}),
	paceRatio: fc.option(fc.double({min: 0.2, max: 5, noNaN: true}), {
		nil: undefined,
	}),
	isSynced: fc.boolean(),
});
const needsArbitrary = fc.integer({min: 0, max: 40_000});

/** Creates workers with runs and an index of them. */
function createWorkers(
	states: ReadonlyArray<{
		readonly capacityMillis: number;
		readonly usedMillis: readonly number[];
		readonly paceRatio: number | undefined;
		readonly isSynced: boolean;
	}>,
): {
	readonly workers: readonly PoolWorker[];
	readonly index: FreeCapacityIndex;
} {
	const index = new FreeCapacityIndex();
	const workers = states.map(
		({capacityMillis, usedMillis, paceRatio, isSynced}, ordinal) => {
			const worker = new PoolWorker(
				workerFixture(`w${ordinal}`, {
					capacity: {
						processorMillis: capacityMillis,
						memoryMb: 4096,
						accelerators: 0,
					},
				}),
				ordinal,
				(changed) => {
					index.update(changed);
				},
			);
			index.update(worker);
			worker.isSynced = isSynced;
			for (const [run, processorMillis] of usedMillis.entries()) {
				worker.addRun({
					task: `j${run}.0.0.0`,
					run: 1,
					jobId: `j${run}`,
					needs: {processorMillis, memoryMb: 64, accelerators: 0},
					expectedMs: 100,
					state: 'running',
					orderedAtMs: startMs,
					confirmedAtMs: startMs,
					omissions: 0,
					sendCount: 1,
					lastSentAtMs: startMs,
					isConfirmed: true,
					isSuspect: false,
				});
			}

			if (paceRatio !== undefined) {
				worker.pace.recordEndedRun(paceRatio, startMs);
				index.recordSlowdownFactor(worker.pace.slowdownFactor(startMs));
			}

			return worker;
		},
	);
	return {workers, index};
}

describe('placement by the index of free capacity', () => {
	it('chooses the worker with the least cost among all that have room', () => {
		fc.assert(
			fc.property(
				fc.array(workerArbitrary, {maxLength: 30}),
				needsArbitrary,
				fc.nat(5000),
				(states, processorMillis, laterMs) => {
					const now = startMs + laterMs;
					const {workers, index} = createWorkers(states);
					const task = {
						name: 'j.0.0.0',
						needs: {processorMillis, memoryMb: 64, accelerators: 0},
						declaredMs: 100,
					};
					const [expected] = workers
						.filter(
							(worker) =>
								worker.hasRoomFor(task.needs) && worker.canStartTask(now),
						)
						.map((worker) => {
							const factor = worker.pace.slowdownFactor(now);
							return {
								worker,
								cost:
									worker.free.processorMillis -
									processorMillis +
									20_000 * (factor - 1) +
									(factor >= 1.8 ? 200_000 : 0),
							};
						})
						.toSorted((left, right) => left.cost - right.cost);
					expect(
						new BestFit().choose(
							task,
							index.candidates('menu'),
							() => true,
							now,
						),
					).toBe(expected?.worker);
				},
			),
			{seed, numRuns: 500},
		);
	});

	it('finds room for tasks only if the full projection starts all of them at once', () => {
		fc.assert(
			fc.property(
				fc.array(workerArbitrary, {maxLength: 12}),
				fc.array(needsArbitrary, {minLength: 1, maxLength: 12}),
				(states, needs) => {
					const {workers, index} = createWorkers(states);
					const tasks = needs.map((processorMillis) => ({
						processorMillis,
						expectedMs: 100,
					}));
					const projected = projectLastStartMs(
						tasks.slice(1),
						tasks.slice(0, 1),
						workers
							.filter((worker) => worker.canStartTask(startMs))
							.map(({free}) => ({
								freeProcessorMillis: free.processorMillis,
								slowdownFactor: 1,
								runEnds: [],
							})),
						startMs,
					);
					const hasRoom = index.hasRoomForTasks(
						'menu',
						{taskCount: tasks.length, mostMillis: Math.max(...needs)},
						() => true,
						startMs,
					);
					fc.pre(hasRoom);
					expect(projected).toBe(startMs);
				},
			),
			{seed, numRuns: 300},
		);
	});
});

describe('projectLastStartMs', () => {
	/** The same projection by examining every worker for each task. */
	function projectByFullSearch(
		tasks: readonly ProjectedTask[],
		ownCount: number,
		workers: Parameters<typeof projectLastStartMs>[2],
		now: number,
	): number {
		const states = workers.map(
			({freeProcessorMillis, runEnds, slowdownFactor}) => ({
				free: freeProcessorMillis,
				freeSinceMs: now,
				slowdownFactor,
				ends: runEnds.map((end) => ({...end, atMs: Math.max(now, end.atMs)})),
			}),
		);
		const starts = tasks.map(({processorMillis, expectedMs}) => {
			const [best] = states
				.flatMap((state) => {
					state.ends.sort((left, right) => left.atMs - right.atMs);
					const amounts = [
						{atMs: state.freeSinceMs, processorMillis: 0},
						...state.ends,
					];
					let {free} = state;
					const found = amounts.find((end) => {
						free += end.processorMillis;
						return free >= processorMillis;
					});
					return found === undefined
						? []
						: [{state, startMs: Math.max(state.freeSinceMs, found.atMs)}];
				})
				.toSorted(
					(left, right) =>
						left.startMs - right.startMs || left.state.free - right.state.free,
				);
			if (best === undefined) {
				return Number.POSITIVE_INFINITY;
			}

			const {state, startMs: taskStartMs} = best;
			while (state.free < processorMillis) {
				state.free += state.ends.shift()!.processorMillis;
			}

			state.freeSinceMs = taskStartMs;
			state.free -= processorMillis;
			state.ends.push({
				atMs: taskStartMs + expectedMs * state.slowdownFactor,
				processorMillis,
			});
			return taskStartMs;
		});
		return Math.max(now, ...starts.slice(tasks.length - ownCount));
	}

	it('gives the same start as a search over all workers', () => {
		fc.assert(
			fc.property(
				fc.array(
					fc.record({
						freeProcessorMillis: fc.integer({min: -5, max: 20}),
						slowdownFactor: fc.constantFrom(0.5, 1, 2),
						runEnds: fc.array(
							fc.record({
								atMs: fc.integer({min: startMs - 50, max: startMs + 50}),
								processorMillis: fc.integer({min: 1, max: 20}),
							}),
							{maxLength: 3},
						),
					}),
					{maxLength: 8},
				),
				fc.array(
					fc.record({
						processorMillis: fc.integer({min: 0, max: 30}),
						expectedMs: fc.integer({min: 1, max: 60}),
					}),
					{minLength: 1, maxLength: 25},
				),
				fc.nat(4),
				(workers, tasks, own) => {
					const ownCount = Math.min(tasks.length, own + 1);
					expect(
						projectLastStartMs(
							tasks.slice(0, tasks.length - ownCount),
							tasks.slice(tasks.length - ownCount),
							workers,
							startMs,
						),
					).toBe(projectByFullSearch(tasks, ownCount, workers, startMs));
				},
			),
			{seed, numRuns: 1000},
		);
	});

	// Room that a run frees later counted as free at once for the second task on a worker, so that too much was admitted.
	it('starts no task in room that is not free yet', () => {
		const workers = [50, 80, 120].map((atMs) => ({
			freeProcessorMillis: 10,
			slowdownFactor: 1,
			runEnds: [{atMs: startMs + atMs, processorMillis: 54}],
		}));
		const task = {processorMillis: 27, expectedMs: 100};
		expect(
			[1, 2, 3, 4, 5, 6, 7, 8, 9].map(
				(count) =>
					projectLastStartMs(
						[],
						Array.from({length: count}, () => task),
						workers,
						startMs,
					) - startMs,
			),
		).toEqual([50, 50, 80, 80, 120, 120, 150, 150, 180]);
	});

	it('stops at a limit with a start that is beyond it exactly if the full projection is', () => {
		fc.assert(
			fc.property(
				fc.array(
					fc.record({
						freeProcessorMillis: fc.integer({min: 0, max: 20}),
						slowdownFactor: fc.constant(1),
						runEnds: fc.array(
							fc.record({
								atMs: fc.integer({min: startMs, max: startMs + 50}),
								processorMillis: fc.integer({min: 1, max: 20}),
							}),
							{maxLength: 3},
						),
					}),
					{minLength: 1, maxLength: 6},
				),
				fc.array(
					fc.record({
						processorMillis: fc.integer({min: 1, max: 20}),
						expectedMs: fc.integer({min: 1, max: 60}),
					}),
					{minLength: 2, maxLength: 25},
				),
				fc.integer({min: 0, max: 200}),
				(workers, tasks, limit) => {
					const limitMs = startMs + limit;
					const args = [tasks.slice(1), tasks.slice(0, 1), workers] as const;
					const full = projectLastStartMs(...args, startMs);
					const limited = projectLastStartMs(...args, startMs, limitMs);
					expect(limited > limitMs).toBe(full > limitMs);
					expect(limited).toBeLessThanOrEqual(full);
				},
			),
			{seed, numRuns: 1000},
		);
	});

	it('ignores a task ahead that fits on no worker', () => {
		expect(
			projectLastStartMs(
				[{processorMillis: 99, expectedMs: 1}],
				[{processorMillis: 30, expectedMs: 1}],
				[
					{
						freeProcessorMillis: 10,
						slowdownFactor: 1,
						runEnds: [{atMs: 300, processorMillis: 40}],
					},
				],
				0,
			),
		).toBe(300);
	});
});

describe('cost of a submission', () => {
	afterEach(() => {
		vi.restoreAllMocks();
	});

	/** Counts how often workers are examined while a job of `taskCount` tasks is admitted and placed. */
	function countExaminedWorkers(
		idleCount: number,
		fullCount: number,
		taskCount: number,
	): number {
		const fixture = new SchedulerFixture();
		fixture.leadIdleWorkers(
			Array.from({length: idleCount + fullCount}, (_, index) =>
				workerFixture(`w${index}`),
			),
			startMs,
		);
		for (let index = 0; index < fullCount; index += 1) {
			fixture.scheduler.submit(
				poolJobFixture(`full${index}`, 1, {processorMillis: 64_000}),
				'r1',
				false,
				startMs,
			);
		}

		const examine = vi.spyOn(PoolWorker.prototype, 'canStartTask');
		const fit = vi.spyOn(PoolWorker.prototype, 'hasRoomFor');
		fixture.scheduler.submit(
			poolJobFixture('measured', taskCount),
			'r1',
			false,
			startMs,
		);
		const count = examine.mock.calls.length + fit.mock.calls.length;
		vi.restoreAllMocks();
		expect(fixture.starts).toHaveLength(fullCount + taskCount);
		return count;
	}

	it('does not grow with the number of workers that have no room', () => {
		expect(countExaminedWorkers(10, mostWorkers - 10, 4)).toBe(
			countExaminedWorkers(10, 0, 4),
		);
	});

	it('examines each worker of the largest deployment less than ten times for a job of 30 tasks', () => {
		expect(countExaminedWorkers(mostWorkers, 0, 30)).toBeLessThan(
			10 * mostWorkers,
		);
	});
});
