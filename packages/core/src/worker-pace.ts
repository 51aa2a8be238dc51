/**
 * Weight of the newest run in the moving average; a few runs must suffice, since a worker stays slow only for seconds.
 */
const newestRunWeight = 0.3;
/** Half-life of the moving average without new runs; the decay lets an avoided worker be tried again. */
const halfLifeMs = 3000;
/** Logarithm of the slowdown factor from which a worker counts as slow; the estimate of a single run may be off by 40 %. */
const logSlowThreshold = Math.log(1.8);
/** Upper bound of a single ratio, which limits the effect of one run. */
const maxRatio = 10;

/** Upper bound of a single ratio where a few runs take many times as long on any worker. */
const maxTailRatio = 2.5;

/** Moving average of a worker's run times relative to their estimates, from ended and ongoing runs. */
export class WorkerPace {
	/** Moving average of the logarithm of actual over expected run time, less `#logBaseline`, as of `#updatedAtMs`. */
	#logDeviation = 0;
	#updatedAtMs = 0;
	/** Logarithm of the slowdown factor of the worker's kind, to which the average returns without new runs. */
	#logBaseline: number;
	/** Cached slowdown factor, computed for `#factorAtMs`; read far more often than time passes. */
	#factor = 1;
	#factorAtMs = Number.NaN;

	/** `logBaseline` is the logarithm of the slowdown factor of the worker's kind. */
	constructor(logBaseline = 0) {
		this.#logBaseline = logBaseline;
	}

	/** Sets the logarithm of the slowdown factor of the worker's kind. */
	setBaseline(logBaseline: number): void {
		if (logBaseline === this.#logBaseline) {
			return;
		}

		this.#logBaseline = logBaseline;
		this.#factorAtMs = Number.NaN;
	}

	/**
	 * Adds an ended run by the ratio of its actual to its expected run time. `hasTail` is whether rare runs of its queue take
	 * many times as long on any worker.
	 */
	recordEndedRun(ratio: number, now: number, hasTail = false): void {
		const bounded = Math.min(
			hasTail ? maxTailRatio * Math.exp(this.#logBaseline) : maxRatio,
			Math.max(0.1, ratio),
		);
		const previous = this.#decayedLogDeviation(now);
		const observed = Math.log(bounded) - this.#logBaseline;
		this.#logDeviation = previous + (observed - previous) * newestRunWeight;
		this.#updatedAtMs = now;
		this.#factorAtMs = Number.NaN;
	}

	/**
	 * Raises the average to the ratio that an ongoing run has already reached, if that is slow and above the average.
	 */
	recordOngoingRun(ratio: number, now: number): void {
		const logRatio = Math.log(Math.min(maxRatio, ratio)) - this.#logBaseline;
		if (
			logRatio > logSlowThreshold &&
			logRatio > this.#decayedLogDeviation(now)
		) {
			this.#logDeviation = logRatio;
			this.#updatedAtMs = now;
			this.#factorAtMs = Number.NaN;
		}
	}

	/** Factor by which run times on this worker exceed their estimates; that of its kind without data. */
	slowdownFactor(now: number): number {
		if (this.#factorAtMs !== now) {
			this.#factor = Math.exp(
				this.#logBaseline + this.#decayedLogDeviation(now),
			);
			this.#factorAtMs = now;
		}

		return this.#factor;
	}

	/** Lower bound of the slowdown factor from now on without new runs. */
	leastSlowdownFactor(now: number): number {
		return Math.min(this.slowdownFactor(now), Math.exp(this.#logBaseline));
	}

	/** Whether the worker is slow for its kind, so that tasks should be placed on other workers if possible. */
	isSlow(now: number): boolean {
		return this.#decayedLogDeviation(now) >= logSlowThreshold;
	}

	#decayedLogDeviation(now: number): number {
		return this.#logDeviation * 0.5 ** ((now - this.#updatedAtMs) / halfLifeMs);
	}
}
