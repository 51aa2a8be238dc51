/**
 * Longest time between two ticks for which the leader has read its workers' reports in time. Ticks are 20 ms apart, and
 * run times are tens of milliseconds at least.
 */
const maxTickGapMs = 100;

/**
 * Records when a leader last continued after a time in which it read no reports. A report that was requested before that
 * may have waited unread, so the times at which its runs ended are unknown.
 */
export class LeaderStall {
	#tickedAtMs: number | undefined;
	#endedAtMs = Number.NEGATIVE_INFINITY;

	/** Notes that the leader reads something now, which ends a stall if it has not ticked for long. */
	observe(now: number): void {
		if (
			this.#tickedAtMs !== undefined &&
			now - this.#tickedAtMs > maxTickGapMs
		) {
			this.#endedAtMs = now;
		}
	}

	/** Records a tick. */
	recordTick(now: number): void {
		this.observe(now);
		this.#tickedAtMs = now;
	}

	/** Forgets earlier ticks, as the leader starts to lead now. */
	restart(now: number): void {
		this.#tickedAtMs = now;
	}

	/** Whether a report that was requested at a time shows run times without the leader's own lateness. */
	isTimely(requestedAtMs: number): boolean {
		return requestedAtMs >= this.#endedAtMs;
	}
}
