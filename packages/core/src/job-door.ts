/** Which jobs a pool takes: those that can run at all, and whose projected start suits their objective. */
import {fits, type NotRunReason} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';
import {
	projectLastStartMs,
	type ProjectedTask,
	type ProjectedWorker,
} from './projection.js';
import {type ScheduledJob} from './scheduled-job.js';

/** Why a job can never run here, with the number of workers that were looked at. */
export type Misfit = {
	readonly reason: NotRunReason;
	readonly workers: number;
};

/** Why a job can never run on these workers; `undefined` when it can. */
export function misfitOf(
	job: ScheduledJob,
	allWorkers: readonly PoolWorker[],
	now: number,
): Misfit | undefined {
	const workers = allWorkers.filter(
		(worker) => worker.isListed && worker.entry.service === job.queue.service,
	);
	if (workers.length === 0) {
		return {reason: 'no-workers', workers: 0};
	}

	const isPossible = job.tasks.every(({task: {needs}}) =>
		workers.some(({entry}) => fits(needs, entry.capacity)),
	);
	if (!isPossible) {
		return {reason: 'cannot-fit', workers: workers.length};
	}

	return now > job.lastStartMs
		? {reason: 'deadline-impossible', workers: workers.length}
		: undefined;
}

/** When the last task of a job would start behind other jobs. */
export function projectJobStartMs(
	job: ScheduledJob,
	ahead: readonly ScheduledJob[],
	workers: readonly PoolWorker[],
	now: number,
): number {
	const {service} = job.queue;
	return projectLastStartMs(
		ahead
			.filter(
				({queue, detachedAtMs}) =>
					queue.service === service && detachedAtMs === undefined,
			)
			.flatMap((other) => projectedTasks(other)),
		projectedTasks(job),
		workers
			.filter(
				(worker) => worker.entry.service === service && worker.canStartTask(now),
			)
			.map((worker) => projectedWorker(worker, now)),
		now,
	);
}

function projectedTasks({waiting}: ScheduledJob): readonly ProjectedTask[] {
	return waiting.map(({task: {needs}, expectedMs}) => ({
		millis: needs.processorMillis,
		expectedMs,
	}));
}

function projectedWorker(worker: PoolWorker, now: number): ProjectedWorker {
	const slowness = worker.pace.slowdownFactor(now);
	return {
		slowness,
		freeMillis: worker.free.processorMillis,
		ends: [...worker.runs.values()].map(({orderedAtMs, expectedMs, needs}) => ({
			atMs: orderedAtMs + expectedMs * slowness,
			millis: needs.processorMillis,
		})),
	};
}
