import {fitsWithin, type NotRunReason} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';
import {
	projectLastStartMs,
	type ProjectedTask,
	type ProjectedWorker,
} from './start-projection.js';
import {type ScheduledJob} from './scheduled-job.js';
import {type WorkerPool} from './worker-pool.js';

/** Why a job cannot run, with the number of workers that serve its queue. */
export type Infeasibility = {
	readonly reason: NotRunReason;
	readonly workers: number;
};

/**
 * Returns why a job cannot run on the listed workers of its service in its zones, or `undefined` if it can. A job that fits
 * into the capacity that a worker has had is not refused for good, as that capacity may come back.
 */
export function findInfeasibility(
	job: ScheduledJob,
	allWorkers: readonly PoolWorker[],
	now: number,
): Infeasibility | undefined {
	const isCandidate = (worker: PoolWorker): boolean =>
		worker.isListed &&
		!worker.isEvacuated &&
		worker.entry.service === job.queue.service &&
		job.mayRunIn(worker.entry.zone);
	if (!allWorkers.some((worker) => isCandidate(worker))) {
		return {reason: 'no-workers', workers: 0};
	}

	const canFit = job.tasks.every(({task: {needs}}) =>
		allWorkers.some(
			(worker) =>
				isCandidate(worker) && fitsWithin(needs, worker.largestCapacity),
		),
	);
	const countCandidates = (): number =>
		allWorkers.filter((worker) => isCandidate(worker)).length;
	if (!canFit) {
		return {reason: 'cannot-fit', workers: countCandidates()};
	}

	return now > job.latestUsefulStartMs
		? {reason: 'deadline-impossible', workers: countCandidates()}
		: undefined;
}

/**
 * Projects when the last waiting task of a job starts if the jobs of `ahead` go first, in milliseconds on the clock of
 * `now`. Returns infinity if a task fits on no available worker.
 */
export function projectJobLastStartMs(
	job: ScheduledJob,
	ahead: readonly ScheduledJob[],
	pool: Pick<WorkerPool, 'capacity' | 'workers'>,
	now: number,
): number {
	const {service} = job.queue;
	const tasksAhead = ahead
		.filter(
			({queue, receiverLostAtMs}) =>
				queue.service === service && receiverLostAtMs === undefined,
		)
		.flatMap((other) => toProjectedTasks(other));
	const ownTasks = toProjectedTasks(job);
	const tasks = [...tasksAhead, ...ownTasks];
	let mostMillis = 0;
	for (const {processorMillis} of tasks) {
		mostMillis = Math.max(mostMillis, processorMillis);
	}

	const isEligible = ({entry}: PoolWorker) => job.mayRunIn(entry.zone);
	const hasRoom = pool.capacity.hasRoomForTasks(
		service,
		{taskCount: tasks.length, mostMillis},
		isEligible,
		now,
	);
	if (hasRoom) {
		return now;
	}

	return projectLastStartMs(
		tasksAhead,
		ownTasks,
		pool.workers
			.filter(
				(worker) =>
					worker.entry.service === service &&
					isEligible(worker) &&
					worker.canStartTask(now),
			)
			.map((worker) => toProjectedWorker(worker, now)),
		now,
		Math.max(now, job.latestFirstStartMs),
	);
}

/** Returns the waiting tasks of a job for a projection. */
export function toProjectedTasks({
	waitingTasks,
}: ScheduledJob): readonly ProjectedTask[] {
	return waitingTasks.map(({task: {needs}, expectedMs}) => ({
		processorMillis: needs.processorMillis,
		expectedMs,
	}));
}

/** Returns the state of a worker for a projection. */
export function toProjectedWorker(
	worker: PoolWorker,
	now: number,
): ProjectedWorker {
	const slowdownFactor = worker.pace.slowdownFactor(now);
	return {
		slowdownFactor,
		freeProcessorMillis: worker.free.processorMillis,
		runEnds: [...worker.runs.values()].map(
			({orderedAtMs, expectedMs, needs}) => ({
				atMs: orderedAtMs + expectedMs * slowdownFactor,
				processorMillis: needs.processorMillis,
			}),
		),
	};
}
