/** How fast a worker is, learned from its runs, those that still go on among them. */

/** Weight of the newest run: a few runs must do, since a slow spell lasts seconds. */
const newestWeight = 0.3;
/** Time in milliseconds after which half of what was learned has faded, so that a worker that was avoided is tried again. */
const halfLifeMs = 3000;
/** A worker is slow when its runs take this many times what is expected; single estimates are off by 40 %. */
const slowFrom = 1.8;
const longestRatio = 10;

/** How fast a worker is. */
export class WorkerPace {
	/** Mean logarithm of run time over expected run time. */
	#logRatio = 0;
	#learnedAtMs = 0;

	/** Takes in a run that has ended. */
	ended(ratio: number, now: number): void {
		const observed = Math.log(Math.min(longestRatio, Math.max(0.1, ratio)));
		const known = this.#faded(now);
		this.#logRatio = known + (observed - known) * newestWeight;
		this.#learnedAtMs = now;
	}

	/** Takes in a run that goes on: its ratio will be at least this. */
	goesOn(ratio: number, now: number): void {
		if (ratio > slowFrom && Math.log(ratio) > this.#faded(now)) {
			this.#logRatio = Math.log(Math.min(longestRatio, ratio));
			this.#learnedAtMs = now;
		}
	}

	/** How many times as long as expected a task takes here. */
	slowness(now: number): number {
		return Math.exp(this.#faded(now));
	}

	/** Whether tasks should go elsewhere if they can. */
	isSlow(now: number): boolean {
		return this.slowness(now) >= slowFrom;
	}

	#faded(now: number): number {
		return this.#logRatio * 0.5 ** ((now - this.#learnedAtMs) / halfLifeMs);
	}
}
