/** Sends the tasks of admitted jobs to targets. */
import {
	BusySlots,
	RetryBudget,
	TargetTracker,
	defaultRetrySettings,
	createRefusal,
	checkDeadlineAdmission,
	seededRandom,
	type CandidateSelection,
	type JobAnswer,
	type TrackedTarget,
	type Random,
	type Refusal,
	type SlotAllocator,
	type Target,
} from '@verbenarouter/core';
import {type TargetClient} from '@verbenarouter/target';
import {ActiveJob, JobPlan, taskKind, type JobOrder} from './active-job.js';
import {type Clock} from './clock.js';
import {type DecisionLog} from './decision-log.js';
import {
	decisionsOf,
	type Decisions,
	type PlacementSettings,
} from './dispatch-decisions.js';
import {OutcomeLearning} from './outcome-learning.js';
import {OpenGate, type StartGate} from './start-gate.js';

export {type JobOrder} from './active-job.js';

const retryWithoutTargetsMs = 1000;
const overloadMemoryMs = 10_000;

/** What the dispatcher works with. */
export type DispatcherParts = {
	readonly targets: TargetClient;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly slots: SlotAllocator;
	readonly zone: string;
	readonly placement: PlacementSettings;
	/** Limits of teams and entries; absent means none. */
	readonly gate?: StartGate;
	/** Seed of the choices by chance; it differs between entry VMs, lest they all choose alike. */
	readonly seed: number;
};

/** Sends the tasks of admitted jobs to targets. */
export class Dispatcher {
	readonly #parts: DispatcherParts;
	readonly #clock: Clock;
	readonly #gate: StartGate;
	readonly #board: TargetTracker;
	readonly #decisions: Decisions;
	readonly #random: Random;
	readonly #retries: RetryBudget;
	readonly #learning: OutcomeLearning;
	readonly #busy = new BusySlots();
	readonly #active = new Map<string, ActiveJob>();
	#waitingTasks = 0;
	/** When a job was last refused at the door for want of slots. */
	#refusedAtMs = Number.NEGATIVE_INFINITY;

	constructor(parts: DispatcherParts) {
		this.#parts = parts;
		this.#clock = parts.clock;
		this.#gate = parts.gate ?? new OpenGate();
		this.#board = new TargetTracker(parts.zone, parts.slots);
		this.#random = seededRandom(parts.seed);
		this.#retries = new RetryBudget(defaultRetrySettings, this.#random);
		this.#decisions = decisionsOf(parts.placement, () =>
			Math.max(1, this.#board.countLiveSlots(this.#clock())),
		);
		this.#learning = new OutcomeLearning(this.#decisions.estimates);
	}

	/** Jobs that have no answer yet. */
	get activeJobs(): number {
		return this.#active.size;
	}

	/** Tasks that wait for a slot. */
	get waitingTasks(): number {
		return this.#waitingTasks;
	}

	/** Tasks that are at targets. */
	get tasksInFlight(): number {
		return this.#busy.count;
	}

	/** Takes the platform's newest list of targets. */
	updateTargets(list: readonly Target[]): void {
		this.#board.update(list);
		this.resume();
	}

