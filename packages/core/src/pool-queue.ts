import {type QueueShares} from './queue-shares.js';

/** Properties of a job that its place in the queue and its admission depend on. Times are in milliseconds. */
export type QueuedJob = {
	readonly id: string;
	/** Name of the queue that the job was submitted to. */
	readonly queueName: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly arrivedAtMs: number;
	/** Latest start with which the job still meets its latency objective. */
	readonly latestObjectiveStartMs: number;
	/** Latest start with which the caller can still use the answer. */
	readonly latestUsefulStartMs: number;
	/** Latest first start before the job is abandoned; failover can move it beyond the latest start for the objective. */
	readonly latestFirstStartMs: number;
	/** Expected processor time of the waiting tasks in core-milliseconds. */
	readonly waitingCoreMs: number;
	readonly hasStarted: boolean;
};

/** The order in which waiting jobs start. */
export type QueueOrder = {
	readonly name: string;
	/** Shares of the queues that the order depends on; absent if it depends on none. */
	readonly shares?: QueueShares | undefined;
	/** Returns a negative number if `left` starts before `right`. */
	compare(left: QueuedJob, right: QueuedJob, now: number): number;
};

/** First in, first out; the baseline for comparisons. */
export class ArrivalOrder implements QueueOrder {
	get name(): string {
		return 'arrival';
	}

	compare(left: QueuedJob, right: QueuedJob): number {
		return left.arrivedAtMs - right.arrivedAtMs;
	}
}

/**
 * Puts started jobs first, since a job is complete only when its last task ends, unless no answer of theirs can be of use any
 * more; then jobs that can still meet their objective. Within each group, jobs of queues with a claim go first, then jobs by
 * priority and by latest start. Serves more callers in time when the load exceeds the capacity of the pool.
 */
export class ObjectiveOrder implements QueueOrder {
	/** `shares` decides which queues have a claim; without it none has. */
	constructor(readonly shares?: QueueShares) {}

	get name(): string {
		return 'objective';
	}

	compare(left: QueuedJob, right: QueuedJob, now: number): number {
		return (
			Number(isWorthFinishing(right, now)) -
				Number(isWorthFinishing(left, now)) ||
			Number(isLate(left, now)) - Number(isLate(right, now)) ||
			Number(this.#hasClaim(right, now)) - Number(this.#hasClaim(left, now)) ||
			left.priority - right.priority ||
			left.latestObjectiveStartMs - right.latestObjectiveStartMs
		);
	}

	#hasClaim({queueName}: QueuedJob, now: number): boolean {
		return this.shares?.hasClaim(queueName, now) ?? false;
	}
}

/** Whether a job has started and its caller can still use an answer. */
function isWorthFinishing(
	{hasStarted, latestUsefulStartMs}: QueuedJob,
	now: number,
): boolean {
	return hasStarted && now <= latestUsefulStartMs;
}

/** Whether a job can no longer meet its latency objective. */
export function isLate(
	{latestObjectiveStartMs}: QueuedJob,
	now: number,
): boolean {
	return now > latestObjectiveStartMs;
}

/** Whether a job is admitted. `waitMs` is the projected wait for the start of its last task, infinite if a task has no room. */
export type PoolAdmission =
	| {readonly kind: 'admitted'; readonly waitMs: number}
	| {
			readonly kind: 'refused';
			readonly waitMs: number;
			/** Milliseconds after which the caller should retry. */
			readonly retryAfterMs: number;
	  };

/** Shortest retry delay in milliseconds, so that refusing retries does not cost more than running the jobs. */
const minRetryAfterMs = 1000;

/**
 * Refuses a job whose last task is projected to start after {@link QueuedJob.latestFirstStartMs}. In a burst, such a job
 * would miss its objective and delay others. Jobs that failover delayed have a later limit: the workers are idle then,
 * and a late answer is worth more to the caller than none.
 */
export function decidePoolAdmission(
	job: QueuedJob,
	projectedLastStartMs: number,
	now: number,
): PoolAdmission {
	const waitMs = projectedLastStartMs - now;
	return projectedLastStartMs <= job.latestFirstStartMs
		? {kind: 'admitted', waitMs}
		: {
				kind: 'refused',
				waitMs,
				retryAfterMs: Number.isFinite(waitMs)
					? Math.max(minRetryAfterMs, Math.ceil(waitMs))
					: minRetryAfterMs,
			};
}
