import {type PoolAnswer} from './pool-job.js';
import {type ZoneLeader} from './leadership.js';

/**
 * Why the caller of a job may submit it to the leader of another zone.
 *
 * - `receiver-lost`, `caller-lost`: the job's receiver, or the connection of its caller, is lost.
 * - `grant-ending`: the job's receiver has not confirmed a heartbeat of the leader for some time.
 * - `unclaimed`: workers list runs of the job that an earlier leader started, and no receiver has submitted it yet.
 * - `stopping`: the job was given up, and its runs have not ended yet.
 */
export type ReturnCause =
	'receiver-lost' | 'caller-lost' | 'grant-ending' | 'unclaimed' | 'stopping';

/** A job with runs whose caller may submit it to the leader of another zone. */
export type ReturnableJob = {
	readonly id: string;
	readonly cause: ReturnCause;
	/** When its leader noticed the loss, or found the run; for a job that is given up, the present time. */
	readonly sinceMs: number;
};

/** The end of a job that was announced. */
export type EndedJob = {
	readonly id: string;
	/** Absent if the job has no result, so that it may be started again. */
	readonly answer?: PoolAnswer;
};

/** What a leader tells the leaders of other zones, and those that may succeed them. */
export type ReturnableJobsNotice = {
	/** Number that the receivers confirm. */
	readonly sequence: number;
	/** Jobs of which the sender has runs. */
	readonly held: readonly string[];
	/** Jobs of which it has none any more. */
	readonly ended: readonly EndedJob[];
};

/** The state of the leader's jobs at one time. */
export type ReturnableJobsView = {
	readonly jobs: readonly ReturnableJob[];
	/** Whether the leader still has a job, or a run of it. */
	readonly isActive: (id: string) => boolean;
	/** Returns the result of a job that has ended with one. */
	readonly findAnswer: (id: string) => PoolAnswer | undefined;
	/** The live leader of each other zone; `undefined` for a zone without one. */
	readonly leaders: ReadonlyArray<ZoneLeader | undefined>;
};

/** What has to be done now. */
export type ReturnableJobsActions = {
	/** To be sent to all leaders of other zones, and to those that may succeed them. */
	readonly notice: ReturnableJobsNotice | undefined;
	/** Jobs whose runs have to be stopped, because the leader of some zone does not know of them. */
	readonly toStop: readonly ReturnableJob[];
};

/** Settings of {@link ReturnableJobs}, in milliseconds. */
export type ReturnableJobsSettings = {
	/** Delay of the announcement by cause; most runs of the causes with a delay are claimed, or end, within it. */
	readonly announceDelayMs: Readonly<Record<ReturnCause, number>>;
	/** Time after `sinceMs` from which runs are stopped that are not announced; absent for runs that are stopped anyway. */
	readonly stopDelayMs: Partial<Readonly<Record<ReturnCause, number>>>;
	/** Interval at which a job is announced again. */
	readonly refreshMs: number;
	/** Interval at which an unconfirmed notice is sent again. */
	readonly resendMs: number;
	/** Age of the latest confirmed notice from which a leader counts as not knowing of a job. */
	readonly confirmationMs: number;
	/** Time for which the end of a job is announced; other leaders forget the job by then. */
	readonly endRetentionMs: number;
};

/** Default settings, for callers that submit a job again 1.3 s after a loss, and stops that take 50 ms. */
export const defaultReturnableJobsSettings: ReturnableJobsSettings = {
	announceDelayMs: {
		'receiver-lost': 0,
		'caller-lost': 0,
		'grant-ending': 0,
		unclaimed: 60,
		stopping: 100,
	},
	stopDelayMs: {'caller-lost': 1070, 'grant-ending': 300, unclaimed: 200},
	refreshMs: 300,
	resendMs: 60,
	confirmationMs: 600,
	endRetentionMs: 2000,
};

type Announcement = {
	readonly firstSeenMs: number;
	/** When the latest notice of the job was sent; `undefined` before the first. */
	sentAtMs: number | undefined;
	/** When the latest notice was sent that each leader has confirmed. */
	readonly confirmed: Map<string, number>;
};

type EndNotice = {
	readonly ended: EndedJob;
	readonly sinceMs: number;
	sentAtMs: number | undefined;
	readonly confirmedBy: Set<string>;
};

type SentNotice = {
	readonly atMs: number;
	readonly held: readonly string[];
	readonly ended: readonly string[];
	/** Keys of the leaders at the time of the notice, by name. */
	readonly leaderKeys: ReadonlyMap<string, string>;
};

/**
 * Decides for the leader of a zone which of its jobs the leaders of the other zones have to know of, because their callers
 * may submit them there, and which runs it has to stop since one of these leaders does not know of them.
 */
export class ReturnableJobs {
	readonly #settings: ReturnableJobsSettings;
	readonly #announcements = new Map<string, Announcement>();
	readonly #ends = new Map<string, EndNotice>();
	readonly #sent = new Map<number, SentNotice>();
	#sequence = 0;

	constructor(
		settings: ReturnableJobsSettings = defaultReturnableJobsSettings,
	) {
		this.#settings = settings;
	}

	/** Number of jobs that are, or are about to be, announced. */
	get size(): number {
		return this.#announcements.size;
	}

	/** Whether nothing is announced, and no end of a job is to be. */
	get isIdle(): boolean {
		return this.#announcements.size === 0 && this.#ends.size === 0;
	}

