import {setMaxListeners} from 'node:events';
import {
	JobRun,
	type Entry,
	type Job,
	type JobAnswer,
	type TrackedTarget,
	type RunTimeEstimator,
	type EstimateInput,
	type Team,
	type WaitingJob,
} from '@verbenarouter/core';

/** A submitted job with its resolved entry and team, to be checked for admission and dispatched. */
export type DispatchRequest = {
	readonly identifier: string;
	readonly team: Team;
	readonly entry: Entry;
	readonly job: Job;
	/** Time of the deadline in milliseconds since 1970. */
	readonly deadlineAtMs: number;
};

/** A job with the estimated run times of its tasks, on which its admission and its place in the queue depend. */
export class EstimatedJob implements WaitingJob {
	readonly identifier: string;
	readonly team: string;
	readonly entry: string;
	readonly workMs: number;
	readonly longestMs: number;
	/** Expected run time of each task in milliseconds. */
	readonly expectedMs: readonly number[];
	waitingWorkMs = 0;

	constructor(
		readonly request: DispatchRequest,
		estimator: RunTimeEstimator,
		readonly arrivedAtMs: number,
	) {
		this.identifier = request.identifier;
		this.team = request.team.name;
		this.entry = request.entry.name;
		this.expectedMs = request.job.tasks.map((_, index) =>
			estimator.expectedMs(toEstimateInput(request, index)),
		);
		this.workMs = this.expectedMs.reduce((sum, ms) => sum + ms, 0);
		this.longestMs = Math.max(...this.expectedMs);
	}
}

/** A dispatched job with the state of its tasks. */
export class ActiveJob extends EstimatedJob {
	readonly run: JobRun;
	/** Aborts the requests of the tasks in flight once the job has settled. */
	readonly abortController = new AbortController();
	/** Targets of the tasks in flight, by task index. */
	readonly targetsByTask = new Map<number, TrackedTarget>();
	/** Cancellations of tasks in flight, by task index; each resolves when its request to the target has ended. */
	readonly cancellations = new Map<number, Promise<void>>();
	/** Number of attempts of a task that ended as `not-started`, by task index. */
	readonly refusalCounts = new Map<number, number>();
	/** Resolves the promise of the job's answer. */
	readonly settle: (answer: JobAnswer) => void;
	/** Timer of the next deadline check. */
	deadlineTimer: NodeJS.Timeout | undefined;
	/** Indexes of the tasks that wait for a slot, initially in ascending order of expected run time. */
	readonly #waiting: number[];

	constructor(
		request: DispatchRequest,
		estimator: RunTimeEstimator,
		arrivedAtMs: number,
		settle: (answer: JobAnswer) => void,
	) {
		super(request, estimator, arrivedAtMs);
		this.settle = settle;
		this.run = new JobRun(request.identifier, request.job.tasks.length);
		this.#waiting = [...request.job.tasks.keys()].toSorted(
			(a, b) => this.expectedMs[a]! - this.expectedMs[b]! || b - a,
		);
		setMaxListeners(0, this.abortController.signal);
	}

	/** Whether any task waits for a slot. */
	get hasWaitingTasks(): boolean {
		return this.#waiting.length > 0;
	}

	/** Number of tasks that wait for a slot. */
	get waitingTaskCount(): number {
		return this.#waiting.length;
	}

	/** Removes a waiting task and returns its index: requeued tasks first, then the one with the longest expected run time. */
	takeNextWaiting(): number | undefined {
		return this.#waiting.pop();
	}

	/** Returns a task that did not start to the waiting tasks. */
	requeue(index: number): void {
		this.#waiting.push(index);
	}
}

/** Returns the properties of a task from which its run time is estimated. */
export function toEstimateInput(
	{entry, job}: DispatchRequest,
	index: number,
): EstimateInput {
	return {
		classOfWork: entry.name,
		declaredMs: job.tasks[index]?.expectedMs,
	};
}
