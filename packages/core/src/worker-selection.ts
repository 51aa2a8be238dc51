import {type PoolTask} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';

/** Chooses the worker that a task is placed on. */
export type WorkerSelectionPolicy = {
	readonly name: string;
	/** Returns one of the available candidates that have room for the task, or `undefined` if there is none. */
	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined;
};

/** Places a task on the first worker that has room; the baseline for comparisons. */
export class FirstFit implements WorkerSelectionPolicy {
	get name(): string {
		return 'first-fit';
	}

	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined {
		return candidates.find((worker) => canStart(worker, task, now));
	}
}

/** Cost of a worker that takes twice as long as expected, in the unit of cost: thousandths of a core left unused. */
const slowdownCostMillis = 20_000;
/** Cost, in thousandths of a core, of a worker on another rack than the task's data. */
const otherRackCostMillis = 100_000;
/** Cost, in thousandths of a core, of a worker that is slow beyond the error of estimates, so that it is chosen last. */
const slowWorkerCostMillis = 200_000;

/**
 * Places a task on the worker that it leaves with the least processor capacity unused, so that large tasks find room on
 * others; slow workers and workers on other racks cost extra. Suits loads whose tasks need a third to a half of a worker.
 */
export class BestFit implements WorkerSelectionPolicy {
	get name(): string {
		return 'best-fit';
	}

	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined {
		let best: PoolWorker | undefined;
		let leastCost = Number.POSITIVE_INFINITY;
		for (const worker of candidates) {
			if (canStart(worker, task, now)) {
				const cost = computePlacementCost(worker, task, now);
				if (cost < leastCost) {
					best = worker;
					leastCost = cost;
				}
			}
		}

		return best;
	}
}

function canStart(worker: PoolWorker, task: PoolTask, now: number): boolean {
	return worker.hasRoomFor(task.needs) && worker.canStartTask(now);
}

function computePlacementCost(
	worker: PoolWorker,
	task: PoolTask,
	now: number,
): number {
	const leftoverMillis =
		worker.free.processorMillis - task.needs.processorMillis;
	return (
		leftoverMillis +
		slowdownCostMillis * (worker.pace.slowdownFactor(now) - 1) +
		(worker.pace.isSlow(now) ? slowWorkerCostMillis : 0) +
		(task.rack === undefined || worker.entry.labels.includes(task.rack)
			? 0
			: otherRackCostMillis)
	);
}
