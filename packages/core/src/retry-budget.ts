/** Bounds the tries that follow refusals, so that they never outgrow the first tries. */
import {type Random} from './seeded-random.js';

/** Settings of retries. */
export type RetrySettings = {
	/** Retries that each first try earns. */
	readonly perStart: number;
	/** Retries that each second earns, so that tasks which were all refused get on although nothing else starts. */
	readonly perSecond: number;
	/** Retries that may be saved up. */
	readonly most: number;
	/** Milliseconds before a task's first retry; it doubles with each further one. */
	readonly backoffMs: number;
	readonly longestBackoffMs: number;
};

/** Settings that keep retries below a tenth of the starts. */
export const defaultRetrySettings: RetrySettings = {
	perStart: 0.1,
	perSecond: 10,
	most: 20,
	backoffMs: 10,
	longestBackoffMs: 1000,
};

const millisecondsPerSecond = 1000;

/** The retries that one entry VM may still make. */
export class RetryBudget {
	readonly #settings: RetrySettings;
	readonly #random: Random;
	#left: number;
	#earnedAtMs: number | undefined;

	constructor(settings: RetrySettings, random: Random) {
		this.#settings = settings;
		this.#random = random;
		this.#left = settings.most;
	}

	/** Counts a first try. */
	started(): void {
		this.#earn(this.#settings.perStart);
	}

	/** Takes one retry; returns whether there was one. */
	tryTake(now: number): boolean {
		const elapsedMs = now - (this.#earnedAtMs ?? now);
		this.#earnedAtMs = now;
		this.#earn((elapsedMs / millisecondsPerSecond) * this.#settings.perSecond);
		if (this.#left < 1) {
			return false;
		}

		this.#left -= 1;
		return true;
	}

	/** Milliseconds to wait before a task's next try, between half of the backoff and the whole. */
	delayMs(refusals: number): number {
		const {backoffMs, longestBackoffMs} = this.#settings;
		const whole = Math.min(longestBackoffMs, backoffMs * 2 ** (refusals - 1));
		return whole * (0.5 + this.#random() / 2);
	}

	#earn(retries: number): void {
		this.#left = Math.min(this.#settings.most, this.#left + retries);
	}
}
