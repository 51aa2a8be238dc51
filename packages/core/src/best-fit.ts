/** Which worker of a pool is given a task. */
import {type PoolTask} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';

/** Chooses a worker for a task. */
export type FitPolicy = {
	readonly name: string;
	/** One of the workers that have room; `undefined` when there are none. */
	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined;
};

/** The baseline: the first worker that has room. */
export class FirstFit implements FitPolicy {
	readonly name = 'first-fit';

	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined {
		return candidates.find((worker) => canTake(worker, task, now));
	}
}

/** Leftover processors, in thousandths of a core, that a worker may leave and still be preferred over a slow one. */
const slowPenaltyMillis = 200_000;
/** The same for a worker on another rack than the task's data. */
const otherRackPenaltyMillis = 100_000;

/**
 * The worker on which the task leaves the least processor time unused, so that large tasks find room on the others.
 * Answers loads whose tasks take a third to a half of a worker.
 */
export class BestFit implements FitPolicy {
	readonly name = 'best-fit';

	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined {
		let best: PoolWorker | undefined;
		let leastCost = Number.POSITIVE_INFINITY;
		for (const worker of candidates) {
			if (canTake(worker, task, now)) {
				const cost = costOf(worker, task);
				if (cost < leastCost) {
					best = worker;
					leastCost = cost;
				}
			}
		}

		return best;
	}
}

function canTake(worker: PoolWorker, task: PoolTask, now: number): boolean {
	return worker.hasRoomFor(task.needs) && worker.isOpen(now);
}

function costOf(worker: PoolWorker, task: PoolTask): number {
	const leftover = worker.free.processorMillis - task.needs.processorMillis;
	return (
		leftover +
		(worker.health.isSlow ? slowPenaltyMillis : 0) +
		(task.rack === undefined || worker.entry.labels.includes(task.rack)
			? 0
			: otherRackPenaltyMillis)
	);
}
