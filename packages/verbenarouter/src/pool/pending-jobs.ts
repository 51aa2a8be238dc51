/** Jobs that this entry VM has received and not answered yet. */
import {type PoolAnswer, type PoolJob} from '@verbenarouter/core';

/** One job with the callers that wait for it. */
export type PendingJob = {
	readonly job: PoolJob;
	readonly receivedAtMs: number;
	/** Leader that it was given to last. */
	sentTo: string | undefined;
	/** Whether it was given to more than one leader. */
	isShared: boolean;
	/** Since when no leader has it. */
	unsentSinceMs: number | undefined;
	/** Names of tasks that an earlier leader has seen done. */
	doneTasks: readonly string[];
	readonly waiting: Array<(answer: PoolAnswer) => void>;
};

/** Jobs that wait for their answer. */
export class PendingJobs {
	readonly #jobs = new Map<string, PendingJob>();

	get size(): number {
		return this.#jobs.size;
	}

	get all(): readonly PendingJob[] {
		return [...this.#jobs.values()];
	}

	get(id: string): PendingJob | undefined {
		return this.#jobs.get(id);
	}

	/** Adds a job, or one more caller to it; `isNew` tells which. */
	add(
		job: PoolJob,
		resolve: (answer: PoolAnswer) => void,
		now: number,
	): {readonly pending: PendingJob; readonly isNew: boolean} {
		const known = this.#jobs.get(job.id);
		if (known !== undefined) {
			known.waiting.push(resolve);
			return {pending: known, isNew: false};
		}

		const pending: PendingJob = {
			job,
			receivedAtMs: now,
			sentTo: undefined,
			isShared: false,
			unsentSinceMs: now,
			doneTasks: [],
			waiting: [resolve],
		};
		this.#jobs.set(job.id, pending);
		return {pending, isNew: true};
	}

	/** Gives the answer to all callers that wait for a job. */
	answer(id: string, answer: PoolAnswer): PendingJob | undefined {
		const pending = this.#jobs.get(id);
		this.#jobs.delete(id);
		for (const resolve of pending?.waiting ?? []) {
			resolve(answer);
		}

		return pending;
	}

	/** A job is given to a leader; returns whether one had it before. */
	send(pending: PendingJob, leader: string): boolean {
		const hadLeader = pending.sentTo !== undefined;
		pending.isShared ||= hadLeader && pending.sentTo !== leader;
		pending.sentTo = leader;
		pending.unsentSinceMs = undefined;
		return hadLeader;
	}

	/**
	 * The answer of a leader, as far as it may be passed on: only the leader that has a job now can say that it has not
	 * run, and only if no other ever had it.
	 */
	acceptable(
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

		return answer.kind === 'not-run' && pending.isShared
			? {kind: 'may-have-run', reason: 'leader-lost'}
			: answer;
	}

	/** Takes a job off without an answer. */
	remove(id: string): PendingJob | undefined {
		const pending = this.#jobs.get(id);
		this.#jobs.delete(id);
		return pending;
	}
}
