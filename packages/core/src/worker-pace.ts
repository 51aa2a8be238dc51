/**
 * Weight of the newest run in the moving average; a few runs must suffice, since a worker stays slow only for seconds.
 */
const newestRunWeight = 0.3;
/** Half-life of the moving average without new runs; the decay lets an avoided worker be tried again. */
const halfLifeMs = 3000;
/** Slowdown factor from which a worker counts as slow; the estimate of a single run may be off by 40 %. */
const slowThreshold = 1.8;
/** Upper bound of a single ratio, which limits the effect of one run. */
const maxRatio = 10;

/** Moving average of a worker's run times relative to their estimates, from ended and ongoing runs. */
export class WorkerPace {
	/** Moving average of the logarithm of actual over expected run time, as of `#updatedAtMs`. */
	#logRatio = 0;
	#updatedAtMs = 0;
	/** Cached slowdown factor, computed for `#factorAtMs`; read far more often than time passes. */
	#factor = 1;
	#factorAtMs = Number.NaN;

	/** Adds an ended run by the ratio of its actual to its expected run time. */
	recordEndedRun(ratio: number, now: number): void {
		const observed = Math.log(Math.min(maxRatio, Math.max(0.1, ratio)));
		const previous = this.#decayedLogRatio(now);
		this.#logRatio = previous + (observed - previous) * newestRunWeight;
		this.#updatedAtMs = now;
		this.#factorAtMs = Number.NaN;
	}

	/**
	 * Raises the average to the ratio that an ongoing run has already reached, if that is slow and above the average.
	 */
	recordOngoingRun(ratio: number, now: number): void {
		if (ratio > slowThreshold && Math.log(ratio) > this.#decayedLogRatio(now)) {
			this.#logRatio = Math.log(Math.min(maxRatio, ratio));
			this.#updatedAtMs = now;
			this.#factorAtMs = Number.NaN;
		}
	}

	/** Factor by which run times on this worker exceed their estimates; 1 without data. */
	slowdownFactor(now: number): number {
		if (this.#factorAtMs !== now) {
			this.#factor = Math.exp(this.#decayedLogRatio(now));
			this.#factorAtMs = now;
		}

		return this.#factor;
	}

	/** Whether tasks should be placed on other workers if possible. */
	isSlow(now: number): boolean {
		return this.slowdownFactor(now) >= slowThreshold;
	}

	#decayedLogRatio(now: number): number {
		return this.#logRatio * 0.5 ** ((now - this.#updatedAtMs) / halfLifeMs);
	}
}
