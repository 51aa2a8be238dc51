import {type WorkerEntry} from './pool-worker.js';

/**
 * Time within which workers register again once the store is reachable, if their entries expired during its outage; the
 * platform specifies about two seconds.
 */
const reregistrationMs = 2500;

type DirectoryRecord = {
	readonly entry: WorkerEntry;
	/** Time from which the store has not listed the worker; `undefined` while it does. */
	readonly missingSinceMs: number | undefined;
	/** Time until which the entry is kept although the store does not list it, as a leader has recently had a report. */
	readonly keptUntilMs: number;
};

/**
 * The platform's list of workers; keeps entries that the store lost in an outage until their workers can register
 * again.
 */
export class WorkerDirectory {
	readonly #records = new Map<string, DirectoryRecord>();
	/** Time until which entries that the store does not list are kept. */
	#keepMissingUntilMs = Number.NEGATIVE_INFINITY;

	/** Starts the period in which missing entries are kept, when the store is reachable again. */
	handleStoreReconnect(now: number): void {
		this.#keepMissingUntilMs = now + reregistrationMs;
	}

	/** Replaces the list; entries that are not in the new one are handled by `remove`. */
	replaceAll(entries: readonly WorkerEntry[], now: number): void {
		const listed = new Set(entries.map(({id}) => id));
		for (const id of this.#records.keys()) {
			if (!listed.has(id)) {
				this.remove(id, now);
			}
		}

		for (const entry of entries) {
			this.put(entry);
		}
	}

	/** Adds or replaces an entry that the store lists. */
	put(entry: WorkerEntry): void {
		this.#records.set(entry.id, {
			entry,
			missingSinceMs: undefined,
			keptUntilMs:
				this.#records.get(entry.id)?.keptUntilMs ?? Number.NEGATIVE_INFINITY,
		});
	}

	/** Adds a worker that the store may not list at present, although a leader was recently in contact with it. */
	addUnlisted(entry: WorkerEntry, now: number): void {
		const record = this.#records.get(entry.id);
		const keptUntilMs = now + reregistrationMs;
		if (record === undefined) {
			this.#keepMissingUntilMs = Math.max(
				this.#keepMissingUntilMs,
				keptUntilMs,
			);
			this.#records.set(entry.id, {entry, missingSinceMs: now, keptUntilMs});
		} else {
			this.#records.set(entry.id, {...record, keptUntilMs});
		}
	}

	/**
	 * Adds the workers of a list that the store does not list; only within the period for missing entries, and until its end.
	 * Returns whether there are any.
	 */
	addMissing(entries: readonly WorkerEntry[], now: number): boolean {
		const missing =
			now < this.#keepMissingUntilMs
				? entries.filter(({id}) => !this.#records.has(id))
				: [];
		for (const entry of missing) {
			this.#records.set(entry.id, {
				entry,
				missingSinceMs: now,
				keptUntilMs: Number.NEGATIVE_INFINITY,
			});
		}

		return missing.length > 0;
	}

	/**
	 * Removes a worker that the store no longer lists; within the period for missing entries, only marks it as missing.
	 */
	remove(id: string, now: number): void {
		const record = this.#records.get(id);
		if (record === undefined) {
			return;
		}

		if (now < Math.max(this.#keepMissingUntilMs, record.keptUntilMs)) {
			this.#records.set(id, {
				...record,
				missingSinceMs: record.missingSinceMs ?? now,
			});
		} else {
			this.#records.delete(id);
		}
	}

	/** Number of workers that are kept although the store, or the whole list of a peer, does not list them. */
	get unlistedCount(): number {
		return [...this.#records.values()].filter(
			({missingSinceMs}) => missingSinceMs !== undefined,
		).length;
	}

	/** Returns the workers that may be alive; drops those that have not registered again in time. */
	entries(now: number): readonly WorkerEntry[] {
		for (const [id, {missingSinceMs, keptUntilMs}] of this.#records) {
			if (
				missingSinceMs !== undefined &&
				now >= Math.max(this.#keepMissingUntilMs, keptUntilMs)
			) {
				this.#records.delete(id);
			}
		}

		return [...this.#records.values()].map(({entry}) => entry);
	}
}
