import {type ActiveRun} from './lost-runs.js';
import {
	addResources,
	fitsWithin,
	isEqualAmount,
	maxResources,
	type Resources,
} from './pool-job.js';
import {TargetHealth} from './target-health.js';
import {kindOf} from './worker-kind.js';
import {WorkerPace} from './worker-pace.js';

/** A worker as the platform's store lists it. */
export type WorkerEntry = {
	/** Identifier of the worker. */
	readonly id: string;
	/** Name of the service whose tasks the worker runs. */
	readonly service: string;
	/** `host:port` of the worker's HTTP interface. */
	readonly address: string;
	/** Zone in which the worker runs. */
	readonly zone: string;
	/** Whether the worker accepts new runs (`ready`) or only finishes those that it has (`draining`). */
	readonly state: 'ready' | 'draining';
	/** Total resources of the worker. */
	readonly capacity: Resources;
	/** Kind of the worker, then its rack. */
	readonly labels: readonly string[];
	/** Start time of the worker's process, in Unix milliseconds; a restart raises it. */
	readonly bornMs: number;
	/** Milliseconds for which the worker expected to stay slow when it wrote its entry; absent if it is warm. */
	readonly coldMs?: number;
};

/** A run that a worker reports as running. */
export type ReportedRun = {
	/** Name of the task. */
	readonly task: string;
	/** Number of the run among the runs of its task. */
	readonly run: number;
	/** Approximate processor use in thousandths of a core; absent if the worker does not report it. */
	readonly processorMillis?: number;
};

/**
 * How a run ended; the leader itself ends runs as `lapsed` when their lease has expired or their worker has restarted.
 */
export type RunEndStatus = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken';

/**
 * Why a run ended as `lapsed`.
 *
 * - `crashed`: the worker's process has ended; it refuses connections, or has started anew.
 * - `unreachable`: commands to the worker fail; its process may have ended or be behind a partition.
 * - `not-extended`: the leader has not extended the lease in time.
 * - `reported`: the worker itself reports that the lease expired.
 */
export type RunLossCause =
	'crashed' | 'unreachable' | 'not-extended' | 'reported';

/** The end of a run that a worker reports. */
export type ReportedEnd = {
	/** Sequence number, which rises by one with each end and starts again when the worker's process restarts. */
	readonly number: number;
	readonly task: string;
	readonly run: number;
	/** Status of the end. */
	readonly how: RunEndStatus;
};

/** A worker's answer to a hold command. */
export type WorkerReport = {
	/** Time on the worker's own clock, in milliseconds. */
	readonly clockMs: number;
	/** Start time of the worker's process, in Unix milliseconds. */
	readonly bornMs: number;
	/** Runs that have not ended. */
	readonly running: readonly ReportedRun[];
	/** Ends that the leader has not acknowledged. */
	readonly ended: readonly ReportedEnd[];
};

/** A run that the leader has sent a start command for, or has adopted. */
export type WorkerRun = {
	readonly task: string;
	readonly run: number;
	readonly jobId: string;
	readonly needs: Resources;
	/** Estimated run time. */
	readonly expectedMs: number;
	/** `ordered` until the start is confirmed; `stopping` once a stop command was sent. */
	state: 'ordered' | 'running' | 'stopping';
	/** Time at which the start command was first sent, or the run was adopted. */
	readonly orderedAtMs: number;
	/** Time at which the worker confirmed the start command or, while `stopping`, the stop command; `undefined` before. */
	confirmedAtMs: number | undefined;
	/** Whether the worker has confirmed the start, whatever has become of the run since. */
	isConfirmed: boolean;
	/** Reports in a row, requested after the confirmation, that list the run neither as running nor as ended. */
	omissions: number;
	/** Number of times that the start command was sent. */
	sendCount: number;
	/** Time at which the newest start or stop command was sent. */
	lastSentAtMs: number;
	/** Whether the task may crash the worker, as workers crashed under it before. */
	readonly isSuspect: boolean;
	/** Why the run was lost; `undefined` unless it has ended as `lapsed`. */
	lossCause?: RunLossCause;
};

/** A run that a worker reports and that no job has claimed yet. */
export type OrphanRun = {
	readonly task: string;
	readonly run: number;
	readonly needs: Resources;
	/** Time at which a report first listed the run. */
	readonly foundAtMs: number;
	/** Whether the job has been answered or given up, so that none will claim the run. */
	isAbandoned: boolean;
	/** Time at which the newest stop command was sent; 0 before. */
	stopSentAtMs: number;
};

/** Largest fraction by which a worker's clock may run slow. */
const maxClockDriftRatio = 0.02;
/**
 * Longest time from sending a command until it takes effect on a worker; network links themselves add only milliseconds.
 */
