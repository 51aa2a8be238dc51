/** The workers that one entry VM leads: keeps their leases, reads their lists of runs, and tells what has surely ended. */
import {
	PoolWorker,
	type ListedEnd,
	type ListedRun,
	type RunEnd,
	type WorkerEntry,
	type WorkerReport,
	type WorkerRun,
} from './pool-worker.js';
import {type OrderOutcome, type WorkerOrders} from './worker-order.js';

/** How a run came to its end, as far as its leader knows for sure. */
export type RunOutcome =
	| RunEnd
	/** It never started there, and never will. */
	| 'not-started'
	/** The same, since the worker has no room. */
	| 'no-room';

/** Hears what becomes of runs. */
export type RunListener = {
	/** A run has surely ended. */
	runEnded(run: WorkerRun, outcome: RunOutcome, worker: PoolWorker): void;
	/** A worker lists a run that the pool does not know; returns whether a job has taken it over. */
	runFound(listed: ListedRun, worker: PoolWorker): boolean;
	/** A worker lists the end of a run that the pool does not know; returns whether a job has taken it in. */
	endFound(end: ListedEnd): boolean;
	/** A worker of a zone has refused a token since it has seen a higher one. */
	fenced(zone: string, token: number): void;
	/** Something that the pool believes about a worker has changed. */
	workerChanged(worker: PoolWorker, belief: WorkerBelief): void;
};

/** What the pool believes about a worker. */
export type WorkerBelief =
	| 'synced'
	| 'silent'
	| 'reachable'
	| 'draining'
	| 'gone'
	| 'restarted'
	| 'set-aside';

/** Settings of a pool of workers. Times are in milliseconds. */
export type WorkerPoolSettings = {
	/** Longest lease that the platform's workers give. */
	readonly leaseMs: number;
	/** Longest time for which a worker holds a report back; well below half the lease, so that one may be lost. */
	readonly reportWaitMs: number;
	/** Time beyond the next expected end for which a report is held back, and its least part. A lost report hides an end for longer. */
	readonly shortReportWaitMs: number;
	/** Time after a claim in which workers that have not reported yet are expected to; twice what a cold process takes. */
	readonly learnMs: number;
	/** Time after which a run that no job has claimed is stopped. */
	readonly orphanMs: number;
	/** Time for which the end of a run that no job has claimed is remembered. */
	readonly orphanEndMs: number;
	/** Time after which a stop is sent again. */
	readonly stopAgainMs: number;
	/** Time that a worker takes for a stop. */
	readonly stopMs: number;
};

/** Settings that suit leases of one second. */
export const defaultWorkerPoolSettings: WorkerPoolSettings = {
	leaseMs: 1000,
	reportWaitMs: 400,
	shortReportWaitMs: 40,
	learnMs: 250,
	orphanMs: 700,
	orphanEndMs: 4000,
	stopAgainMs: 60,
	stopMs: 50,
};

/** Sends of one start order before it is replaced by a stop. */
const mostStartSends = 3;
/** Reports that must omit a confirmed run before it is stopped for good. */
const mostAbsences = 2;
const firstRetryMs = 10;
const longestRetryMs = 250;
/** Failed reports in a row after which the lease is no longer extended, so that it surely runs out. */
const failuresBeforeLapse = 2;

/** Time in milliseconds for orders of an earlier leader that were under way at the claim, and for slow clocks of workers. */
const lapseMarginMs = 150;

type ZoneHolding = {readonly token: number; readonly claimedAtMs: number};

/** The end of a run that no job has claimed. */
export type OrphanEnd = {
	readonly task: string;
	readonly run: number;
	readonly how: RunEnd;
	readonly seenAtMs: number;
};

