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
import {
	ActiveJob,
	EstimatedJob,
	toEstimateInput,
	type DispatchRequest,
} from './active-job.js';
import {type Clock} from './clock.js';
import {type DecisionLog} from './decision-log.js';
import {
	createDispatchStrategies,
	type DispatchStrategies,
	type PlacementSettings,
} from './dispatch-strategies.js';
import {OutcomeRecorder} from './outcome-recorder.js';
import {UnlimitedStartLimiter, type StartLimiter} from './start-limiter.js';

/** Retry delay of a refusal while no target is live. */
const noTargetsRetryMs = 1000;
/** Time after an `overloaded` refusal during which no job has to leave slots to others. */
const overloadHoldMs = 10_000;

/** Settings and collaborators of a {@link Dispatcher}. */
export type DispatcherOptions = {
	readonly targetClient: TargetClient;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly slots: SlotAllocator;
	readonly zone: string;
	readonly placement: PlacementSettings;
	/** Limits on concurrency and starts per second; absent means no limits. */
	readonly startLimiter?: StartLimiter;
	/** Seed of random choices. It must differ between entry VMs, so that they do not all choose the same targets. */
	readonly seed: number;
};

/** Places the tasks of admitted jobs on targets, retries tasks that did not start, and answers each job once. */
export class Dispatcher {
	readonly #options: DispatcherOptions;
	readonly #clock: Clock;
	readonly #startLimiter: StartLimiter;
	readonly #tracker: TargetTracker;
	readonly #strategies: DispatchStrategies;
	readonly #random: Random;
	readonly #retryBudget: RetryBudget;
	readonly #outcomeRecorder: OutcomeRecorder;
	readonly #busySlots = new BusySlots();
	readonly #activeJobs = new Map<string, ActiveJob>();
	#waitingTasks = 0;
	/** Time at which a job was last refused as `overloaded`. */
	#overloadedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: DispatcherOptions) {
		this.#options = options;
		this.#clock = options.clock;
		this.#startLimiter = options.startLimiter ?? new UnlimitedStartLimiter();
		this.#tracker = new TargetTracker(options.zone, options.slots);
		this.#random = seededRandom(options.seed);
		this.#retryBudget = new RetryBudget(defaultRetrySettings, this.#random);
		this.#strategies = createDispatchStrategies(options.placement, () =>
			Math.max(1, this.#tracker.countLiveSlots(this.#clock())),
		);
		this.#outcomeRecorder = new OutcomeRecorder(this.#strategies.estimator);
	}

	/** Number of jobs that have no answer yet. */
	get activeJobs(): number {
		return this.#activeJobs.size;
	}

	/** Number of tasks that wait for a slot. */
	get waitingTasks(): number {
		return this.#waitingTasks;
	}

	/** Number of tasks that have been sent to a target and have not ended. */
	get tasksInFlight(): number {
		return this.#busySlots.count;
	}

	/** Applies the platform's newest list of targets. */
	updateTargets(list: readonly Target[]): void {
		this.#tracker.update(list);
		this.resume();
	}

	/** Returns the refusal of a job that cannot run before its deadline on the listed targets; `undefined` admits it. */
	checkAdmission(request: DispatchRequest, now: number): Refusal | undefined {
		const {deadlineAtMs, entry} = request;
		if (deadlineAtMs <= now) {
			return createRefusal(
				'deadline-passed',
				'The deadline passed before the job arrived.',
			);
		}

		if (!this.#tracker.hasLiveTarget(now)) {
			return createRefusal(
				'no-targets',
				'No target accepts tasks now.',
				noTargetsRetryMs,
			);
		}

		if (!this.#tracker.canEverFit(entry.needs)) {
			return createRefusal(
				'cannot-fit',
				`No target has the resources that a task of "${entry.name}" needs.`,
			);
		}

		const {estimator, queue} = this.#strategies;
		const estimatedJob = new EstimatedJob(request, estimator, now);
		const reason = checkDeadlineAdmission({
			remainingMs: deadlineAtMs - now,
			expectedTaskMs: estimatedJob.longestMs,
			minTaskMs: estimator.lowEstimateMs(toEstimateInput(request, 0)),
			jobWorkMs: estimatedJob.workMs,
			backlogMs: queue.workAheadMs(estimatedJob),
			busySlots: Math.max(this.#busySlots.count, this.#busySlots.mean(now)),
		});
		this.#overloadedAtMs =
			reason?.code === 'overloaded' ? now : this.#overloadedAtMs;
		return reason;
	}

	/** Runs an admitted job and returns its answer. */
	async dispatch(request: DispatchRequest): Promise<JobAnswer> {
		return new Promise((resolve) => {
			const {estimator, queue} = this.#strategies;
			const active = new ActiveJob(request, estimator, this.#clock(), resolve);
			this.#activeJobs.set(request.identifier, active);
			this.#waitingTasks += active.waitingTaskCount;
			queue.add(active, active.workMs);
			this.#watchDeadline(active);
			this.resume();
		});
	}

	/** Cancels a job that has no answer yet: settles it with the refusal and cancels its tasks in flight. */
	cancel(identifier: string, reason: Refusal): void {
		const active = this.#activeJobs.get(identifier);
		if (active !== undefined) {
			active.run.settleWithRefusal(reason);
			this.#finishIfSettled(active);
		}
	}

	/** Places waiting tasks on free slots. Must be called whenever slots or units of limits may have become free. */
	resume(): void {
		const now = this.#clock();
		const blocked = new Set<string>();
		for (;;) {
			const active = this.#strategies.queue.next(
				(job) =>
					!blocked.has(job.entry) &&
					!blocked.has(job.identifier) &&
					!blocked.has(`${job.team}/${job.entry}`),
			);
			if (active === undefined) {
				break;
			}

			const selection = this.#tracker.selectCandidates(
				active.request.entry.needs,
				now,
			);
			const tracked = this.#strategies.policy.choose(
				selection.candidates,
				this.#random,
			);
			if (tracked === undefined) {
				if (isOutOfSlots(selection)) {
					break;
				}

				blocked.add(active.entry);
			} else if (this.#mustLeaveHeadroom(active, selection, now)) {
				blocked.add(active.identifier);
			} else if (this.#startLimiter.canStart(active.request, now)) {
				this.#place(active, tracked, selection, now);
			} else {
				blocked.add(`${active.team}/${active.entry}`);
			}
		}

		this.#options.slots.requestSlots(this.#waitingTasks, now);
	}

	/**
	 * Whether a job has to leave the last free slots to other jobs because it already has more than half of this entry
	 * VM's slots. After a recent overload the slots are not left free, because the waiting tasks need all of them.
	 */
	#mustLeaveHeadroom(
		active: ActiveJob,
		{freeSlots}: CandidateSelection,
		now: number,
	): boolean {
		const slots = this.#busySlots.count + freeSlots;
		return (
			2 * active.targetsByTask.size > slots &&
			freeSlots <= slots * this.#options.placement.headroom &&
			now - this.#overloadedAtMs > overloadHoldMs
		);
	}

	/**
	 * Cancels a job whose tasks still wait at the latest time at which they could start and end before the deadline, and any
	 * other job at its deadline.
	 */
	#watchDeadline(active: ActiveJob): void {
		const {request} = active;
		const minTaskMs = this.#strategies.estimator.lowEstimateMs(
			toEstimateInput(request, 0),
		);
		const latestStartAtMs = request.deadlineAtMs - minTaskMs;
		active.deadlineTimer = setTimeout(
			() => {
				if (active.hasWaitingTasks) {
					this.cancel(
						request.identifier,
						createRefusal(
							'deadline-impossible',
							'Some tasks are still waiting and can no longer end before the deadline.',
							this.#estimateDrainMs(),
						),
					);
					return;
				}

				active.deadlineTimer = setTimeout(
					() => {
						this.cancel(
							request.identifier,
							createRefusal(
								'deadline-exceeded',
								'The job did not end before its deadline.',
							),
						);
					},
					Math.max(0, request.deadlineAtMs - this.#clock()),
				);
			},
			Math.max(0, latestStartAtMs - this.#clock()),
		);
	}

	/** Estimates the time in milliseconds until the slots have worked off the backlog. */
	#estimateDrainMs(): number {
		return (
			this.#strategies.queue.waitingWorkMs /
			Math.max(1, this.#busySlots.mean(this.#clock()))
		);
	}

	#place(
		active: ActiveJob,
		tracked: TrackedTarget,
		selection: CandidateSelection,
		now: number,
	): void {
		const index = active.takeNextWaiting();
		if (index === undefined) {
			return;
		}

		const {queue, policy} = this.#strategies;
		this.#waitingTasks -= 1;
		queue.recordServed(active, active.expectedMs[index]!);
		if (!active.hasWaitingTasks) {
			queue.remove(active);
		}

		this.#tracker.tryReserve(tracked, active.request.entry.needs, now);
		this.#startLimiter.recordStart(active.request, now);
		this.#busySlots.change(1, now);
		this.#options.log.logPlacement({
			identifier: active.identifier,
			task: index,
			target: tracked.target.name,
			reason: policy.name,
			waitedMs: Math.round(now - active.arrivedAtMs),
			candidates: selection.candidates.length,
			passedOver: selection.passedOver,
		});
		void this.#send(active, index, tracked);
	}

	async #send(
		active: ActiveJob,
		index: number,
		tracked: TrackedTarget,
	): Promise<void> {
		const {request, run} = active;
		run.recordSent(index);
		active.targetsByTask.set(index, tracked);
		if (!active.refusalCounts.has(index)) {
			this.#retryBudget.recordStart();
		}

		const outcome = await this.#options.targetClient.start(
			tracked.target,
			{
				taskIdentifier: `${request.identifier}.${index}`,
				entry: request.entry.name,
				team: request.team.name,
				input: request.job.tasks[index]?.input ?? null,
				deadlineAtMs: request.deadlineAtMs,
			},
			active.abortController.signal,
		);
		// The target may run a cancelled task until it has answered the cancellation, so the slot is not free earlier.
		await active.cancellations.get(index);
		const now = this.#clock();
		active.targetsByTask.delete(index);
		this.#tracker.release(tracked, request.entry.needs, now);
		this.#startLimiter.recordEnd(request, now);
		this.#busySlots.change(-1, now);
		const retryTargetAfterMs = this.#outcomeRecorder.record(
			{active, index, tracked},
			outcome,
			now,
		);
		if (retryTargetAfterMs !== undefined) {
			this.#resumeAfter(retryTargetAfterMs);
		}

		run.recordOutcome(index, outcome);
		this.#finishIfSettled(active);
		if (run.canStart(index)) {
			this.#scheduleRetry(active, index);
		}

		this.resume();
	}

	#resumeAfter(delayMs: number): void {
		setTimeout(() => {
			this.resume();
		}, delayMs).unref();
	}

	#scheduleRetry(active: ActiveJob, index: number): void {
		const refusals = (active.refusalCounts.get(index) ?? 0) + 1;
		active.refusalCounts.set(index, refusals);
		setTimeout(() => {
			if (!active.run.canStart(index)) {
				return;
			}

			if (this.#retryBudget.tryTake(this.#clock())) {
				this.#requeue(active, index);
			} else {
				this.#scheduleRetry(active, index);
			}
		}, this.#retryBudget.computeDelayMs(refusals));
	}

	#requeue(active: ActiveJob, index: number): void {
		active.requeue(index);
		this.#waitingTasks += 1;
		this.#strategies.queue.add(active, active.expectedMs[index]!);
		this.resume();
	}

	#finishIfSettled(active: ActiveJob): void {
		const {run, request} = active;
		if (
			run.answer === undefined ||
			!this.#activeJobs.delete(request.identifier)
		) {
			return;
		}

		clearTimeout(active.deadlineTimer);
		this.#strategies.queue.remove(active);
		this.#waitingTasks -= active.waitingTaskCount;
		active.settle(run.answer);
		for (const [index, {target}] of active.targetsByTask) {
			active.cancellations.set(
				index,
				this.#options.targetClient.cancel(
					target,
					`${request.identifier}.${index}`,
				),
			);
		}

		active.abortController.abort();
	}
}

/** Whether targets were passed over only because they have no free slot, so that no other task can be placed either. */
function isOutOfSlots({passedOver}: CandidateSelection): boolean {
	const {leaving, setAside, full, needs} = passedOver;
	return leaving + setAside + full + needs === 0;
}
