/**
 * The version of the list of workers that this entry VM has and announces, and the latest time at which a peer that reads the
 * store has announced the same one.
 */
export class WorkerListVersion {
	/** Version of the list that this entry VM has; empty without one. */
	own = '';
	/** Version that the sender gave the list that was applied last; this entry VM may keep further workers beside it. */
	#received: string | undefined;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	/** Version that heartbeats announce, so that peers send no list that is known here. */
	get announced(): string {
		return this.#received ?? this.own;
	}

	/** Time at which the list is known to have been current from what peers have announced. */
	get confirmedAtMs(): number {
		return this.#confirmedAtMs;
	}

	/** Handles a read of the store, which replaces the list. */
	handleStoreRead(): void {
		this.#received = undefined;
	}

	/**
	 * Handles the list of a peer with the version that the peer gives it, `undefined` if it gives none. A list that was not
	 * applied leaves the version as it is.
	 */
	handleReceived(version: string | undefined, isApplied: boolean): void {
		if (isApplied && version !== '') {
			this.#received = version;
		}
	}

	/** Handles that a peer which has read the store within `maxReadAgeMs` announces a version of its list. */
	handleAnnounced(
		version: string | undefined,
		maxReadAgeMs: number,
		now: number,
	): void {
		if (version === this.announced) {
			this.#confirmedAtMs = now - maxReadAgeMs;
		}
	}
}
