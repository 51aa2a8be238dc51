import {
	parseJobId,
	unionZones,
	type LostRun,
	type PoolAnswer,
	type PoolJob,
	type ZoneLeader,
} from '@verbenarouter/core';

/** A job without an answer, with the callers that wait for it. */
export type PendingJob = {
	/** The job; its attempt changes when a leader has refused it and it is directed anew. */
	job: PoolJob;
	/** Time at which the first caller submitted the job. */
	readonly receivedAtMs: number;
	/** Zone whose leader gets the job after that of the receiver's own zone has refused it; `undefined` before. */
	overflowZone: string | undefined;
	/** Whether the leader of the receiver's own zone has let the job go to a zone with room, and is not to be asked again. */
	isBalanced: boolean;
	/** Leaders that have refused the job and will never start it. */
	refusedBy: readonly string[];
	/** Number of times that the job was sent to `leaders`. */
	sendCount: number;
	/**
	 * When the connection of the only caller broke, so that it may send the job to another entry VM; `undefined` while a caller
	 * waits.
	 */
	callerLostAtMs: number | undefined;
	/** Leader to which the job was last sent; `undefined` before the first. */
	sentTo: string | undefined;
	/** Highest fencing token of the leaders to which the job was sent; `undefined` before the first. */
	earlierToken: number | undefined;
	/** Epoch of the grant under which that leader has the job; `undefined` if it has none. */
	sentEpoch: number | undefined;
	/**
	 * When the newest heartbeat arrived that can have been confirmed to a leader which the job was moved away from; `undefined`
	 * if it was not moved.
	 */
	movedGrantAtMs: number | undefined;
	/** Leaders to which the job was sent, without those in `refusedBy`; each may have started it. */
	readonly leaders: Set<string>;
	/** Zones whose workers may have run the job for these leaders; `undefined` for all zones. */
	zones: readonly string[] | undefined;
	/** Time since which the job has waited to be sent to a leader; `undefined` once it is sent. */
	withoutLeaderSinceMs: number | undefined;
	/** Names of the tasks that leaders have reported as completed. */
	doneTasks: readonly string[];
	/** Runs that leaders have reported as lost with their workers. */
	lostRuns: readonly LostRun[];
	/** Delivers the answer to each caller that waits for the job. */
	readonly resolvers: Array<(answer: PoolAnswer) => void>;
};

/** The jobs that this entry VM has received and not yet answered, by identifier. */
export class PendingJobs {
	readonly #jobs = new Map<string, PendingJob>();

	/** Number of jobs. */
	get size(): number {
		return this.#jobs.size;
	}

