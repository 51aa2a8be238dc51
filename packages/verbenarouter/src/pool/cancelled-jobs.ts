/** Time in milliseconds for which a cancelling is passed on: leaders remember answers for as long. */
const retentionMs = 30_000;
/** Largest number of jobs that are passed on; the oldest are forgotten first. */
const maxKeptJobs = 5000;

/**
 * The jobs of which callers were told lately that they are cancelled. All that know them pass them on when a stream opens: the
 * leader that has cancelled a job may be lost, and others may have been out of reach.
 */
export class CancelledJobs {
	/** Time until which each job is passed on, by identifier, the oldest first. */
	readonly #untilMs = new Map<string, number>();

	/** Adds jobs; returns those that were not known yet. */
	add(ids: readonly string[], now: number): readonly string[] {
		const added = ids.filter((id) => !this.#untilMs.has(id));
		for (const id of added) {
			this.#untilMs.set(id, now + retentionMs);
		}

		this.#evict(now);
		return added;
	}

	/** Returns the identifiers of the jobs. */
	list(now: number): readonly string[] {
		this.#evict(now);
		return [...this.#untilMs.keys()];
	}

	#evict(now: number): void {
		for (const [id, untilMs] of this.#untilMs) {
			if (untilMs > now && this.#untilMs.size <= maxKeptJobs) {
				break;
			}

			this.#untilMs.delete(id);
		}
	}
}
