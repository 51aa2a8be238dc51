/**
 * A limit of starts per second as units of a share ledger: each unit is an equal part of the rate, and each entry VM
 * has a token bucket that fills at the rate of the units that it holds.
 */

/** Units into which each rate is divided. */
export const rateUnits = 128;

/** Milliseconds of its own rate that a bucket can save up; it can always hold one token. */
const burstMs = 100;
/** Milliseconds over which starts are counted to tell how much of the rate is used. */
const windowMs = 1000;

/** One entry VM's part of a rate. */
export class RateShare {
	#tokens: number | undefined;
	#filledAtMs = 0;
	#windowAtMs = 0;
	#startsInWindow = 0;
	#startsBefore = 0;

	/** Whether one more start is within the share. */
	mayStart(held: number, startsPerSecond: number, now: number): boolean {
		return this.#fill(held, startsPerSecond, now) >= 1;
	}

	/** Counts a start; the caller has asked {@link mayStart} before. */
	started(now: number): void {
		this.#roll(now);
		this.#startsInWindow += 1;
		this.#tokens = (this.#tokens ?? 0) - 1;
	}

	/** Units that the starts of the last one to two seconds made use of. */
	usedUnits(startsPerSecond: number, now: number): number {
		this.#roll(now);
		return Math.ceil(
			(Math.max(this.#startsBefore, this.#startsInWindow) * rateUnits) /
				startsPerSecond,
		);
	}

	/** Units that it takes to start so many tasks within a second. */
	unitsFor(starts: number, startsPerSecond: number): number {
		return Math.min(
			rateUnits,
			Math.ceil((starts * rateUnits) / startsPerSecond),
		);
	}

	#fill(held: number, startsPerSecond: number, now: number): number {
		const startsPerMs = (held * startsPerSecond) / rateUnits / 1000;
		const depth = held > 0 ? Math.max(1, startsPerMs * burstMs) : 0;
		const tokens =
			this.#tokens === undefined
				? Math.min(1, depth)
				: this.#tokens + (now - this.#filledAtMs) * startsPerMs;
		this.#tokens = Math.min(depth, tokens);
		this.#filledAtMs = now;
		return this.#tokens;
	}

	#roll(now: number): void {
		const elapsedMs = now - this.#windowAtMs;
		if (elapsedMs >= windowMs) {
			this.#startsBefore = elapsedMs < 2 * windowMs ? this.#startsInWindow : 0;
			this.#startsInWindow = 0;
			this.#windowAtMs = now;
		}
	}
}