	/** A copy of the list of jobs, which stays the same while jobs are added or removed. */
	get all(): readonly PendingJob[] {
		return [...this.#jobs.values()];
	}

	/** Returns the job with this identifier, or `undefined` if none is pending. */
	get(id: string): PendingJob | undefined {
		return this.#jobs.get(id);
	}

	/** Adds a job, or a caller to a pending job with the same identifier; `isNew` is whether the job was added. */
	add(
		job: PoolJob,
		resolve: (answer: PoolAnswer) => void,
		now: number,
	): {readonly pending: PendingJob; readonly isNew: boolean} {
		const known = this.#jobs.get(job.id);
		if (known !== undefined) {
			known.resolvers.push(resolve);
			known.callerLostAtMs = undefined;
			return {pending: known, isNew: false};
		}

		const pending: PendingJob = {
			job,
			receivedAtMs: now,
			overflowZone: undefined,
			isBalanced: false,
			refusedBy: [],
			sendCount: 0,
			callerLostAtMs: undefined,
			sentTo: undefined,
			earlierToken: undefined,
			sentEpoch: undefined,
			movedGrantAtMs: undefined,
			leaders: new Set(),
			zones: [],
			withoutLeaderSinceMs: now,
			doneTasks: [],
			lostRuns: [],
			resolvers: [resolve],
		};
		this.#jobs.set(job.id, pending);
		return {pending, isNew: true};
	}

	/** Removes a job and sends the answer to all callers that wait for it. */
	answer(id: string, answer: PoolAnswer): PendingJob | undefined {
		const pending = this.#jobs.get(id);
		this.#jobs.delete(id);
		for (const resolve of pending?.resolvers ?? []) {
			resolve(answer);
		}

		return pending;
	}

	/**
	 * Records that a job is sent to a leader that places it in `zones` only, or anywhere without them. Returns whether a
	 * leader may have started it before.
	 */
	markSent(
		pending: PendingJob,
		{name, token}: ZoneLeader,
		zones?: readonly string[],
	): boolean {
		const isResubmitted = pending.leaders.size > 0;
		pending.leaders.add(name);
		pending.sendCount += 1;
		pending.zones = unionZones(pending.zones, zones);
		pending.earlierToken = Math.max(pending.earlierToken ?? 0, token);
		pending.sentTo = name;
		pending.withoutLeaderSinceMs = undefined;
		return isResubmitted;
	}

	/**
	 * Returns the answer that callers may receive for a leader's answer, or `undefined` to ignore it. `completed` and
	 * `failed` are accepted from any leader, all else only from the leader that has the job now. `not-run` becomes
	 * `may-have-run` if the job was sent to another leader too, since that one may have started it.
	 */
	filterAnswer(
		id: string,
		leader: string,
		answer: PoolAnswer,
	): PoolAnswer | undefined {
		const pending = this.#jobs.get(id);
		if (
			pending === undefined ||
			(pending.sentTo !== leader &&
				answer.kind !== 'completed' &&
				answer.kind !== 'failed')
		) {
			return undefined;
		}

		return answer.kind === 'not-run' &&
			[...pending.leaders].some((other) => other !== leader)
			? {kind: 'may-have-run', reason: 'leader-lost'}
			: answer;
	}

	/**
	 * Whether no leader has a job after one has answered `not-run`. A job that was sent twice is excluded: the leader may
	 * have started anew between the two messages, and would not know that it has refused the first.
	 */
	isRefusedForCertain(pending: PendingJob, leader: string): boolean {
		return (
			pending.sendCount === 1 &&
			pending.leaders.size === 1 &&
			pending.leaders.has(leader)
		);
	}

	/**
	 * Records that a leader has started no task of a job and never will for this attempt: it has dropped the submission
	 * unread, or gives the job up. The next leader may then answer `not-run`.
	 */
	markUntouched(id: string, leader: string, attempt: string): void {
		const pending = this.#jobs.get(id);
		if (
			pending?.job.attempt !== attempt ||
			!pending.leaders.has(leader) ||
			pending.sendCount > 1
		) {
			return;
		}

		pending.leaders.delete(leader);
		pending.sendCount = 0;
		pending.zones = [];
		pending.earlierToken = undefined;
		pending.movedGrantAtMs = undefined;
	}

	/**
	 * Directs a job that a leader has refused for certain to the leader of another zone; `undefined` for that of the
	 * receiver's own zone.
	 */
	redirect(
		pending: PendingJob,
		leader: string,
		zone: string | undefined,
	): void {
		pending.refusedBy = [...pending.refusedBy, leader];
		this.#startAttempt(pending, zone);
	}

	/**
	 * Directs a job that the leader of the receiver's own zone lets go to the leader of another zone; `undefined` if none has
	 * room any more, and the job returns.
	 */
	letGo(pending: PendingJob, zone: string | undefined): void {
		pending.isBalanced = true;
		this.#startAttempt(pending, zone);
	}

	/** Keeps the lost runs of pending jobs for the next leaders. */
	recordLostRuns(lostRuns: readonly LostRun[]): void {
		for (const lostRun of lostRuns) {
			const pending = this.#jobs.get(parseJobId(lostRun.task));
			if (pending !== undefined) {
				pending.lostRuns = [...pending.lostRuns, lostRun];
			}
		}
	}

	/** Removes a job without an answer. */
	remove(id: string): PendingJob | undefined {
		const pending = this.#jobs.get(id);
		this.#jobs.delete(id);
		return pending;
	}

	/** Directs a job that no leader has, as each one that had it has refused it, under a new attempt. */
	#startAttempt(pending: PendingJob, zone: string | undefined): void {
		pending.job = {...pending.job, attempt: `${pending.job.attempt}+`};
		pending.overflowZone = zone;
		pending.leaders.clear();
		pending.zones = [];
		pending.sendCount = 0;
		pending.sentTo = undefined;
		pending.earlierToken = undefined;
		pending.movedGrantAtMs = undefined;
	}
}
