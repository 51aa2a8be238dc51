import {type QueueSetting} from './desired-state.js';
import {type PoolJob, type PoolTask} from './pool-job.js';
import {type QueuedJob} from './pool-queue.js';

/** Scheduling state of one task of a job. */
export type ScheduledTask = {
	readonly task: PoolTask;
	/** Estimated run time in milliseconds. */
	readonly expectedMs: number;
	state: 'waiting' | 'placed' | 'done';
	/** Identifier of the worker that the current run was placed on. */
	worker: string | undefined;
	/** Number of the latest known run; 0 before the first. */
	latestRun: number;
	failureCount: number;
	/** Whether a run of the task was stopped because it took many times as long as expected. */
	wasStuck: boolean;
	/** Identifier of the worker where the last run ended without success; a retry prefers other workers. */
	avoidedWorker: string | undefined;
};

/** Multiple of the latency objective after which an answer is no longer of use. */
const maxLatenessFactor = 3;

/** Longest time in milliseconds that a job takes to reach an available leader; a longer one means that there was no leader. */
export const submissionDelayMs = 40;

/**
 * Time in milliseconds from the loss of a job's caller in which its tasks may be started. The caller sends a copy 1.3 s after
 * the loss; the difference covers a leader that is late by less than a suspension, and the stop of the run.
 */
const maxStartDelayWithoutCallerMs = 900;

/** Computes the time in milliseconds from a job's arrival within which its caller can still use an answer. */
export function computeAnswerWindowMs(
	{stretch, latencyMs}: Pick<QueueSetting, 'stretch' | 'latencyMs'>,
	longestTaskMs: number,
	patienceMs: number,
): number {
	return Math.min(
		patienceMs,
		maxLatenessFactor * (stretch * longestTaskMs + latencyMs),
	);
}

/** A job that the scheduler has admitted or is about to admit, with the state of its tasks. */
export class ScheduledJob implements QueuedJob {
	readonly arrivedAtMs: number;
	readonly tasks: readonly ScheduledTask[];
	/** Estimated run time of the longest task. */
	readonly longestTaskMs: number;
	/** Latency objective: the time from arrival within which the job should be answered. */
	readonly objectiveMs: number;
	readonly latestObjectiveStartMs: number;
	readonly latestUsefulStartMs: number;
	/** When the receiver became unreachable; `undefined` while it is reachable. */
	receiverLostAtMs: number | undefined;
	/** When the connection of the only caller to the receiver broke; `undefined` while a caller waits. */
	callerLostAtMs: number | undefined;
	/** Whether the receiver has submitted the job to a leader before, so that it cannot be answered `not-run`. */
	isIndeterminate: boolean;
	/**
	 * Latest time at which it became possible that another leader starts, or has started, runs of the job that this leader
	 * has not found; `undefined` if this leader is certainly the only one that has the job.
	 */
	unsettledSinceMs: number | undefined;
	/** Time by which the runs that another leader has started, or still starts, have ended; of no meaning while settled. */
	otherRunsEndByMs = Number.NEGATIVE_INFINITY;
	/** Highest fencing token under which another leader may have got the job. */
	earlierToken: number;
	/** Whether the job lost time because the workers had no leader, or the leader had no reports of them yet. */
	isDelayedByFailover: boolean;
	/** Whether the scheduler has projected the start again since it admitted the job. */
	isReassessed = false;
	/** Zones whose workers may run the job, or may have run it for an earlier leader; `undefined` for all zones. */
	zones: readonly string[] | undefined;
	/** Epoch of the receiver's grant under which the job was submitted; `undefined` if the receiver has granted nothing. */
	grantEpoch: number | undefined;
	/** Time since which the receiver must have confirmed a heartbeat, as the lease of a run has ended then without a report. */
	confirmationNeededSinceMs = Number.NEGATIVE_INFINITY;
	/** Whether any run of the job has been placed, or found on a worker, or any task was done when the job arrived. */
	hasStarted = false;