	/** Why this job cannot be taken now; `undefined` when it can. */
	refusalFor(order: JobOrder, now: number): Refusal | undefined {
		const {deadlineAtMs, entry} = order;
		if (deadlineAtMs <= now) {
			return createRefusal(
				'deadline-passed',
				'The deadline had passed on arrival.',
			);
		}

		if (!this.#board.hasLiveTarget(now)) {
			return createRefusal(
				'no-targets',
				'No target takes work now.',
				retryWithoutTargetsMs,
			);
		}

		if (!this.#board.canEverFit(entry.needs)) {
			return createRefusal(
				'cannot-fit',
				`No target has what a task of "${entry.name}" needs.`,
			);
		}

		const {estimates, queue} = this.#decisions;
		const plan = new JobPlan(order, estimates, now);
		const reason = checkDeadlineAdmission({
			remainingMs: deadlineAtMs - now,
			expectedTaskMs: plan.longestMs,
			minTaskMs: estimates.lowEstimateMs(taskKind(order, 0)),
			jobWorkMs: plan.workMs,
			backlogMs: queue.workAheadMs(plan),
			busySlots: Math.max(this.#busy.count, this.#busy.mean(now)),
		});
		this.#refusedAtMs = reason?.code === 'overloaded' ? now : this.#refusedAtMs;
		return reason;
	}

	/** Runs a job and gives its one answer. */
	async dispatch(order: JobOrder): Promise<JobAnswer> {
		return new Promise((resolve) => {
			const {estimates, queue} = this.#decisions;
			const active = new ActiveJob(order, estimates, this.#clock(), resolve);
			this.#active.set(order.identifier, active);
			this.#waitingTasks += active.waitingCount;
			queue.add(active, active.workMs);
			this.#watchDeadline(active);
			this.resume();
		});
	}

	/** Gives a job up; its answer follows at once. */
	cancel(identifier: string, reason: Refusal): void {
		const active = this.#active.get(identifier);
		if (active !== undefined) {
			active.run.settleWithRefusal(reason);
			this.#finishIfSettled(active);
		}
	}

	/** Gives waiting tasks to free slots; to be called when slots or limits may have become free. */
	resume(): void {
		const now = this.#clock();
		const blocked = new Set<string>();
		for (;;) {
			const active = this.#decisions.queue.next(
				(job) =>
					!blocked.has(job.entry) &&
					!blocked.has(job.identifier) &&
					!blocked.has(`${job.team}/${job.entry}`),
			);
			if (active === undefined) {
				break;
			}

			const choice = this.#board.selectCandidates(
				active.order.entry.needs,
				now,
			);
			const known = this.#decisions.policy.choose(
				choice.candidates,
				this.#random,
			);
			if (known === undefined) {
				if (isOutOfSlots(choice)) {
					break;
				}

				blocked.add(active.entry);
			} else if (this.#leavesHeadroom(active, choice, now)) {
				blocked.add(active.identifier);
			} else if (this.#gate.mayStart(active.order, now)) {
				this.#place(active, known, choice, now);
			} else {
				blocked.add(`${active.team}/${active.entry}`);
			}
		}

