/** The platform's list of workers, as far as it can be believed while the store is away or has just come back. */
import {type WorkerEntry} from './pool-worker.js';

/**
 * Time in milliseconds after the store's return within which workers whose entries lapsed meanwhile register again: the
 * platform says about two seconds.
 */
const registerAgainMs = 2500;

type Known = {
	readonly entry: WorkerEntry;
	/** Since when the store does not list it. */
	readonly missingSinceMs: number | undefined;
};

/** The platform's list of workers. */
export class WorkerDirectory {
	readonly #known = new Map<string, Known>();
	/** Entries that are missing are kept until then. */
	#keptUntilMs = Number.NEGATIVE_INFINITY;

	/** The store has answered again after it was out of reach. */
	storeReturned(now: number): void {
		this.#keptUntilMs = now + registerAgainMs;
	}

	/** Takes in the whole list. */
	replace(entries: readonly WorkerEntry[], now: number): void {
		const listed = new Set(entries.map(({id}) => id));
		for (const id of this.#known.keys()) {
			if (!listed.has(id)) {
				this.remove(id, now);
			}
		}

		for (const entry of entries) {
			this.put(entry);
		}
	}

	/** Takes in one entry. */
	put(entry: WorkerEntry): void {
		this.#known.set(entry.id, {entry, missingSinceMs: undefined});
	}

	/** Another entry VM has lately had contact with a worker that the store may not list at present. */
	vouch(entry: WorkerEntry, now: number): void {
		if (!this.#known.has(entry.id)) {
			this.#keptUntilMs = Math.max(this.#keptUntilMs, now + registerAgainMs);
			this.#known.set(entry.id, {entry, missingSinceMs: now});
		}
	}

	/** The store no longer lists a worker. */
	remove(id: string, now: number): void {
		const known = this.#known.get(id);
		if (known === undefined) {
			return;
		}

		if (now < this.#keptUntilMs) {
			this.#known.set(id, {
				...known,
				missingSinceMs: known.missingSinceMs ?? now,
			});
		} else {
			this.#known.delete(id);
		}
	}

	/** Workers that may be alive; drops those that have not registered again in time. */
	entries(now: number): readonly WorkerEntry[] {
		for (const [id, {missingSinceMs}] of this.#known) {
			if (missingSinceMs !== undefined && now >= this.#keptUntilMs) {
				this.#known.delete(id);
			}
		}

		return [...this.#known.values()].map(({entry}) => entry);
	}
}
