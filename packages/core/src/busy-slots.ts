/** Mean number of slots that an entry VM keeps busy: its throughput in slot milliseconds per millisecond. */

const timeConstantMs = 1000;

/** An exponentially weighted mean over time. */
export class BusySlots {
	#count = 0;
	#mean = 0;
	#changedAtMs: number | undefined;

	/** Slots that are busy now. */
	get count(): number {
		return this.#count;
	}

	/** Changes the number of busy slots. */
	change(by: number, now: number): void {
		this.#mean = this.mean(now);
		this.#count += by;
		this.#changedAtMs = now;
	}

	/** The mean up to now. */
	mean(now: number): number {
		const elapsedMs = now - (this.#changedAtMs ?? now);
		return (
			this.#count +
			(this.#mean - this.#count) * Math.exp(-elapsedMs / timeConstantMs)
		);
	}
}
