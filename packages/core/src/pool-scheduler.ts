import {type WorkerSelectionPolicy} from './worker-selection.js';
import {AnsweredJobs, type AnswerRetention} from './answered-jobs.js';
import {type DesiredState} from './desired-state.js';
import {type RunTimeEstimator} from './run-time-estimator.js';
import {RunTimeTails, type QueueTail} from './run-time-tail.js';
import {type KindSlowdown} from './worker-kind-speed.js';
import {
	findInfeasibility,
	projectJobStarts,
	toProjectedTasks,
	toProjectedWorker,
} from './pool-admission.js';
import {JobsElsewhere} from './jobs-elsewhere.js';
import {LeaderStall} from './leader-stall.js';
import {LostRunRegister, type LostRun} from './lost-runs.js';
import {PlacementPass} from './placement-pass.js';
import {type PoolDecision} from './pool-decision.js';
import {
	unionZones,
	type NotRunReason,
	type PoolAnswer,
	type PoolJob,
} from './pool-job.js';
import {ReceiverGrants, type ReceiverGrant} from './receiver-grants.js';
import {type EndedJob, type ReturnableJob} from './returnable-jobs.js';
import {parseJobId} from './task-name.js';
import {decidePoolAdmission, type QueueOrder} from './pool-queue.js';
import {
	type ReportedEnd,
	type ReportedRun,
	type RunLossCause,
	type PoolWorker,
	type WorkerEntry,
	type WorkerRun,
} from './pool-worker.js';
import {maxOverflowPatienceMs} from './zone-overflow.js';
import {TypicalTasks, projectZoneWait, type ServiceWaits} from './zone-wait.js';
import {
	ScheduledJob,
	submissionDelayMs,
	type ScheduledTask,
} from './scheduled-job.js';
import {
	type CommandOutcome,
	type SentHold,
	type WorkerCommandSender,
} from './worker-command.js';
import {
	WorkerPool,
	defaultWorkerPoolSettings,
	type PriorRuns,
	type WorkerPoolListener,
	type RunOutcome,
	type WorkerStatusChange,
	type WorkerPoolSettings,
} from './worker-pool.js';

/** Receives the answers and decisions of the scheduler. */
export type SchedulerOutput = {
	/** Sends the answer of a job to its receiver, the entry VM that waits for it. */
	sendAnswer(receiver: string, id: string, answer: PoolAnswer): void;
	/** Sends the names of the done tasks of an unanswered job to its receiver, for the next leader. */
	sendCompletedTasks(
		receiver: string,
		id: string,
		doneTasks: readonly string[],
	): void;
	/** Tells the receiver of a job without an answer that this leader gives it up and has started none of its tasks. */
	sendUntouched(receiver: string, id: string, attempt: string): void;
	/** Tells the receivers of the jobs, and entry VMs that may get the jobs, which runs were lost with their workers. */
	sendLostRuns(
		receivers: readonly string[],
		lostRuns: readonly LostRun[],
	): void;
	/** Handles that a worker of a zone has refused a fencing token because it has received a higher one. */
	handleFencedZone(zone: string, token: number): void;
	/** Writes a decision to the log. */
	logDecision(decision: PoolDecision): void;
};

/** Settings of the scheduler. Times are in milliseconds. */
export type SchedulerSettings = AnswerRetention & {
	/**
	 * Time for which a receiver's grant lets this leader start and extend the runs of its jobs, from the sending of the heartbeat
	 * that it confirms: two intervals of late processes, and a delay.
	 */
	readonly grantMs: number;
	/** Time after which the jobs of an unreachable receiver, or of one whose grant has ended, are abandoned. */
	readonly receiverTimeoutMs: number;
	/** Multiple of the expected run time from which a run counts as stuck; few runs of sound workers take as long. */
	readonly stuckFactor: number;
	/** Shortest run time from which a run counts as stuck. */
	readonly minStuckMs: number;
};

/** Settings for callers that resend a lost job after 1.3 s. */
export const defaultSchedulerSettings: SchedulerSettings = {
	grantMs: 900,
	receiverTimeoutMs: 600,
	answerRetentionMs: 30_000,
	maxRetainedAnswers: 20_000,
	stuckFactor: 6,
	minStuckMs: 400,
};

/** Dependencies and settings of a scheduler. */
export type SchedulerOptions = {
	readonly commandSender: WorkerCommandSender;
	readonly output: SchedulerOutput;
	readonly estimates: RunTimeEstimator;
	readonly queueOrder: QueueOrder;
	readonly workerSelection: WorkerSelectionPolicy;
	/** All zones of the installation, including those that other entry VMs lead. */
	readonly zones: readonly string[];
	readonly settings?: SchedulerSettings;
	readonly poolSettings?: WorkerPoolSettings;
	/**
	 * Asks for a call of {@link PoolScheduler.flush} after the messages that have arrived. Jobs are then admitted, and tasks
	 * placed, once for all of them: a late process handles more messages at a time, each at a lower cost. Without it, each
	 * message is handled on its own.
	 */
	readonly requestFlush?: () => void;
};

/** A job that was submitted, and is not admitted or refused yet. */
type Submission = {
	readonly job: PoolJob;
	readonly receiver: string;
	readonly isResubmitted: boolean;
	readonly receivedAtMs: number;
};

/** What leaders learn and tell each other. */
export type LearnedSpeeds = {
	readonly kinds: readonly KindSlowdown[];
	readonly tails: readonly QueueTail[];
};

/** Ratio of the time that a run has taken to its expected time from which it is overdue. */
const overdueRatio = 3;
/** Multiple of the longest recent runs of a queue with rare long runs from which a run counts as stuck. */
const tailStuckMargin = 1.5;
const defaultRetryAfterMs = 2000;
/** Time in milliseconds before the end of a grant from which other leaders are told of the jobs: until then they can confirm it. */
const grantWarningTimeMs = 300;
/**
 * Time in milliseconds since a confirmed heartbeat was sent after which its zone may get another leader: 0.4 s of silence and
 * 0.05 s in which peers are asked, less a check of this leader and a stop of its runs.
 */
const maxConfirmationAgeMs = 350;
/** Number of tasks that one log line names at most. */
const maxLoggedTasks = 20;
/**
 * Time in milliseconds without a tick after which a successor may have claimed zones: four intervals of heartbeats, less
 * the one that may have passed before.
 */
const maxSuspensionMs = 280;
/**
 * Time in milliseconds after a suspension in which messages from before its end may still be read: that of silence after
 * which receivers give a leader up, so that later ones are from receivers which have heard it since.
 */
const maxReadDelayMs = 400;
/**
 * Time in milliseconds from the receipt of an indeterminate job until an earlier leader's list of workers has arrived,
 * which is sent together with the first jobs.
 */
const workerListDelayMs = 40;
/**
 * Share of the latency objective after which the start of a waiting job is projected again. A refusal by then delays the
 * caller only a little.
 */
const reassessmentShare = 0.2;

/**
 * Admits jobs from the entry VMs that received them, places their tasks on the workers of one pool and answers each job
 * once. It does no input or output, and takes the time from its arguments.
 */
export class PoolScheduler implements WorkerPoolListener {
	readonly pool: WorkerPool;
	readonly #options: SchedulerOptions;
	readonly #settings: SchedulerSettings;
	readonly #jobs = new Map<string, ScheduledJob>();
	/** All jobs with waiting tasks, and some whose last waiting task was placed or that were answered. */
	readonly #waitingJobs = new Set<ScheduledJob>();
	readonly #answeredJobs: AnsweredJobs;
	readonly #typicalTasks = new TypicalTasks();
	readonly #tails = new RunTimeTails();
	readonly #lostRuns = new LostRunRegister();
	readonly #jobsElsewhere = new JobsElsewhere();
	readonly #grants = new ReceiverGrants();
	/** Receivers whose grants have ended, with the time since when, as far as they have jobs here. */
	#heldReceivers: ReadonlyMap<string, number> = new Map();
	/** Jobs of which another leader may have runs, for copies of their requests after these jobs were answered. */
	readonly #jobsOfOtherLeaders = new Map<
		string,
		Pick<PriorRuns, 'otherRunsEndByMs' | 'earlierToken'>
	>();

	/** Submissions since the last flush, by job. */
	readonly #submissions = new Map<string, Submission>();
	#isFlushRequested = false;
	#desiredState: DesiredState | undefined;
	/** Time of the latest call, for listener methods that get no time. */
	#now = 0;
	readonly #stall = new LeaderStall();
	/** Time of the last tick, or of the claim of the first zone. */
	#tickedAtMs: number | undefined;
	/** Whether a suspension has been noticed since the last tick: nothing is started until the next one. */
	#isSuspended = false;
	/** Time of the tick that ended the last suspension. */
	#resumedAtMs = Number.NEGATIVE_INFINITY;
	/** Whether waiting tasks may have become placeable since the last attempt to place them. */
	#needsPlacement = true;

	constructor(options: SchedulerOptions) {
		this.#options = options;
		this.#settings = options.settings ?? defaultSchedulerSettings;
		this.#answeredJobs = new AnsweredJobs(this.#settings);
		this.pool = new WorkerPool(
			options.commandSender,
			this,
			options.poolSettings ?? defaultWorkerPoolSettings,
		);
	}

	/** Number of jobs without an answer. */
	get jobCount(): number {
		return this.#jobs.size;
	}