	constructor(
		readonly job: PoolJob,
		readonly queue: QueueSetting,
		/** Entry VM that the answer is sent to. */
		public receiver: string,
		expectedMs: (task: PoolTask) => number,
		now: number,
	) {
		this.isIndeterminate = false;
		this.unsettledSinceMs = undefined;
		this.earlierToken = job.earlierToken ?? 0;
		this.zones = job.zones;
		this.isDelayedByFailover =
			job.waitedMs > submissionDelayMs && job.refusingZones === undefined;
		this.arrivedAtMs = now - job.waitedMs;
		this.tasks = job.tasks.map((task) => ({
			task,
			expectedMs: expectedMs(task),
			state: job.doneTasks?.includes(task.name) === true ? 'done' : 'waiting',
			worker: undefined,
			latestRun: 0,
			failureCount: 0,
			wasStuck: false,
			avoidedWorker: undefined,
		}));
		this.hasStarted = this.tasks.some(({state}) => state === 'done');
		this.longestTaskMs = Math.max(
			0,
			...this.tasks.map((task) => task.expectedMs),
		);
		this.objectiveMs = queue.stretch * this.longestTaskMs + queue.latencyMs;
		this.latestObjectiveStartMs =
			this.arrivedAtMs + this.objectiveMs - this.longestTaskMs;
		this.latestUsefulStartMs =
			this.arrivedAtMs +
			computeAnswerWindowMs(queue, this.longestTaskMs, job.patienceMs) -
			this.longestTaskMs;
	}

	get id(): string {
		return this.job.id;
	}

	get queueName(): string {
		return this.queue.name;
	}

	get priority(): number {
		return this.queue.priority;
	}

	/** Text that is equal for jobs that may run on the same workers. */
	get roomKey(): string {
		return `${this.queue.service} ${this.zones?.join(' ') ?? '*'}`;
	}

	/** Whether tasks may be started now, as far as the job's receiver and caller are concerned. */
	mayStart(now: number): boolean {
		return (
			this.receiverLostAtMs === undefined &&
			(this.callerLostAtMs === undefined ||
				now - this.callerLostAtMs < maxStartDelayWithoutCallerMs)
		);
	}

	/** Whether a task of the job may be placed on workers of a zone. */
	mayRunIn(zone: string): boolean {
		return this.zones === undefined || this.zones.includes(zone);
	}

	get latestFirstStartMs(): number {
		if (this.isIndeterminate) {
			// An indeterminate job cannot be answered `not-run`, so it may start as long as its answer is of use.
			return Math.min(
				this.latestUsefulStartMs,
				this.callerDeadlineMs - this.longestTaskMs - submissionDelayMs,
			);
		}

		return this.isDelayedByFailover
			? Math.max(this.latestObjectiveStartMs, this.latestUsefulStartMs)
			: this.latestObjectiveStartMs;
	}

	/** When the caller stops waiting. */
	get callerDeadlineMs(): number {
		return this.arrivedAtMs + this.job.patienceMs;
	}

	/** Tasks that are not placed on a worker and not done. */
	get waitingTasks(): readonly ScheduledTask[] {
		return this.tasks.filter(({state}) => state === 'waiting');
	}

	get waitingCoreMs(): number {
		return this.waitingTasks.reduce(
			(sum, {task, expectedMs}) =>
				sum + (task.needs.processorMillis / 1000) * expectedMs,
			0,
		);
	}

	get isComplete(): boolean {
		return this.tasks.every(({state}) => state === 'done');
	}

	/**
	 * Records that from now on another leader may have the job, after a resubmission or a new claim of this leader, and the time
	 * by which that leader's runs have ended.
	 */
	markUnsettled(
		earlierToken: number,
		otherRunsEndByMs: number,
		now: number,
	): void {
		this.unsettledSinceMs = now;
		this.otherRunsEndByMs = Math.max(this.otherRunsEndByMs, otherRunsEndByMs);
		this.earlierToken = Math.max(this.earlierToken, earlierToken);
	}

	/** Numbers the next run of a task after one that another leader started. */
	skipRunNumbers(taskName: string, run: number): void {
		const task = this.tasks.find(({task}) => task.name === taskName);
		if (task !== undefined) {
			task.latestRun = Math.max(task.latestRun, run);
		}
	}

	/** Whether no task of the job can have started, so that the job may be answered `not-run`. */
	get hasCertainlyNotRun(): boolean {
		return !this.hasStarted && !this.isIndeterminate;
	}
}
