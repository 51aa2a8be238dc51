/** Why a receiver has a leader give up a job: it has submitted it to another leader, no caller waits for it, or one cancels it. */
export type GiveUpReason = 'moved' | 'caller-left' | 'cancelled';

/** Largest number of jobs that are kept; the oldest are forgotten first. */
const maxKeptJobs = 20_000;
/** Interval at which jobs are forgotten that their leaders have given up by themselves. */
const evictionIntervalMs = 500;

/**
 * The jobs that a receiver has had leaders give up. The messages may be lost with their streams, and a leader does not
 * notice each such loss, so they are sent again when a stream opens, until the leader has given the job up by itself.
 */
export class GivenUpJobs {
	readonly #jobs = new Map<
		string,
		{
			readonly leader: string;
			readonly id: string;
			readonly reason: GiveUpReason;
			readonly untilMs: number;
		}
	>();

	#evictedAtMs = 0;

	/** Adds a job; its leader gives it up by itself at `untilMs`. */
	add(leader: string, id: string, reason: GiveUpReason, untilMs: number): void {
		const key = toKey(leader, id);
		this.#jobs.delete(key);
		this.#jobs.set(key, {leader, id, reason, untilMs});
		const [oldest] = this.#jobs.keys();
		if (oldest !== undefined && this.#jobs.size > maxKeptJobs) {
			this.#jobs.delete(oldest);
		}
	}

	/** Forgets a job that its leader gets again. */
	remove(leader: string, id: string): void {
		this.#jobs.delete(toKey(leader, id));
	}

	/** Returns the jobs that a leader may not have given up yet. */
	ofLeader(
		leader: string,
		now: number,
	): ReadonlyArray<{readonly id: string; readonly reason: GiveUpReason}> {
		return [...this.#jobs.values()].filter(
			(job) => job.leader === leader && now <= job.untilMs,
		);
	}

	/** Forgets the jobs that their leaders have given up by themselves. */
	evict(now: number): void {
		if (now - this.#evictedAtMs < evictionIntervalMs) {
			return;
		}

		this.#evictedAtMs = now;
		for (const [key, {untilMs}] of this.#jobs) {
			if (now > untilMs) {
				this.#jobs.delete(key);
			}
		}
	}
}

function toKey(leader: string, id: string): string {
	return `${leader} ${id}`;
}
