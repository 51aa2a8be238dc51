import {type LeftJob} from '@verbenarouter/peer';

/** A job as it was when its receiver gave it up. */
type KeptJob = {
	readonly earlierToken: number;
	/** When the newest heartbeat arrived that can have been confirmed to a leader of the job. */
	readonly grantAtMs: number;
	readonly untilMs: number;
};

/** Time in milliseconds for which jobs are kept: longer than a leader of theirs may go on with runs. */
const retentionMs = 2100;

/**
 * The jobs that a receiver has given up although a leader may run them, as their callers have left or it had no leader for them.
 * The callers may submit them again, to a leader that has not had them and has to be told.
 */
export class LeftJobs {
	readonly #jobs = new Map<string, KeptJob>();

	add(
		id: string,
		job: Pick<KeptJob, 'earlierToken' | 'grantAtMs'>,
		now: number,
	): void {
		this.#evict(now);
		this.#jobs.set(id, {...job, untilMs: now + retentionMs});
	}

	/** Returns the jobs as they are told to a leader now. */
	list(now: number): readonly LeftJob[] {
		this.#evict(now);
		return [...this.#jobs].map(([id, {earlierToken, grantAtMs}]) => ({
			id,
			earlierToken,
			earlierGrantAgeMs: Math.floor(Math.max(0, now - grantAtMs)),
		}));
	}

	#evict(now: number): void {
		for (const [id, {untilMs}] of this.#jobs) {
			if (untilMs > now) {
				break;
			}

			this.#jobs.delete(id);
		}
	}
}
