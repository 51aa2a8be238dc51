/** Age up to which an observed delay counts; older ones say nothing about the present load. */
const windowMs = 4000;

/** Tracks how late the event loop of this process runs, from the times at which a periodic check has run. */
export class EventLoopDelay {
	#intervalMs: number;
	#lastCheckMs: number | undefined;
	#checkBeforeLastMs: number | undefined;
	/** Delays within the window that no later one exceeds, the largest first. */
	#peaks: ReadonlyArray<{readonly atMs: number; readonly delayMs: number}> = [];

	/** `intervalMs` is the interval for which the first check is scheduled. */
	constructor(intervalMs: number) {
		this.#intervalMs = intervalMs;
	}

	/**
	 * Records that the check runs now; returns by how much it is late, in milliseconds. `nextIntervalMs` is the time until
	 * the next check, if it changes.
	 */
	recordCheck(now: number, nextIntervalMs = this.#intervalMs): number {
		const delayMs = this.#computeOverdueMs(now);
		this.#intervalMs = nextIntervalMs;
		this.#checkBeforeLastMs = this.#lastCheckMs;
		this.#lastCheckMs = now;
		this.#peaks = [
			...this.#peaks.filter(
				(peak) => now - peak.atMs <= windowMs && peak.delayMs > delayMs,
			),
			{atMs: now, delayMs},
		];
		return delayMs;
	}

	/** Returns the largest delay of the last 4 s in milliseconds, including that of a check that is overdue now. */
	largestMs(now: number): number {
		const peak = this.#peaks.find(({atMs}) => now - atMs <= windowMs);
		return Math.max(peak?.delayMs ?? 0, this.#computeOverdueMs(now));
	}

	/**
	 * Returns the earliest time at which something that is handled now can have arrived: that of the check before the
	 * last one, since the last one may have run in the present turn of the event loop.
	 */
	earliestArrivalMs(now: number): number {
		return this.#checkBeforeLastMs ?? now;
	}

	#computeOverdueMs(now: number): number {
		return this.#lastCheckMs === undefined
			? 0
			: Math.max(0, now - this.#lastCheckMs - this.#intervalMs);
	}
}
