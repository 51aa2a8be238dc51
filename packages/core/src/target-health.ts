/** Settings of the failure detection for targets. */
export type HealthSettings = {
	/** Number of consecutive failures after which a target is ejected. */
	readonly consecutiveFailureLimit: number;
	/** Duration of the first ejection; it doubles with each failed trial. */
	readonly initialEjectionMs: number;
	/** Upper bound on the duration of an ejection. */
	readonly maxEjectionMs: number;
	/** A target is slow if the mean ratio of run time to expected run time exceeds this factor. */
	readonly slowFactor: number;
};

/** Default settings, suited to tasks that take from 50 ms to a few seconds. */
export const defaultHealthSettings: HealthSettings = {
	consecutiveFailureLimit: 3,
	initialEjectionMs: 1000,
	maxEjectionMs: 60_000,
	slowFactor: 3,
};

/**
 * Which tasks a target may receive.
 *
 * - `taken`: healthy; receives tasks without restriction.
 * - `trial`: the ejection has elapsed; receives one task at a time. A completed task ends the trial, a failure ejects again.
 * - `aside`: ejected; receives no tasks.
 */
export type HealthState = 'taken' | 'trial' | 'aside';

const slowdownWeight = 0.1;
const minSlowdownSamples = 10;

/**
 * Tracks the health of one target from the outcomes of its tasks, as a circuit breaker.
 *
 * A target that fails repeatedly is ejected for a while, and then receives single trial tasks until one completes.
 */
export class TargetHealth {
	readonly #settings: HealthSettings;
	#consecutiveFailures = 0;
	#lastFailedJob: string | undefined;
	#ejectedUntilMs = 0;
	#ejectionMs = 0;
	/** Exponentially weighted mean of the ratio of run time to expected run time. */
	#meanSlowdown = 1;
	#slowdownSamples = 0;

	constructor(settings: HealthSettings = defaultHealthSettings) {
		this.#settings = settings;
	}

	/** Returns which tasks the target may receive at `now`. */
	getState(now: number): HealthState {
		if (this.#ejectionMs === 0) {
			return 'taken';
		}

		return now < this.#ejectedUntilMs ? 'aside' : 'trial';
	}

	/** Time in milliseconds since 1970 at which the latest ejection ends and trials begin. */
	get ejectedUntilMs(): number {
		return this.#ejectedUntilMs;
	}

	/** Whether the target's tasks take much longer than expected; `false` until enough tasks have completed. */
	get isSlow(): boolean {
		return (
			this.#slowdownSamples >= minSlowdownSamples &&
			this.#meanSlowdown > this.#settings.slowFactor
		);
	}

	/** Records a completed task, which makes the target healthy again; its run time is `undefined` if it is unknown. */
	recordCompletion(ranMs: number | undefined, expectedMs: number): void {
		this.#consecutiveFailures = 0;
		this.#lastFailedJob = undefined;
		this.#ejectionMs = 0;
		if (ranMs === undefined) {
			return;
		}

		this.#slowdownSamples += 1;
		this.#meanSlowdown +=
			(ranMs / Math.max(1, expectedMs) - this.#meanSlowdown) * slowdownWeight;
	}

	/**
	 * Records that a task of a job failed, was lost or could not be sent; returns whether this ejects the target.
	 * Consecutive failures of the same job count once.
	 */
	recordFailure(job: string, now: number): boolean {
		this.#consecutiveFailures += job === this.#lastFailedJob ? 0 : 1;
		this.#lastFailedJob = job;
		const isTrial = this.getState(now) === 'trial';
		if (
			!isTrial &&
			this.#consecutiveFailures < this.#settings.consecutiveFailureLimit
		) {
			return false;
		}

		const {initialEjectionMs, maxEjectionMs} = this.#settings;
		this.#ejectionMs = isTrial
			? Math.min(2 * this.#ejectionMs, maxEjectionMs)
			: Math.max(initialEjectionMs, this.#ejectionMs);
		this.#ejectedUntilMs = now + this.#ejectionMs;
		return true;
	}
}

const failureRateWeight = 0.05;
const failingRateThreshold = 0.5;

/**
 * Tracks the failure rate of each entry.
 *
 * It distinguishes an entry whose tasks fail on every target from a target that fails the tasks of every entry.
 */
export class EntryFailureRates {
	readonly #rates = new Map<string, number>();

	/** Records whether a task of an entry failed. */
	recordOutcome(entry: string, hasFailed: boolean): void {
		const rate = this.#rates.get(entry) ?? 0;
		this.#rates.set(
			entry,
			rate + ((hasFailed ? 1 : 0) - rate) * failureRateWeight,
		);
	}

	/** Whether most tasks of an entry fail, in which case its failures do not count against a target. */
	isFailing(entry: string): boolean {
		return (this.#rates.get(entry) ?? 0) > failingRateThreshold;
	}
}
