/** What the outcomes of tasks tell of a target: a target that fails what it starts is set aside, then tried with single tasks. */

/** Settings of the health of targets. Durations are in milliseconds. */
export type HealthSettings = {
	/** Failures in a row after which a target is set aside. */
	readonly failuresInRow: number;
	/** First time for which a target is set aside; it doubles while trials fail. */
	readonly asideMs: number;
	readonly longestAsideMs: number;
	/** A target counts as slow when its tasks take this many times what is expected. */
	readonly slowFactor: number;
};

/** Settings that suit tasks of 50 ms to some seconds. */
export const defaultHealthSettings: HealthSettings = {
	failuresInRow: 3,
	asideMs: 1000,
	longestAsideMs: 60_000,
	slowFactor: 3,
};

/** - `taken`: takes work. - `trial`: takes one task at a time. - `aside`: takes none. */
export type HealthState = 'taken' | 'trial' | 'aside';

const slowestWeight = 0.1;
const slownessCount = 10;

/** The health of one target as one entry VM sees it. */
export class TargetHealth {
	readonly #settings: HealthSettings;
	#failuresInRow = 0;
	#lastFailedJob: string | undefined;
	#asideUntilMs = 0;
	#asideMs = 0;
	/** Mean of run time over expected run time. */
	#slowness = 1;
	#observations = 0;

	constructor(settings: HealthSettings = defaultHealthSettings) {
		this.#settings = settings;
	}

	/** What the target may be given now. */
	state(now: number): HealthState {
		if (this.#asideMs === 0) {
			return 'taken';
		}

		return now < this.#asideUntilMs ? 'aside' : 'trial';
	}

	/** Time in milliseconds since 1970 from which a target that is set aside may be tried. */
	get triedFromMs(): number {
		return this.#asideUntilMs;
	}

	/** Whether the target's tasks take much longer than expected. */
	get isSlow(): boolean {
		return (
			this.#observations >= slownessCount &&
			this.#slowness > this.#settings.slowFactor
		);
	}

	/** A task completed. */
	completed(ranMs: number, expectedMs: number): void {
		this.#failuresInRow = 0;
		this.#lastFailedJob = undefined;
		this.#asideMs = 0;
		this.#observations += 1;
		this.#slowness +=
			(ranMs / Math.max(1, expectedMs) - this.#slowness) * slowestWeight;
	}

	/**
	 * A task of a job failed, got lost or could not be sent; returns whether the target is set aside by it. Failures of
	 * one job in a row count once.
	 */
	failed(job: string, now: number): boolean {
		this.#failuresInRow += job === this.#lastFailedJob ? 0 : 1;
		this.#lastFailedJob = job;
		const isTrial = this.state(now) === 'trial';
		if (!isTrial && this.#failuresInRow < this.#settings.failuresInRow) {
			return false;
		}

		const {asideMs, longestAsideMs} = this.#settings;
		this.#asideMs = isTrial
			? Math.min(2 * this.#asideMs, longestAsideMs)
			: Math.max(asideMs, this.#asideMs);
		this.#asideUntilMs = now + this.#asideMs;
		return true;
	}
}

const newestWeight = 0.05;
const failingShare = 0.5;

/** Shares of failed tasks per entry, to tell an entry that fails wherever it runs from a target that fails what it runs. */
export class EntryFailures {
	readonly #shares = new Map<string, number>();

	/** Takes in how a task of an entry ended. */
	observe(entry: string, hasFailed: boolean): void {
		const share = this.#shares.get(entry) ?? 0;
		this.#shares.set(
			entry,
			share + ((hasFailed ? 1 : 0) - share) * newestWeight,
		);
	}

	/** Whether most tasks of an entry fail, so that its failures tell nothing of a target. */
	isFailing(entry: string): boolean {
		return (this.#shares.get(entry) ?? 0) > failingShare;
	}
}
