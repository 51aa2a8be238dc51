import {
	ReturnableJobs,
	type PoolScheduler,
	type ZoneLeader,
} from '@verbenarouter/core';
import {type PoolMessage} from '@verbenarouter/peer';
import {type LogFields} from '../logger.js';
import {type MetricSample} from '../metrics.js';

/** Time in milliseconds without an update after which another leader may have claimed the zones led here. */
const maxSuspensionMs = 280;
/** Interval in milliseconds at which jobs are looked for while none is announced; each search goes through all runs. */
const searchIntervalMs = 60;

/** What the exchange depends on at present. */
export type ReturnableExchangeView = {
	/** Fencing token of each zone that this entry VM leads, by zone. */
	readonly ledZones: ReadonlyMap<string, number>;
	/** Finds the live leader of each zone that another entry VM leads or may lead; `undefined` for a zone without one. */
	readonly findOtherLeaders: () => ReadonlyArray<ZoneLeader | undefined>;
	/** Finds the names of the leaders of other zones, and of those that may succeed them. */
	readonly findRecipients: () => readonly string[];
};

/** What a {@link ReturnableExchange} needs of its entry VM. */
export type ReturnableExchangeOptions = {
	readonly scheduler: Pick<
		PoolScheduler,
		| 'findReturnableJobs'
		| 'hasUnclaimedRuns'
		| 'createActivityTest'
		| 'getJobState'
		| 'stopReturnableJob'
		| 'recordJobsElsewhere'
		| 'recordEndedJobsElsewhere'
		| 'jobsElsewhereCount'
	>;
	readonly send: (names: readonly string[], message: PoolMessage) => void;
	readonly writeLog: (fields: LogFields) => void;
};

type Notice = PoolMessage & {readonly type: 'returnable-jobs'};

/** Tells the leaders of other zones of the jobs whose callers may submit them there, and records what they tell. */
export class ReturnableExchange {
	readonly #options: ReturnableExchangeOptions;
	readonly #returnableJobs = new ReturnableJobs();
	/** The led zones with their tokens at the last update, as text. */
	#leadership = '';
	#updatedAtMs = Number.NEGATIVE_INFINITY;
	#searchedAtMs = Number.NEGATIVE_INFINITY;
	/** Jobs that are announced, so that each is logged once. */
	#announcedIds: ReadonlySet<string> = new Set();
	/** Jobs that the last update has stopped. */
	#stoppedIds: ReadonlySet<string> = new Set();
	readonly #counts = {announced: 0, ended: 0, stopped: 0, overlapping: 0};

	constructor(options: ReturnableExchangeOptions) {
		this.#options = options;
	}

	/** Counters and gauges of the exchange. */
	get samples(): readonly MetricSample[] {
		return Object.entries(this.#counts).map(([kind, value]) => ({
			name: 'returnable_jobs_total',
			labels: {kind},
			value,
		}));
	}

	/** Number of own jobs that are announced, and of jobs that other leaders have announced here. */
	get sizes(): {readonly announced: number; readonly elsewhere: number} {
		return {
			announced: this.#returnableJobs.size,
			elsewhere: this.#options.scheduler.jobsElsewhereCount,
		};
	}

	/** Sends what is due, and stops what cannot be announced. Call it at each check. */
	update(view: ReturnableExchangeView, now: number): void {
		const {scheduler, send, writeLog} = this.#options;
		const leadership = JSON.stringify([...view.ledZones]);
		if (
			leadership !== this.#leadership ||
			now - this.#updatedAtMs > maxSuspensionMs
		) {
			this.#returnableJobs.reset();
			this.#announcedIds = new Set();
		}

		this.#leadership = leadership;
		this.#updatedAtMs = now;
		const isSearchDue =
			now - this.#searchedAtMs >= searchIntervalMs ||
			scheduler.hasUnclaimedRuns ||
			!this.#returnableJobs.isIdle;
		if (view.ledZones.size === 0 || !isSearchDue) {
			return;
		}

		this.#searchedAtMs = now;
		const jobs = scheduler.findReturnableJobs(now);
		if (jobs.length === 0 && this.#returnableJobs.isIdle) {
			return;
		}

		const {notice, toStop} = this.#returnableJobs.update(
			{
				jobs,
				isActive: scheduler.createActivityTest(now),
				findAnswer(id) {
					const state = scheduler.getJobState(id);
					return typeof state === 'object' ? state : undefined;
				},
				leaders: view.findOtherLeaders(),
			},
			now,
		);
		if (notice !== undefined) {
			this.#logNotice(notice);
			send(view.findRecipients(), {type: 'returnable-jobs', ...notice});
		}

		for (const {id, cause} of toStop) {
			if (!this.#stoppedIds.has(id)) {
				this.#counts.stopped += 1;
				writeLog({event: 'returnable-stopped', id, reason: cause});
			}

			scheduler.stopReturnableJob(id, now);
		}

		this.#stoppedIds = new Set(toStop.map(({id}) => id));
	}

	/** Handles a message of another entry VM. */
	receive(
		from: string,
		message: Notice | (PoolMessage & {readonly type: 'returnable-jobs-noted'}),
		now: number,
	): void {
		const {scheduler, send, writeLog} = this.#options;
		if (message.type === 'returnable-jobs-noted') {
			this.#returnableJobs.confirm(from, message.sequence);
			return;
		}

		const overlapping = scheduler.recordJobsElsewhere(from, message.held, now);
		scheduler.recordEndedJobsElsewhere(from, message.ended, now);
		if (overlapping === undefined) {
			writeLog({event: 'jobs-elsewhere-full', from, jobs: message.held.length});
			return;
		}

		for (const id of overlapping) {
			this.#counts.overlapping += 1;
			writeLog({event: 'started-elsewhere', id, from});
		}

		send([from], {type: 'returnable-jobs-noted', sequence: message.sequence});
	}

	#logNotice({held, ended}: Pick<Notice, 'held' | 'ended'>): void {
		const added = held.filter((id) => !this.#announcedIds.has(id));
		const endedIds = new Set(ended.map(({id}) => id));
		const newlyEnded = [...endedIds].filter((id) => this.#announcedIds.has(id));
		this.#announcedIds = new Set(
			[...this.#announcedIds, ...added].filter((id) => !endedIds.has(id)),
		);
		this.#counts.announced += added.length;
		this.#counts.ended += newlyEnded.length;
		if (added.length > 0 || newlyEnded.length > 0) {
			this.#options.writeLog({
				event: 'returnable-announced',
				held: added.join(' '),
				ended: newlyEnded.join(' '),
			});
		}
	}
}