		this.#parts.slots.requestSlots(this.#waitingTasks, now);
	}

	/**
	 * Whether a job that has most of this entry VM's slots leaves the last free ones to others. Under overload none are
	 * left, since every slot is wanted.
	 */
	#leavesHeadroom(
		active: ActiveJob,
		{freeSlots}: CandidateSelection,
		now: number,
	): boolean {
		const slots = this.#busy.count + freeSlots;
		return (
			2 * active.inFlight.size > slots &&
			freeSlots <= slots * this.#parts.placement.headroom &&
			now - this.#refusedAtMs > overloadMemoryMs
		);
	}

	/** Gives up what cannot end in time: when its tasks could no longer start, and at the deadline. */
	#watchDeadline(active: ActiveJob): void {
		const {order} = active;
		const leastMs = this.#decisions.estimates.lowEstimateMs(taskKind(order, 0));
		const lastStartAtMs = order.deadlineAtMs - leastMs;
		active.timer = setTimeout(
			() => {
				if (active.hasWaiting) {
					this.cancel(
						order.identifier,
						createRefusal(
							'deadline-impossible',
							'Tasks still wait that could not end before the deadline.',
							this.#drainMs(),
						),
					);
					return;
				}

				active.timer = setTimeout(
					() => {
						this.cancel(
							order.identifier,
							createRefusal(
								'deadline-exceeded',
								'The job did not end before its deadline.',
							),
						);
					},
					Math.max(0, order.deadlineAtMs - this.#clock()),
				);
			},
			Math.max(0, lastStartAtMs - this.#clock()),
		);
	}

	#drainMs(): number {
		return (
			this.#decisions.queue.waitingWorkMs /
			Math.max(1, this.#busy.mean(this.#clock()))
		);
	}

	#place(
		active: ActiveJob,
		known: TrackedTarget,
		choice: CandidateSelection,
		now: number,
	): void {
		const index = active.takeWaiting();
		if (index === undefined) {
			return;
		}

		const {queue, policy} = this.#decisions;
		this.#waitingTasks -= 1;
		queue.recordServed(active, active.expectedMs[index]!);
		if (!active.hasWaiting) {
			queue.remove(active);
		}

		this.#board.tryReserve(known, active.order.entry.needs, now);
		this.#gate.started(active.order, now);
		this.#busy.change(1, now);
		this.#parts.log.placed({
			identifier: active.identifier,
			task: index,
			target: known.target.name,
			reason: policy.name,
			waitedMs: Math.round(now - active.arrivedAtMs),
			candidates: choice.candidates.length,
			passedOver: choice.passedOver,
		});
		void this.#send(active, index, known);
	}

	async #send(
		active: ActiveJob,
		index: number,
		known: TrackedTarget,
	): Promise<void> {
		const {order, run} = active;
		run.recordSent(index);
		active.inFlight.set(index, known);
		if (!active.refusals.has(index)) {
			this.#retries.recordStart();
		}

		const outcome = await this.#parts.targets.start(
			known.target,
			{
				taskIdentifier: `${order.identifier}.${index}`,
				entry: order.entry.name,
				team: order.team.name,
				input: order.job.tasks[index]?.input ?? null,
				deadlineAtMs: order.deadlineAtMs,
			},
			active.abort.signal,
		);
		// A slot is free only when the target knows of the cancellation.
		await active.cancellations.get(index);
		const now = this.#clock();
		active.inFlight.delete(index);
		this.#board.release(known, order.entry.needs, now);
		this.#gate.ended(order, now);
		this.#busy.change(-1, now);
		const leftAloneMs = this.#learning.learn(
			{active, index, known},
			outcome,
			now,
		);
		if (leftAloneMs !== undefined) {
			this.#resumeIn(leftAloneMs);
		}

		run.recordOutcome(index, outcome);
		this.#finishIfSettled(active);
		if (run.canStart(index)) {
			this.#tryAgainLater(active, index);
		}

		this.resume();
	}

	#resumeIn(delayMs: number): void {
		setTimeout(() => {
			this.resume();
		}, delayMs).unref();
	}

	#tryAgainLater(active: ActiveJob, index: number): void {
		const refusals = (active.refusals.get(index) ?? 0) + 1;
		active.refusals.set(index, refusals);
		setTimeout(() => {
			if (!active.run.canStart(index)) {
				return;
			}

			if (this.#retries.tryTake(this.#clock())) {
				this.#putBack(active, index);
			} else {
				this.#tryAgainLater(active, index);
			}
		}, this.#retries.computeDelayMs(refusals));
	}

	#putBack(active: ActiveJob, index: number): void {
		active.putBack(index);
		this.#waitingTasks += 1;
		this.#decisions.queue.add(active, active.expectedMs[index]!);
		this.resume();
	}

	#finishIfSettled(active: ActiveJob): void {
		const {run, order} = active;
		if (run.answer === undefined || !this.#active.delete(order.identifier)) {
			return;
		}

		clearTimeout(active.timer);
		this.#decisions.queue.remove(active);
		this.#waitingTasks -= active.waitingCount;
		active.settle(run.answer);
		for (const [index, {target}] of active.inFlight) {
			active.cancellations.set(
				index,
				this.#parts.targets.cancel(target, `${order.identifier}.${index}`),
			);
		}

		active.abort.abort();
	}
}

/** Whether every target was passed over for want of free slots, so that no other task can be placed either. */
function isOutOfSlots({passedOver}: CandidateSelection): boolean {
	const {leaving, setAside, full, needs} = passedOver;
	return leaving + setAside + full + needs === 0;
}