/** The workers that one entry VM leads. */
export class WorkerPool {
	readonly #orders: WorkerOrders;
	readonly #listener: RunListener;
	readonly #settings: WorkerPoolSettings;
	readonly #zones = new Map<string, ZoneHolding>();
	readonly #workers = new Map<string, PoolWorker>();
	readonly #orphanEnds = new Map<string, OrphanEnd>();
	#entries: readonly WorkerEntry[] = [];
	/** When a zone was claimed or dropped last. */
	#changedAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		orders: WorkerOrders,
		listener: RunListener,
		settings: WorkerPoolSettings = defaultWorkerPoolSettings,
	) {
		this.#orders = orders;
		this.#listener = listener;
		this.#settings = settings;
	}

	get workers(): readonly PoolWorker[] {
		return [...this.#workers.values()];
	}

	get zones(): readonly string[] {
		return [...this.#zones.keys()];
	}

	/** Takes the workers of a zone under a fencing token; what runs there is kept. */
	lead(zone: string, token: number, now: number): void {
		this.#zones.set(zone, {token, claimedAtMs: now});
		this.#changedAtMs = now;
		for (const worker of this.#workers.values()) {
			if (worker.entry.zone === zone) {
				worker.isSynced = false;
				worker.nextHoldAtMs = now;
			}
		}

		this.update(this.#entries, now);
	}

	/** Gives up the workers of a zone; returns the runs that were there. */
	drop(zone: string, now: number): readonly WorkerRun[] {
		this.#zones.delete(zone);
		this.#changedAtMs = now;
		const dropped = this.workers.filter(({entry}) => entry.zone === zone);
		for (const {entry} of dropped) {
			this.#workers.delete(entry.id);
		}

		return dropped.flatMap(({runs}) => [...runs.values()]);
	}

	/** Whether any worker of a zone has reported since a time. */
	isReporting(zone: string, sinceMs: number): boolean {
		return this.workers.some(
			({entry, reportedAtMs}) => entry.zone === zone && reportedAtMs >= sinceMs,
		);
	}

	/** Whether a zone was claimed so lately that some of its workers have not reported. */
	isLearning(now: number): boolean {
		const recent = new Set(
			[...this.#zones]
				.filter(
					([, {claimedAtMs}]) => now - claimedAtMs < this.#settings.learnMs,
				)
				.map(([zone]) => zone),
		);
		return (
			recent.size > 0 &&
			(this.#workers.size === 0 ||
				this.workers.some(
					({entry, isSynced}) => !isSynced && recent.has(entry.zone),
				))
		);
	}

	/**
	 * Time from which every run that was ordered before a job was taken over, and has not been found, has surely ended.
	 * Workers that are not led here may be kept alive by their leader until it finds that no job claims the run.
	 */
	settledAtMs(
		allZones: readonly string[],
		takenAtMs: number,
		now: number,
	): number {
		const isWhole =
			this.#leadsAll(allZones) && this.workers.every(({isSynced}) => isSynced);
		const {leaseMs, orphanMs} = this.#settings;
		return isWhole
			? now
			: Math.max(takenAtMs, this.#changedAtMs) +
					leaseMs +
					orphanMs +
					lapseMarginMs;
	}

	/** The same as far as can be hoped: workers that were just claimed may report at once. */
	settlesAtMs(
		allZones: readonly string[],
		takenAtMs: number,
		now: number,
	): number {
		return this.#leadsAll(allZones) && this.isLearning(now)
			? now
			: this.settledAtMs(allZones, takenAtMs, now);
	}

	/** Takes in the platform's list of workers. */
	update(entries: readonly WorkerEntry[], now: number): void {
		this.#entries = entries;
		const listed = new Map(
			entries
				.filter(({zone}) => this.#zones.has(zone))
				.map((entry) => [entry.id, entry]),
		);
		for (const [id, entry] of listed) {
			const worker = this.#workers.get(id) ?? new PoolWorker(entry);
			this.#workers.set(id, worker);
			this.#updateEntry(worker, entry, now);
		}

		for (const worker of this.#workers.values()) {
			if (!listed.has(worker.entry.id)) {
				if (worker.isListed) {
					worker.isListed = false;
					this.#listener.workerChanged(worker, 'gone');
				}

				if (worker.runs.size === 0) {
					this.#workers.delete(worker.entry.id);
				}
			}
		}
	}

	/** Starts a run; its outcome comes through the listener. */
	start(run: WorkerRun, spec: string, worker: PoolWorker, now: number): void {
		worker.add(run);
		this.#sendStart(run, spec, worker, now);
	}

	/** What came of a start order. */
	startAnswered(
		id: string,
		task: string,
		spec: string,
		outcome: OrderOutcome,
		now: number,
	): void {
		const worker = this.#workers.get(id);
		const run = worker?.runs.get(task);
		if (worker === undefined || run === undefined) {
			return;
		}

		if ('clockMs' in outcome && outcome.clockMs !== undefined) {
			worker.sampleClock(outcome.clockMs, undefined, now);
		}

		if (run.state !== 'ordered') {
			return;
		}

		switch (outcome.kind) {
			case 'done': {
				run.state = 'running';
				run.confirmedAtMs ??= now;
				this.#holdSoon(worker, now);
				break;
			}

			case 'refused': {
				this.#startRefused(run, worker, outcome.reason, now);
				break;
			}

			case 'not-sent': {
				this.#failed(worker, now);
				this.#end(
					worker,
					run,
					run.sends === 1 ? 'not-started' : undefined,
					now,
				);
				break;
			}

			case 'silent': {
				if (run.sends < mostStartSends) {
					this.#sendStart(run, spec, worker, now);
				} else {
					this.stop(run, worker, now);
				}

				break;
			}
		}
	}

	/** Stops a run; its end comes through the listener. */
	stop(run: WorkerRun, worker: PoolWorker, now: number): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		if (token === undefined) {
			return;
		}

		run.state = 'stopping';
		run.confirmedAtMs = undefined;
		run.lastSentAtMs = now;
		this.#orders.stop({
			worker: worker.entry,
			token,
			task: run.task,
			run: run.run,
		});
		this.#holdSoon(worker, now);
	}

	/** What came of a stop order. */
	stopAnswered(
		id: string,
		task: string,
		outcome: OrderOutcome,
		now: number,
	): void {
		const worker = this.#workers.get(id);
		if (worker === undefined) {
			return;
		}

		const run = worker.runs.get(task);
		if (outcome.kind === 'done' && run?.state === 'stopping') {
			run.confirmedAtMs ??= now;
			this.#holdSoon(worker, now);
		}
	}

	/** What came of a hold order. */
	holdAnswered(
		id: string,
		sentAtMs: number,
		outcome: OrderOutcome,
		now: number,
	): void {
		const worker = this.#workers.get(id);
		if (worker === undefined) {
			return;
		}

		worker.isHoldPending = false;
		if (outcome.kind === 'done' && outcome.report !== undefined) {
			this.#reported(worker, outcome.report, sentAtMs, now);
		} else if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
			worker.isSynced = false;
			worker.nextHoldAtMs = now + longestRetryMs;
			this.#listener.fenced(worker.entry.zone, worker.holdToken);
		} else {
			this.#failed(worker, now);
		}
	}

	/** Claims a run or the end of a run that was found on a worker. */
	adopt(task: string):
		| {
				readonly kind: 'running';
				readonly run: number;
				readonly worker: PoolWorker;
		  }
		| {readonly kind: 'ended'; readonly end: OrphanEnd}
		| undefined {
		const end = this.#orphanEnds.get(task);
		const [newest] = this.workers
			.flatMap((worker) => {
				const orphan = worker.orphans.get(task);
				return orphan === undefined ? [] : [{worker, run: orphan.run}];
			})
			.toSorted((left, right) => right.run - left.run);
		// The end of an earlier run may be listed on another worker than the one where the task runs again.
		const isOver =
			end !== undefined &&
			(end.how === 'done' || newest === undefined || end.run > newest.run);
		if (isOver) {
			this.#orphanEnds.delete(task);
			return {kind: 'ended', end};
		}

		newest?.worker.removeOrphan(task);
		return newest === undefined ? undefined : {kind: 'running', ...newest};
	}

	/** Sends what is due, and ends runs whose lease has surely run out. */
	tick(now: number): void {
		for (const worker of this.#workers.values()) {
			this.#lapse(worker, now);
			this.#sendStops(worker, now);
			this.#sendHold(worker, now);
		}

		for (const [task, {seenAtMs}] of this.#orphanEnds) {
			if (now - seenAtMs > this.#settings.orphanEndMs) {
				this.#orphanEnds.delete(task);
			}
		}
	}

	#leadsAll(zones: readonly string[]): boolean {
		return zones.every((zone) => this.#zones.has(zone));
	}

	#updateEntry(worker: PoolWorker, entry: WorkerEntry, now: number): void {
		const isReborn =
			worker.bornMs !== undefined && entry.bornMs > worker.bornMs;
		const wasDraining = worker.entry.state === 'draining';
		worker.entry = entry;
		if (!worker.isListed) {
			worker.isListed = true;
			worker.isSynced = false;
		}

		if (entry.state === 'draining' && !wasDraining) {
			worker.drainingSinceMs = now;
			this.#listener.workerChanged(worker, 'draining');
		}

		if (isReborn) {
			// The next report shows the new life; until then nothing is started there.
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
		const clockMs = worker.clockMs(now);
		if (token === undefined || clockMs === undefined) {
			this.#end(worker, run, 'not-started', now);
			return;
		}

		run.sends += 1;
		run.lastSentAtMs = now;
		worker.extended(now, this.#settings.leaseMs);
		this.#orders.start({
			worker: worker.entry,
			token,
			task: run.task,
			run: run.run,
			spec,
			leaseUntilMs: clockMs + this.#settings.leaseMs,
		});
	}

	#startRefused(
		run: WorkerRun,
		worker: PoolWorker,
		reason: Extract<OrderOutcome, {kind: 'refused'}>['reason'],
		now: number,
	): void {
		if (reason === 'fenced') {
			// The order may be older than the present token; the next report tells whether that one is refused too.
			worker.isSynced = false;
			this.#holdSoon(worker, now);
			this.#end(worker, run, run.sends === 1 ? 'not-started' : undefined, now);
			return;
		}

		if (reason === 'no-room') {
			worker.fullUntilMs = now + this.#settings.stopMs;
		}

		if (reason === 'unhealthy' && worker.health.recordFailure(run.jobId, now)) {
			this.#listener.workerChanged(worker, 'set-aside');
		}

		this.#holdSoon(worker, now);
		if (run.sends > 1) {
			// An earlier copy of the order may have been carried out, or may still be.
			if (reason === 'old-run') {
				run.state = 'running';
				run.confirmedAtMs = now;
			} else {
				this.stop(run, worker, now);
			}

			return;
		}

		this.#end(
			worker,
			run,
			reason === 'no-room' ? 'no-room' : 'not-started',
			now,
		);
	}

	/** Ends a run; without an outcome only the end of its lease, or a stop, will tell. */
	#end(
		worker: PoolWorker,
		run: WorkerRun,
		outcome: RunOutcome | undefined,
		now: number,
	): void {
		if (outcome === undefined) {
			this.stop(run, worker, now);
			return;
		}

		worker.remove(run.task);
		this.#listener.runEnded(run, outcome, worker);
	}

	#reported(
		worker: PoolWorker,
		report: WorkerReport,
		sentAtMs: number,
		now: number,
	): void {
		if (worker.sampleClock(report.clockMs, report.bornMs, now)) {
			this.#restarted(worker, now);
		}

		if (worker.holdFailures >= failuresBeforeLapse) {
			this.#listener.workerChanged(worker, 'reachable');
		}

		worker.holdFailures = 0;
		worker.reportedAtMs = now;
		worker.nextHoldAtMs = now;
		const newEnds = report.ended.filter(
			({number}) => number > worker.lastEndNumber,
		);
		for (const end of newEnds) {
			worker.lastEndNumber = end.number;
			this.#listedEnd(worker, end, now);
		}

		const listed = new Map(report.running.map((run) => [run.task, run]));
		this.#reconcile(worker, listed, sentAtMs, now);
		if (!worker.isSynced) {
			worker.isSynced = true;
			this.#listener.workerChanged(worker, 'synced');
		}

		this.#sendHold(worker, now);
	}

	#listedEnd(worker: PoolWorker, end: ListedEnd, now: number): void {
		const run = worker.runs.get(end.task);
		worker.removeOrphan(end.task);
		if (run?.run === end.run) {
			this.#end(worker, run, end.how, now);
		} else if (run === undefined && !this.#listener.endFound(end)) {
			this.#keepEnd(end, now);
		}
	}

	/** Keeps the end of a run that no job has claimed; of several runs of a task the newest counts, and one that is done. */
	#keepEnd({task, run, how}: ListedEnd, now: number): void {
		const known = this.#orphanEnds.get(task);
		if (known === undefined || (known.how !== 'done' && known.run <= run)) {
			this.#orphanEnds.set(task, {task, run, how, seenAtMs: now});
		}
	}

	#reconcile(
		worker: PoolWorker,
		listed: ReadonlyMap<string, ListedRun>,
		sentAtMs: number,
		now: number,
	): void {
		for (const [task] of worker.orphans) {
			if (!listed.has(task)) {
				worker.removeOrphan(task);
			}
		}

		for (const found of listed.values()) {
			const run = worker.runs.get(found.task);
			if (run?.run === found.run) {
				run.absences = 0;
				if (run.state === 'ordered') {
					run.state = 'running';
					run.confirmedAtMs ??= now;
				}
			} else if (
				!worker.orphans.has(found.task) &&
				!this.#listener.runFound(found, worker)
			) {
				worker.addOrphan(found, now);
			}
		}

		const absent = [...worker.runs.values()].filter(
			({task, confirmedAtMs}) =>
				!listed.has(task) &&
				confirmedAtMs !== undefined &&
				confirmedAtMs <= sentAtMs,
		);
		for (const run of absent) {
			this.#absent(worker, run, sentAtMs, now);
		}
	}

	#absent(
		worker: PoolWorker,
		run: WorkerRun,
		sentAtMs: number,
		now: number,
	): void {
		run.absences += 1;
		if (run.state === 'stopping') {
			if (sentAtMs >= (run.confirmedAtMs ?? now) + this.#settings.stopMs) {
				this.#end(worker, run, 'not-started', now);
			}
		} else if (run.absences >= mostAbsences) {
			this.stop(run, worker, now);
		}
	}

	#restarted(worker: PoolWorker, now: number): void {
		this.#listener.workerChanged(worker, 'restarted');
		for (const task of worker.orphans.keys()) {
			worker.removeOrphan(task);
		}

		// Runs that were ordered after the restart are listed; the others ended with the earlier life.
		for (const run of worker.runs.values()) {
			this.#end(worker, run, 'lapsed', now);
		}
	}

	#failed(worker: PoolWorker, now: number): void {
		worker.holdFailures += 1;
		worker.nextHoldAtMs =
			now +
			(worker.holdFailures === 1
				? 0
				: Math.min(longestRetryMs, firstRetryMs * 2 ** worker.holdFailures));
		if (worker.holdFailures === failuresBeforeLapse) {
			this.#listener.workerChanged(worker, 'silent');
		}

		this.#sendHold(worker, now);
	}

	#lapse(worker: PoolWorker, now: number): void {
		if (worker.runs.size === 0 || now < worker.leaseBoundMs) {
			return;
		}

		for (const run of worker.runs.values()) {
			this.#end(worker, run, 'lapsed', now);
		}
	}

	#sendStops(worker: PoolWorker, now: number): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		if (token === undefined || !worker.isSynced) {
			return;
		}

		for (const run of worker.runs.values()) {
			if (
				run.state === 'stopping' &&
				run.confirmedAtMs === undefined &&
				now - run.lastSentAtMs >= this.#settings.stopAgainMs
			) {
				this.stop(run, worker, now);
			}
		}

		for (const orphan of worker.orphans.values()) {
			const isDue =
				now - orphan.foundAtMs >= this.#settings.orphanMs &&
				now - orphan.stopSentAtMs >= this.#settings.stopAgainMs;
			if (isDue) {
				orphan.stopSentAtMs = now;
				this.#orders.stop({
					worker: worker.entry,
					token,
					task: orphan.task,
					run: orphan.run,
				});
			}
		}
	}

	/** How long a report may be held back: until shortly after the next expected end. */
	#reportWaitMs(worker: PoolWorker, now: number): number {
		if (!worker.isSynced || worker.holdFailures > 0) {
			return 0;
		}

		const {reportWaitMs, shortReportWaitMs} = this.#settings;
		const slowness = worker.pace.slowness(now);
		const endsInMs = [...worker.runs.values()]
			.map(
				({orderedAtMs, expectedMs}) =>
					orderedAtMs + expectedMs * slowness - now,
			)
			.filter((inMs) => inMs > 0);
		const nextEndInMs =
			endsInMs.length === 0
				? shortReportWaitMs
				: Math.max(shortReportWaitMs, Math.min(...endsInMs));
		return Math.round(Math.min(reportWaitMs, nextEndInMs + shortReportWaitMs));
	}

	#holdSoon(worker: PoolWorker, now: number): void {
		worker.nextHoldAtMs = Math.min(worker.nextHoldAtMs, now);
		this.#sendHold(worker, now);
	}

	#sendHold(worker: PoolWorker, now: number): void {
		const token = this.#zones.get(worker.entry.zone)?.token;
		const isBusy = worker.runs.size > 0 || worker.orphans.size > 0;
		if (
			token === undefined ||
			worker.isHoldPending ||
			now < worker.nextHoldAtMs ||
			(worker.isSynced && !isBusy && worker.holdFailures === 0)
		) {
			return;
		}

		const clockMs = worker.clockMs(now);
		const extendsLease =
			clockMs !== undefined && worker.holdFailures < failuresBeforeLapse;
		if (extendsLease) {
			worker.extended(now, this.#settings.leaseMs);
		}

		worker.isHoldPending = true;
		worker.holdToken = token;
		this.#orders.hold({
			worker: worker.entry,
			token,
			lastEndNumber: worker.lastEndNumber,
			waitMs: this.#reportWaitMs(worker, now),
			...(extendsLease ? {leaseUntilMs: clockMs + this.#settings.leaseMs} : {}),
		});
	}
}
