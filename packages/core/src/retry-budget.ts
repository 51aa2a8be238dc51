import {type Random} from './seeded-random.js';

/** Settings of a {@link RetryBudget}. */
export type RetrySettings = {
	/** Retries that each first attempt adds to the budget. */
	readonly retriesPerStart: number;
	/** Retries that each second adds to the budget, so that refused tasks are retried even while no task starts. */
	readonly retriesPerSecond: number;
	/** Upper bound on the retries in the budget. */
	readonly maxSavedRetries: number;
	/** Backoff before the first retry of a task; it doubles with each further retry. */
	readonly backoffMs: number;
	/** Upper bound on the backoff. */
	readonly maxBackoffMs: number;
};

/** Default settings: one retry per ten first attempts, plus ten retries per second. */
export const defaultRetrySettings: RetrySettings = {
	retriesPerStart: 0.1,
	retriesPerSecond: 10,
	maxSavedRetries: 20,
	backoffMs: 10,
	maxBackoffMs: 1000,
};

const millisecondsPerSecond = 1000;

/** Limits the retries of one entry VM in proportion to its first attempts, so that refusals cannot cause a retry storm. */
export class RetryBudget {
	readonly #settings: RetrySettings;
	readonly #random: Random;
	#availableRetries: number;
	#refilledAtMs: number | undefined;

	constructor(settings: RetrySettings, random: Random) {
		this.#settings = settings;
		this.#random = random;
		this.#availableRetries = settings.maxSavedRetries;
	}

	/** Records the first attempt of a task. */
	recordStart(): void {
		this.#addRetries(this.#settings.retriesPerStart);
	}

	/** Takes one retry from the budget; returns whether one was available. */
	tryTake(nowMs: number): boolean {
		const elapsedMs = nowMs - (this.#refilledAtMs ?? nowMs);
		this.#refilledAtMs = nowMs;
		this.#addRetries(
			(elapsedMs / millisecondsPerSecond) * this.#settings.retriesPerSecond,
		);
		if (this.#availableRetries < 1) {
			return false;
		}

		this.#availableRetries -= 1;
		return true;
	}

	/** Computes the delay before a task's next attempt, drawn at random between half of the backoff and the full backoff. */
	computeDelayMs(refusals: number): number {
		const {backoffMs, maxBackoffMs} = this.#settings;
		const fullBackoffMs = Math.min(
			maxBackoffMs,
			backoffMs * 2 ** (refusals - 1),
		);
		return fullBackoffMs * (0.5 + this.#random() / 2);
	}

	#addRetries(retries: number): void {
		this.#availableRetries = Math.min(
			this.#settings.maxSavedRetries,
			this.#availableRetries + retries,
		);
	}
}