	/** Returns what is to be sent and stopped. Call it at each check, at intervals well below the times in the settings. */
	update(view: ReturnableJobsView, now: number): ReturnableJobsActions {
		for (const {id} of view.jobs) {
			this.#ends.delete(id);
			if (!this.#announcements.has(id)) {
				this.#announcements.set(id, {
					firstSeenMs: now,
					sentAtMs: undefined,
					confirmed: new Map(),
				});
			}
		}

		const returnable = new Map(view.jobs.map((job) => [job.id, job]));
		this.#endAnnouncements(returnable, view, now);
		const keys = view.leaders.map((leader) =>
			leader === undefined ? undefined : toKey(leader),
		);
		return {
			notice: this.#createNotice(returnable, view, now),
			toStop: view.jobs.filter(
				({id, cause, sinceMs}) =>
					now - sinceMs >=
						(this.#settings.stopDelayMs[cause] ?? Number.POSITIVE_INFINITY) &&
					!keys.every((key) => this.#knows(id, key, now)),
			),
		};
	}

	/** Records that an entry VM has confirmed a notice. */
	confirm(from: string, sequence: number): void {
		const notice = this.#sent.get(sequence);
		const key = notice?.leaderKeys.get(from);
		if (notice === undefined || key === undefined) {
			return;
		}

		for (const id of notice.held) {
			const confirmed = this.#announcements.get(id)?.confirmed;
			confirmed?.set(key, Math.max(confirmed.get(key) ?? 0, notice.atMs));
		}

		for (const id of notice.ended) {
			this.#ends.get(id)?.confirmedBy.add(key);
		}
	}

	/**
	 * Forgets all jobs without announcing an end, after a change of the led zones or a suspension: another leader may have
	 * the runs by then. The leaders that were told keep the jobs until the time for which they are told has passed.
	 */
	reset(): void {
		this.#announcements.clear();
		this.#ends.clear();
		this.#sent.clear();
	}

	#knows(id: string, key: string | undefined, now: number): boolean {
		const confirmedMs = this.#announcements.get(id)?.confirmed.get(key ?? '');
		return (
			confirmedMs !== undefined &&
			now - confirmedMs <= this.#settings.confirmationMs
		);
	}

	/** Removes jobs that are over, or that were claimed before they were announced. */
	#endAnnouncements(
		returnable: ReadonlyMap<string, ReturnableJob>,
		view: ReturnableJobsView,
		now: number,
	): void {
		for (const [id, {sentAtMs}] of this.#announcements) {
			if (returnable.has(id)) {
				continue;
			}

			if (sentAtMs === undefined) {
				this.#announcements.delete(id);
			} else if (!view.isActive(id)) {
				this.#announcements.delete(id);
				const answer = view.findAnswer(id);
				this.#ends.set(id, {
					ended: {id, ...(answer === undefined ? {} : {answer})},
					sinceMs: now,
					sentAtMs: undefined,
					confirmedBy: new Set(),
				});
			}
		}
	}

	#createNotice(
		returnable: ReadonlyMap<string, ReturnableJob>,
		view: ReturnableJobsView,
		now: number,
	): ReturnableJobsNotice | undefined {
		const leaders = view.leaders.flatMap((leader) =>
			leader === undefined ? [] : [leader],
		);
		const held = [...this.#announcements].filter(([id, announcement]) =>
			this.#isAnnouncementDue(
				announcement,
				returnable.get(id)?.cause,
				leaders,
				now,
			),
		);
		const ended = this.#takeDueEnds(leaders, now);
		for (const [sequence, {atMs}] of this.#sent) {
			if (now - atMs > this.#settings.confirmationMs) {
				this.#sent.delete(sequence);
			}
		}

		if (held.length === 0 && ended.length === 0) {
			return undefined;
		}

		for (const [, announcement] of held) {
			announcement.sentAtMs = now;
		}

		this.#sequence += 1;
		const notice = {
			sequence: this.#sequence,
			held: held.map(([id]) => id),
			ended,
		};
		this.#sent.set(this.#sequence, {
			atMs: now,
			held: notice.held,
			ended: ended.map(({id}) => id),
			leaderKeys: new Map(
				leaders.map((leader) => [leader.name, toKey(leader)]),
			),
		});
		return notice;
	}

	#isAnnouncementDue(
		{firstSeenMs, sentAtMs, confirmed}: Announcement,
		cause: ReturnCause | undefined,
		leaders: readonly ZoneLeader[],
		now: number,
	): boolean {
		const {announceDelayMs, refreshMs, resendMs} = this.#settings;
		if (sentAtMs === undefined) {
			return cause !== undefined && now - firstSeenMs >= announceDelayMs[cause];
		}

		const isConfirmed = leaders.every(
			(leader) => (confirmed.get(toKey(leader)) ?? 0) >= sentAtMs,
		);
		return now - sentAtMs >= (isConfirmed ? refreshMs : resendMs);
	}

	#takeDueEnds(
		leaders: readonly ZoneLeader[],
		now: number,
	): readonly EndedJob[] {
		const {endRetentionMs, resendMs} = this.#settings;
		for (const [id, {sinceMs, sentAtMs, confirmedBy}] of this.#ends) {
			const isConfirmed =
				sentAtMs !== undefined &&
				leaders.every((leader) => confirmedBy.has(toKey(leader)));
			if (isConfirmed || now - sinceMs > endRetentionMs) {
				this.#ends.delete(id);
			}
		}

		const due = [...this.#ends.values()].filter(
			({sentAtMs}) => sentAtMs === undefined || now - sentAtMs >= resendMs,
		);
		for (const end of due) {
			end.sentAtMs = now;
		}

		return due.map(({ended}) => ended);
	}
}

/** A leader that has started anew, or has lost its zone meanwhile, has another key: it may have forgotten what it was told. */
function toKey({name, token}: ZoneLeader): string {
	return `${name} ${token}`;
}
