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
	get name(): string {
		return 'first-fit';
	}

	choose(
		task: PoolTask,
		candidates: readonly PoolWorker[],
		now: number,
	): PoolWorker | undefined {
		return candidates.find((worker) => canTake(worker, task, now));
	}
}

/** Unused processors, in thousandths of a core, that are as bad as a worker's taking twice as long. */
const slownessMillis = 20_000;
/** The same for a worker on another rack than the task's data. */
const otherRackMillis = 100_000;
/** Added for a worker that is slow beyond the spread of estimates, so that it is taken last. */
const slowMillis = 200_000;

/**
 * The worker on which the task leaves the least processor time unused, so that large tasks find room on the others, and
 * a fast one among equals. Answers loads whose tasks take a third to a half of a worker.
 */
export class BestFit implements FitPolicy {
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
			if (canTake(worker, task, now)) {
				const cost = costOf(worker, task, now);
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
	return worker.hasRoomFor(task.needs) && worker.canStartTask(now);
}

function costOf(worker: PoolWorker, task: PoolTask, now: number): number {
	const leftover = worker.free.processorMillis - task.needs.processorMillis;
	return (
		leftover +
		slownessMillis * (worker.pace.slowdownFactor(now) - 1) +
		(worker.pace.isSlow(now) ? slowMillis : 0) +
		(task.rack === undefined || worker.entry.labels.includes(task.rack)
			? 0
			: otherRackMillis)
	);
}