	/** Counts the jobs of a queue of which no task has started. */
	countPendingJobs(queue: string): number {
		return (
			[...this.#submissions.values()].filter(({job}) => job.queue === queue)
				.length +
			[...this.#jobs.values()].filter(
				(job) => job.queue.name === queue && !job.hasStarted,
			).length
		);
	}

	/**
	 * Computes the free thousandths of a core on the workers of each led zone. A zone in which tasks wait has none: what
	 * is free on each of its workers is too little for them.
	 */
	computeSpareMillis(now: number): Readonly<Record<string, number>> {
		const waitingJobs = [...this.#jobs.values()].filter(({tasks}) =>
			tasks.some(({state}) => state === 'waiting'),
		);
		return Object.fromEntries(
			this.pool.zones.map((zone) => [
				zone,
				waitingJobs.some((job) => job.mayRunIn(zone))
					? 0
					: this.pool.workers
							.filter(
								(worker) =>
									worker.entry.zone === zone && worker.canStartTask(now),
							)
							.reduce(
								(sum, {free}) => sum + Math.max(0, free.processorMillis),
								0,
							),
			]),
		);
	}

	/** Projects the waits of new jobs in each led zone, by service; a zone whose workers have not reported yet is left out. */
	projectZoneWaits(now: number): Readonly<Record<string, ServiceWaits>> {
		if (this.pool.isSyncing(now)) {
			return {};
		}

		const waitingJobs = this.#listWaitingJobs().toSorted((left, right) =>
			this.#options.queueOrder.compare(left, right, now),
		);
		return Object.fromEntries(
			this.pool.zones.map((zone) => [
				zone,
				Object.fromEntries(
					this.#typicalTasks.services.map((service) => [
						service,
						projectZoneWait(
							this.#typicalTasks.get(service)!,
							waitingJobs
								.filter(
									(job) => job.queue.service === service && job.mayRunIn(zone),
								)
								.flatMap((job) => toProjectedTasks(job)),
							this.pool.workers
								.filter(
									(worker) =>
										worker.entry.zone === zone &&
										worker.entry.service === service &&
										worker.canStartTask(now),
								)
								.map((worker) => toProjectedWorker(worker, now)),
							now,
						),
					]),
				),
			]),
		);
	}

	/** Applies a desired state unless its version is older than, or the same as, the current one. */
	applyDesiredState(state: DesiredState): void {
		if (
			this.#desiredState === undefined ||
			state.version > this.#desiredState.version
		) {
			this.#desiredState = state;
			this.pool.setUnguardedServices(state.unguardedServices ?? []);
		}
	}

	/**
	 * Sets the zones in which nothing is started from now on. Jobs that wait for workers of these zones only are handed back
	 * at once, so that their receivers send them to other zones.
	 */
	setEvacuatedZones(zones: ReadonlySet<string>, now: number): void {
		this.#begin(now);
		this.#needsPlacement = true;
		this.pool.setEvacuatedZones(zones);
		for (const job of this.#listWaitingJobs()) {
			this.#handBackIfEvacuated(job, now);
		}

		this.#placeWaitingTasks(now);
	}

	/** Applies the platform's list of workers, which was current at `currentAtMs`. */
	updateWorkers(
		entries: readonly WorkerEntry[],
		now: number,
		currentAtMs = now,
	): void {
		this.#begin(now);
		this.#needsPlacement = true;
		this.pool.updateEntries(entries, now);
		this.pool.recordCurrentList(currentAtMs, this.pool.canReadList);
		this.#placeWaitingTasks(now);
	}

	/**
	 * Records that the list of workers was current at `currentAtMs`; `canReadList` is whether the store is reachable. Jobs that
	 * another leader may have started are not started while the list is older than the claim.
	 */
	recordCurrentList(currentAtMs: number, canReadList: boolean): void {
		this.pool.recordCurrentList(currentAtMs, canReadList);
	}

	/**
	 * Starts to lead the workers of a zone under a fencing token. If this leader was superseded before, its successor may
	 * have started any of its jobs.
	 */
	startLeadingZone(zone: string, token: number, now: number): void {
		this.#begin(now);
		if (this.pool.zones.length === 0) {
			this.#recordCheck(now);
			this.#stall.restart(now);
		}

		this.pool.claimZone(zone, token, now);
		this.#markJobsUnsettled(now);
	}

	/**
	 * Stops leading the workers of zones. Jobs that may run in none of the remaining zones are dropped without an answer,
	 * for the next leader to take over; all others with runs in the dropped zones are answered `may-have-run`.
	 */
	stopLeadingZones(zones: readonly string[], now: number): void {
		this.#begin(now);
		const runs = zones.flatMap((zone) => this.pool.dropZone(zone, now));
		if (this.pool.zones.length === 0) {
			this.#logUnconfirmedStarts(runs, now);
			this.#handOverJobs(this.#jobs.values());
			this.#jobs.clear();
			return;
		}

		const leaving = [...this.#jobs.values()].filter(
			(job) => !this.pool.zones.some((zone) => job.mayRunIn(zone)),
		);
		this.#handOverJobs(leaving);
		for (const job of leaving) {
			this.#stopRuns(job, now);
			this.#jobs.delete(job.id);
		}

		for (const run of runs) {
			const job = this.#jobs.get(run.jobId);
			if (job !== undefined) {
				// The next leader of the zone may extend the run's lease until it stops the run as an orphan.
				this.#abandonJob(
					job,
					{kind: 'may-have-run', reason: 'worker-lost'},
					now,
				);
			}
		}
	}

	/** Returns the state or the answer of a job, or `undefined` for an unknown job or one whose answer is not retained. */
	getJobState(id: string): 'queued' | 'running' | PoolAnswer | undefined {
		const job = this.#jobs.get(id);
		if (job !== undefined) {
			return job.hasStarted ? 'running' : 'queued';
		}

		return this.#submissions.has(id)
			? 'queued'
			: this.#answeredJobs.findAnswer(id);
	}

	/**
	 * Admits or refuses a job from its receiver, at the next flush if there are any; a copy of a known job gets the same
	 * answer. `isResubmitted` is true if the job was submitted to a leader before, which may have started its tasks.
	 */
	submit(
		job: PoolJob,
		receiver: string,
		isResubmitted: boolean,
		now: number,
	): void {
		if (this.#submissions.has(job.id)) {
			this.#begin(now);
		}

		this.#submissions.set(job.id, {
			job,
			receiver,
			isResubmitted,
			receivedAtMs: now,
		});
		this.#requestFlush(now);
	}

	/** Admits or refuses the submitted jobs, and places waiting tasks if anything has changed since they were last placed. */
	flush(now: number): void {
		this.#isFlushRequested = false;
		this.#begin(now);
		this.#placeWaitingTasks(now);
	}

	/**
	 * Ends a job whose caller has cancelled it, or has left its receiver `from`. Returns whether the job was known and had no
	 * answer. A caller that has left another receiver is ignored: it has sent the job again.
	 */
	cancel(
		id: string,
		reason: 'caller-left' | 'cancelled',
		from: string,
		now: number,
	): boolean {
		this.#begin(now);
		const job = this.#jobs.get(id);
		if (
			job === undefined ||
			(reason === 'caller-left' && job.receiver !== from)
		) {
			return false;
		}

		this.#abandonJob(
			job,
			reason === 'cancelled'
				? {kind: 'cancelled'}
				: this.#hasCertainlyNotRun(job, now)
					? {kind: 'not-run', reason}
					: {kind: 'may-have-run', reason},
			now,
		);
		this.#placeWaitingTasks(now);
		return true;
	}

	/**
	 * Cancels a job for a caller. One that is not known here, or is cancelled already, is remembered as cancelled, as its submission
	 * may be on its way, or be repeated: `unknown`. Returns `over` if the job has ended with a result, which stays.
	 */
	cancelForCaller(id: string, now: number): 'cancelled' | 'over' | 'unknown' {
		this.#begin(now);
		const job = this.#jobs.get(id);
		if (job !== undefined) {
			this.#abandonJob(job, {kind: 'cancelled'}, now);
			this.#placeWaitingTasks(now);
			return 'cancelled';
		}

		const answer = this.#answeredJobs.findAnswer(id);
		if (answer !== undefined && answer.kind !== 'cancelled') {
			return 'over';
		}

		this.#answeredJobs.recordAnswer(id, '', {kind: 'cancelled'}, now);
		this.#answeredJobs.evict(now);
		this.pool.abandonOrphans(id);
		return 'unknown';
	}

	/**
	 * Gives up a job without an answer because its receiver has submitted it to another leader, and stops its runs. Ignored
	 * if another receiver has submitted the job here since.
	 */
	release(id: string, receiver: string, now: number): void {
		this.#begin(now);
		const job = this.#jobs.get(id);
		if (job?.receiver !== receiver) {
			return;
		}

		this.#logJobDecision('given-up', id, 'moved', {receiver});
		this.#sendCompletedTasks([job]);
		this.#stopRuns(job, now);
		this.#jobs.delete(id);
		this.#placeWaitingTasks(now);
	}

	/** Starts no more tasks of a receiver's jobs until it resubmits them, since it is unreachable. */
	markReceiverUnreachable(receiver: string, now: number): void {
		this.#begin(now);
		for (const job of this.#jobs.values()) {
			if (job.receiver === receiver) {
				job.receiverLostAtMs ??= now;
			}
		}
	}

	/**
	 * Does the same for all receivers that `isReachable` does not accept. Returns those of which a job was not marked before,
	 * with the number of such jobs.
	 */
	markUnreachableReceivers(
		isReachable: (receiver: string) => boolean,
		now: number,
	): ReadonlyMap<string, number> {
		this.#begin(now);
		const newlyLost = new Map<string, number>();
		for (const job of this.#jobs.values()) {
			if (job.receiverLostAtMs === undefined && !isReachable(job.receiver)) {
				job.receiverLostAtMs = now;
				newlyLost.set(job.receiver, (newlyLost.get(job.receiver) ?? 0) + 1);
			}
		}

		return newlyLost;
	}

	/** Records that a receiver has confirmed a heartbeat of this leader: it had moved none of its jobs to another one by then. */
	renewGrant(receiver: string, grant: ReceiverGrant, now: number): void {
		this.#grants.renew(receiver, grant, now);
	}

	/**
	 * Records that a job's caller lost its connection to `receiver` `lostForMs` milliseconds ago, and may submit the job to
	 * another entry VM.
	 */
	markCallerLost(
		id: string,
		receiver: string,
		now: number,
		lostForMs = 0,
	): void {
		this.#begin(now);
		const job = this.#jobs.get(id);
		if (job?.receiver === receiver) {
			job.callerLostAtMs ??= now - lostForMs;
		}
	}

	/** Records that the caller of a job has submitted it to the same `receiver` again. */
	markCallerReturned(id: string, receiver: string, now: number): void {
		this.#begin(now);
		const job = this.#jobs.get(id);
		if (job?.receiver === receiver) {
			job.callerLostAtMs = undefined;
		}
	}

	/** Whether workers may list runs that no job has claimed. */
	get hasUnclaimedRuns(): boolean {
		return this.pool.hasOrphans;
	}

	/**
	 * Records jobs that another leader may run for a while, and that their callers may submit here, as their receiver has given
	 * them up.
	 */
	recordLeftJobs(
		jobs: ReadonlyArray<
			Pick<PoolJob, 'id' | 'earlierToken' | 'earlierGrantAgeMs'>
		>,
		now: number,
	): void {
		for (const job of jobs) {
			this.#recordJobOfOtherLeader(job, now);
		}
	}

	/**
	 * Whether an entry VM confirms the heartbeats of this leader, so that it has not lost it, and none of its peers has claimed its
	 * zone for that.
	 */
	isConfirming(entryVm: string, now: number): boolean {
		return (
			now - this.#grants.newestConfirmationMs(entryVm) <= maxConfirmationAgeMs
		);
	}

	/** Returns the jobs with runs, or about to start some, whose callers may submit them to the leader of another zone. */
	findReturnableJobs(now: number): readonly ReturnableJob[] {
		const lostJobs = [...this.#jobs.values()].flatMap(
			(job): readonly ReturnableJob[] => {
				const {id, callerLostAtMs, receiverLostAtMs, hasStarted} = job;
				if (this.#isHeldElsewhere(job, now)) {
					return [];
				}

				// The copy of a lost caller comes first.
				if (callerLostAtMs !== undefined) {
					return [{id, cause: 'caller-lost', sinceMs: callerLostAtMs}];
				}

				const grantWarningMs = this.#grantEndsAtMs(job) - grantWarningTimeMs;
				if (!hasStarted || (receiverLostAtMs ?? grantWarningMs) > now) {
					return [];
				}

				return grantWarningMs > now
					? [{id, cause: 'receiver-lost', sinceMs: receiverLostAtMs!}]
					: [{id, cause: 'grant-ending', sinceMs: grantWarningMs}];
			},
		);
		const unclaimed = this.pool
			.listUnclaimedRuns()
			.map(({jobId, foundAtMs}): ReturnableJob => ({
				id: jobId,
				cause: 'unclaimed',
				sinceMs: foundAtMs,
			}));
		const stopping = [
			...this.pool.findJobsWithRuns((id) => !this.#jobs.has(id)),
		].map((id): ReturnableJob => ({id, cause: 'stopping', sinceMs: now}));
		const withoutJob = [
			...unclaimed.filter(({id}) => !this.#jobs.has(id)),
			...stopping,
		];
		// Of several entries for one job the last one stays, that of an unclaimed run.
		return [
			...new Map(
				[...withoutJob.toReversed(), ...lostJobs].map((job) => [job.id, job]),
			).values(),
		];
	}

	/** Returns a test of whether this leader still has a job without an answer, or a run of it. */
	createActivityTest(now: number): (id: string) => boolean {
		const jobsWithRuns = this.pool.findJobsWithRuns(() => true);
		const jobsWithUnclaimedRuns = new Set(
			this.pool.listUnclaimedRuns().map(({jobId}) => jobId),
		);
		return (id) => {
			const job = this.#jobs.get(id);
			return (
				(job !== undefined && !this.#isHeldElsewhere(job, now)) ||
				this.#submissions.has(id) ||
				jobsWithRuns.has(id) ||
				jobsWithUnclaimedRuns.has(id)
			);
		};
	}

	/** Stops the runs of a job whose caller may submit it to a leader that does not know of them. */
	stopReturnableJob(id: string, now: number): void {
		this.#begin(now);
		const job = this.#jobs.get(id);
		if (job === undefined) {
			this.pool.abandonOrphans(id);
		} else {
			this.#abandonJob(
				job,
				job.hasCertainlyNotRun
					? {kind: 'not-run', reason: 'caller-left'}
					: {kind: 'may-have-run', reason: 'caller-left'},
				now,
			);
			this.#placeWaitingTasks(now);
		}
	}

	/**
	 * Records jobs of which the leader of another zone has runs, and which are not started here meanwhile. Returns `undefined`
	 * if there is no space for them, else those that have started here already.
	 */
	recordJobsElsewhere(
		holder: string,
		ids: readonly string[],
		now: number,
	): readonly string[] | undefined {
		this.#begin(now);
		this.#jobsElsewhere.evict(now);
		if (!this.#jobsElsewhere.record(holder, ids, now)) {
			return undefined;
		}

		const known = ids.flatMap((id) => this.#jobs.get(id) ?? []);
		for (const job of known) {
			job.isIndeterminate = true;
		}

		return known.filter(({hasStarted}) => hasStarted).map(({id}) => id);
	}

	/** Records that the leader of another zone has no runs of jobs any more; those with a result are answered by it here. */
	recordEndedJobsElsewhere(
		holder: string,
		endedJobs: readonly EndedJob[],
		now: number,
	): void {
		this.#begin(now);
		for (const {id, answer} of endedJobs) {
			this.#jobsElsewhere.end(holder, id);
			const job = this.#jobs.get(id);
			if (answer !== undefined && job?.hasStarted === false) {
				this.#answerJob(job, answer, now);
			} else if (answer !== undefined && job === undefined) {
				this.#answeredJobs.recordAnswer(id, '', answer, now);
			}
		}

		this.#needsPlacement = true;
		this.#placeWaitingTasks(now);
	}

	/** Number of jobs of which the leaders of other zones have runs. */
	get jobsElsewhereCount(): number {
		return this.#jobsElsewhere.size;
	}

	/** Handles the outcome of a start command. */
	handleStartOutcome(
		workerId: string,
		taskName: string,
		outcome: CommandOutcome,
		now: number,
	): void {
		this.#now = now;
		this.#judgeSuspension(now);
		const worker = this.pool.findWorker(workerId);
		const run = worker?.runs.get(taskName);
		const job = run === undefined ? undefined : this.#jobs.get(run.jobId);
		if (
			worker !== undefined &&
			run?.state === 'ordered' &&
			outcome.kind === 'silent' &&
			job !== undefined &&
			!this.#mayStart(job, now)
		) {
			this.pool.stopRun(run, worker, now);
		} else {
			const spec = job?.job.spec ?? '';
			this.pool.handleStartOutcome(workerId, taskName, spec, outcome, now);
		}

		this.#requestFlush(now);
	}

	/** Handles the outcome of a stop command. */
	handleStopOutcome(
		workerId: string,
		taskName: string,
		outcome: CommandOutcome,
		now: number,
	): void {
		this.#now = now;
		this.#judgeSuspension(now);
		this.pool.handleStopOutcome(workerId, taskName, outcome, now);
	}

	/** Handles the outcome of a hold command. */
	handleHoldOutcome(
		workerId: string,
		hold: SentHold,
		outcome: CommandOutcome,
		now: number,
	): void {
		this.#now = now;
		this.#judgeSuspension(now);
		this.#stall.observe(now);
		this.pool.handleHoldOutcome(workerId, hold, outcome, now);
		this.#requestFlush(now);
	}

	/** Handles timeouts of runs and jobs, and places waiting tasks. */
	tick(now: number): void {
		this.#begin(now);
		this.#needsPlacement = true;
		const wasSuspended = this.#isSuspended;
		this.#recordCheck(now);
		if (wasSuspended) {
			this.#resumedAtMs = now;
			// Reports that were requested since the suspension was noticed may also be from before a further one.
			this.#markJobsUnsettled(now);
			this.pool.requireNewReports(now);
			this.pool.sendHolds(now);
		}

		this.#stall.recordTick(now);
		this.#updateHeldReceivers(now);
		this.pool.tick(now, this.#listWaitingJobs().length > 0);
		// The runs of a worker whose report is missing may have ended: this process may have been late to read it.
		for (const worker of this.pool.workers.filter(
			({isSynced, reportRequestedAtMs}) =>
				isSynced && this.#stall.isTimely(reportRequestedAtMs),
		)) {
			this.#judgeOngoingRuns(worker, now);
		}

		for (const job of this.#jobs.values()) {
			this.#checkJobTimeouts(job, now);
		}

		this.#reassessJobs(now);
		this.#answeredJobs.evict(now);
		this.#jobsElsewhere.evict(now);
		this.#evictJobsOfOtherLeaders(now);
		this.#placeWaitingTasks(now);
	}

	/** Returns what this leader has learned of kinds of workers and of queues, for other leaders. */
	exportLearned(): LearnedSpeeds {
		return {
			kinds: this.pool.kindSpeeds.export(),
			tails: this.#tails.export(),
		};
	}

	/** Applies what another leader has learned, where this one knows little itself. */
	importLearned({kinds, tails}: LearnedSpeeds): void {
		this.pool.kindSpeeds.import(kinds);
		this.#tails.import(tails);
	}

	/** Applies the lost runs that another entry VM has reported. */
	importLostRuns(lostRuns: readonly LostRun[], now: number): void {
		this.#now = now;
		this.#judgeSuspension(now);
		this.#giveUpAfterLosses(this.#lostRuns.record(lostRuns, now), now);
	}

	/** Records the runs of a worker that is lost, and gives up the jobs whose tasks may not be started again. */
	handleWorkerLoss(
		worker: PoolWorker,
		cause: Extract<RunLossCause, 'crashed' | 'unreachable'>,
	): void {
		const lostRuns = this.#lostRuns.recordWorkerLoss(
			worker.activeRuns,
			worker.entry.id,
			cause === 'crashed',
			this.#now,
		);
		for (const {task, run, isSuspect} of lostRuns) {
			this.#options.output.logDecision({
				event: 'run-lost',
				id: parseJobId(task),
				task,
				run,
				worker: worker.entry.id,
				reason: cause,
				inputs: {
					suspicion: this.#lostRuns.assess(task),
					isSuspect: isSuspect ? 1 : 0,
					otherRuns: lostRuns.length - 1,
				},
			});
		}

		if (lostRuns.length > 0) {
			const receivers = lostRuns.flatMap(({task}) => {
				const job = this.#jobs.get(parseJobId(task));
				return job === undefined ? [] : [job.receiver];
			});
			this.#options.output.sendLostRuns([...new Set(receivers)], lostRuns);
		}

		this.#giveUpAfterLosses(lostRuns, this.#now);
		this.#answerJobsWithoutTimeToRetry(worker);
	}

	/** Handles the end of a run that the scheduler has sent a start command for, or has adopted. */
	handleRunEnd(run: WorkerRun, outcome: RunOutcome, worker: PoolWorker): void {
		this.#needsPlacement = true;
		const now = this.#now;
		const job = this.#jobs.get(run.jobId);
		const task = job?.tasks.find(({task: {name}}) => name === run.task);
		const ranMs = now - (run.confirmedAtMs ?? run.orderedAtMs);
		this.#options.output.logDecision({
			event: 'run-ended',
			id: run.jobId,
			task: run.task,
			run: run.run,
			worker: worker.entry.id,
			reason: outcome,
			inputs: {
				ranMs: Math.round(ranMs),
				expectedMs: Math.round(run.expectedMs),
				...(run.lossCause === undefined
					? {}
					: {
							cause: run.lossCause,
							otherRuns: worker.runs.size,
						}),
			},
		});
		if (outcome === 'done') {
			this.#recordRunTime(run, worker, ranMs, job);
		} else if (
			(outcome === 'failed' || outcome === 'lapsed') &&
			worker.health.recordFailure(run.jobId, now)
		) {
			this.handleWorkerChange(worker, 'set-aside');
		}

		if (job !== undefined && task?.worker === worker.entry.id) {
			if (
				outcome === 'lapsed' &&
				run.lossCause !== 'reported' &&
				now >= worker.leaseExpiresByMs
			) {
				// Until then another leader may have got the job, and may have extended the lease of the run.
				job.confirmationNeededSinceMs = worker.leaseExpiresByMs;
			}

			this.#handleTaskEnd(job, task, outcome, worker, now);
		}
	}

	mayExtendRun({jobId}: WorkerRun, now: number): boolean {
		const job = this.#jobs.get(jobId);
		return job === undefined || this.#isGranted(job, now);
	}

	/** Adopts a run that a worker lists for a waiting task; returns whether there is such a task. */
	tryAdoptRun(reportedRun: ReportedRun, worker: PoolWorker): boolean {
		const job = this.#jobs.get(parseJobId(reportedRun.task));
		const task = job?.tasks.find(({task: {name}}) => name === reportedRun.task);
		if (job === undefined || task?.state !== 'waiting') {
			return false;
		}

		this.#adoptActiveRun(job, task, reportedRun.run, worker, this.#now);
		return true;
	}

	/**
	 * Adopts the end of a newer run of a waiting task, or a `done` end of any run of an unfinished task, as runs on two workers
	 * may have the same number; returns whether there is such a task.
	 */
	tryAdoptEnd(reportedEnd: ReportedEnd): boolean {
		const job = this.#jobs.get(parseJobId(reportedEnd.task));
		const task = job?.tasks.find(({task: {name}}) => name === reportedEnd.task);
		if (
			job === undefined ||
			task === undefined ||
			task.state === 'done' ||
			(reportedEnd.how !== 'done' &&
				(task.state !== 'waiting' || reportedEnd.run <= task.latestRun))
		) {
			return false;
		}

		if (task.state === 'placed') {
			this.#stopTaskRun(job, task, this.#now);
			task.worker = undefined;
		}

		this.#adoptEndedRun(job, task, reportedEnd);
		this.#giveUpIfAttemptsAreUsedUp(job, this.#now);
		if (job.isComplete) {
			this.#answerJob(job, {kind: 'completed'}, this.#now);
		}

		return true;
	}

	isJobOver(task: string): boolean {
		const jobId = parseJobId(task);
		return (
			!this.#jobs.has(jobId) &&
			(this.#answeredJobs.findAnswer(jobId) !== undefined ||
				this.#hasGivenUp(jobId))
		);
	}

	/** Passes on that a worker has refused the fencing token of a zone. */
	handleFencedZone(zone: string, token: number): void {
		this.#options.output.handleFencedZone(zone, token);
	}

	/** Logs a change in the state of a worker. */
	handleWorkerChange(worker: PoolWorker, change: WorkerStatusChange): void {
		this.#needsPlacement ||= change !== 'clock-behind';
		this.#options.output.logDecision({
			event: 'worker',
			worker: worker.entry.id,
			reason: change,
			inputs: {
				runs: worker.runs.size,
				reportAgeMs: Math.round(Math.min(1e9, this.#now - worker.reportedAtMs)),
				...(change === 'clock-behind'
					? {behindMs: Math.round(this.pool.clockSamples.latestBehindMs)}
					: {}),
				...(change === 'resized'
					? {
							capacityMillis: worker.entry.capacity.processorMillis,
							freeMillis: worker.free.processorMillis,
						}
					: {}),
			},
		});
	}

	/**
	 * Updates the pace of a worker by its ongoing runs, and stops those that seem stuck. A single long run of a queue that has
	 * rare long runs says nothing about its worker; two at once do.
	 */
	#judgeOngoingRuns(worker: PoolWorker, now: number): void {
		if (worker.runs.size === 0) {
			return;
		}

		const runs = [...worker.runs.values()].map((run) => ({
			run,
			ratio: (now - run.orderedAtMs) / Math.max(1, run.expectedMs),
			hasTail: this.#tails.hasTail(this.#jobs.get(run.jobId)?.queue.name ?? ''),
		}));
		const overdueCount = runs.filter(({ratio}) => ratio >= overdueRatio).length;
		for (const {run, ratio, hasTail} of runs) {
			if (!hasTail || overdueCount > 1) {
				worker.pace.recordOngoingRun(ratio, now);
			}

			this.#stopRunIfStuck(run, worker, now);
		}
	}

	/** Gives up the jobs of lost runs whose tasks may not be started again. */
	#giveUpAfterLosses(lostRuns: readonly LostRun[], now: number): void {
		for (const jobId of new Set(lostRuns.map(({task}) => parseJobId(task)))) {
			const job = this.#jobs.get(jobId);
			if (this.#hasGivenUp(jobId)) {
				this.pool.abandonOrphans(jobId);
			}

			const answer = this.#findLossAnswer(
				(job?.tasks ?? [])
					.filter(({state}) => state !== 'done')
					.map(({task}) => task.name),
			);
			if (job !== undefined && answer !== undefined) {
				this.#abandonJob(job, answer, now);
			}
		}
	}

	/** Answers the jobs whose callers leave before a run that was lost with a worker could be repeated: its lease has to end first. */
	#answerJobsWithoutTimeToRetry(worker: PoolWorker): void {
		for (const {jobId, task: name, expectedMs} of worker.runs.values()) {
			const job = this.#jobs.get(jobId);
			if (
				job?.tasks.some(
					(task) => task.task.name === name && task.worker === worker.entry.id,
				) === true &&
				worker.leaseExpiresByMs + expectedMs > job.callerDeadlineMs
			) {
				this.#abandonJob(
					job,
					{kind: 'may-have-run', reason: 'worker-lost'},
					this.#now,
				);
			}
		}
	}

	/** Whether a task of a job may not be started again after its lost runs. */
	#hasGivenUp(jobId: string): boolean {
		return (
			this.#findLossAnswer(
				this.#lostRuns.ofJob(jobId).map(({task}) => task),
			) !== undefined
		);
	}

	/** Returns the answer of a job that has one of these tasks, if a task may not be started again after its lost runs. */
	#findLossAnswer(
		taskNames: readonly string[],
	): Extract<PoolAnswer, {kind: 'may-have-run'}> | undefined {
		const suspicions = new Set(
			taskNames.map((task) => this.#lostRuns.assess(task)),
		);
		if (suspicions.has('crashing')) {
			// A partition that refuses connections looks like a crash, so `failed` might be untrue.
			return {kind: 'may-have-run', reason: 'workers-crashed'};
		}

		return suspicions.has('lost-too-often')
			? {kind: 'may-have-run', reason: 'worker-lost'}
			: undefined;
	}

	/** Tells the receivers of jobs that this leader drops what the next leader has to know of them. */
	#handOverJobs(jobs: Iterable<ScheduledJob>): void {
		const dropped = [...jobs];
		this.#sendCompletedTasks(dropped);
		for (const {id, receiver, job, hasCertainlyNotRun} of dropped) {
			if (hasCertainlyNotRun) {
				this.#options.output.sendUntouched(receiver, id, job.attempt);
			}
		}
	}

	/** Sends the done tasks of each job to its receiver, so that the next leader does not run them again. */
	#sendCompletedTasks(jobs: Iterable<ScheduledJob>): void {
		for (const {id, receiver, tasks} of jobs) {
			const doneTasks = tasks
				.filter(({state}) => state === 'done')
				.map(({task}) => task.name);
			if (doneTasks.length > 0) {
				this.#options.output.sendCompletedTasks(receiver, id, doneTasks);
			}
		}
	}

	/**
	 * Notices that this leader has not ticked for so long that a successor may have claimed its zones, and may have extended
	 * leases of runs that this leader takes for lapsed. A process that was stalled reads messages before it ticks.
	 */
	#judgeSuspension(now: number): void {
		if (
			this.#isSuspended ||
			this.pool.zones.length === 0 ||
			now - (this.#tickedAtMs ?? now) <= maxSuspensionMs
		) {
			return;
		}

		this.#isSuspended = true;
		this.#logSuspension(now);
		this.#markJobsUnsettled(now);
		this.pool.requireNewReports(now);
	}

	/** Records that the leader has ticked, or claimed its first zone; its next heartbeat is sent in the same turn. */
	#recordCheck(now: number): void {
		this.#isSuspended = false;
		this.#tickedAtMs = now;
		this.pool.certainUntilMs = now + maxSuspensionMs;
	}

	/** Sets the time of the latest call, and admits or refuses the jobs that were submitted before it. */
	#begin(now: number): void {
		this.#now = now;
		this.#judgeSuspension(now);
		if (this.#submissions.size === 0) {
			return;
		}

		const submissions = [...this.#submissions.values()];
		this.#submissions.clear();
		const newJobs = submissions.flatMap((submission) => {
			const job = this.#findNewJob(submission, now);
			return job === undefined ? [] : [job];
		});
		if (newJobs.length > 0) {
			this.#needsPlacement = true;
			this.#admitOrRefuse(newJobs, now);
		}
	}

	/** Asks for a flush, or flushes at once if nobody is asked. */
	#requestFlush(now: number): void {
		const {requestFlush} = this.#options;
		if (requestFlush === undefined) {
			this.flush(now);
		} else if (!this.#isFlushRequested) {
			this.#isFlushRequested = true;
			requestFlush();
		}
	}

	/** Returns the job of a submission if it is to be admitted or refused; handles a submission of a known job. */
	#findNewJob(
		{job, receiver, isResubmitted, receivedAtMs}: Submission,
		now: number,
	): ScheduledJob | undefined {
		if (job.grant !== undefined) {
			this.#grants.renew(receiver, job.grant, now);
		}

		if (isResubmitted) {
			this.#recordJobOfOtherLeader(job, receivedAtMs);
		}

		const closedAttempt = this.#answeredJobs.findClosedAttempt(job.attempt);
		if (closedAttempt !== undefined) {
			// This attempt has been answered. A resubmitted job may have run under another leader since then.
			this.#refuseJob(
				job,
				receiver,
				isResubmitted || closedAttempt.mayHaveRun,
				'overloaded',
				{late: 1},
			);
			return undefined;
		}

		this.importLostRuns(job.lostRuns ?? [], now);
		const retainedAnswer = this.#answeredJobs.findAnswer(job.id);
		if (retainedAnswer !== undefined) {
			this.#logJobDecision('joined', job.id, 'answered', {});
			this.#options.output.sendAnswer(receiver, job.id, retainedAnswer);
			return undefined;
		}

		const knownJob = this.#jobs.get(job.id);
		if (knownJob !== undefined) {
			if (knownJob.receiver !== receiver) {
				// The same receiver reports the caller's return, as it also submits jobs again that have lost their caller.
				knownJob.callerLostAtMs = undefined;
			}

			knownJob.receiver = receiver;
			knownJob.receiverLostAtMs = undefined;
			knownJob.grantEpoch = job.grant?.epoch;
			if (isResubmitted) {
				// Another leader may have started the job after this leader received it first.
				knownJob.isIndeterminate = true;
				knownJob.zones = unionZones(knownJob.zones, job.zones);
				knownJob.markUnsettled(
					job.earlierToken ?? 0,
					this.#computeOtherRunsEndByMs(job, receivedAtMs),
					now,
				);
			}

			this.#logJobDecision('joined', job.id, 'in-progress', {});
			this.#completeTasks(knownJob, job.doneTasks ?? [], now);
			return undefined;
		}

		const queue = this.#desiredState?.queues.find(
			({name}) => name === job.queue,
		);
		if (queue === undefined) {
			this.#refuseJob(
				job,
				receiver,
				isResubmitted || this.#mayHaveUnknownRuns(job, now),
				'queue-unknown',
				{},
			);
			return undefined;
		}

		const lossAnswer = this.#findLossAnswer(job.tasks.map(({name}) => name));
		if (lossAnswer !== undefined) {
			this.#logJobDecision('refused', job.id, lossAnswer.reason, {
				queue: job.queue,
				lostRuns: this.#lostRuns.ofJob(job.id).length,
			});
			this.#options.output.sendAnswer(receiver, job.id, lossAnswer);
			return undefined;
		}

		const scheduledJob = new ScheduledJob(
			job,
			queue,
			receiver,
			({declaredMs}) =>
				this.#options.estimates.expectedMs({
					classOfWork: queue.name,
					...(declaredMs > 0 ? {declaredMs} : {}),
				}),
			receivedAtMs,
		);
		this.#recordEarlierRuns(scheduledJob, isResubmitted, receivedAtMs, now);
		if (this.#mayRunElsewhere(job.id, now)) {
			scheduledJob.isIndeterminate = true;
			this.#logJobDecision('joined', job.id, 'held-elsewhere', {receiver});
		}

		this.#options.queueOrder.shares?.recordDemand(
			queue.name,
			scheduledJob.waitingCoreMs,
			now,
		);
		this.#typicalTasks.record(queue.service, toProjectedTasks(scheduledJob));
		return scheduledJob;
	}

	/** Gives a new job what is known of its runs under this leader and others. */
	#recordEarlierRuns(
		scheduledJob: ScheduledJob,
		isResubmitted: boolean,
		receivedAtMs: number,
		now: number,
	): void {
		const {job} = scheduledJob;
		scheduledJob.isIndeterminate = isResubmitted;
		scheduledJob.grantEpoch = job.grant?.epoch;
		for (const {task: name, run} of this.#lostRuns.ofJob(job.id)) {
			scheduledJob.skipRunNumbers(name, run);
		}

		const wasSubmittedUnderOtherToken =
			job.leaderToken !== undefined && job.leaderToken !== this.pool.token;
		// The receiver may have submitted the job to a successor since it sent a message that was read late.
		const mayBeReadLate =
			this.#isSuspended || receivedAtMs - this.#resumedAtMs < maxReadDelayMs;
		if (isResubmitted || wasSubmittedUnderOtherToken || mayBeReadLate) {
			scheduledJob.markUnsettled(
				job.earlierToken ?? 0,
				this.#computeOtherRunsEndByMs(job, receivedAtMs),
				now,
			);
		}

		const known = this.#jobsOfOtherLeaders.get(job.id);
		const zones = job.zones ?? this.#options.zones;
		if (
			known !== undefined &&
			this.pool.priorRunsSettledAtMs({...known, zones}, now) > now
		) {
			scheduledJob.isIndeterminate = true;
			scheduledJob.markUnsettled(
				known.earlierToken,
				known.otherRunsEndByMs,
				now,
			);
		}

		if (this.#answeredJobs.hadRuns(job.id)) {
			this.#adoptStoppingRuns(scheduledJob);
		}

		for (const task of scheduledJob.waitingTasks) {
			this.#adoptOrphan(scheduledJob, task, now);
		}
	}

	/** Refuses the jobs that cannot run or would start too late, unless they may have started; admits all others. */
	#admitOrRefuse(newJobs: readonly ScheduledJob[], now: number): void {
		const isSyncing = this.pool.isSyncing(now) || this.pool.awaitsClaims(now);
		const feasibleJobs = isSyncing
			? newJobs
			: newJobs.filter((job) => !this.#refuseIfInfeasible(job, now));
		const lastStartsMs = isSyncing
			? new Map<ScheduledJob, number>()
			: this.#projectLastStarts(feasibleJobs, now);
		for (const scheduledJob of feasibleJobs) {
			scheduledJob.isDelayedByFailover ||=
				isSyncing || this.#mayHaveUnknownRuns(scheduledJob, now);
			const admission = decidePoolAdmission(
				scheduledJob,
				lastStartsMs.get(scheduledJob) ?? now,
				now,
			);
			const isBalanced =
				admission.kind === 'admitted' &&
				admission.waitMs >
					(scheduledJob.job.balancingWaitMs ?? Number.POSITIVE_INFINITY) &&
				!this.#mayRunUnseen(scheduledJob.zones, now);
			if (
				(admission.kind === 'refused' || isBalanced) &&
				this.#hasCertainlyNotRun(scheduledJob, now)
			) {
				this.#refuseJob(
					scheduledJob.job,
					scheduledJob.receiver,
					false,
					'overloaded',
					{
						waitMs: Math.round(Math.min(1e9, admission.waitMs)),
						slackMs: Math.round(scheduledJob.latestFirstStartMs - now),
						waitingJobs: this.#jobs.size,
						...(admission.kind === 'refused'
							? {retryAfterMs: admission.retryAfterMs}
							: {isBalanced: 1}),
					},
				);
			} else {
				this.#admit(scheduledJob, admission.waitMs, isSyncing, now);
			}
		}
	}

	/** Whether runs of a job that earlier leaders have started may be at work on workers that have not reported here yet. */
	#mayRunUnseen(jobZones: readonly string[] | undefined, now: number): boolean {
		const zones = jobZones ?? this.#options.zones;
		return (
			now <
			this.pool.priorRunsSettledAtMs(
				{zones, otherRunsEndByMs: 0, earlierToken: 0},
				now,
			)
		);
	}

	/** Refuses a job that cannot run, unless it may have started; returns whether it did. */
	#refuseIfInfeasible(scheduledJob: ScheduledJob, now: number): boolean {
		if (!this.#hasCertainlyNotRun(scheduledJob, now)) {
			return false;
		}

		const infeasibility = findInfeasibility(
			scheduledJob,
			this.pool.workers,
			now,
		);
		if (infeasibility !== undefined) {
			this.#refuseJob(
				scheduledJob.job,
				scheduledJob.receiver,
				false,
				infeasibility.reason,
				infeasibility,
			);
		}

		return infeasibility !== undefined;
	}

	#admit(
		scheduledJob: ScheduledJob,
		waitMs: number,
		isSyncing: boolean,
		now: number,
	): void {
		const {job, queue, isIndeterminate, longestTaskMs} = scheduledJob;
		this.#jobs.set(job.id, scheduledJob);
		this.#waitingJobs.add(scheduledJob);
		this.#logJobDecision(
			'admitted',
			job.id,
			isIndeterminate ? 'resubmitted' : 'new',
			{
				queue: queue.name,
				stateVersion: this.#desiredState?.version ?? 0,
				tasks: job.tasks.length,
				waitMs: Math.round(Math.min(1e9, waitMs)),
				waitedMs: Math.round(job.waitedMs),
				isLearning: isSyncing ? 1 : 0,
				longestMs: Math.round(longestTaskMs),
				receiver: scheduledJob.receiver,
				zones: scheduledJob.zones?.join(' ') ?? '*',
				token: this.pool.token,
				...(scheduledJob.earlierToken === 0
					? {}
					: {earlierToken: scheduledJob.earlierToken}),
				...(scheduledJob.unsettledSinceMs === undefined ? {} : {unsettled: 1}),
			},
		);
		this.#giveUpIfAttemptsAreUsedUp(scheduledJob, now);
		if (this.#jobs.get(job.id) === scheduledJob && scheduledJob.isComplete) {
			this.#answerJob(scheduledJob, {kind: 'completed'}, now);
		}
	}

	/** Records that a successor of this leader may have started any of the jobs. */
	#markJobsUnsettled(now: number): void {
		for (const job of this.#jobs.values()) {
			job.markUnsettled(0, now + this.pool.priorRunsMs, now);
		}
	}

	/**
	 * Returns the time by which the runs have ended that another leader has started for a job: bounded by what its receiver has
	 * confirmed to that leader, if it tells.
	 */
	#computeOtherRunsEndByMs(
		{earlierGrantAgeMs}: Pick<PoolJob, 'earlierGrantAgeMs'>,
		receivedAtMs: number,
	): number {
		return earlierGrantAgeMs === undefined
			? receivedAtMs + this.pool.priorRunsMs
			: receivedAtMs -
					earlierGrantAgeMs +
					this.#settings.grantMs +
					this.pool.longestLeaseMs;
	}

	/** Returns the time at which the receiver's grant for a job ends unless it is renewed; infinite if it grants nothing. */
	#grantEndsAtMs({receiver, grantEpoch}: ScheduledJob): number {
		return grantEpoch === undefined
			? Number.POSITIVE_INFINITY
			: this.#grants.confirmedAtMs(receiver, grantEpoch) +
					this.#settings.grantMs;
	}

	/** Whether this leader may start and extend runs of a job, as its receiver has it submitted to no other leader. */
	#isGranted(job: ScheduledJob, now: number): boolean {
		return now < this.#grantEndsAtMs(job);
	}

	/** Whether tasks of a job may be started now, as far as its receiver and its caller are concerned. */
	#mayStart(job: ScheduledJob, now: number): boolean {
		return (
			job.mayStart(now) &&
			this.#isGranted(job, now) &&
			(job.grantEpoch === undefined ||
				this.#grants.confirmedAtMs(job.receiver, job.grantEpoch) >=
					job.confirmationNeededSinceMs)
		);
	}

	/** Returns when the receiver of a job became unreachable, or its grant ended; `undefined` if neither is so. */
	#findReceiverLoss(job: ScheduledJob, now: number): number | undefined {
		const grantEndsAtMs = this.#grantEndsAtMs(job);
		return grantEndsAtMs > now
			? job.receiverLostAtMs
			: Math.min(grantEndsAtMs, job.receiverLostAtMs ?? now);
	}

	/** Logs the receivers whose grants have ended, or are renewed, since the last tick. */
	#updateHeldReceivers(now: number): void {
		const jobs = [...this.#jobs.values()].filter(
			(job) => !this.#isGranted(job, now),
		);
		const held = new Map<string, number>();
		for (const job of jobs) {
			const {receiver} = job;
			const sinceMs = this.#heldReceivers.get(receiver);
			if (!held.has(receiver) && sinceMs === undefined) {
				this.#options.output.logDecision({
					event: 'receiver-held',
					receiver,
					inputs: {
						jobs: jobs.filter((other) => other.receiver === receiver).length,
						endedForMs: Math.round(
							Math.min(1e9, now - this.#grantEndsAtMs(job)),
						),
					},
				});
			}

			held.set(receiver, sinceMs ?? now);
		}

		for (const [receiver, sinceMs] of this.#heldReceivers) {
			if (!held.has(receiver)) {
				this.#options.output.logDecision({
					event: 'receiver-released',
					receiver,
					inputs: {heldMs: Math.round(now - sinceMs)},
				});
			}
		}

		this.#heldReceivers = held;
		this.pool.hasHeldJobs = jobs.length > 0;
	}

	/** Keeps the bound on the runs of other leaders of a job that may be submitted here, until they have ended. */
	#recordJobOfOtherLeader(
		job: Pick<PoolJob, 'id' | 'earlierToken' | 'earlierGrantAgeMs'>,
		receivedAtMs: number,
	): void {
		const known = this.#jobsOfOtherLeaders.get(job.id);
		this.#jobsOfOtherLeaders.set(job.id, {
			otherRunsEndByMs: Math.max(
				known?.otherRunsEndByMs ?? 0,
				this.#computeOtherRunsEndByMs(job, receivedAtMs),
			),
			earlierToken: Math.max(known?.earlierToken ?? 0, job.earlierToken ?? 0),
		});
	}

	#evictJobsOfOtherLeaders(now: number): void {
		for (const [id, {otherRunsEndByMs}] of this.#jobsOfOtherLeaders) {
			if (otherRunsEndByMs <= now) {
				this.#jobsOfOtherLeaders.delete(id);
			}
		}
	}

	/** Marks tasks that another leader has reported as completed. */
	#completeTasks(
		job: ScheduledJob,
		doneTasks: readonly string[],
		now: number,
	): void {
		const names = new Set(doneTasks);
		const completed = job.waitingTasks.filter(({task}) => names.has(task.name));
		for (const task of completed) {
			task.state = 'done';
			job.hasStarted = true;
		}

		if (completed.length > 0 && job.isComplete) {
			this.#answerJob(job, {kind: 'completed'}, now);
		}
	}

	/** Gives a job that returns the runs that were stopped when this leader gave it up, and that have not ended yet. */
	#adoptStoppingRuns(job: ScheduledJob): void {
		for (const worker of this.pool.workers) {
			for (const {task: name, run, jobId} of worker.runs.values()) {
				const task =
					jobId === job.id
						? job.waitingTasks.find(({task}) => task.name === name)
						: undefined;
				if (task !== undefined) {
					job.hasStarted = true;
					task.state = 'placed';
					task.worker = worker.entry.id;
					task.latestRun = run;
				}
			}
		}
	}

	/** Adopts the run, or the end of a run, that the pool holds as an orphan for a task. */
	#adoptOrphan(job: ScheduledJob, task: ScheduledTask, now: number): void {
		const orphan = this.pool.adoptOrphan(task.task.name);
		if (orphan?.kind === 'running') {
			this.#adoptActiveRun(job, task, orphan.run, orphan.worker, now);
		} else if (orphan?.kind === 'ended') {
			this.#adoptEndedRun(job, task, orphan.end);
		}
	}

	/** Sets the state of a task to that after the end of a run that an earlier leader started. */
	#adoptEndedRun(
		job: ScheduledJob,
		task: ScheduledTask,
		{run, how}: Pick<ReportedEnd, 'run' | 'how'>,
	): void {
		job.hasStarted = true;
		task.latestRun = Math.max(task.latestRun, run);
		task.failureCount += how === 'failed' ? 1 : 0;
		task.state = how === 'done' ? 'done' : 'waiting';
		this.#logJobDecision('adopted', job.id, how, {task: task.task.name, run});
	}

	/** Places a task on the worker that runs it for an earlier leader. */
	#adoptActiveRun(
		job: ScheduledJob,
		task: ScheduledTask,
		run: number,
		worker: PoolWorker,
		now: number,
	): void {
		job.hasStarted = true;
		task.state = 'placed';
		task.worker = worker.entry.id;
		task.latestRun = run;
		worker.addRun({
			...createRun(job, task, now),
			isSuspect: this.#lostRuns.isSuspect(task.task.name),
			state: 'running',
			isConfirmed: true,
			confirmedAtMs: now,
			sendCount: 1,
		});
		this.#logJobDecision('adopted', job.id, 'running', {
			task: task.task.name,
			run,
			worker: worker.entry.id,
		});
	}

	/** Projects when the last task of each job starts, behind the waiting jobs that precede it in the queue order. */
	#projectLastStarts(
		jobs: readonly ScheduledJob[],
		now: number,
	): ReadonlyMap<ScheduledJob, number> {
		const waitingJobs = new Set([...this.#listWaitingJobs(), ...jobs]);
		return projectJobStarts(
			new Set(jobs),
			[...waitingJobs].toSorted((left, right) =>
				this.#options.queueOrder.compare(left, right, now),
			),
			this.pool,
			now,
		);
	}

	/** Returns the unanswered jobs with waiting tasks. */
	#listWaitingJobs(): readonly ScheduledJob[] {
		for (const job of this.#waitingJobs) {
			if (
				this.#jobs.get(job.id) !== job ||
				job.tasks.every(({state}) => state !== 'waiting')
			) {
				this.#waitingJobs.delete(job);
			}
		}

		return [...this.#waitingJobs];
	}

	/** Starts the waiting tasks that fit on available workers, in queue order, if anything has changed since the last attempt. */
	#placeWaitingTasks(now: number): void {
		if (!this.#needsPlacement || this.#isSuspended) {
			return;
		}

		this.#needsPlacement = false;
		const pass = new PlacementPass(
			{
				pool: this.pool,
				lostRuns: this.#lostRuns,
				workerSelection: this.#options.workerSelection,
			},
			now,
		);
		const placeableJobs = this.#listWaitingJobs()
			.filter((job) => this.#mayStart(job, now) && pass.mayHaveRoom(job))
			.toSorted((left, right) =>
				this.#options.queueOrder.compare(left, right, now),
			);
		for (const job of placeableJobs) {
			if (
				pass.mayHaveRoom(job) &&
				!this.#mayRunElsewhere(job.id, now) &&
				now >= this.#priorRunsSettledAtMs(job, now)
			) {
				this.#placeTasksOfJob(job, pass, now);
			}
		}
	}

	/**
	 * Returns the time from which every run of a job that another leader sent a start command for has ended, cannot
	 * start any more, or is known to this leader.
	 */
	#priorRunsSettledAtMs(job: ScheduledJob, now: number): number {
		const {unsettledSinceMs} = job;
		const priorRuns = this.#toPriorRuns(job);
		const unknownRunsEndByMs = this.pool.unknownRunsEndByMs(
			priorRuns.zones,
			now,
		);
		return unsettledSinceMs === undefined
			? unknownRunsEndByMs
			: Math.max(
					unknownRunsEndByMs,
					unsettledSinceMs + workerListDelayMs,
					this.pool.priorRunsSettledAtMs(priorRuns, now),
				);
	}

	#toPriorRuns({
		zones,
		otherRunsEndByMs,
		earlierToken,
	}: ScheduledJob): PriorRuns {
		return {
			zones: zones ?? this.#options.zones,
			otherRunsEndByMs,
			earlierToken,
		};
	}

	/** Returns the earliest time that {@link #priorRunsSettledAtMs} can become, if workers of newly led zones report at once. */
	#earliestPriorRunsSettledAtMs(job: ScheduledJob, now: number): number {
		const priorRuns = this.#toPriorRuns(job);
		return job.unsettledSinceMs === undefined
			? this.pool.earliestUnknownRunsEndByMs(priorRuns.zones, now)
			: this.pool.earliestPriorRunsSettledAtMs(priorRuns, now);
	}

	/**
	 * Whether a worker that has not reported to this leader may run a task of a job. A job that is new here may be a copy of a
	 * request whose first receiver was lost.
	 */
	#mayHaveUnknownRuns(
		{zones}: Pick<PoolJob | ScheduledJob, 'zones'>,
		now: number,
	): boolean {
		return (
			this.pool.unknownRunsEndByMs(zones ?? this.#options.zones, now) > now
		);
	}

	/** Whether a job may be answered `not-run`: neither this leader nor, on a worker that has not reported, another one runs it. */
	#hasCertainlyNotRun(job: ScheduledJob, now: number): boolean {
		return job.hasCertainlyNotRun && !this.#mayHaveUnknownRuns(job, now);
	}

	/** Starts the waiting tasks of a job that fit on available workers. */
	#placeTasksOfJob(job: ScheduledJob, pass: PlacementPass, now: number): void {
		if (job.unsettledSinceMs !== undefined && this.pool.hasOrphans) {
			// A run of another leader that a report listed while the task was placed here, in vain.
			for (const task of job.waitingTasks) {
				this.#adoptOrphan(job, task, now);
			}

			this.#giveUpIfAttemptsAreUsedUp(job, now);
			if (this.#jobs.get(job.id) !== job) {
				return;
			}

			if (job.isComplete) {
				this.#answerJob(job, {kind: 'completed'}, now);
				return;
			}
		}

		const largestFirst = job.waitingTasks.toSorted(
			(left, right) =>
				right.task.needs.processorMillis - left.task.needs.processorMillis,
		);
		for (const task of largestFirst) {
			const worker = pass.choose(job, task);
			if (worker !== undefined) {
				this.#startTask(job, task, worker, now);
				pass.recordStart(job);
			}
		}
	}

	#startTask(
		job: ScheduledJob,
		task: ScheduledTask,
		worker: PoolWorker,
		now: number,
	): void {
		job.hasStarted = true;
		task.state = 'placed';
		task.worker = worker.entry.id;
		task.latestRun += 1;
		const lostRunCount = this.#lostRuns
			.ofJob(job.id)
			.filter((lostRun) => lostRun.task === task.task.name).length;
		this.#options.output.logDecision({
			event: 'placed',
			id: job.id,
			task: task.task.name,
			run: task.latestRun,
			worker: worker.entry.id,
			reason: this.#options.workerSelection.name,
			inputs: {
				waitedMs: Math.round(now - job.arrivedAtMs),
				freeMillis: worker.free.processorMillis,
				needsMillis: task.task.needs.processorMillis,
				expectedMs: Math.round(task.expectedMs),
				reportAgeMs: Math.round(now - worker.reportedAtMs),
				token: this.pool.token,
				...this.#describeCertainty(job, now),
				...(lostRunCount === 0 ? {} : {lostRuns: lostRunCount}),
			},
		});
		this.#options.queueOrder.shares?.recordStart(
			job.queue.name,
			(task.task.needs.processorMillis / 1000) * task.expectedMs,
			now,
		);
		this.pool.startRun(
			{
				...createRun(job, task, now),
				isSuspect: this.#lostRuns.isSuspect(task.task.name),
			},
			job.job.spec,
			worker,
			now,
		);
	}

	/** Returns what shows afterwards why a leader took a job for one that nobody else runs. */
	#describeCertainty(
		job: ScheduledJob,
		now: number,
	): Readonly<Record<string, number | string>> {
		const {unsettledSinceMs, zones, receiver, grantEpoch} = job;
		const priorRuns = this.#toPriorRuns(job);
		const jobZones = priorRuns.zones;
		const unreported = this.pool.countUnreportedWorkers(jobZones);
		const areAllReported =
			unsettledSinceMs !== undefined &&
			this.pool.priorRunsSettledAtMs(priorRuns, now) === now;
		return {
			ledZones: this.pool.zones.join(' '),
			jobZones: zones?.join(' ') ?? '*',
			settled:
				unsettledSinceMs === undefined
					? 'new'
					: areAllReported
						? 'all-reported'
						: 'time-bound',
			...(unreported === 0 ? {} : {unreported}),
			...(grantEpoch === undefined
				? {}
				: {
						grantAgeMs: Math.round(
							now - this.#grants.confirmedAtMs(receiver, grantEpoch),
						),
					}),
			listAfterClaimMs: Math.round(
				Math.max(-1e9, this.pool.listAfterClaimMs(jobZones)),
			),
			checkAgeMs: Math.round(now - (this.#tickedAtMs ?? now)),
		};
	}

	#logSuspension(now: number): void {
		const {workers} = this.pool;
		this.#options.output.logDecision({
			event: 'leader-suspended',
			inputs: {
				gapMs: Math.round(now - (this.#tickedAtMs ?? now)),
				jobs: this.#jobs.size,
				workers: workers.length,
				runs: workers.reduce((sum, {runs}) => sum + runs.size, 0),
				token: this.pool.token,
			},
		});
	}

	/** Logs the starts that are not confirmed when the last zone is dropped: their workers may still carry them out. */
	#logUnconfirmedStarts(runs: readonly WorkerRun[], now: number): void {
		const unconfirmed = runs.filter(({isConfirmed}) => !isConfirmed);
		if (unconfirmed.length > 0) {
			this.#options.output.logDecision({
				event: 'last-zone-dropped',
				inputs: {
					runs: runs.length,
					unconfirmed: unconfirmed.length,
					oldestMs: Math.round(
						now - Math.min(...unconfirmed.map(({orderedAtMs}) => orderedAtMs)),
					),
					tasks: unconfirmed
						.slice(0, maxLoggedTasks)
						.map(({task}) => task)
						.join(' '),
				},
			});
		}
	}

	/** Returns a task whose run ended without success to the waiting ones, or ends its job after too many failures. */
	#handleTaskEnd(
		job: ScheduledJob,
		task: ScheduledTask,
		outcome: RunOutcome,
		worker: PoolWorker,
		now: number,
	): void {
		task.worker = undefined;
		if (outcome === 'done') {
			task.state = 'done';
			if (job.isComplete) {
				this.#answerJob(job, {kind: 'completed'}, now);
			}

			return;
		}

		task.state = 'waiting';
		this.#waitingJobs.add(job);
		task.avoidedWorker = worker.entry.id;
		task.failureCount += outcome === 'failed' ? 1 : 0;
		this.#giveUpIfAttemptsAreUsedUp(job, now);
	}

	/** Ends a job of which a task has failed as often as its queue allows. */
	#giveUpIfAttemptsAreUsedUp(job: ScheduledJob, now: number): void {
		if (
			this.#jobs.get(job.id) === job &&
			job.tasks.some(({failureCount}) => failureCount >= job.queue.mostAttempts)
		) {
			this.#abandonJob(job, {kind: 'failed', reason: 'attempts-used-up'}, now);
		}
	}

	/**
	 * Answers a job whose waiting tasks may only run in evacuated zones; returns whether it did. A job that another leader may
	 * have started waits until its runs are known, as they may complete it, and any job while the workers' reports are on
	 * their way, as it may be a copy of one that they list.
	 */
	#handBackIfEvacuated(job: ScheduledJob, now: number): boolean {
		const zones = job.zones ?? this.#options.zones;
		if (
			job.waitingTasks.length === 0 ||
			!zones.every((zone) => this.pool.isEvacuated(zone)) ||
			this.pool.isSyncing(now) ||
			this.#mayRunElsewhere(job.id, now) ||
			now < this.#priorRunsSettledAtMs(job, now)
		) {
			return false;
		}

		this.#abandonJob(
			job,
			this.#hasCertainlyNotRun(job, now)
				? {
						kind: 'not-run',
						reason: 'no-workers',
						retryAfterMs: defaultRetryAfterMs,
					}
				: {kind: 'may-have-run', reason: 'zone-evacuated'},
			now,
		);
		return true;
	}

	/** Drops a job whose receiver is lost, and abandons one that can no longer be answered in time. */
	#checkJobTimeouts(job: ScheduledJob, now: number): void {
		const receiverLostAtMs = this.#findReceiverLoss(job, now);
		if (
			receiverLostAtMs !== undefined &&
			now - receiverLostAtMs >= this.#settings.receiverTimeoutMs
		) {
			this.#logJobDecision('given-up', job.id, 'receiver-lost', {
				receiver: job.receiver,
				isGranted: this.#isGranted(job, now) ? 1 : 0,
			});
			this.#stopRuns(job, now);
			this.#jobs.delete(job.id);
			return;
		}

		if (this.#handBackIfEvacuated(job, now)) {
			return;
		}

		if (
			job.callerLostAtMs !== undefined &&
			!job.mayStart(now) &&
			!job.tasks.some(({state}) => state === 'placed')
		) {
			// Nothing of it runs or may be started, so that its announcement would only hold up a copy elsewhere.
			this.#abandonJob(
				job,
				this.#hasCertainlyNotRun(job, now)
					? {kind: 'not-run', reason: 'caller-left'}
					: {kind: 'may-have-run', reason: 'caller-left'},
				now,
			);
			return;
		}

		const mayWaitForOtherRuns =
			job.isIndeterminate || job.unsettledSinceMs === undefined;
		if (job.hasStarted) {
			const cannotSettleInTime =
				mayWaitForOtherRuns &&
				job.waitingTasks.length > 0 &&
				this.#earliestPriorRunsSettledAtMs(job, now) > job.callerDeadlineMs;
			if (now > job.callerDeadlineMs || cannotSettleInTime) {
				this.#abandonJob(
					job,
					{kind: 'may-have-run', reason: 'deadline-exceeded'},
					now,
				);
			}

			return;
		}

		// The leader of the other zone may still send the answer until the caller leaves.
		const latestMs = this.#isHeldElsewhere(job, now)
			? job.callerDeadlineMs
			: job.latestFirstStartMs;
		if (
			now > latestMs ||
			(mayWaitForOtherRuns &&
				this.#earliestPriorRunsSettledAtMs(job, now) > latestMs)
		) {
			this.#abandonUnstartedJob(job, now);
		}
	}

	/** Answers a job of which this leader has started no task, because it would start too late. */
	#abandonUnstartedJob(job: ScheduledJob, now: number): void {
		this.#abandonJob(
			job,
			this.#hasCertainlyNotRun(job, now)
				? {
						kind: 'not-run',
						reason: 'overloaded',
						retryAfterMs: defaultRetryAfterMs,
					}
				: {kind: 'may-have-run', reason: 'leader-lost'},
			now,
		);
	}

	/**
	 * Stops a run that takes many times as long as expected, so that its task can run on another worker while its caller
	 * waits. A task is stopped only once for this, because its estimate may be wrong.
	 */
	#stopRunIfStuck(run: WorkerRun, worker: PoolWorker, now: number): void {
		const {minStuckMs} = this.#settings;
		const ranMs = now - run.orderedAtMs;
		const queue = this.#jobs.get(run.jobId)?.queue.name ?? '';
		const stuckFactor = Math.max(
			this.#settings.stuckFactor,
			tailStuckMargin * this.#tails.largestRatio(queue),
		);
		if (
			run.state !== 'running' ||
			ranMs < Math.max(minStuckMs, stuckFactor * run.expectedMs)
		) {
			return;
		}

		const job = this.#jobs.get(run.jobId);
		const task = job?.tasks.find(({task: {name}}) => name === run.task);
		if (
			job === undefined ||
			task === undefined ||
			task.wasStuck ||
			task.worker !== worker.entry.id ||
			ranMs < stuckFactor * task.task.declaredMs ||
			now + run.expectedMs + submissionDelayMs > job.callerDeadlineMs
		) {
			return;
		}

		task.wasStuck = true;
		this.#options.output.logDecision({
			event: 'run-stuck',
			id: run.jobId,
			task: run.task,
			run: run.run,
			worker: worker.entry.id,
			reason: 'overdue',
			inputs: {
				ranMs: Math.round(ranMs),
				expectedMs: Math.round(run.expectedMs),
			},
		});
		if (worker.health.recordFailure(run.jobId, now)) {
			this.handleWorkerChange(worker, 'set-aside');
		}

		this.pool.stopRun(run, worker, now);
	}

	/**
	 * Projects the starts of jobs that have waited for a while once more, and abandons those that would start too late. Each
	 * job is projected once, unless something else than room on the workers can still help it.
	 */
	#reassessJobs(now: number): void {
		if (this.pool.isSyncing(now)) {
			return;
		}

		const dueJobs = this.#listWaitingJobs().filter(
			(job) =>
				!job.hasStarted &&
				!job.isReassessed &&
				!this.#isHeldElsewhere(job, now) &&
				now - job.arrivedAtMs >= reassessmentShare * job.objectiveMs &&
				!this.#isWorthAwaitingReports(job, now),
		);
		if (dueJobs.length === 0) {
			return;
		}

		for (const [job, lastStartMs] of this.#projectLastStarts(dueJobs, now)) {
			job.isReassessed = true;
			if (lastStartMs > job.latestFirstStartMs) {
				this.#abandonUnstartedJob(job, now);
			}
		}
	}

	/**
	 * Whether it helps a job to wait until the runs of earlier leaders are known: workers that have not reported may have room
	 * for it, or it can be refused as not run in time for another zone to run it.
	 */
	#isWorthAwaitingReports(job: ScheduledJob, now: number): boolean {
		const settledAtMs = this.#priorRunsSettledAtMs(job, now);
		return (
			now < settledAtMs &&
			(this.pool.awaitsReportOf(
				({entry}) =>
					entry.service === job.queue.service && job.mayRunIn(entry.zone),
			) ||
				(job.zones !== undefined &&
					!job.isIndeterminate &&
					settledAtMs + job.longestTaskMs + submissionDelayMs <=
						job.arrivedAtMs + maxOverflowPatienceMs))
		);
	}

	/** Whether a job waits here because the leader of another zone has runs of it. */
	#isHeldElsewhere({id, hasStarted}: ScheduledJob, now: number): boolean {
		return !hasStarted && this.#mayRunElsewhere(id, now);
	}

	/** Whether another leader has told of runs of a job that are not known here; those of earlier leaders are, after all reports. */
	#mayRunElsewhere(id: string, now: number): boolean {
		return (
			this.#jobsElsewhere.isHeld(id, now) &&
			this.#jobsElsewhere.isHeld(
				id,
				now,
				this.pool.allRunsKnownSinceMs(this.#options.zones, now),
			)
		);
	}

	/** Stops the runs of a job and answers it without a result. */
	#abandonJob(job: ScheduledJob, answer: PoolAnswer, now: number): void {
		this.#logJobDecision(
			'given-up',
			job.id,
			'reason' in answer ? answer.reason : answer.kind,
			{
				answer: answer.kind,
				waitedMs: Math.round(now - job.arrivedAtMs),
				waitingTasks: job.waitingTasks.length,
				tasks: job.tasks.length,
			},
		);
		this.#stopRuns(job, now);
		this.#answerJob(job, answer, now);
	}

	#stopRuns(job: ScheduledJob, now: number): void {
		for (const task of job.tasks) {
			this.#stopTaskRun(job, task, now);
		}
	}

	/** Stops the run of a task, if there is one. */
	#stopTaskRun(
		job: ScheduledJob,
		{task, worker: workerId}: ScheduledTask,
		now: number,
	): void {
		const worker =
			workerId === undefined ? undefined : this.pool.findWorker(workerId);
		const run = worker?.runs.get(task.name);
		if (worker !== undefined && run !== undefined) {
			this.#answeredJobs.recordStop(job.id, now);
			if (run.state !== 'stopping') {
				this.pool.stopRun(run, worker, now);
			}
		}
	}

	/** Sends the one answer of a job. Retains the answer, or the attempt if there is no result, for copies of the request. */
	#answerJob(job: ScheduledJob, answer: PoolAnswer, now: number): void {
		this.#jobs.delete(job.id);
		this.#answeredJobs.recordAnswer(job.id, job.job.attempt, answer, now);
		this.#options.output.sendAnswer(
			job.receiver,
			job.id,
			answer.kind === 'not-run' && this.#mayRunUnseen(job.zones, now)
				? {...answer, isUnsettled: true}
				: answer,
		);
	}

	/** Answers a job that is not admitted: `may-have-run` if an earlier leader may have started it, else `not-run`. */
	#refuseJob(
		job: PoolJob,
		receiver: string,
		mayHaveRun: boolean,
		reason: NotRunReason,
		inputs: Readonly<Record<string, number | string>>,
	): void {
		this.#logJobDecision('refused', job.id, reason, {
			...inputs,
			queue: job.queue,
		});
		const answer: PoolAnswer = mayHaveRun
			? {kind: 'may-have-run', reason: 'leader-lost'}
			: {
					kind: 'not-run',
					reason,
					...(reason === 'cannot-fit' || reason === 'queue-unknown'
						? {}
						: {
								retryAfterMs:
									typeof inputs.retryAfterMs === 'number'
										? inputs.retryAfterMs
										: defaultRetryAfterMs,
							}),
					...(inputs.isBalanced === 1 ? {isBalanced: true} : {}),
					...(this.#mayRunUnseen(job.zones, this.#now)
						? {isUnsettled: true}
						: {}),
				};
		if (!mayHaveRun) {
			this.#answeredJobs.recordAnswer(job.id, job.attempt, answer, this.#now);
		}

		this.#options.output.sendAnswer(receiver, job.id, answer);
	}

	/**
	 * Updates the worker's health from a run that succeeded, and its pace and the run time estimates unless this process
	 * may have read the end late.
	 */
	#recordRunTime(
		run: WorkerRun,
		worker: PoolWorker,
		ranMs: number,
		job: ScheduledJob | undefined,
	): void {
		if (!this.#stall.isTimely(worker.reportRequestedAtMs)) {
			worker.health.recordCompletion(undefined, run.expectedMs);
			return;
		}

		worker.health.recordCompletion(ranMs, run.expectedMs);
		const ratio = Math.max(0.01, ranMs) / Math.max(1, run.expectedMs);
		const queue = job?.queue.name ?? '';
		const logSlowdown = this.pool.kindSpeeds.logSlowdown(worker.kind);
		this.#tails.record(queue, ratio / Math.exp(logSlowdown));
		this.pool.recordEndedRun(
			worker,
			ratio,
			this.#tails.hasTail(queue),
			this.#now,
		);
		const task = job?.tasks.find(({task: {name}}) => name === run.task);
		if (job !== undefined && task !== undefined) {
			const {declaredMs} = task.task;
			this.#options.estimates.observe(
				{
					classOfWork: job.queue.name,
					...(declaredMs > 0 ? {declaredMs} : {}),
				},
				ranMs,
			);
		}
	}

	#logJobDecision(
		event: 'admitted' | 'refused' | 'joined' | 'adopted' | 'given-up',
		id: string,
		reason: string,
		inputs: Readonly<Record<string, number | string>>,
	): void {
		this.#options.output.logDecision({event, id, reason, inputs});
	}
}

/** Creates the record of a task's latest run, before its start command is sent. */
function createRun(
	{id: jobId}: ScheduledJob,
	{task: {name, needs}, latestRun: run, expectedMs}: ScheduledTask,
	now: number,
): WorkerRun {
	return {
		task: name,
		run,
		jobId,
		needs,
		expectedMs,
		state: 'ordered',
		orderedAtMs: now,
		confirmedAtMs: undefined,
		omissions: 0,
		sendCount: 0,
		lastSentAtMs: now,
		isConfirmed: false,
		isSuspect: false,
	};
}
