/** Age up to which an observed delay counts; older ones say nothing about the present load. */
const windowMs = 4000;

/** Tracks how late the event loop of this process runs, from the times at which a periodic check has run. */
export class EventLoopDelay {
	readonly #intervalMs: number;
	#lastCheckMs: number | undefined;
	/** Delays within the window that no later one exceeds, the largest first. */
	#peaks: ReadonlyArray<{readonly atMs: number; readonly delayMs: number}> = [];

	/** `intervalMs` is the interval for which the check is scheduled. */
	constructor(intervalMs: number) {
		this.#intervalMs = intervalMs;
	}

	/** Records that the check runs now. */
	recordCheck(now: number): void {
		const delayMs = this.#computeOverdueMs(now);
		this.#lastCheckMs = now;
		this.#peaks = [
			...this.#peaks.filter(
				(peak) => now - peak.atMs <= windowMs && peak.delayMs > delayMs,
			),
			{atMs: now, delayMs},
		];
	}

	/** Returns the largest delay of the last 4 s in milliseconds, including that of a check that is overdue now. */
	largestMs(now: number): number {
		const peak = this.#peaks.find(({atMs}) => now - atMs <= windowMs);
		return Math.max(peak?.delayMs ?? 0, this.#computeOverdueMs(now));
	}

	#computeOverdueMs(now: number): number {
		return this.#lastCheckMs === undefined
			? 0
			: Math.max(0, now - this.#lastCheckMs - this.#intervalMs);
	}
}
