import {FreeCapacityIndex} from './free-capacity-index.js';
import {
	PoolWorker,
	computeLongestLeaseMs,
	type ReportedEnd,
	type ReportedRun,
	type RunEndStatus,
	type RunLossCause,
	type WorkerEntry,
	type WorkerReport,
	type WorkerRun,
} from './pool-worker.js';
import {isEqualAmount} from './pool-job.js';
import {parseJobId} from './task-name.js';
import {WorkerKindSpeeds} from './worker-kind-speed.js';
import {
	type CommandOutcome,
	type SentHold,
	type WorkerCommandSender,
} from './worker-command.js';

/** The confirmed end of a run. */
export type RunOutcome =
	| RunEndStatus
	/** The worker has not started the run and cannot start it any more. */
	| 'not-started'
	/** Like `not-started`; the worker refused the run for lack of resources. */
	| 'no-room';

/** Receives the outcomes of runs and the changes of workers. */
export type WorkerPoolListener = {
	/** Handles the confirmed end of a run. */
	handleRunEnd(run: WorkerRun, outcome: RunOutcome, worker: PoolWorker): void;
	/**
	 * Offers a run that a worker reports as running and the pool has no record of; returns whether a job has adopted
	 * it.
	 */
	tryAdoptRun(run: ReportedRun, worker: PoolWorker): boolean;
	/** Offers the reported end of a run that the pool has no record of; returns whether a job has adopted it. */
	tryAdoptEnd(end: ReportedEnd): boolean;
	/** Whether the lease of a run may be extended now, as far as its job is concerned. */
	mayExtendRun(run: WorkerRun, now: number): boolean;
	/** Whether the job of a task has been answered or given up, so that its runs are of no use. */
	isJobOver(task: string): boolean;
	/** Handles the refusal of a fencing token by a worker that has received a higher one. */
	handleFencedZone(zone: string, token: number): void;
	/**
	 * Handles that a worker's process has ended, or that the leases of its runs have expired while it could not be reached;
	 * called before the runs end.
	 */
	handleWorkerLoss(
		worker: PoolWorker,
		cause: Extract<RunLossCause, 'crashed' | 'unreachable'>,
	): void;
	/** Handles a change of a worker's status. */
	handleWorkerChange(worker: PoolWorker, change: WorkerStatusChange): void;
};

/**
 * A change of a worker's status, as it appears in decision records.
 *
 * - `synced`: the worker has sent its first report under the present fencing token.
 * - `silent`: commands to the worker have failed twice in a row, and its lease is no longer extended.
 * - `reachable`: a silent worker has reported again.
 * - `draining`: the platform lists the worker as draining.
 * - `gone`: the platform no longer lists the worker.
 * - `restarted`: the worker's process has been restarted.
 * - `set-aside`: the worker receives no tasks for a while because of failures.
 * - `refusing`: the worker's host refuses connections, as the worker's process has ended.
 * - `resized`: the worker's capacity has changed while its process runs.
 * - `clock-behind`: a sample of the worker's clock was far behind the estimate; at most one a second for all workers.
 */
export type WorkerStatusChange =
	| 'synced'
	| 'silent'
	| 'reachable'
	| 'draining'
	| 'gone'
	| 'restarted'
	| 'set-aside'
	| 'refusing'
	| 'resized'
	| 'clock-behind';

/** Settings of a worker pool. */
export type WorkerPoolSettings = {
	/** Longest lease that the platform's workers accept. */
	readonly leaseMs: number;
	/**
	 * Longest time for which a worker may delay a report; well below half the lease, so that one lost report does not
	 * end it.
	 */
	readonly maxReportDelayMs: number;
	/**
	 * Time that is added to the time until the next expected end of a run to get the delay of a report, and the lower
	 * bound of that time. It is short because a lost report conceals an end for the whole delay.
	 */
	readonly reportDelayMarginMs: number;
	/**
	 * Time after the claim of a zone in which its workers are expected to send their first report; twice what a cold
	 * process takes.
	 */
	readonly syncGraceMs: number;
	/** Time after which an orphan, a run that no job has claimed, is stopped. */
	readonly orphanStopDelayMs: number;
	/**
	 * The same for an orphan whose worker is needed by other runs or waiting tasks, which get no lease beside it; longer than
	 * living receivers take to submit their jobs to a new leader.
	 */
	readonly orphanClaimMs: number;
	/** Time for which the end of an orphan is kept for a job that may still claim it. */
	readonly orphanEndRetentionMs: number;
	/**
	 * Time before the end of a worker's lease at which its runs that may not be extended are stopped, if others need the lease:
	 * allowances for the end of the lease, a stop and the report of its outcome.
	 */
	readonly withheldStopMs: number;
	/** Time after which an unacknowledged stop is sent again. */
	readonly stopRetryMs: number;
	/**
	 * Time that a worker takes to stop a run; also the pause in start commands after it refused one for lack of
	 * resources.
	 */
	readonly stopDurationMs: number;
};

/** Default settings, for leases of one second. */
export const defaultWorkerPoolSettings: WorkerPoolSettings = {
	leaseMs: 1000,
	maxReportDelayMs: 400,
	reportDelayMarginMs: 40,
	syncGraceMs: 250,
	orphanStopDelayMs: 700,
	orphanClaimMs: 100,
	orphanEndRetentionMs: 4000,
	withheldStopMs: 500,
	stopRetryMs: 60,
	stopDurationMs: 50,
};

/** Number of times that a start command is sent before a stop command replaces it. */
const maxStartSends = 3;
/** Reports in a row that omit a confirmed run before the pool stops it. */
const maxOmissions = 2;
/** Base of the exponential delay of hold commands, from the second failure in a row. */
const baseHoldRetryMs = 10;
const maxHoldRetryMs = 250;
/** Failed commands in a row after which the pool no longer extends the lease, so that it is certain to expire. */
const maxContactFailures = 2;

/** Time after a claim within which a reachable store returns the list of workers. */
const listReadMs = 500;
/** Time in milliseconds from which a sample of a worker's clock counts as behind: the answer was late, or was read late. */
const minClockBehindMs = 50;
/** Shortest time in milliseconds between two log lines on such samples. */
const clockLogIntervalMs = 1000;
/** Allowance for commands of an earlier leader that were in transit at the claim, and for slow clocks of workers. */
const leaseExpiryMarginMs = 150;

