/**
 * Time in milliseconds for which a leader counts a job as held by another one after the last message about it: 620 until the
 * holder stops runs that it cannot announce any more, 1170 for a lease on a clock that is 2 % slow and the delay of its
 * command, and 270 in which a successor of the holder stops runs that it cannot announce.
 */
export const heldElsewhereMs = 2100;
/** Largest number of jobs that are recorded as held by other leaders. */
const maxJobs = 20_000;

/** The jobs whose runs the leaders of other zones have, and whose callers may submit them here. */
export class JobsElsewhere {
	/** By job and holder, the time until which the holder may have runs of the job. */
	readonly #holders = new Map<string, ReadonlyMap<string, number>>();

	/** Number of recorded jobs. */
	get size(): number {
		return this.#holders.size;
	}

	/** Records that a leader has runs of jobs; returns false, without any record, if there is no space for them. */
	record(holder: string, ids: readonly string[], now: number): boolean {
		const added = ids.filter((id) => !this.#holders.has(id));
		if (this.#holders.size + added.length > maxJobs) {
			return false;
		}

		for (const id of ids) {
			this.#holders.set(
				id,
				new Map([
					...(this.#holders.get(id) ?? []),
					[holder, now + heldElsewhereMs],
				]),
			);
		}

		return true;
	}

	/** Records that a leader has no runs of a job any more. */
	end(holder: string, id: string): void {
		const others = [...(this.#holders.get(id) ?? [])].filter(
			([name]) => name !== holder,
		);
		if (others.length > 0) {
			this.#holders.set(id, new Map(others));
		} else {
			this.#holders.delete(id);
		}
	}

	/** Whether another leader may have runs of a job, by a message that arrived after `knownSinceMs`. */
	isHeld(
		id: string,
		now: number,
		knownSinceMs = Number.NEGATIVE_INFINITY,
	): boolean {
		return [...(this.#holders.get(id)?.values() ?? [])].some(
			(untilMs) => now < untilMs && untilMs - heldElsewhereMs > knownSinceMs,
		);
	}

	/** Removes the jobs that no leader can have any more. */
	evict(now: number): void {
		for (const id of this.#holders.keys()) {
			if (!this.isHeld(id, now)) {
				this.#holders.delete(id);
			}
		}
	}
}
