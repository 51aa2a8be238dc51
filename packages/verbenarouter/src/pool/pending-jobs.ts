import {type PoolAnswer, type PoolJob} from '@verbenarouter/core';

/** A job without an answer, with the callers that wait for it. */
export type PendingJob = {
	readonly job: PoolJob;
	/** Time at which the first caller submitted the job. */
	readonly receivedAtMs: number;
	/** Leader to which the job was last sent; `undefined` before the first. */
	sentTo: string | undefined;
	/** Highest fencing token of the leaders to which the job was sent; `undefined` before the first. */
	earlierToken: number | undefined;
	/** Whether the job was sent to more than one leader. */
	wasSentToSeveralLeaders: boolean;
	/** Time since which the job has waited to be sent to a leader; `undefined` once it is sent. */
	withoutLeaderSinceMs: number | undefined;
	/** Names of the tasks that leaders have reported as completed. */
	doneTasks: readonly string[];
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
			return {pending: known, isNew: false};
		}

		const pending: PendingJob = {
			job,
			receivedAtMs: now,
			sentTo: undefined,
			earlierToken: undefined,
			wasSentToSeveralLeaders: false,
			withoutLeaderSinceMs: now,
			doneTasks: [],
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

	/** Records that a job is sent to a leader with a fencing token; returns whether it was sent to one before. */
	markSent(pending: PendingJob, leader: string, token: number): boolean {
		const hadLeader = pending.sentTo !== undefined;
		pending.earlierToken = Math.max(pending.earlierToken ?? 0, token);
		pending.wasSentToSeveralLeaders ||= hadLeader && pending.sentTo !== leader;
		pending.sentTo = leader;
		pending.withoutLeaderSinceMs = undefined;
		return hadLeader;
	}

	/**
	 * Returns the answer that callers may receive for a leader's answer, or `undefined` to ignore it. `completed` and
	 * `failed` are accepted from any leader, all else only from the leader that has the job now. `not-run` becomes
	 * `may-have-run` if the job was sent to several leaders, since another one may have started it.
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

		return answer.kind === 'not-run' && pending.wasSentToSeveralLeaders
			? {kind: 'may-have-run', reason: 'leader-lost'}
			: answer;
	}

	/** Removes a job without an answer. */
	remove(id: string): PendingJob | undefined {
		const pending = this.#jobs.get(id);
		this.#jobs.delete(id);
		return pending;
	}
}
