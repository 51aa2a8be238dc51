import {fitsWithin, type NotRunReason} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';
import {
	projectLastStarts,
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
 * Projects when the last waiting task of each candidate starts, in milliseconds on the clock of `now`; infinite for one that has
 * a task which fits on no available worker. All candidates are projected in one pass: after a failover and in bursts, a pass
 * for each of hundreds of jobs takes longer than the jobs may wait. `waitingJobs` are all jobs with waiting tasks, the
 * candidates included, in queue order. A candidate that would start too late takes no room from those behind it.
 */
export function projectJobStarts(
	candidates: ReadonlySet<ScheduledJob>,
	waitingJobs: readonly ScheduledJob[],
	pool: Pick<WorkerPool, 'capacity' | 'workers'>,
	now: number,
): ReadonlyMap<ScheduledJob, number> {
	const groups = new Map<string, ScheduledJob[]>();
	for (const job of candidates) {
		groups.set(job.roomKey, [...(groups.get(job.roomKey) ?? []), job]);
	}

	return new Map(
		[...groups.values()].flatMap((group) =>
			projectGroupStarts(group, {candidates, waitingJobs}, pool, now),
		),
	);
}

/** Projects the starts of candidates of one service that may run in the same zones. */
function projectGroupStarts(
	group: readonly ScheduledJob[],
	{
		candidates,
		waitingJobs,
	}: {
		readonly candidates: ReadonlySet<ScheduledJob>;
		readonly waitingJobs: readonly ScheduledJob[];
	},
	pool: Pick<WorkerPool, 'capacity' | 'workers'>,
	now: number,
): ReadonlyArray<readonly [ScheduledJob, number]> {
	const job = group[0]!;
	const {service} = job.queue;
	const inGroup = new Set(group);
	const competing = waitingJobs.filter(
		(other) =>
			other.queue.service === service &&
			haveCommonZone(other, job) &&
			(candidates.has(other) || other.receiverLostAtMs === undefined),
	);
	const projected = competing.slice(
		0,
		competing.findLastIndex((other) => inGroup.has(other)) + 1,
	);
	const projectedJobs = projected.map((other) => ({
		tasks: toProjectedTasks(other),
		limitMs: candidates.has(other)
			? Math.max(now, other.latestFirstStartMs)
			: Number.POSITIVE_INFINITY,
	}));
	const isEligible = ({entry}: PoolWorker) => job.mayRunIn(entry.zone);
	let taskCount = 0;
	let mostMillis = 0;
	for (const {tasks} of projectedJobs) {
		taskCount += tasks.length;
		for (const {processorMillis} of tasks) {
			mostMillis = Math.max(mostMillis, processorMillis);
		}
	}

	const hasRoom = pool.capacity.hasRoomForTasks(
		service,
		{taskCount, mostMillis},
		isEligible,
		now,
	);
	if (hasRoom) {
		return group.map((candidate) => [candidate, now]);
	}

	const starts = projectLastStarts(
		projectedJobs,
		pool.workers
			.filter(
				(worker) =>
					worker.entry.service === service &&
					isEligible(worker) &&
					worker.canStartTask(now),
			)
			.map((worker) => toProjectedWorker(worker, now)),
		now,
	);
	return projected.flatMap((other, index) =>
		inGroup.has(other) ? [[other, starts[index]!] as const] : [],
	);
}

/** Whether two jobs may run on workers of the same zone. */
function haveCommonZone(left: ScheduledJob, right: ScheduledJob): boolean {
	return (
		left.zones === undefined || left.zones.some((zone) => right.mayRunIn(zone))
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