const maxCommandDelayMs = 150;
/** Refusals for lack of room in a row from which the worker has less room than its entry says. */
const minRoomRefusals = 2;
/** Longest time in milliseconds until a changed capacity is in the worker's entry and has been read. */
const entryDelayMs = 2000;
/** Resources that an orphan is assumed to use where the worker does not report them. */
const assumedOrphanNeeds: Resources = {
	processorMillis: 27_000,
	memoryMb: 64,
	accelerators: 0,
};

/** Computes the longest time in milliseconds for which a lease lasts after the command that grants it was sent. */
export function computeLongestLeaseMs(leaseMs: number): number {
	return leaseMs * (1 + maxClockDriftRatio) + maxCommandDelayMs;
}

/** The leader's record of one worker: its runs, orphans, lease, clock, health and pace. */
export class PoolWorker {
	/** Kind and size of the worker, see {@link kindOf}; stays the same while the capacity is smaller for a while. */
	kind: string;
	/** Largest capacity that the worker has had since its process started; its present one may be smaller for a while. */
	largestCapacity: Resources;
	/** Whether the platform lists the worker. */
	isListed = true;
	/** Whether the operator has asked that nothing be started in the worker's zone. */
	isEvacuated = false;
	/** Whether the job of a run keeps the lease from being extended, so that nothing is started here either. */
	isLeaseWithheld = false;
	/** Tasks whose runs are being stopped, while the worker has not confirmed the stop. */
	readonly unconfirmedStops = new Set<string>();
	/** Whether the worker refuses starts beyond its capacity. */
	guardsCapacity = true;
	/** Runs of known jobs, by task. */
	readonly runs = new Map<string, WorkerRun>();
	/** Runs that no job has claimed, by task. */
	readonly orphans = new Map<string, OrphanRun>();
	/** Recent failures, which decide whether the worker is given tasks. */
	health = new TargetHealth();
	/** Ratio of run times to estimates. */
	pace = new WorkerPace();
	/** Time from which hold commands must have been sent for their reports to count. */
	reportsRequiredSinceMs = Number.NEGATIVE_INFINITY;
	/** Time at which a report was requested or became necessary; of no meaning once the worker has reported. */
	reportAwaitedSinceMs = Number.NEGATIVE_INFINITY;
	/** Time by which runs of earlier leaders have ended that no report has listed; of no meaning once the worker has reported. */
	unknownRunsEndByMs = Number.NEGATIVE_INFINITY;
	/** Whether a hold command has no answer yet. */
	isHoldPending = false;
	/** Earliest time of the next hold command. */
	nextHoldAtMs = 0;
	/** Time of the last report. */
	reportedAtMs = Number.NEGATIVE_INFINITY;
	/** Time at which the hold command of the last report was sent. */
	reportRequestedAtMs = Number.NEGATIVE_INFINITY;
	/** Failed hold commands and unsent start commands since the last report. */
	contactFailures = 0;
	/** Whether the worker's host has refused a connection since the last report. */
	isRefusingConnections = false;
	/** Sequence number of the last end that the pool has handled. */
	lastHandledEndNumber = 0;
	/** Time from which the platform has listed the worker as draining. */
	drainingSinceMs: number | undefined;
	/** Time until which the worker is given no tasks, after it refused a run for lack of resources. */
	fullUntilMs = 0;
	/** Time by which the lease is certain to have expired unless a leader extends it again. */
	leaseExpiresByMs = 0;
	/** Time by which the last sample of the worker's clock was behind the estimate, in milliseconds; negative if ahead. */
	clockBehindMs = 0;
	#isSynced = false;
	#clockOffsetMs: number | undefined;
	#clockSampledAtMs = Number.NEGATIVE_INFINITY;
	#bornMs: number | undefined;
	#used: Resources = {processorMillis: 0, memoryMb: 0, accelerators: 0};
	#hasSuspect = false;
	/** Starts in a row that the worker has refused for lack of room. */
	#roomRefusals = 0;
	/** Capacity that the worker has shown by refusals, while its entry still has a larger one. */
	#roomLimit:
		{readonly processorMillis: number; readonly untilMs: number} | undefined;

	/** Cached free resources, computed for `#freeForCapacity`; read far more often than they change. */
	#free: Resources | undefined;
	#freeForCapacity: Resources | undefined;

	/** Time until which the worker says that it is slow after its start, unless a run has shown otherwise. */
	#coldUntilMs = 0;
	/** Entry from which `#coldUntilMs` was computed. */
	#coldFrom: Pick<WorkerEntry, 'bornMs' | 'coldMs'> | undefined;
	/** Start time of the process of which a run was not slow, so that its later entries do not make it cold again. */
	#warmBornMs: number | undefined;
	readonly #handleChange: ((worker: PoolWorker) => void) | undefined;

