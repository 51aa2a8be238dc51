/** One job in the scheduler: where its tasks stand. */
import {type QueueSetting} from './desired-state.js';
import {type PoolJob, type PoolTask} from './pool-job.js';
import {type QueuedJob} from './pool-queue.js';

/** One task of a job in the scheduler. */
export type ScheduledTask = {
	readonly task: PoolTask;
	readonly expectedMs: number;
	state: 'waiting' | 'placed' | 'done';
	/** Worker of the present run. */
	worker: string | undefined;
	/** Number of the newest run that is known; 0 before the first. */
	run: number;
	failures: number;
	/** Worker that refused it or failed it last. */
	avoid: string | undefined;
};

/** How far beyond its objective a job is still worth answering, as a multiple of the objective. */
const lateFactor = 3;

/** Time in milliseconds in which a job reaches its leader; one that took longer was held up while there was no leader. */
const handInMs = 40;

/** Time in milliseconds from a job's arrival within which an answer is still of use to its caller. */
export function answeredWithinMs(
	{stretch, latencyMs}: Pick<QueueSetting, 'stretch' | 'latencyMs'>,
	longestMs: number,
	patienceMs: number,
): number {
	return Math.min(patienceMs, lateFactor * (stretch * longestMs + latencyMs));
}

/** One job in the scheduler. */
export class ScheduledJob implements QueuedJob {
	readonly arrivedAtMs: number;
	/** When this leader got it. */
	readonly takenAtMs: number;
	readonly tasks: readonly ScheduledTask[];
	readonly longestMs: number;
	/** Since when its receiver is out of reach. */
	detachedAtMs: number | undefined;
	/** Whether an earlier leader may have started tasks of it that have not been found. */
	isInDoubt: boolean;
	/** Whether it lost time because nobody led the workers, or nothing was known of them yet. */
	isHeldUp: boolean;
	/** Whether it has been looked at again while it waited. */
	isReviewed = false;
	/** Whether any run of it has been ordered or found. */
	hasStarted = false;

	constructor(
		readonly job: PoolJob,
		readonly queue: QueueSetting,
		/** Entry VM that waits for the answer. */
		public receiver: string,
		expectedMs: (task: PoolTask) => number,
		now: number,
	) {
		this.isInDoubt = false;
		this.isHeldUp = job.waitedMs > handInMs;
		this.arrivedAtMs = now - job.waitedMs;
		this.takenAtMs = now;
		this.tasks = job.tasks.map((task) => ({
			task,
			expectedMs: expectedMs(task),
			state: job.doneTasks?.includes(task.name) === true ? 'done' : 'waiting',
			worker: undefined,
			run: 0,
			failures: 0,
			avoid: undefined,
		}));
		this.hasStarted = this.tasks.some(({state}) => state === 'done');
		this.longestMs = Math.max(0, ...this.tasks.map((task) => task.expectedMs));
	}

	get id(): string {
		return this.job.id;
	}

	get priority(): number {
		return this.queue.priority;
	}

	get objectiveMs(): number {
		return this.queue.stretch * this.longestMs + this.queue.latencyMs;
	}

	get startByMs(): number {
		return this.arrivedAtMs + this.objectiveMs - this.longestMs;
	}

	get lastStartMs(): number {
		return (
			this.arrivedAtMs +
			answeredWithinMs(this.queue, this.longestMs, this.job.patienceMs) -
			this.longestMs
		);
	}

	get keptUntilMs(): number {
		if (this.isInDoubt) {
			// It cannot be called not run, so any answer before its caller leaves is better than none.
			return this.endsByMs - this.longestMs - handInMs;
		}

		return this.isHeldUp
			? Math.max(this.startByMs, this.lastStartMs)
			: this.startByMs;
	}

	/** When the caller leaves. */
	get endsByMs(): number {
		return this.arrivedAtMs + this.job.patienceMs;
	}

	get waiting(): readonly ScheduledTask[] {
		return this.tasks.filter(({state}) => state === 'waiting');
	}

	get waitingWork(): number {
		return this.waiting.reduce(
			(sum, {task, expectedMs}) =>
				sum + (task.needs.processorMillis / 1000) * expectedMs,
			0,
		);
	}

	get isDone(): boolean {
		return this.tasks.every(({state}) => state === 'done');
	}

	/** Whether nothing of it runs and nothing can have run. */
	get isUntouched(): boolean {
		return !this.hasStarted && !this.isInDoubt;
	}
}
