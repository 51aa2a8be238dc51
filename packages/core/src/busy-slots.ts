const timeConstantMs = 1000;

/**
 * Counts the slots that an entry VM keeps busy, and their exponentially weighted mean over time.
 *
 * The mean is the entry VM's throughput in slot milliseconds per millisecond.
 */
export class BusySlots {
	#count = 0;
	#mean = 0;
	#changedAtMs: number | undefined;

	/** Number of slots that are busy now. */
	get count(): number {
		return this.#count;
	}

	/** Adds `delta` to the number of busy slots. */
	change(delta: number, now: number): void {
		this.#mean = this.mean(now);
		this.#count += delta;
		this.#changedAtMs = now;
	}

	/** Returns the mean number of busy slots at `now`. */
	mean(now: number): number {
		const elapsedMs = now - (this.#changedAtMs ?? now);
		return (
			this.#count +
			(this.#mean - this.#count) * Math.exp(-elapsedMs / timeConstantMs)
		);
	}
}
