import {type PoolScope} from './leadership.js';

/** Numbers of listed workers between which the scope of leaders changes. */
export type ScopeSettings = {
	/** Largest number of workers that one leader of the whole region takes over from leaders of zones. */
	readonly maxRegionalWorkers: number;
	/** Number of workers from which each zone has its own leader; well above the other bound, so that the scope does not alternate. */
	readonly minZonalWorkers: number;
	/**
	 * Time for which few workers, and no more than at its start, must have been listed before one leader leads them all.
	 * Workers whose entries were lost register again in about two seconds.
	 */
	readonly settleMs: number;
	/**
	 * The same after many workers have been listed: leaders of zones have jobs that a leader of the region does not know, so
	 * that a store which has lost records or shows old ones must not make a running installation merge.
	 */
	readonly resettleMs: number;
	/**
	 * Age from which a list does not show that there are few workers. A leader reads the list several times a second, or gets it
	 * from a peer that does.
	 */
	readonly maxListAgeMs: number;
};

/** What an entry VM knows of the workers of the installation. */
export type WorkerListView = {
	/** Number of workers that may be alive, those included that were handed over and that the list lacks; 0 without any. */
	readonly count: number;
	/**
	 * Milliseconds since the whole list was read, here or by the peer that sent it; infinite if there is no whole list, as
	 * in a process that has only been handed the workers of a zone.
	 */
	readonly ageMs: number;
};

/** Default settings: one leader leads no more workers than a zone has in a deployment of 245 workers in 3 zones. */
export const defaultScopeSettings: ScopeSettings = {
	maxRegionalWorkers: 80,
	minZonalWorkers: 120,
	settleMs: 2500,
	resettleMs: 30_000,
	maxListAgeMs: 2000,
};

/**
 * Decides from the number of listed workers whether one leader leads the whole region or each zone has its own. Until a
 * list is known the scope is `zone`, because zones that were merged too early would have to be split under load.
 */
export class ScopeBySize {
	readonly #settings: ScopeSettings;
	#scope: PoolScope = 'zone';
	/** Whether the number of workers has decided the scope; until then it is that of the leader. */
	#isDecided = false;
	/** Time since which few enough workers for one leader have been listed; `undefined` while there are more or none. */
	#smallSinceMs: number | undefined;
	/** Largest number of workers that has been listed since then. */
	#largestCount = 0;

	constructor(settings: ScopeSettings = defaultScopeSettings) {
		this.#settings = settings;
	}

	/**
	 * Returns the scope for the workers that are listed now. `leaderScope` is the scope
	 * of the live leader of this entry VM's zone, if that is another one. It is followed unless many workers are known here,
	 * since the leader reads the list, and jobs are sent to it by the scope.
	 */
	update(
		{count, ageMs}: WorkerListView,
		leaderScope: PoolScope | undefined,
		now: number,
	): PoolScope {
		const {maxRegionalWorkers, minZonalWorkers, maxListAgeMs} = this.#settings;
		// A partial list can show that there are many workers, but not that there are few.
		if (count >= minZonalWorkers) {
			this.#scope = 'zone';
			this.#isDecided = true;
		} else if (leaderScope !== undefined) {
			this.#scope = leaderScope;
			this.#smallSinceMs = undefined;
			return this.#scope;
		}

		const isSmall =
			count > 0 && count <= maxRegionalWorkers && ageMs <= maxListAgeMs;
		if (!isSmall) {
			this.#smallSinceMs = undefined;
		} else if (this.#smallSinceMs === undefined || count > this.#largestCount) {
			this.#smallSinceMs = now;
			this.#largestCount = count;
		}

		if (
			this.#smallSinceMs !== undefined &&
			now - this.#smallSinceMs >= this.#requiredSettleMs
		) {
			this.#scope = 'region';
			this.#isDecided = true;
		}

		return this.#scope;
	}

	/** Time for which few workers must be listed before the scope is `region`. */
	get #requiredSettleMs(): number {
		const {settleMs, resettleMs} = this.#settings;
		return this.#isDecided && this.#scope === 'zone' ? resettleMs : settleMs;
	}
}
