/** A job that has been admitted and has no answer yet. */
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

/** A job that has been admitted. */
export type JobOrder = {
	readonly identifier: string;
	readonly team: Team;
	readonly entry: Entry;
	readonly job: Job;
	readonly deadlineAtMs: number;
};

/** What the queue and the door need to know of a job, by the estimates of its tasks. */
export class JobPlan implements WaitingJob {
	readonly identifier: string;
	readonly team: string;
	readonly entry: string;
	readonly workMs: number;
	readonly longestMs: number;
	/** Expected run time of each task in milliseconds. */
	readonly expectedMs: readonly number[];
	waitingWorkMs = 0;

	constructor(
		readonly order: JobOrder,
		estimates: RunTimeEstimator,
		readonly arrivedAtMs: number,
	) {
		this.identifier = order.identifier;
		this.team = order.team.name;
		this.entry = order.entry.name;
		this.expectedMs = order.job.tasks.map((_, index) =>
			estimates.expectedMs(taskKind(order, index)),
		);
		this.workMs = this.expectedMs.reduce((sum, ms) => sum + ms, 0);
		this.longestMs = Math.max(...this.expectedMs);
	}
}

/** A job on its way. */
export class ActiveJob extends JobPlan {
	readonly run: JobRun;
	readonly abort = new AbortController();
	/** Tasks at targets, by their index. */
	readonly inFlight = new Map<number, TrackedTarget>();
	/** Cancellations of tasks at targets, by their index; each ends when the target has answered. */
	readonly cancellations = new Map<number, Promise<void>>();
	/** How often tasks were surely not started, by their index. */
	readonly refusals = new Map<number, number>();
	readonly settle: (answer: JobAnswer) => void;
	timer: NodeJS.Timeout | undefined;
	/** Tasks that wait for a slot, the longest last. */
	readonly #waiting: number[];

	constructor(
		order: JobOrder,
		estimates: RunTimeEstimator,
		arrivedAtMs: number,
		settle: (answer: JobAnswer) => void,
	) {
		super(order, estimates, arrivedAtMs);
		this.settle = settle;
		this.run = new JobRun(order.identifier, order.job.tasks.length);
		this.#waiting = [...order.job.tasks.keys()].toSorted(
			(a, b) => this.expectedMs[a]! - this.expectedMs[b]! || b - a,
		);
		setMaxListeners(0, this.abort.signal);
	}

	/** Whether any task waits for a slot. */
	get hasWaiting(): boolean {
		return this.#waiting.length > 0;
	}

	/** Tasks that wait for a slot. */
	get waitingCount(): number {
		return this.#waiting.length;
	}

	/** Takes the longest of the tasks that wait. */
	takeWaiting(): number | undefined {
		return this.#waiting.pop();
	}

	/** Lets a task wait again. */
	putBack(index: number): void {
		this.#waiting.push(index);
	}
}

/** What the estimates need to know of a task. */
export function taskKind({entry, job}: JobOrder, index: number): EstimateInput {
	return {
		classOfWork: entry.name,
		declaredMs: job.tasks[index]?.expectedMs,
	};
}
