/** Properties of a job that its place in the queue and its admission depend on. Times are in milliseconds. */
export type QueuedJob = {
	readonly id: string;
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
 * Puts started jobs first, since a job is complete only when its last task ends; then jobs that can still meet their
 * objective. Within each group, jobs go by priority and then by latest start. Serves more callers in time when the load
 * exceeds the capacity of the pool.
 */
export class ObjectiveOrder implements QueueOrder {
	get name(): string {
		return 'objective';
	}

	compare(left: QueuedJob, right: QueuedJob, now: number): number {
		return (
			Number(right.hasStarted) - Number(left.hasStarted) ||
			Number(isLate(left, now)) - Number(isLate(right, now)) ||
			left.priority - right.priority ||
			left.latestObjectiveStartMs - right.latestObjectiveStartMs
		);
	}
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
