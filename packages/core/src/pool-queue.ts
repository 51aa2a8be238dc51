/** In which order the jobs of a pool start, and which are refused at arrival. */

/** What the order and the door look at. Times are in milliseconds. */
export type QueuedJob = {
	readonly id: string;
	readonly priority: number;
	readonly arrivedAtMs: number;
	/** Latest start with which the job still meets its objective. */
	readonly startByMs: number;
	/** Latest start with which the job is answered before its caller leaves. */
	readonly lastStartMs: number;
	/** Latest first start for which the job waits: later than its objective allows only when a missing leader held it up. */
	readonly keptUntilMs: number;
	/** Processor time in core-milliseconds of the tasks that have not started. */
	readonly waitingWork: number;
	readonly hasStarted: boolean;
};

/** Sorts jobs: a negative number when the left one starts first. */
export type QueueOrder = {
	readonly name: string;
	compare(left: QueuedJob, right: QueuedJob, now: number): number;
};

/** The baseline: first come, first served. */
export class ArrivalOrder implements QueueOrder {
	get name(): string {
		return 'arrival';
	}

	compare(left: QueuedJob, right: QueuedJob): number {
		return left.arrivedAtMs - right.arrivedAtMs;
	}
}

/**
 * Jobs that have begun first, since a job counts only when its last task ends; then those that can still meet their
 * objective, by priority and latest start. Answers loads above the capacity of the pool.
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
			left.startByMs - right.startByMs
		);
	}
}

/** Whether a job can no longer meet its objective. */
export function isLate({startByMs}: QueuedJob, now: number): boolean {
	return now > startByMs;
}

/** Whether a job is admitted, or refused with the time after which it may come again. */
export type PoolAdmission =
	| {readonly kind: 'admitted'; readonly waitMs: number}
	| {
			readonly kind: 'refused';
			readonly waitMs: number;
			readonly retryAfterMs: number;
	  };

/** Shortest time after which a refused caller may come again, so that refusals do not cost more than work. */
const shortestRetryMs = 1000;

/**
 * Refuses a job whose last task is not expected to start in time for its objective. Answers bursts: what waits longer
 * than that would be late and make others late. After a loss of the leader the workers are idle, and a late answer is
 * worth more to a caller than none; jobs that were held up by it are taken as long as their callers wait.
 */
export function admit(
	job: QueuedJob,
	lastStartMs: number,
	now: number,
): PoolAdmission {
	const waitMs = lastStartMs - now;
	return lastStartMs <= job.keptUntilMs
		? {kind: 'admitted', waitMs}
		: {
				kind: 'refused',
				waitMs,
				retryAfterMs: Number.isFinite(waitMs)
					? Math.max(shortestRetryMs, Math.ceil(waitMs))
					: shortestRetryMs,
			};
}
