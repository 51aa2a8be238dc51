/** What the leader of a pool knows of one worker: its runs, its lease, its clock and its health. */
import {addResources, fitsWithin, type Resources} from './pool-job.js';
import {TargetHealth} from './target-health.js';
import {WorkerPace} from './worker-pace.js';

/** A worker as the platform lists it. */
export type WorkerEntry = {
	readonly id: string;
	readonly service: string;
	/** `host:port`. */
	readonly address: string;
	readonly zone: string;
	readonly state: 'ready' | 'draining';
	readonly capacity: Resources;
	/** Kind and rack. */
	readonly labels: readonly string[];
	/** Start of this life of the worker, in Unix milliseconds. */
	readonly bornMs: number;
};

/** A run that a worker lists as running. */
export type ListedRun = {
	readonly task: string;
	readonly run: number;
	/** Rough processor use in thousandths of a core, where the worker tells it. */
	readonly processorMillis?: number;
};

/** How a run ended. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken';

/** A run that a worker lists as ended. */
export type ListedEnd = {
	/** Rises by one with each end in one life of the worker. */
	readonly number: number;
	readonly task: string;
	readonly run: number;
	readonly how: RunEnd;
};

/** What a worker answers when its lease is extended. */
export type WorkerReport = {
	/** Time on the worker's own clock, in milliseconds. */
	readonly clockMs: number;
	readonly bornMs: number;
	readonly running: readonly ListedRun[];
	readonly ended: readonly ListedEnd[];
};

/** One run that the leader has ordered or adopted. */
export type WorkerRun = {
	readonly task: string;
	readonly run: number;
	readonly jobId: string;
	readonly needs: Resources;
	readonly expectedMs: number;
	state: 'ordered' | 'running' | 'stopping';
	/** When the order was sent first. */
	readonly orderedAtMs: number;
	/** When the worker was first known to have it. */
	confirmedAtMs: number | undefined;
	/** Reports in a row, asked for after the confirmation, that list it neither as running nor as ended. */
	absences: number;
	sends: number;
	lastSentAtMs: number;
};

/** A run found on a worker that no known job has claimed yet. */
export type OrphanRun = {
	readonly task: string;
	readonly run: number;
	readonly needs: Resources;
	readonly foundAtMs: number;
	stopSentAtMs: number;
};

/** Share by which a worker's clock may run slow. */
const slowClockShare = 0.02;
/** Time for an order to reach a worker and take effect after it was sent; links delay by milliseconds. */
const travelMs = 150;
/** What an orphan is taken to need when the worker does not tell. */
const unknownNeeds: Resources = {
	processorMillis: 27_000,
	memoryMb: 64,
	accelerators: 0,
};

/** One worker in the pool of a leader. */
export class PoolWorker {
	/** False when the platform no longer lists it. */
	isListed = true;
	readonly runs = new Map<string, WorkerRun>();
	readonly orphans = new Map<string, OrphanRun>();
	health = new TargetHealth();
	pace = new WorkerPace();
	/** Whether it has reported under the present token. */
	isSynced = false;
	isHoldPending = false;
	/** Fencing token of the newest hold order. */
	holdToken = 0;
	nextHoldAtMs = 0;
	/** When the last report came. */
	reportedAtMs = Number.NEGATIVE_INFINITY;
	holdFailures = 0;
	/** Number of the last end that was taken in. */
	lastEndNumber = 0;
	/** Since when its state has been `draining`. */
	drainingSinceMs: number | undefined;
	/** No start before this time, after it refused one for want of room. */
	fullUntilMs = 0;
	/** Until when runs that were ordered there may go on if nobody extends the lease again. */
	leaseBoundMs = 0;
	#clockOffsetMs: number | undefined;
	#bornMs: number | undefined;
	#used: Resources = {processorMillis: 0, memoryMb: 0, accelerators: 0};
	/** What is free of `#freeOf`; asked for far more often than it changes. */
	#free: Resources | undefined;
	#freeOf: Resources | undefined;

	constructor(public entry: WorkerEntry) {}

	get bornMs(): number | undefined {
		return this.#bornMs;
	}

	/** The worker's own time; `undefined` before its first report. */
	clockMs(now: number): number | undefined {
		return this.#clockOffsetMs === undefined
			? undefined
			: Math.floor(now + this.#clockOffsetMs);
	}

	/** Takes in the worker's clock and life; returns whether the process has started anew since. */
	sampleClock(clockMs: number, bornMs: number | undefined, now: number) {
		this.#clockOffsetMs = clockMs - now;
		const isReborn =
			bornMs !== undefined &&
			this.#bornMs !== undefined &&
			bornMs > this.#bornMs;
		if (bornMs !== undefined) {
			this.#bornMs = Math.max(bornMs, this.#bornMs ?? bornMs);
		}

		if (isReborn) {
			this.lastEndNumber = 0;
			this.health = new TargetHealth();
			this.pace = new WorkerPace();
		}

		return isReborn;
	}

	/** An order that may extend the lease is sent now. */
	extended(now: number, leaseMs: number): void {
		this.leaseBoundMs = now + leaseMs * (1 + slowClockShare) + travelMs;
	}

	/** Resources that neither runs nor orphans use. */
	get free(): Resources {
		const {capacity} = this.entry;
		if (this.#free === undefined || this.#freeOf !== capacity) {
			this.#freeOf = capacity;
			this.#free = {
				processorMillis: capacity.processorMillis - this.#used.processorMillis,
				memoryMb: capacity.memoryMb - this.#used.memoryMb,
				accelerators: capacity.accelerators - this.#used.accelerators,
			};
		}

		return this.#free;
	}

	/** Whether a task may be started here now. */
	isOpen(now: number): boolean {
		return (
			this.isListed &&
			this.isSynced &&
			this.entry.state === 'ready' &&
			this.holdFailures === 0 &&
			now >= this.fullUntilMs &&
			(this.health.state(now) === 'taken' ||
				(this.health.state(now) === 'trial' && this.runs.size === 0))
		);
	}

	/** Whether a task fits into what is free. */
	hasRoomFor(needs: Resources): boolean {
		return fitsWithin(needs, this.free);
	}

	add(run: WorkerRun): void {
		this.runs.set(run.task, run);
		this.#count();
	}

	remove(task: string): void {
		this.runs.delete(task);
		this.#count();
	}

	addOrphan({task, run, processorMillis}: ListedRun, now: number): void {
		this.orphans.set(task, {
			task,
			run,
			needs:
				processorMillis === undefined || processorMillis === 0
					? unknownNeeds
					: {...unknownNeeds, processorMillis},
			foundAtMs: now,
			stopSentAtMs: 0,
		});
		this.#count();
	}

	removeOrphan(task: string): void {
		this.orphans.delete(task);
		this.#count();
	}

	#count(): void {
		let used: Resources = {processorMillis: 0, memoryMb: 0, accelerators: 0};
		for (const {needs} of [...this.runs.values(), ...this.orphans.values()]) {
			used = addResources(used, needs);
		}

		this.#used = used;
		this.#free = undefined;
	}
}
