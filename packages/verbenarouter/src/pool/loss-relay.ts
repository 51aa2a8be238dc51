import {type LostRun} from '@verbenarouter/core';

/**
 * Time in milliseconds for which lost runs are passed on: callers send a copy of a request 1.3 s after its answer at the
 * earliest, so that entry VMs out of reach for longer get the copy first.
 */
const retentionMs = 5000;

/** Time for which a record is remembered after that, so that it does not count as new when others pass it on. */
const memoryMs = 60_000;

type Report = {readonly lostRun: LostRun; readonly atMs: number};

/**
 * Keeps the lost runs that leaders have just reported. A leader may be lost before it has reached everyone who needs them, and
 * others may be out of reach at that time, so all that know them pass them on.
 */
export class LossRelay {
	/** Reports by the worker, task and number of the run. */
	readonly #reports = new Map<string, Report>();

	/** Records lost runs; those that are known already are not kept for longer. */
	record(lostRuns: readonly LostRun[], now: number): void {
		for (const lostRun of lostRuns) {
			const key = `${lostRun.worker} ${lostRun.task} ${lostRun.run}`;
			const {atMs = now} = this.#reports.get(key) ?? {};
			this.#reports.set(key, {lostRun, atMs});
		}

		for (const [key, {atMs}] of this.#reports) {
			if (now - atMs > memoryMs) {
				this.#reports.delete(key);
			}
		}
	}

	/** Returns the lost runs that were first reported a short time ago. */
	recent(now: number): readonly LostRun[] {
		return [...this.#reports.values()]
			.filter(({atMs}) => now - atMs <= retentionMs)
			.map(({lostRun}) => lostRun);
	}
}