	/** `handleChange` is called after each change of the runs, the orphans or `isSynced`. */
	constructor(
		public entry: WorkerEntry,
		/** Rises with each worker that a pool adds; of equally suitable workers the one with the lowest is chosen. */
		readonly ordinal = 0,
		handleChange?: (worker: PoolWorker) => void,
	) {
		this.#handleChange = handleChange;
		this.kind = kindOf(entry);
		this.largestCapacity = entry.capacity;
	}

	/**
	 * Whether the worker has reported under the present fencing token; cleared by a refusal of it, a restart and a new
	 * listing.
	 */
	get isSynced(): boolean {
		return this.#isSynced;
	}

	set isSynced(isSynced: boolean) {
		this.#isSynced = isSynced;
		this.#handleChange?.(this);
	}

	/**
	 * Start time of the worker's process from its last report, in Unix milliseconds; `undefined` before the first
	 * report.
	 */
	get bornMs(): number | undefined {
		return this.#bornMs;
	}

	/** Replaces the worker's entry in the platform's list. */
	setEntry(entry: WorkerEntry, now: number): void {
		if (
			entry.bornMs !== this.entry.bornMs ||
			!isEqualAmount(entry.capacity, this.entry.capacity)
		) {
			this.#setRoomLimit(undefined);
		}

		this.largestCapacity =
			entry.bornMs === this.entry.bornMs
				? maxResources(this.largestCapacity, entry.capacity)
				: entry.capacity;
		this.entry = entry;
		this.kind = kindOf({
			labels: entry.labels,
			capacity: this.largestCapacity,
		});
		const isKnown =
			entry.bornMs === this.#coldFrom?.bornMs &&
			entry.coldMs === this.#coldFrom.coldMs;
		if (!isKnown) {
			this.#coldFrom = entry;
			this.#coldUntilMs =
				entry.bornMs === this.#warmBornMs ? 0 : now + (entry.coldMs ?? 0);
		}
	}

	/** Whether the worker may still be slow after its start; it is tried with one task at a time until a run is not. */
	isCold(now: number): boolean {
		return now < this.#coldUntilMs;
	}

	/** Records an ended run by the ratio of its actual to its expected run time. */
	recordEndedRun(ratio: number, now: number, hasTail = false): void {
		this.pace.recordEndedRun(ratio, now, hasTail);
		if (!this.pace.isSlow(now)) {
			this.#coldUntilMs = 0;
			this.#warmBornMs = this.entry.bornMs;
		}
	}

