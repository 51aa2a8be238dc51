/** Number of equal units into which a share ledger divides each rate limit. */
export const rateUnits = 128;

/** Depth of the token bucket, as time at the entry VM's own rate; the bucket can always hold one token. */
const burstMs = 100;
/** Length of the windows in which starts are counted to measure how much of the rate is used. */
const usageWindowMs = 1000;

/** One entry VM's share of a limit on starts per second: a token bucket that fills in proportion to the units held. */
export class RateShare {
	#tokens: number | undefined;
	#refilledAtMs = 0;
	#windowStartedAtMs = 0;
	#startsInWindow = 0;
	#startsInPreviousWindow = 0;

	/** Whether the bucket has a token for one more start, given the units held and the limit over all entry VMs. */
	canStart(heldUnits: number, startsPerSecond: number, nowMs: number): boolean {
		return this.#refill(heldUnits, startsPerSecond, nowMs) >= 1;
	}

	/** Records a start and takes its token. The caller must check {@link canStart} first. */
	recordStart(nowMs: number): void {
		this.#advanceWindow(nowMs);
		this.#startsInWindow += 1;
		this.#tokens = (this.#tokens ?? 0) - 1;
	}

	/** Computes the units that the starts of the current or the previous window used, whichever is larger. */
	computeUsedUnits(startsPerSecond: number, nowMs: number): number {
		this.#advanceWindow(nowMs);
		return Math.ceil(
			(Math.max(this.#startsInPreviousWindow, this.#startsInWindow) *
				rateUnits) /
				startsPerSecond,
		);
	}

	/** Computes the units needed for this many starts within a second, at most {@link rateUnits}. */
	computeRequiredUnits(starts: number, startsPerSecond: number): number {
		return Math.min(
			rateUnits,
			Math.ceil((starts * rateUnits) / startsPerSecond),
		);
	}

	#refill(heldUnits: number, startsPerSecond: number, nowMs: number): number {
		const startsPerMs = (heldUnits * startsPerSecond) / rateUnits / 1000;
		const depth = heldUnits > 0 ? Math.max(1, startsPerMs * burstMs) : 0;
		const tokens =
			this.#tokens === undefined
				? Math.min(1, depth)
				: this.#tokens + (nowMs - this.#refilledAtMs) * startsPerMs;
		this.#tokens = Math.min(depth, tokens);
		this.#refilledAtMs = nowMs;
		return this.#tokens;
	}

	#advanceWindow(nowMs: number): void {
		const elapsedMs = nowMs - this.#windowStartedAtMs;
		if (elapsedMs >= usageWindowMs) {
			this.#startsInPreviousWindow =
				elapsedMs < 2 * usageWindowMs ? this.#startsInWindow : 0;
			this.#startsInWindow = 0;
			this.#windowStartedAtMs = nowMs;
		}
	}
}
