import {type CatalogueReplay} from './catalogue-replay.js';

/** Settings that control when an entry VM writes a snapshot of the catalogue to the log. */
export type SnapshotSettings = {
	/** Number of records after which the next snapshot is due. */
	readonly intervalRecords: number;
	/** Age of the newest snapshot after which the next one is due. The log must retain records for several times as long. */
	readonly intervalMs: number;
	/** Longest random delay before a due snapshot is written. One that another entry VM writes in the meantime replaces it. */
	readonly maxJitterMs: number;
};

/**
 * Why a snapshot is due.
 *
 * - `none-kept`: the log retains no snapshot, or not all records after the newest one.
 * - `records`: enough records have followed the newest snapshot.
 * - `age`: the newest snapshot is too old.
 */
export type SnapshotReason = 'none-kept' | 'records' | 'age';

/** Returns why a snapshot is due at `now`, or `undefined` if none is. */
export function findSnapshotReason(
	replay: CatalogueReplay,
	settings: SnapshotSettings,
	now: number,
): SnapshotReason | undefined {
	const {catalogue, lastSnapshot, oldestOffset} = replay;
	if (catalogue.nextOffset === 0 || catalogue.nextOffset < oldestOffset) {
		return undefined;
	}

	if (lastSnapshot === undefined || lastSnapshot.upTo < oldestOffset) {
		return 'none-kept';
	}

	if (catalogue.nextOffset - lastSnapshot.upTo >= settings.intervalRecords) {
		return 'records';
	}

	return now - lastSnapshot.writtenAtMs >= settings.intervalMs
		? 'age'
		: undefined;
}

/** Delays due snapshots by a random jitter, so that usually only one entry VM writes each snapshot. */
export class SnapshotSchedule {
	readonly #settings: SnapshotSettings;
	readonly #random: () => number;
	#writeAtMs: number | undefined;

	/** `random` returns numbers from 0 to 1. */
	constructor(settings: SnapshotSettings, random: () => number) {
		this.#settings = settings;
		this.#random = random;
	}

	/**
	 * Returns why to write a snapshot now, or `undefined` if none is due or the jitter has not elapsed. The caller must write
	 * the snapshot; if it does not appear in the log, the next call starts a new delay.
	 */
	checkDue(replay: CatalogueReplay, now: number): SnapshotReason | undefined {
		const reason = findSnapshotReason(replay, this.#settings, now);
		if (reason === undefined) {
			this.#writeAtMs = undefined;
			return undefined;
		}

		this.#writeAtMs ??= now + this.#random() * this.#settings.maxJitterMs;
		if (now < this.#writeAtMs) {
			return undefined;
		}

		this.#writeAtMs = undefined;
		return reason;
	}
}
