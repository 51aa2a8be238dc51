/** Number of streams that may be opened at once. */
const maxBurst = 8;
/** Time after which a further stream may be opened. */
const refillMs = 50;

/**
 * Limits how many streams a process opens in a time, so that connections to many peers leave processor time for those that
 * are open. A process that runs late gets no more than a burst for the time that it has missed.
 */
export class ConnectBudget {
	#available = maxBurst;
	#refilledAtMs = Number.NEGATIVE_INFINITY;

	/** Whether a stream may be opened; takes it from the budget if so. */
	tryTake(now: number): boolean {
		const refills = Math.floor((now - this.#refilledAtMs) / refillMs);
		if (refills >= maxBurst) {
			this.#available = maxBurst;
			this.#refilledAtMs = now;
		} else if (refills > 0) {
			this.#available = Math.min(maxBurst, this.#available + refills);
			this.#refilledAtMs += refills * refillMs;
		}

		if (this.#available === 0) {
			return false;
		}

		this.#available -= 1;
		return true;
	}
}
