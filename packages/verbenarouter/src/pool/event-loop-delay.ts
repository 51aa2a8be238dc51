/** Time for which the longest delay is reported. */
const windowMs = 1000;

/** Measures by how much the event loop runs a repeating timer too late; times are of a monotonic clock. */
export class EventLoopDelay {
	readonly #intervalMs: number;
	#lastRunAtMs: number | undefined;
	#windowStartedAtMs = Number.NEGATIVE_INFINITY;
	#longestMs = 0;
	#longestBeforeMs = 0;

	/** `intervalMs` is the interval of the timer. */
	constructor(intervalMs: number) {
		this.#intervalMs = intervalMs;
	}

	/** Records a run of the timer; returns by how much it is late. */
	recordRun(now: number): number {
		const delayMs =
			this.#lastRunAtMs === undefined
				? 0
				: Math.max(0, now - this.#lastRunAtMs - this.#intervalMs);
		this.#lastRunAtMs = now;
		if (now - this.#windowStartedAtMs > windowMs) {
			this.#longestBeforeMs =
				now - this.#windowStartedAtMs > 2 * windowMs ? 0 : this.#longestMs;
			this.#windowStartedAtMs = now;
			this.#longestMs = 0;
		}

		this.#longestMs = Math.max(this.#longestMs, delayMs);
		return delayMs;
	}

	/** Returns the longest delay of the last one to two seconds, including that of a run which is overdue now. */
	delayMs(now: number): number {
		const overdueMs =
			this.#lastRunAtMs === undefined
				? 0
				: now - this.#lastRunAtMs - this.#intervalMs;
		return Math.max(this.#longestMs, this.#longestBeforeMs, overdueMs, 0);
	}
}
