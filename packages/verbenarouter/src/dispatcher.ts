/** Sends the tasks of admitted jobs to targets. */
import {
	JobRun,
	refusal,
	type Entry,
	type Job,
	type JobAnswer,
	type Refusal,
	type Target,
	type Team,
} from '@verbenarouter/core';
import {type TaskTargets} from '@verbenarouter/target';
import {type Clock} from './clock.js';
import {type DecisionLog} from './decision-log.js';

/** A job that has been admitted. */
export type JobOrder = {
	readonly identifier: string;
	readonly team: Team;
	readonly entry: Entry;
	readonly job: Job;
	readonly deadlineAtMs: number;
};

type ActiveJob = {
	readonly order: JobOrder;
	readonly run: JobRun;
	readonly abort: AbortController;
	readonly targets: Map<number, Target>;
	readonly settle: (answer: JobAnswer) => void;
	readonly timer: NodeJS.Timeout;
};

type QueuedTask = {readonly active: ActiveJob; readonly index: number};

/** Sends the tasks of admitted jobs to targets. */
export class Dispatcher {
	readonly #targets: TaskTargets;
	readonly #clock: Clock;
	readonly #log: DecisionLog;
	readonly #active = new Map<string, ActiveJob>();
	readonly #inFlight = new Map<string, number>();
	#queue: QueuedTask[] = [];
	#list: readonly Target[] = [];

	constructor(targets: TaskTargets, clock: Clock, log: DecisionLog) {
		this.#targets = targets;
		this.#clock = clock;
		this.#log = log;
	}

	/** Jobs that have no answer yet. */
	get activeJobs(): number {
		return this.#active.size;
	}

	/** Takes the platform's newest list of targets. */
	updateTargets(list: readonly Target[]): void {
		this.#list = list;
		this.#pump();
	}

	/** Why this job cannot be taken now; `undefined` when it can. */
	refusalFor({deadlineAtMs}: JobOrder, now: number): Refusal | undefined {
		if (deadlineAtMs <= now) {
			return refusal('deadline-passed', 'The deadline had passed on arrival.');
		}

		return this.#list.some(({state}) => state === 'live')
			? undefined
			: refusal('no-targets', 'No target takes work now.', 1000);
	}

	/** Runs a job and gives its one answer. */
	async dispatch(order: JobOrder): Promise<JobAnswer> {
		return new Promise((resolve) => {
			const run = new JobRun(order.identifier, order.job.tasks.length);
			const timer = setTimeout(
				() => {
					this.cancel(
						order.identifier,
						refusal(
							'deadline-exceeded',
							'The job did not end before its deadline.',
						),
					);
				},
				Math.max(0, order.deadlineAtMs - this.#clock()),
			);
			const active: ActiveJob = {
				order,
				run,
				abort: new AbortController(),
				targets: new Map(),
				settle: resolve,
				timer,
			};
			this.#active.set(order.identifier, active);
			for (const index of order.job.tasks.keys()) {
				this.#queue.push({active, index});
			}

			this.#pump();
		});
	}

	/** Gives a job up; its answer follows at once. */
	cancel(identifier: string, reason: Refusal): void {
		const active = this.#active.get(identifier);
		if (active !== undefined) {
			active.run.giveUp(reason);
			this.#finishIfSettled(active);
		}
	}

	#pump(): void {
		const waiting = this.#queue;
		this.#queue = [];
		for (const queued of waiting) {
			if (!queued.active.run.mayStart(queued.index)) {
				continue;
			}

			const target = this.#place();
			if (target === undefined) {
				this.#queue.push(queued);
			} else {
				void this.#start(queued, target);
			}
		}
	}

	#place(): Target | undefined {
		const free = this.#list.filter(
			({state, name, slots}) =>
				state === 'live' && (this.#inFlight.get(name) ?? 0) < slots,
		);
		return free.toSorted(
			(a, b) =>
				(this.#inFlight.get(a.name) ?? 0) - (this.#inFlight.get(b.name) ?? 0),
		)[0];
	}

	async #start({active, index}: QueuedTask, target: Target): Promise<void> {
		const {order, run} = active;
		const input = order.job.tasks[index]?.input ?? null;
		run.taskSent(index);
		active.targets.set(index, target);
		this.#inFlight.set(target.name, (this.#inFlight.get(target.name) ?? 0) + 1);
		this.#log.placed({
			identifier: order.identifier,
			task: index,
			target: target.name,
			reason: 'least-in-flight',
		});
		const outcome = await this.#targets.start(
			target,
			{
				taskIdentifier: `${order.identifier}.${index}`,
				entry: order.entry.name,
				team: order.team.name,
				input,
				deadlineAtMs: order.deadlineAtMs,
			},
			active.abort.signal,
		);
		this.#inFlight.set(target.name, (this.#inFlight.get(target.name) ?? 1) - 1);
		active.targets.delete(index);
		run.taskEnded(index, outcome);
		if (run.mayStart(index)) {
			this.#queue.push({active, index});
		}

		this.#finishIfSettled(active);
		this.#pump();
	}

	#finishIfSettled(active: ActiveJob): void {
		const {run, order} = active;
		if (run.answer === undefined || !this.#active.delete(order.identifier)) {
			return;
		}

		clearTimeout(active.timer);
		active.settle(run.answer);
		for (const [index, target] of active.targets) {
			void this.#targets.cancel(target, `${order.identifier}.${index}`);
		}

		active.abort.abort();
	}
}
