import {type PoolTask} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';

/** Workers with similar free processor amounts, in thousandths of a core. */
export type WorkerGroup = {
	/** No worker of this group, or of one that follows it, has less free. */
	readonly leastFreeMillis: number;
	/** Sorted by their ordinals. */
	readonly workers: readonly PoolWorker[];
};

/** The workers of a service, whether or not they take tasks at present. */
export type WorkerCandidates = {
	/** Lower bound of the slowdown factors of all workers. */
	readonly leastSlowdownFactor: number;
	/** Returns all workers with at least this amount free, and perhaps some with less, in groups with ascending amounts. */
	groupsFrom(leastFreeMillis: number): Iterable<WorkerGroup>;
};

/** Chooses the worker that a task is placed on. */
export type WorkerSelectionPolicy = {
	readonly name: string;
	/** Returns an allowed and available candidate that has room for the task, or `undefined` if there is none. */
	choose(
		task: PoolTask,
		candidates: WorkerCandidates,
		isAllowed: (worker: PoolWorker) => boolean,
		now: number,
	): PoolWorker | undefined;
};

/** Places a task on the worker with the lowest ordinal that has room; the baseline for comparisons. */
export class FirstFit implements WorkerSelectionPolicy {
	get name(): string {
		return 'first-fit';
	}

	choose(
		task: PoolTask,
		candidates: WorkerCandidates,
		isAllowed: (worker: PoolWorker) => boolean,
		now: number,
	): PoolWorker | undefined {
		return [...candidates.groupsFrom(task.needs.processorMillis)]
			.flatMap(({workers}) => workers)
			.filter((worker) => canStart(worker, task, now) && isAllowed(worker))
			.toSorted((left, right) => left.ordinal - right.ordinal)[0];
	}
}

/** Cost of a worker that takes twice as long as expected, in the unit of cost: thousandths of a core left unused. */
const slowdownCostMillis = 20_000;
/** Cost, in thousandths of a core, of a worker on another rack than the task's data. */
const otherRackCostMillis = 100_000;
/** Cost, in thousandths of a core, of a worker that is cold or slow beyond the error of estimates, so that it is chosen last. */
const slowWorkerCostMillis = 200_000;

/** Cost, in thousandths of a core, of a worker that a task beside the new one may crash. */
const suspectCostMillis = 150_000;

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
		candidates: WorkerCandidates,
		isAllowed: (worker: PoolWorker) => boolean,
		now: number,
	): PoolWorker | undefined {
		const {processorMillis} = task.needs;
		const leastSlowdownCost = computeSlowdownCost(
			candidates.leastSlowdownFactor,
		);
		let best: PoolWorker | undefined;
		let leastCost = Number.POSITIVE_INFINITY;
		for (const {leastFreeMillis, workers} of candidates.groupsFrom(
			processorMillis,
		)) {
			const leastGroupCost =
				leastFreeMillis - processorMillis + leastSlowdownCost;
			if (leastGroupCost > leastCost) {
				break;
			}

			for (const worker of workers) {
				if (canStart(worker, task, now) && isAllowed(worker)) {
					const cost = computePlacementCost(worker, task, now);
					if (
						cost < leastCost ||
						(cost === leastCost && worker.ordinal < best!.ordinal)
					) {
						best = worker;
						leastCost = cost;
					}

					if (cost === leastGroupCost) {
						// The workers that follow in this group cost no less.
						break;
					}
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
		computeSlowdownCost(worker.pace.slowdownFactor(now)) +
		(worker.pace.isSlow(now) || worker.isCold(now) ? slowWorkerCostMillis : 0) +
		(task.rack === undefined || worker.entry.labels.includes(task.rack)
			? 0
			: otherRackCostMillis) +
		(worker.hasSuspect ? suspectCostMillis : 0)
	);
}

function computeSlowdownCost(slowdownFactor: number): number {
	return slowdownCostMillis * (slowdownFactor - 1);
}
