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
	readonly name = 'arrival';

	compare(left: QueuedJob, right: QueuedJob): number {
		return left.arrivedAtMs - right.arrivedAtMs;
	}
}

/**
 * Jobs that have begun first, since a job counts only when its last task ends; then those that can still meet their
 * objective, by priority and latest start. Answers loads above the capacity of the pool.
 */
export class ObjectiveOrder implements QueueOrder {
	readonly name = 'objective';

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

/** What the pool can do now. */
export type PoolLoad = {
	/** Thousandths of a core of all workers that take work. */
	readonly totalMillis: number;
	/** Thousandths of a core that are free. */
	readonly freeMillis: number;
	/** Mean run time of a task in milliseconds. */
	readonly meanRunMs: number;
};

/** Share of processors that tasks can fill; the rest is lost to tasks that do not fit beside each other. */
const packableShare = 0.85;

/** Expected wait in milliseconds until work behind other work has started. */
export function expectedWaitMs(
	load: PoolLoad,
	workAhead: number,
	ownWork: number,
): number {
	if (load.totalMillis === 0) {
		return Number.POSITIVE_INFINITY;
	}

	const freeWork = (load.freeMillis / 1000) * load.meanRunMs;
	const excess = Math.max(0, workAhead + ownWork - freeWork);
	return excess / ((load.totalMillis / 1000) * packableShare);
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
 * Refuses a job that is not expected to start in time for its objective, given the jobs that go before it. Answers
 * bursts: what waits longer than that would be late and make others late.
 */
export function admit(
	job: QueuedJob,
	queue: readonly QueuedJob[],
	order: QueueOrder,
	load: PoolLoad,
	now: number,
): PoolAdmission {
	const workAhead = queue
		.filter((other) => order.compare(other, job, now) < 0)
		.reduce((sum, {waitingWork}) => sum + waitingWork, 0);
	const waitMs = expectedWaitMs(load, workAhead, job.waitingWork);
	return now + waitMs <= job.startByMs
		? {kind: 'admitted', waitMs}
		: {
				kind: 'refused',
				waitMs,
				retryAfterMs: Math.max(shortestRetryMs, Math.ceil(waitMs)),
			};
}
