import {type LostRunRegister} from './lost-runs.js';
import {fitsWithin, type Resources} from './pool-job.js';
import {type PoolWorker} from './pool-worker.js';
import {type ScheduledJob, type ScheduledTask} from './scheduled-job.js';
import {type WorkerPool} from './worker-pool.js';
import {type WorkerSelectionPolicy} from './worker-selection.js';

/** What the choice of workers depends on. */
export type PlacementContext = {
	readonly pool: Pick<WorkerPool, 'capacity' | 'workers'>;
	readonly lostRuns: Pick<LostRunRegister, 'isSuspect'>;
	readonly workerSelection: WorkerSelectionPolicy;
};

/**
 * Chooses workers for the waiting tasks of one pass over the queue. Room only shrinks within a pass, so that what has found
 * none is not searched for again: with a long queue on full workers, most tasks of most passes find none.
 */
export class PlacementPass {
	readonly #context: PlacementContext;
	readonly #now: number;
	/** Free amount that no available worker of a service exceeds, by service, in thousandths of a core. */
	readonly #freeMillisLimits = new Map<string, number>();
	/** Needs that no available worker has room for, by {@link ScheduledJob.roomKey}. */
	readonly #missingNeeds = new Map<string, Resources>();

	constructor(context: PlacementContext, now: number) {
		this.#context = context;
		this.#now = now;
	}

	/** Whether a waiting task of a job may find room; if not, none does. */
	mayHaveRoom(job: ScheduledJob): boolean {
		const {service} = job.queue;
		const limitMillis =
			this.#freeMillisLimits.get(service) ??
			this.#context.pool.capacity.freeMillisLimit(service, this.#now);
		this.#freeMillisLimits.set(service, limitMillis);
		return job.tasks.some(
			({state, task: {needs}}) =>
				state === 'waiting' && needs.processorMillis <= limitMillis,
		);
	}

	/** Accounts for a start of a task of a job. */
	recordStart(job: ScheduledJob): void {
		this.#freeMillisLimits.delete(job.queue.service);
	}

	/**
	 * Chooses the worker of a waiting task, or `undefined` if none has room. A job that has not started gets no worker that is
	 * too slow for it, and a task avoids the worker of its last run unless that is the only one.
	 */
	choose(job: ScheduledJob, task: ScheduledTask): PoolWorker | undefined {
		const {roomKey} = job;
		const missingNeeds = this.#missingNeeds.get(roomKey);
		if (
			missingNeeds !== undefined &&
			fitsWithin(missingNeeds, task.task.needs)
		) {
			return undefined;
		}

		const latestEndMs = job.latestFirstStartMs + job.longestTaskMs;
		const isInZone = ({entry}: PoolWorker): boolean => job.mayRunIn(entry.zone);
		const isAllowed = (worker: PoolWorker): boolean =>
			isInZone(worker) &&
			worker.entry.id !== task.avoidedWorker &&
			(job.hasStarted ||
				this.#now + task.expectedMs * worker.pace.slowdownFactor(this.#now) <=
					latestEndMs);
		const worker =
			this.#chooseAllowed(job, task, isAllowed) ??
			(this.#isOnlyAvoidedWorkerAvailable(job, task)
				? this.#chooseAllowed(job, task, isInZone)
				: undefined);
		if (
			worker === undefined &&
			this.#context.workerSelection.choose(
				task.task,
				this.#context.pool.capacity.candidates(job.queue.service),
				isInZone,
				this.#now,
			) === undefined
		) {
			this.#missingNeeds.set(roomKey, task.task.needs);
		}

		return worker;
	}

	/**
	 * Chooses among allowed workers. A task that may crash its worker goes to an idle one if possible, else to one with few
	 * runs, and never to one that runs another such task: a crash would leave both under suspicion. Once an answer is of no
	 * use any more, the runs of others are not put at risk for it.
	 */
	#chooseAllowed(
		job: ScheduledJob,
		{task}: ScheduledTask,
		isAllowed: (worker: PoolWorker) => boolean,
	): PoolWorker | undefined {
		const {pool, lostRuns, workerSelection} = this.#context;
		const candidates = pool.capacity.candidates(job.queue.service);
		if (!lostRuns.isSuspect(task.name)) {
			return workerSelection.choose(task, candidates, isAllowed, this.#now);
		}

		const maxOtherRunCounts =
			this.#now > job.latestUsefulStartMs
				? [0]
				: [0, 1, Number.POSITIVE_INFINITY];
		for (const maxOtherRuns of maxOtherRunCounts) {
			const worker = workerSelection.choose(
				task,
				candidates,
				(candidate) =>
					!candidate.hasSuspect &&
					candidate.activeRuns.length <= maxOtherRuns &&
					isAllowed(candidate),
				this.#now,
			);
			if (worker !== undefined) {
				return worker;
			}
		}

		return undefined;
	}

	/** Whether a task of a started job has no available worker but the one that it should avoid. */
	#isOnlyAvoidedWorkerAvailable(
		job: ScheduledJob,
		{avoidedWorker}: ScheduledTask,
	): boolean {
		return (
			job.hasStarted &&
			avoidedWorker !== undefined &&
			!this.#context.pool.workers.some(
				(worker) =>
					worker.entry.service === job.queue.service &&
					job.mayRunIn(worker.entry.zone) &&
					worker.entry.id !== avoidedWorker &&
					worker.canStartTask(this.#now),
			)
		);
	}
}