/** What is known of the runs of a job that other leaders may have started. */
export type PriorRuns = {
	/** Zones in which the job may have run. */
	readonly zones: readonly string[];
	/** Time by which these runs have ended. */
	readonly otherRunsEndByMs: number;
	/** Highest token under which another leader may have the job. */
	readonly earlierToken: number;
};

type LedZone = {
	readonly token: number;
	/** Time at which reports of all workers were last requested: at the claim, or after a suspension of this process. */
	readonly syncingSinceMs: number;
};

/** The end of an orphan, a run that no job has claimed. */
export type OrphanEnd = {
	readonly task: string;
	readonly run: number;
	readonly how: RunEndStatus;
	readonly reportedAtMs: number;
};

/**
 * Manages the workers that one entry VM leads: extends their leases, reconciles their reports and confirms which runs
 * have ended.
 */
export class WorkerPool {
	/** Learned speeds of the kinds of workers. */
	readonly kindSpeeds = new WorkerKindSpeeds();
	/** Time until which silence of this leader cannot have made peers claim its zones; no start and no extension of a lease is sent later. */
	certainUntilMs = Number.POSITIVE_INFINITY;
	/** Whether the listener may answer that the lease of some run may not be extended. */
	hasHeldJobs = false;
	readonly #commandSender: WorkerCommandSender;
	readonly #listener: WorkerPoolListener;
	readonly #settings: WorkerPoolSettings;
	readonly #zones = new Map<string, LedZone>();
	readonly #workers = new Map<string, PoolWorker>();
	readonly #orphanEnds = new Map<string, OrphanEnd>();
	readonly #capacity = new FreeCapacityIndex();
	/** Workers that have not reported under the present fencing token. */
	readonly #unsyncedWorkers = new Set<PoolWorker>();
	/** Workers with an orphan of a task, by task. */
	readonly #orphanHolders = new Map<string, ReadonlySet<PoolWorker>>();
	/** Cached values of `#workers`; `undefined` after a worker was added or deleted. */
	#workerList: readonly PoolWorker[] | undefined;
	/** Number of workers that were added. */
	#addedCount = 0;
	#entries: readonly WorkerEntry[] = [];
	#evacuatedZones: ReadonlySet<string> = new Set();
	#unguardedServices: readonly string[] = [];
	/** Latest time at which the list of workers is known to have been current. */
	#listCurrentAtMs = Number.NEGATIVE_INFINITY;
	/** Whether the list can be read again. */
	#canReadList = false;
	/** Time by which unknown runs have ended on workers that are listed no longer and have not reported, by zone. */
	readonly #goneWorkersEndByMs = new Map<string, number>();
	readonly #clockSamples = {behindCount: 0, latestBehindMs: 0};
	#clockLoggedAtMs = Number.NEGATIVE_INFINITY;
	/** Time of the last claim or drop of a zone. */
	#zonesChangedAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		commandSender: WorkerCommandSender,
		listener: WorkerPoolListener,
		settings: WorkerPoolSettings = defaultWorkerPoolSettings,
	) {
		this.#commandSender = commandSender;
		this.#listener = listener;
		this.#settings = settings;
	}

	/** Number of samples of workers' clocks that were far behind the estimate, and by how much the latest one was. */
	get clockSamples(): {
		readonly behindCount: number;
		readonly latestBehindMs: number;
	} {
		return this.#clockSamples;
	}

	/** Counts the workers of these zones that have not reported under the present token. */
	countUnreportedWorkers(zones: readonly string[]): number {
		return [...this.#unsyncedWorkers].filter(({entry}) =>
			zones.includes(entry.zone),
		).length;
	}

	/** Workers of the zones that this entry VM leads. */
	get workers(): readonly PoolWorker[] {
		this.#workerList ??= [...this.#workers.values()];
		return this.#workerList;
	}

	/** Free capacity of the workers. */
	get capacity(): Pick<
		FreeCapacityIndex,
		'candidates' | 'hasRoomForTasks' | 'freeMillisLimit'
	> {
		return this.#capacity;
	}

	/**
	 * Entries of workers that the platform lists no longer, but that still report and have runs: they are cut off from the
	 * store. A successor of this leader has to know of them.
	 */
	get unlistedEntries(): readonly WorkerEntry[] {
		return this.workers
			.filter(
				({isListed, runs, contactFailures}) =>
					!isListed && runs.size > 0 && contactFailures === 0,
			)
			.map(({entry}) => entry);
	}

	/** Returns the worker with an identifier if this entry VM leads it. */
	findWorker(id: string): PoolWorker | undefined {
		return this.#workers.get(id);
	}

	/** Zones that this entry VM leads. */
	get zones(): readonly string[] {
		return [...this.#zones.keys()];
	}

	/** Fencing token of this leader, the same for all its zones; 0 if it leads none. */
	get token(): number {
		return Math.max(0, ...[...this.#zones.values()].map(({token}) => token));
	}

	/** Whether the list of workers has to be read again since a claim or a suspension. */
	get isListOutdated(): boolean {
		return !this.#hasCurrentList(this.zones);
	}

	/**
	 * Returns how many milliseconds after the latest claim of these zones, or the latest request for reports of all their workers,
	 * the list of workers was current; negative if it is older.
	 */
	listAfterClaimMs(zones: readonly string[]): number {
		return this.#listCurrentAtMs - this.#findLatestClaimMs(zones);
	}

	/** Whether the store is reachable, so that the list of workers is soon read again after a claim. */
	get canReadList(): boolean {
		return this.#canReadList;
	}

	/** Whether the operator has asked that nothing be started in a zone. */
	isEvacuated(zone: string): boolean {
		return this.#evacuatedZones.has(zone);
	}

	/** Sets the zones in which nothing is started; runs that are active there continue. */
	setEvacuatedZones(zones: ReadonlySet<string>): void {
		this.#evacuatedZones = zones;
		for (const worker of this.#workers.values()) {
			worker.isEvacuated = zones.has(worker.entry.zone);
		}
	}

	/** Sets the services whose workers start whatever they are told to, also beyond their capacity. */
	setUnguardedServices(services: readonly string[]): void {
		this.#unguardedServices = services;
		for (const worker of this.#workers.values()) {
			worker.guardsCapacity = !services.includes(worker.entry.service);
		}
	}

	/** Whether receivers may be about to submit the jobs of orphans, on whose workers nothing is started meanwhile. */
	awaitsClaims(now: number): boolean {
		return [...this.#orphanHolders].some(([task, holders]) =>
			[...holders].some(
				({orphans}) =>
					now - (orphans.get(task)?.foundAtMs ?? now) <
					this.#settings.syncGraceMs,
			),
		);
	}

	/** Whether any worker has an orphan, or the end of one is retained. */
	get hasOrphans(): boolean {
		return this.#orphanEnds.size > 0 || this.#orphanHolders.size > 0;
	}

	/** Returns the accepted ones of the jobs with runs that this leader has started or adopted. */
	findJobsWithRuns(accepts: (id: string) => boolean): ReadonlySet<string> {
		const ids = new Set<string>();
		for (const {runs} of this.#workers.values()) {
			for (const {jobId} of runs.values()) {
				if (accepts(jobId)) {
					ids.add(jobId);
				}
			}
		}

		return ids;
	}

	/** Returns the runs that workers list and no job has claimed, with the time at which they were found. */
	listUnclaimedRuns(): ReadonlyArray<{
		readonly jobId: string;
		readonly foundAtMs: number;
	}> {
		return [...this.#orphanHolders].flatMap(([task, holders]) =>
			[...holders].flatMap((worker) => {
				const orphan = worker.orphans.get(task);
				return orphan === undefined
					? []
					: [{jobId: parseJobId(task), foundAtMs: orphan.foundAtMs}];
			}),
		);
	}

	/** Leads the workers of a zone under a fencing token; their runs continue. */
	claimZone(zone: string, token: number, now: number): void {
		this.#zones.set(zone, {token, syncingSinceMs: now});
		this.#zonesChangedAtMs = now;
		for (const worker of this.#workers.values()) {
			if (worker.entry.zone === zone) {
				this.#requestReport(worker, now);
				// The answer to a hold command under an earlier token will be ignored, so the next one need not wait for it.
				worker.isHoldPending = false;
				worker.nextHoldAtMs = now;
			}
		}

		this.updateEntries(this.#entries, now);
	}

	/**
	 * Requires new reports of all workers, and ignores those to earlier hold commands. Another leader may have claimed them
	 * and may extend the leases of their runs. Sends nothing.
	 */
	requireNewReports(now: number): void {
		for (const [zone, {token}] of this.#zones) {
			this.#zones.set(zone, {token, syncingSinceMs: now});
		}

		for (const worker of this.#workers.values()) {
			this.#requestReport(worker, now);
			worker.isHoldPending = false;
			worker.reportsRequiredSinceMs = now;
			worker.nextHoldAtMs = now;
		}
	}

	/** Sends the hold commands that are due. */
	sendHolds(now: number): void {
		for (const worker of this.#workers.values()) {
			this.#sendHold(worker, now);
		}
	}

	/** Stops leading the workers of a zone; returns the runs that they had. */
	dropZone(zone: string, now: number): readonly WorkerRun[] {
		this.#zones.delete(zone);
		this.#goneWorkersEndByMs.delete(zone);
		this.#zonesChangedAtMs = now;
		const dropped = this.workers.filter(({entry}) => entry.zone === zone);
		for (const worker of dropped) {
			this.#deleteWorker(worker);
		}

		return dropped.flatMap(({runs}) => [...runs.values()]);
	}

	/** Whether any worker of a zone has reported under the present fencing token. */
	hasSyncedWorker(zone: string): boolean {
		return this.workers.some(
			({entry, isSynced}) => isSynced && entry.zone === zone,
		);
	}

	/** Whether any worker of a zone has reported at or after a time. */
	hasReportedSince(zone: string, sinceMs: number): boolean {
		return this.workers.some(
			({entry, reportedAtMs}) => entry.zone === zone && reportedAtMs >= sinceMs,
		);
	}

	/**
	 * Whether some workers have not sent the report that was recently requested of them all, at the claim of their zone or
	 * after a suspension; also if no worker is listed yet.
	 */
	isSyncing(now: number): boolean {
		const recentZones = new Set(
			[...this.#zones]
				.filter(
					([, {syncingSinceMs}]) =>
						now - syncingSinceMs < this.#settings.syncGraceMs,
				)
				.map(([zone]) => zone),
		);
		return (
			recentZones.size > 0 &&
			(this.#workers.size === 0 ||
				[...this.#unsyncedWorkers].some(({entry}) =>
					recentZones.has(entry.zone),
				))
		);
	}

	/** Whether an accepted worker may start tasks once it has sent a report that was requested of it. */
	awaitsReportOf(accepts: (worker: PoolWorker) => boolean): boolean {
		return [...this.#unsyncedWorkers].some(
			(worker) =>
				worker.isListed &&
				!worker.isEvacuated &&
				worker.entry.state === 'ready' &&
				!worker.isRefusingConnections &&
				accepts(worker),
		);
	}

	/**
	 * Returns the time from which every run of a job that an earlier leader sent a start command for, and that no report
	 * lists, is certain to have ended or never to start. The leader of another zone may keep such a run alive until it
	 * stops the run as an orphan.
	 *
	 * All reports under a token that is higher than `earlierToken` show every such run: later starts under lower tokens are
	 * refused, and a leader that claims with a higher token needs all reports itself before it starts the job. They are all
	 * reports only if the list of workers is current: others may run the job on workers that an older one lacks.
	 */
	priorRunsSettledAtMs(
		{zones: jobZones, otherRunsEndByMs, earlierToken}: PriorRuns,
		now: number,
	): number {
		const isFullySynced =
			this.#leadsAllZones(jobZones) &&
			this.token >= earlierToken &&
			this.#hasCurrentList(jobZones) &&
			[...this.#unsyncedWorkers].every(
				({entry}) => !jobZones.includes(entry.zone),
			);
		return isFullySynced
			? now
			: Math.max(otherRunsEndByMs, this.#zonesChangedAtMs + this.priorRunsMs);
	}

	/**
	 * Returns the time of the claim since which every run in these zones is known here: all of them are led, and every worker has
	 * reported under the present token. Negative infinity if some run may be unknown.
	 */
	allRunsKnownSinceMs(zones: readonly string[], now: number): number {
		return this.#leadsAllZones(zones) &&
			this.#hasCurrentList(zones) &&
			this.#unsyncedWorkers.size === 0 &&
			[...this.#goneWorkersEndByMs.values()].every((endByMs) => endByMs <= now)
			? this.#findLatestClaimMs(zones)
			: Number.NEGATIVE_INFINITY;
	}

	/**
	 * Returns the time from which no run is at work that an earlier leader ordered on a worker of these zones and that no report
	 * has listed; `now` if all workers have reported. A silent worker is given the time of {@link priorRunsSettledAtMs}, also
	 * if its host refuses connections, as a partition may do, or if the platform lists it no longer.
	 */
	unknownRunsEndByMs(jobZones: readonly string[], now: number): number {
		return Math.max(
			this.#latestUnknownRunsEndMs(jobZones, () => true, now),
			this.#unlistedRunsEndByMs(jobZones),
		);
	}

	/** Like `unknownRunsEndByMs`, but leaves out workers whose reports were requested recently and may arrive at any time. */
	earliestUnknownRunsEndByMs(jobZones: readonly string[], now: number): number {
		return Math.max(
			this.#latestUnknownRunsEndMs(
				jobZones,
				({contactFailures, reportAwaitedSinceMs}) =>
					contactFailures >= maxContactFailures ||
					now - reportAwaitedSinceMs >= this.#settings.syncGraceMs,
				now,
			),
			this.#isListOnItsWay(jobZones, now)
				? now
				: this.#unlistedRunsEndByMs(jobZones),
		);
	}

	/**
	 * Like `priorRunsSettledAtMs`, but assumes that workers send a requested report at once unless a command to them has failed,
	 * and that the list of workers is read at once unless the store is unreachable.
	 */
	earliestPriorRunsSettledAtMs(priorRuns: PriorRuns, now: number): number {
		const {zones: jobZones, earlierToken} = priorRuns;
		const areReportsOnTheirWay = [...this.#unsyncedWorkers].every(
			({entry, contactFailures}) =>
				contactFailures === 0 || !jobZones.includes(entry.zone),
		);
		return this.#leadsAllZones(jobZones) &&
			this.token >= earlierToken &&
			(this.#isListOnItsWay(jobZones, now) || this.#hasCurrentList(jobZones)) &&
			(this.isSyncing(now) || areReportsOnTheirWay)
			? now
			: this.priorRunsSettledAtMs(priorRuns, now);
	}

	/**
	 * Records that the list of workers was current at a time. `canReadList` is whether the store is reachable, so that the list
	 * is soon read again after a claim.
	 */
	recordCurrentList(atMs: number, canReadList: boolean): void {
		this.#listCurrentAtMs = Math.max(this.#listCurrentAtMs, atMs);
		this.#canReadList = canReadList;
	}

	/** Updates the workers from the platform's list. */
	updateEntries(entries: readonly WorkerEntry[], now: number): void {
		this.#entries = entries;
		const listedEntries = new Map(
			entries
				.filter(({zone}) => this.#zones.has(zone))
				.map((entry) => [entry.id, entry]),
		);
		for (const [id, entry] of listedEntries) {
			const worker = this.#workers.get(id) ?? this.#addWorker(entry, now);
			this.#updateEntry(worker, entry, now);
		}

		for (const worker of this.#workers.values()) {
			if (!listedEntries.has(worker.entry.id)) {
				if (worker.isListed) {
					worker.isListed = false;
					this.#listener.handleWorkerChange(worker, 'gone');
				}

				if (worker.runs.size === 0) {
					this.#recordGoneWorker(worker);
					this.#deleteWorker(worker);
				}
			}
		}
	}

	/** Sends the command to start a run; the listener receives its outcome. */
	startRun(
		run: WorkerRun,
		spec: string,
		worker: PoolWorker,
		now: number,
	): void {
		worker.addRun(run);
		this.#sendStart(run, spec, worker, now);
	}

	/** Handles the outcome of a start command. */
	handleStartOutcome(
		workerId: string,
		task: string,
		spec: string,
		outcome: CommandOutcome,
		now: number,
	): void {
		const worker = this.#workers.get(workerId);
		const run = worker?.runs.get(task);
		if (worker === undefined || run === undefined) {
			return;
		}

		if ('clockMs' in outcome && outcome.clockMs !== undefined) {
			this.#sampleClock(worker, outcome.clockMs, undefined, now);
		}

		if (run.state !== 'ordered') {
			return;
		}

		switch (outcome.kind) {
			case 'done': {
				confirmStart(run, now);
				worker.recordAcceptedStart();
				this.#expediteHold(worker, now);
				break;
			}

			case 'refused': {
				this.#handleStartRefusal(run, worker, outcome.reason, now);
				break;
			}

			case 'not-sent': {
				if (outcome.isOutdated !== true) {
					this.#handleCommandFailure(worker, outcome, now);
				}

				this.#endRun(
					worker,
					run,
					run.sendCount === 1 ? 'not-started' : undefined,
					now,
				);
				break;
			}

			case 'silent': {
				if (
					run.sendCount < maxStartSends &&
					!worker.isEvacuated &&
					now <= this.certainUntilMs &&
					this.#mayExtendLease(worker, now)
				) {
					this.#sendStart(run, spec, worker, now);
				} else {
					this.stopRun(run, worker, now);
				}

				break;
			}
		}
	}

	/** Has the runs of a job that no job has claimed stopped without delay, as the job is over. */
	abandonOrphans(jobId: string): void {
		for (const [task, holders] of this.#orphanHolders) {
			if (parseJobId(task) === jobId) {
				for (const worker of holders) {
					worker.orphans.get(task)!.isAbandoned = true;
				}
			}
		}
	}

	/** Sends the command to stop a run; the listener receives its end. */
	stopRun(run: WorkerRun, worker: PoolWorker, now: number): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		if (token === undefined) {
			return;
		}

		run.state = 'stopping';
		run.confirmedAtMs = undefined;
		run.lastSentAtMs = now;
		worker.unconfirmedStops.add(run.task);
		this.#commandSender.stop({
			worker: worker.entry,
			fencingToken: token,
			task: run.task,
			run: run.run,
		});
		this.#expediteHold(worker, now);
	}

	/** Handles the outcome of a stop command. */
	handleStopOutcome(
		workerId: string,
		task: string,
		outcome: CommandOutcome,
		now: number,
	): void {
		const worker = this.#workers.get(workerId);
		if (worker === undefined) {
			return;
		}

		const run = worker.runs.get(task);
		if (outcome.kind === 'done' && run?.state === 'stopping') {
			run.confirmedAtMs ??= now;
			worker.unconfirmedStops.delete(task);
			this.#expediteHold(worker, now);
		}
	}

	/**
	 * Handles the outcome of a hold command: the report, a refusal or a failure. That of a command under an earlier token,
	 * or from before new reports were requested, is ignored: the worker may have obeyed another leader since.
	 */
	handleHoldOutcome(
		workerId: string,
		{sentAtMs, fencingToken}: SentHold,
		outcome: CommandOutcome,
		now: number,
	): void {
		const worker = this.#workers.get(workerId);
		if (
			worker === undefined ||
			fencingToken !== this.#zones.get(worker.entry.zone)?.token ||
			sentAtMs < worker.reportsRequiredSinceMs
		) {
			return;
		}

		worker.isHoldPending = false;
		if (outcome.kind === 'done' && outcome.report !== undefined) {
			this.#handleReport(worker, outcome.report, sentAtMs, now);
		} else if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
			this.#requestReport(worker, now);
			worker.nextHoldAtMs = now + maxHoldRetryMs;
			this.#listener.handleFencedZone(worker.entry.zone, fencingToken);
		} else {
			this.#handleCommandFailure(worker, outcome, now);
		}
	}

	/** Removes and returns the orphan of a task, or the end of one, for the job that claims it. */
	adoptOrphan(task: string):
		| {
				readonly kind: 'running';
				readonly run: number;
				readonly worker: PoolWorker;
		  }
		| {readonly kind: 'ended'; readonly end: OrphanEnd}
		| undefined {
		const end = this.#orphanEnds.get(task);
		const [newest] = [...(this.#orphanHolders.get(task) ?? [])]
			.flatMap((worker) => {
				const orphan = worker.orphans.get(task);
				return orphan === undefined ? [] : [{worker, run: orphan.run}];
			})
			.toSorted((left, right) => right.run - left.run);
		// A worker may report the end of an earlier run of a task that now runs again on another worker.
		const hasEnded =
			end !== undefined &&
			(end.how === 'done' || newest === undefined || end.run > newest.run);
		if (hasEnded) {
			this.#orphanEnds.delete(task);
			return {kind: 'ended', end};
		}

		if (newest !== undefined) {
			this.#removeOrphan(newest.worker, task);
		}

		return newest === undefined ? undefined : {kind: 'running', ...newest};
	}

	/**
	 * Ends runs whose lease is certain to have expired, sends due commands and removes old ends of orphans. `hasWaitingTasks`
	 * is whether tasks wait for workers, so that orphans are stopped sooner.
	 */
	tick(now: number, hasWaitingTasks = false): void {
		for (const worker of this.#workers.values()) {
			worker.expireRoomLimit(now);
			this.#endLapsedRuns(worker, now);
			if (this.hasHeldJobs || worker.isLeaseWithheld) {
				this.#withholdLease(worker, now);
			}

			this.#sendStops(worker, hasWaitingTasks, now);
			this.#sendHold(worker, now);
		}

		this.#capacity.resetSlowdownFactors(
			this.workers.map(({kind, pace}) => {
				pace.setBaseline(this.kindSpeeds.logSlowdown(kind));
				return pace.leastSlowdownFactor(now);
			}),
		);
		for (const [task, {reportedAtMs}] of this.#orphanEnds) {
			if (now - reportedAtMs > this.#settings.orphanEndRetentionMs) {
				this.#orphanEnds.delete(task);
			}
		}
	}

	/**
	 * Updates the pace of a worker and its kind by the ratio of an ended run's actual to its expected run time. `hasTail` is
	 * whether rare runs of its queue take many times as long on any worker.
	 */
	recordEndedRun(
		worker: PoolWorker,
		ratio: number,
		hasTail: boolean,
		now: number,
	): void {
		this.kindSpeeds.record(worker.kind, ratio);
		worker.recordEndedRun(ratio, now, hasTail);
		this.#capacity.recordSlowdownFactor(worker.pace.leastSlowdownFactor(now));
	}

	/** Longest time for which a run of an earlier leader can be at work after this one has claimed its worker. */
	get priorRunsMs(): number {
		const {leaseMs, orphanStopDelayMs} = this.#settings;
		return leaseMs + orphanStopDelayMs + leaseExpiryMarginMs;
	}

	/** Longest time for which a run is at work after the last command that has extended its lease. */
	get longestLeaseMs(): number {
		return computeLongestLeaseMs(this.#settings.leaseMs);
	}

	#latestUnknownRunsEndMs(
		jobZones: readonly string[],
		isCounted: (worker: PoolWorker) => boolean,
		now: number,
	): number {
		let latestMs = now;
		for (const worker of this.#unsyncedWorkers) {
			// Most workers have the same time, and are compared once for each waiting job.
			if (
				worker.unknownRunsEndByMs > latestMs &&
				jobZones.includes(worker.entry.zone) &&
				isCounted(worker)
			) {
				latestMs = worker.unknownRunsEndByMs;
			}
		}

		for (const [zone, endByMs] of this.#goneWorkersEndByMs) {
			if (jobZones.includes(zone)) {
				latestMs = Math.max(latestMs, endByMs);
			}
		}

		return latestMs;
	}

	/** Takes what a worker runs for unknown until it reports again, as another leader may command it. */
	#requestReport(worker: PoolWorker, now: number): void {
		worker.reportAwaitedSinceMs = now;
		worker.unknownRunsEndByMs = now + this.priorRunsMs;
		worker.isSynced = false;
	}

	#recordGoneWorker({entry: {zone}, isSynced, unknownRunsEndByMs}: PoolWorker) {
		if (!isSynced) {
			this.#goneWorkersEndByMs.set(
				zone,
				Math.max(this.#goneWorkersEndByMs.get(zone) ?? 0, unknownRunsEndByMs),
			);
		}
	}

	#addWorker(entry: WorkerEntry, now: number): PoolWorker {
		this.#addedCount += 1;
		const worker = new PoolWorker(entry, this.#addedCount, (changed) => {
			if (this.#workers.get(entry.id) === changed) {
				this.#handleWorkerUpdate(changed);
			}
		});
		worker.isEvacuated = this.#evacuatedZones.has(entry.zone);
		worker.guardsCapacity = !this.#unguardedServices.includes(entry.service);
		worker.pace.setBaseline(this.kindSpeeds.logSlowdown(worker.kind));
		worker.reportAwaitedSinceMs = now;
		worker.unknownRunsEndByMs =
			(this.#zones.get(entry.zone)?.syncingSinceMs ?? now) + this.priorRunsMs;
		this.#workers.set(entry.id, worker);
		this.#unsyncedWorkers.add(worker);
		this.#workerList = undefined;
		return worker;
	}

	#handleWorkerUpdate(worker: PoolWorker): void {
		this.#capacity.update(worker);
		if (worker.isSynced) {
			this.#unsyncedWorkers.delete(worker);
		} else {
			this.#unsyncedWorkers.add(worker);
		}
	}

	#deleteWorker(worker: PoolWorker): void {
		this.#workers.delete(worker.entry.id);
		this.#unsyncedWorkers.delete(worker);
		this.#workerList = undefined;
		this.#capacity.remove(worker);
		for (const task of worker.orphans.keys()) {
			this.#removeOrphan(worker, task);
		}
	}

	#addOrphan(worker: PoolWorker, run: ReportedRun, now: number): void {
		worker.addOrphan(run, this.#listener.isJobOver(run.task), now);
		this.#orphanHolders.set(
			run.task,
			new Set([...(this.#orphanHolders.get(run.task) ?? []), worker]),
		);
	}

	#removeOrphan(worker: PoolWorker, task: string): void {
		worker.removeOrphan(task);
		const others = [...(this.#orphanHolders.get(task) ?? [])].filter(
			(holder) => holder !== worker,
		);
		if (others.length > 0) {
			this.#orphanHolders.set(task, new Set(others));
		} else {
			this.#orphanHolders.delete(task);
		}
	}

	/**
	 * Whether the list of workers shows all on which earlier leaders of these zones may have started runs. One that was read before
	 * the claim need not: a leader uses workers that have registered since.
	 */
	#hasCurrentList(zones: readonly string[]): boolean {
		return this.listAfterClaimMs(zones) >= 0;
	}

	/** Whether the list of workers is being read after a claim. */
	#isListOnItsWay(zones: readonly string[], now: number): boolean {
		return (
			this.#canReadList && now - this.#findLatestClaimMs(zones) < listReadMs
		);
	}

	/** Returns the time by which runs have ended on workers that an old list lacks; negative infinity if the list is current. */
	#unlistedRunsEndByMs(zones: readonly string[]): number {
		return this.#hasCurrentList(zones)
			? Number.NEGATIVE_INFINITY
			: this.#findLatestClaimMs(zones) + this.priorRunsMs;
	}

	/** Returns the latest time at which one of these zones was claimed, or reports of all its workers were requested. */
	#findLatestClaimMs(zones: readonly string[]): number {
		return Math.max(
			...zones.map(
				(zone) =>
					this.#zones.get(zone)?.syncingSinceMs ?? Number.NEGATIVE_INFINITY,
			),
		);
	}

	#leadsAllZones(zones: readonly string[]): boolean {
		return zones.every((zone) => this.#zones.has(zone));
	}

	#updateEntry(worker: PoolWorker, entry: WorkerEntry, now: number): void {
		const hasRestarted =
			worker.bornMs !== undefined && entry.bornMs > worker.bornMs;
		const wasDraining = worker.entry.state === 'draining';
		const isResized =
			entry.bornMs === worker.entry.bornMs &&
			!isEqualAmount(entry.capacity, worker.entry.capacity);
		worker.setEntry(entry, now);
		worker.isEvacuated = this.#evacuatedZones.has(entry.zone);
		this.#capacity.update(worker);
		if (!worker.isListed) {
			worker.isListed = true;
			worker.isSynced = false;
		}

		if (isResized) {
			this.#listener.handleWorkerChange(worker, 'resized');
		}

		if (entry.state === 'draining' && !wasDraining) {
			worker.drainingSinceMs = now;
			this.#listener.handleWorkerChange(worker, 'draining');
		}

		if (hasRestarted) {
			// The worker gets no start commands until its next report, which shows the restart.
			worker.isSynced = false;
		}

		this.#sendHold(worker, now);
	}

	#sendStart(
		run: WorkerRun,
		spec: string,
		worker: PoolWorker,
		now: number,
	): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		const clockMs = worker.estimateClockMs(now);
		// The command extends the lease of all runs of the worker.
		if (
			token === undefined ||
			clockMs === undefined ||
			!this.#mayExtendLease(worker, now)
		) {
			this.#endRun(worker, run, 'not-started', now);
			return;
		}

		run.sendCount += 1;
		run.lastSentAtMs = now;
		worker.recordLeaseExtension(now, this.#settings.leaseMs);
		this.#commandSender.start({
			worker: worker.entry,
			fencingToken: token,
			task: run.task,
			run: run.run,
			spec,
			leaseExpiresAtMs: clockMs + this.#settings.leaseMs,
			decidedAtMs: now,
			sendUntilMs: this.certainUntilMs,
		});
	}

	#handleStartRefusal(
		run: WorkerRun,
		worker: PoolWorker,
		reason: Extract<CommandOutcome, {kind: 'refused'}>['reason'],
		now: number,
	): void {
		if (reason === 'fenced') {
			// The refused token may be older than the present one; the next hold command shows whether that is refused too.
			this.#requestReport(worker, now);
			this.#expediteHold(worker, now);
			this.#endRun(
				worker,
				run,
				run.sendCount === 1 ? 'not-started' : undefined,
				now,
			);
			return;
		}

		if (reason === 'no-room') {
			worker.fullUntilMs = now + this.#settings.stopDurationMs;
			worker.recordRoomRefusal(now);
		}

		if (reason === 'unhealthy' && worker.health.recordFailure(run.jobId, now)) {
			this.#listener.handleWorkerChange(worker, 'set-aside');
		}

		this.#expediteHold(worker, now);
		if (run.sendCount > 1) {
			// An earlier copy of the command may have started the run, or may still start it.
			if (reason === 'old-run') {
				confirmStart(run, now);
			} else {
				this.stopRun(run, worker, now);
			}

			return;
		}

		this.#endRun(
			worker,
			run,
			reason === 'no-room' ? 'no-room' : 'not-started',
			now,
		);
	}

	/** Ends a run; without a confirmed outcome, stops it and waits for the stop or the lease expiry to end it. */
	#endRun(
		worker: PoolWorker,
		run: WorkerRun,
		outcome: RunOutcome | undefined,
		now: number,
	): void {
		if (outcome === undefined) {
			this.stopRun(run, worker, now);
			return;
		}

		worker.removeRun(run.task);
		this.#listener.handleRunEnd(run, outcome, worker);
	}

	#handleReport(
		worker: PoolWorker,
		report: WorkerReport,
		sentAtMs: number,
		now: number,
	): void {
		if (this.#sampleClock(worker, report.clockMs, report.bornMs, now)) {
			this.#handleRestart(worker, sentAtMs, now);
		}

		if (worker.contactFailures >= maxContactFailures) {
			this.#listener.handleWorkerChange(worker, 'reachable');
		}

		worker.contactFailures = 0;
		worker.isRefusingConnections = false;
		worker.reportedAtMs = now;
		worker.reportRequestedAtMs = sentAtMs;
		worker.nextHoldAtMs = now;
		const newEnds = report.ended.filter(
			({number}) => number > worker.lastHandledEndNumber,
		);
		for (const end of newEnds) {
			worker.lastHandledEndNumber = end.number;
			this.#handleReportedEnd(worker, end, now);
		}

		const reported = new Map(report.running.map((run) => [run.task, run]));
		this.#reconcileRuns(worker, reported, sentAtMs, now);
		if (!worker.isSynced) {
			worker.isSynced = true;
			// An earlier leader may have extended the lease until the worker has received this leader's command.
			worker.recordLeaseExtension(now, this.#settings.leaseMs);
			this.#listener.handleWorkerChange(worker, 'synced');
		}

		this.#sendHold(worker, now);
	}

	/** Passes a sample on to the worker, and counts one that is far behind; returns whether the worker's process has restarted. */
	#sampleClock(
		worker: PoolWorker,
		clockMs: number,
		bornMs: number | undefined,
		now: number,
	): boolean {
		const hasRestarted = worker.sampleClock(clockMs, bornMs, now);
		if (worker.clockBehindMs > minClockBehindMs) {
			this.#clockSamples.behindCount += 1;
			this.#clockSamples.latestBehindMs = worker.clockBehindMs;
			if (now - this.#clockLoggedAtMs >= clockLogIntervalMs) {
				this.#clockLoggedAtMs = now;
				this.#listener.handleWorkerChange(worker, 'clock-behind');
			}
		}

		return hasRestarted;
	}

	#handleReportedEnd(worker: PoolWorker, end: ReportedEnd, now: number): void {
		const run = worker.runs.get(end.task);
		this.#removeOrphan(worker, end.task);
		if (run?.run === end.run) {
			if (end.how === 'lapsed') {
				run.lossCause = 'reported';
			}

			this.#endRun(worker, run, end.how, now);
		} else if (
			(run === undefined || end.how === 'done') &&
			!this.#listener.tryAdoptEnd(end)
		) {
			this.#retainOrphanEnd(end, now);
		}
	}

	/**
	 * Keeps the end of an orphan; the end of a newer run replaces that of an older one, unless the older one is `done`.
	 */
	#retainOrphanEnd({task, run, how}: ReportedEnd, now: number): void {
		const knownEnd = this.#orphanEnds.get(task);
		if (
			knownEnd === undefined ||
			(knownEnd.how !== 'done' && knownEnd.run <= run)
		) {
			this.#orphanEnds.set(task, {task, run, how, reportedAtMs: now});
		}
	}

	#reconcileRuns(
		worker: PoolWorker,
		reported: ReadonlyMap<string, ReportedRun>,
		sentAtMs: number,
		now: number,
	): void {
		for (const [task] of worker.orphans) {
			if (!reported.has(task)) {
				this.#removeOrphan(worker, task);
			}
		}

		for (const reportedRun of reported.values()) {
			const run = worker.runs.get(reportedRun.task);
			if (run?.run === reportedRun.run) {
				run.omissions = 0;
				run.isConfirmed = true;
				if (run.state === 'ordered') {
					confirmStart(run, now);
				}
			} else if (
				!worker.orphans.has(reportedRun.task) &&
				!this.#listener.tryAdoptRun(reportedRun, worker)
			) {
				this.#addOrphan(worker, reportedRun, now);
			}
		}

		const omitted = [...worker.runs.values()].filter(
			({task, confirmedAtMs}) =>
				!reported.has(task) &&
				confirmedAtMs !== undefined &&
				confirmedAtMs <= sentAtMs,
		);
		for (const run of omitted) {
			this.#handleOmission(worker, run, sentAtMs, now);
		}
	}

	#handleOmission(
		worker: PoolWorker,
		run: WorkerRun,
		sentAtMs: number,
		now: number,
	): void {
		run.omissions += 1;
		if (run.state === 'stopping') {
			if (
				sentAtMs >=
				(run.confirmedAtMs ?? now) + this.#settings.stopDurationMs
			) {
				this.#endRun(worker, run, 'not-started', now);
			}
		} else if (run.omissions >= maxOmissions) {
			this.stopRun(run, worker, now);
		}
	}

	#handleRestart(worker: PoolWorker, sentAtMs: number, now: number): void {
		this.#listener.handleWorkerChange(worker, 'restarted');
		this.#listener.handleWorkerLoss(worker, 'crashed');
		for (const task of worker.orphans.keys()) {
			this.#removeOrphan(worker, task);
		}

		// The report lists the runs whose start commands the new process had executed by then, and waiting tasks adopt them from
		// it. A start that left after the request for the report may reach the new process later; its outcome will tell. All
		// other runs have ended with the earlier process.
		const ended = [...worker.runs.values()].filter(
			({state, lastSentAtMs}) => state !== 'ordered' || lastSentAtMs < sentAtMs,
		);
		for (const run of ended) {
			run.lossCause = 'crashed';
			this.#endRun(worker, run, 'lapsed', now);
		}
	}

	#handleCommandFailure(
		worker: PoolWorker,
		outcome: CommandOutcome,
		now: number,
	): void {
		worker.contactFailures += 1;
		if (
			outcome.kind === 'not-sent' &&
			outcome.isRefused === true &&
			!worker.isRefusingConnections
		) {
			worker.isRefusingConnections = true;
			this.#listener.handleWorkerChange(worker, 'refusing');
			this.#listener.handleWorkerLoss(worker, 'crashed');
		}

		worker.nextHoldAtMs =
			now +
			(worker.contactFailures === 1
				? 0
				: Math.min(
						maxHoldRetryMs,
						baseHoldRetryMs * 2 ** worker.contactFailures,
					));
		if (worker.contactFailures === maxContactFailures) {
			this.#listener.handleWorkerChange(worker, 'silent');
		}

		this.#sendHold(worker, now);
	}

	#endLapsedRuns(worker: PoolWorker, now: number): void {
		if (worker.runs.size === 0 || now < worker.leaseExpiresByMs) {
			return;
		}

		const lossCause = findLossCause(worker);
		if (lossCause === 'crashed' || lossCause === 'unreachable') {
			this.#listener.handleWorkerLoss(worker, lossCause);
		}

		for (const run of worker.runs.values()) {
			run.lossCause = lossCause;
			this.#endRun(worker, run, 'lapsed', now);
		}
	}

	/**
	 * Records whether some job keeps the lease of a worker from being extended, and stops its runs in time for the others that
	 * need the lease.
	 */
	#withholdLease(worker: PoolWorker, now: number): void {
		const withheld = [...worker.runs.values()].filter(
			(run) =>
				run.state !== 'stopping' && !this.#listener.mayExtendRun(run, now),
		);
		worker.isLeaseWithheld = withheld.length > 0;
		if (
			withheld.length < worker.runs.size &&
			worker.leaseExpiresByMs - now <= this.#settings.withheldStopMs
		) {
			for (const run of withheld) {
				this.stopRun(run, worker, now);
			}
		}
	}

	/**
	 * Whether a command may extend the lease of a worker, which applies to all its runs: not beside a run whose job, or that of an
	 * orphan, may be started elsewhere once the present lease has ended, nor while the stop of a run may be lost.
	 */
	#mayExtendLease(worker: PoolWorker, now: number): boolean {
		return (
			worker.orphans.size === 0 &&
			worker.unconfirmedStops.size === 0 &&
			[...worker.runs.values()].every(
				(run) =>
					run.state === 'stopping' || this.#listener.mayExtendRun(run, now),
			)
		);
	}

	#sendStops(worker: PoolWorker, hasWaitingTasks: boolean, now: number): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		if (token === undefined || !worker.isSynced) {
			return;
		}

		for (const run of worker.runs.values()) {
			if (
				run.state === 'stopping' &&
				run.confirmedAtMs === undefined &&
				now - run.lastSentAtMs >= this.#settings.stopRetryMs
			) {
				this.stopRun(run, worker, now);
			}
		}

		const orphanStopDelayMs =
			hasWaitingTasks || worker.runs.size > 0
				? this.#settings.orphanClaimMs
				: this.#settings.orphanStopDelayMs;
		for (const orphan of worker.orphans.values()) {
			const isStopDue =
				(orphan.isAbandoned || now - orphan.foundAtMs >= orphanStopDelayMs) &&
				now - orphan.stopSentAtMs >= this.#settings.stopRetryMs;
			if (isStopDue) {
				orphan.stopSentAtMs = now;
				this.#commandSender.stop({
					worker: worker.entry,
					fencingToken: token,
					task: orphan.task,
					run: orphan.run,
				});
			}
		}
	}

	/**
	 * Returns how long the worker may delay its report: until shortly after the next expected end of a run. The next command
	 * follows the report, so it is soon if this one does not extend the lease of runs.
	 */
	#computeReportDelayMs(
		worker: PoolWorker,
		extendsLease: boolean,
		now: number,
	): number {
		if (!worker.isSynced || worker.contactFailures > 0) {
			return 0;
		}

		const {maxReportDelayMs, reportDelayMarginMs} = this.#settings;
		if (!extendsLease && worker.runs.size > 0) {
			return reportDelayMarginMs;
		}

		const slowdown = worker.pace.slowdownFactor(now);
		const remainingMs = [...worker.runs.values()]
			.map(
				({orderedAtMs, expectedMs}) =>
					orderedAtMs + expectedMs * slowdown - now,
			)
			.filter((untilEndMs) => untilEndMs > 0);
		const nextEndMs =
			remainingMs.length === 0
				? reportDelayMarginMs
				: Math.max(reportDelayMarginMs, Math.min(...remainingMs));
		return Math.round(
			Math.min(maxReportDelayMs, nextEndMs + reportDelayMarginMs),
		);
	}

	/** Sends a hold command now, or once the pending one is answered. */
	#expediteHold(worker: PoolWorker, now: number): void {
		worker.nextHoldAtMs = Math.min(worker.nextHoldAtMs, now);
		this.#sendHold(worker, now);
	}

	/** Sends a hold command if one is due; a synced worker without runs, orphans and failures needs none. */
	#sendHold(worker: PoolWorker, now: number): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		const isBusy = worker.runs.size > 0 || worker.orphans.size > 0;
		if (
			token === undefined ||
			worker.isHoldPending ||
			now < worker.nextHoldAtMs ||
			(worker.isSynced && !isBusy && worker.contactFailures === 0)
		) {
			return;
		}

		const clockMs = worker.estimateClockMs(now);
		const extendsLease =
			clockMs !== undefined &&
			now <= this.certainUntilMs &&
			worker.contactFailures < maxContactFailures &&
			worker.runs.size > 0 &&
			this.#mayExtendLease(worker, now);
		if (extendsLease) {
			worker.recordLeaseExtension(now, this.#settings.leaseMs);
		}

		worker.isHoldPending = true;
		this.#commandSender.hold({
			worker: worker.entry,
			fencingToken: token,
			acknowledgedEndNumber: worker.lastHandledEndNumber,
			maxReportDelayMs: this.#computeReportDelayMs(worker, extendsLease, now),
			...(extendsLease
				? {leaseExpiresAtMs: clockMs + this.#settings.leaseMs}
				: {}),
		});
	}
}

/** Records that the worker has confirmed the start of a run. */
function confirmStart(run: WorkerRun, now: number): void {
	run.state = 'running';
	run.isConfirmed = true;
	run.confirmedAtMs ??= now;
}

/** Returns why a worker's runs end whose lease has expired without a report. */
function findLossCause({
	isRefusingConnections,
	contactFailures,
}: PoolWorker): RunLossCause {
	if (isRefusingConnections) {
		return 'crashed';
	}

	return contactFailures >= maxContactFailures ? 'unreachable' : 'not-extended';
}