	/** Estimates the time on the worker's own clock; `undefined` before the worker has first sent its time. */
	estimateClockMs(now: number): number | undefined {
		return this.#clockOffsetMs === undefined
			? undefined
			: Math.floor(now + this.#clockOffsetMs);
	}

	/**
	 * Updates the clock offset and the process's start time; returns whether the process has restarted, which resets
	 * its history. `now` is the time at which an answer with the worker's time was read. Of the offsets of one process the
	 * largest is kept, less what a slow clock may have lost since: then the estimate is at no sample ahead of the clock.
	 */
	sampleClock(clockMs: number, bornMs: number | undefined, now: number) {
		const hasRestarted =
			bornMs !== undefined &&
			this.#bornMs !== undefined &&
			bornMs > this.#bornMs;
		const offsetMs = clockMs - now;
		const knownOffsetMs = hasRestarted ? undefined : this.#clockOffsetMs;
		this.clockBehindMs =
			knownOffsetMs === undefined ? 0 : knownOffsetMs - offsetMs;
		// An answer that was late, or was read late, gives an offset that is too low, never one that is too high.
		this.#clockOffsetMs =
			knownOffsetMs === undefined
				? offsetMs
				: Math.max(
						offsetMs,
						knownOffsetMs - maxClockDriftRatio * (now - this.#clockSampledAtMs),
					);
		this.#clockSampledAtMs = now;
		if (bornMs !== undefined) {
			this.#bornMs = Math.max(bornMs, this.#bornMs ?? bornMs);
		}

		if (hasRestarted) {
			this.lastHandledEndNumber = 0;
			this.health = new TargetHealth();
			this.pace = new WorkerPace();
		}

		return hasRestarted;
	}

	/** Records that a command which may extend the lease is sent now. */
	recordLeaseExtension(now: number, leaseMs: number): void {
		this.leaseExpiresByMs = now + computeLongestLeaseMs(leaseMs);
	}

	/** Resources that neither runs nor orphans use; negative amounts are possible. */
	get free(): Resources {
		const {capacity} = this.entry;
		if (this.#free === undefined || this.#freeForCapacity !== capacity) {
			this.#freeForCapacity = capacity;
			this.#free = {
				processorMillis:
					Math.min(
						capacity.processorMillis,
						this.#roomLimit?.processorMillis ?? Number.POSITIVE_INFINITY,
					) - this.#used.processorMillis,
				memoryMb: capacity.memoryMb - this.#used.memoryMb,
				accelerators: capacity.accelerators - this.#used.accelerators,
			};
		}

		return this.#free;
	}

	/**
	 * Records that the worker has refused a run, which still counts as used, for lack of room. After a second refusal in a
	 * row it gets no more than what it has, until its entry shows another capacity or enough time has passed.
	 */
	recordRoomRefusal(now: number): void {
		this.#roomRefusals += 1;
		if (this.#roomRefusals >= minRoomRefusals) {
			this.#setRoomLimit({
				processorMillis: this.#used.processorMillis - 1,
				untilMs: now + entryDelayMs,
			});
		}
	}

	/** Records that the worker has accepted a start. */
	recordAcceptedStart(): void {
		this.#roomRefusals = 0;
	}

	/** Forgets what earlier refusals have shown, once the worker's entry would show it too. */
	expireRoomLimit(now: number): void {
		if (this.#roomLimit !== undefined && now >= this.#roomLimit.untilMs) {
			this.#setRoomLimit(undefined);
		}
	}

	/**
	 * Whether the worker may be given a task now; while it is cold or after failures, only one at a time. None is given beside
	 * a run that no job has claimed, since the start command would extend the lease of that run.
	 */
	canStartTask(now: number): boolean {
		return (
			this.isListed &&
			!this.isEvacuated &&
			this.isSynced &&
			this.orphans.size === 0 &&
			!this.isLeaseWithheld &&
			this.unconfirmedStops.size === 0 &&
			this.entry.state === 'ready' &&
			this.contactFailures === 0 &&
			now >= this.fullUntilMs &&
			(this.guardsCapacity || this.#isRoomCertain) &&
			(!this.isCold(now) || this.runs.size === 0) &&
			(this.health.getState(now) === 'taken' ||
				(this.health.getState(now) === 'trial' && this.runs.size === 0))
		);
	}

	/** The runs of known jobs and those that no job has claimed. */
	get activeRuns(): readonly ActiveRun[] {
		return [
			...[...this.runs.values()].map(
				({task, run, orderedAtMs, isConfirmed}) => ({
					task,
					run,
					startedAtMs: orderedAtMs,
					isConfirmed,
				}),
			),
			...[...this.orphans.values()].map(({task, run, foundAtMs}) => ({
				task,
				run,
				startedAtMs: foundAtMs,
				isConfirmed: true,
			})),
		];
	}

	/** Whether a task runs here that may crash the worker. */
	get hasSuspect(): boolean {
		return this.#hasSuspect;
	}

	/** Whether the free resources are known: the capacity of a process that is newer than the worker's entry is not. */
	get #isRoomCertain(): boolean {
		return this.#bornMs === undefined || this.entry.bornMs >= this.#bornMs;
	}

	/** Whether the needs of a task fit into the free resources. */
	hasRoomFor(needs: Resources): boolean {
		return fitsWithin(needs, this.free);
	}

	/** Adds a run, and counts its needs as used. */
	addRun(run: WorkerRun): void {
		this.runs.set(run.task, run);
		this.#updateUsed();
	}

	/** Removes the run of a task, and frees its resources. */
	removeRun(task: string): void {
		this.runs.delete(task);
		this.unconfirmedStops.delete(task);
		this.#updateUsed();
	}

	/** Adds an orphan, and counts its reported or assumed needs as used. `isAbandoned` is whether no job will claim it. */
	addOrphan(
		{task, run, processorMillis}: ReportedRun,
		isAbandoned: boolean,
		now: number,
	): void {
		this.orphans.set(task, {
			task,
			run,
			needs:
				processorMillis === undefined || processorMillis === 0
					? assumedOrphanNeeds
					: {...assumedOrphanNeeds, processorMillis},
			foundAtMs: now,
			isAbandoned,
			stopSentAtMs: 0,
		});
		this.#updateUsed();
	}

	/** Removes the orphan of a task, if any, and frees its resources. */
	removeOrphan(task: string): void {
		this.orphans.delete(task);
		this.#updateUsed();
	}

	#setRoomLimit(
		limit:
			{readonly processorMillis: number; readonly untilMs: number} | undefined,
	): void {
		if (limit !== this.#roomLimit) {
			this.#roomLimit = limit;
			this.#free = undefined;
			this.#handleChange?.(this);
		}
	}

	#updateUsed(): void {
		let used: Resources = {processorMillis: 0, memoryMb: 0, accelerators: 0};
		for (const {needs} of [...this.runs.values(), ...this.orphans.values()]) {
			used = addResources(used, needs);
		}

		this.#used = used;
		this.#hasSuspect = [...this.runs.values()].some(({isSuspect}) => isSuspect);
		this.#free = undefined;
		this.#handleChange?.(this);
	}
}
