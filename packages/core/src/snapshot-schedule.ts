/** Decides when an entry VM writes the catalogue to the log again. */
import {type CatalogueReplay} from './catalogue-replay.js';

/** Settings of the snapshots. Durations are in milliseconds. */
export type SnapshotLimits = {
	/** Records after which the next snapshot is due. */
	readonly everyRecords: number;
	/** Age after which the next snapshot is due; the log has to keep records for several times as long. */
	readonly everyMs: number;
	/** Longest random wait before writing, in which a snapshot by another entry VM makes this one needless. */
	readonly jitterMs: number;
};

/** Why a snapshot is due. */
export type SnapshotReason = 'none-kept' | 'records' | 'age';

/** Why the log needs a snapshot now; `undefined` when it does not. */
export function snapshotReason(
	replay: CatalogueReplay,
	limits: SnapshotLimits,
	now: number,
): SnapshotReason | undefined {
	const {catalogue, lastSnapshot, oldestOffset} = replay;
	if (catalogue.nextOffset === 0 || catalogue.nextOffset < oldestOffset) {
		return undefined;
	}

	if (lastSnapshot === undefined || lastSnapshot.upTo < oldestOffset) {
		return 'none-kept';
	}

	if (catalogue.nextOffset - lastSnapshot.upTo >= limits.everyRecords) {
		return 'records';
	}

	return now - lastSnapshot.writtenAtMs >= limits.everyMs ? 'age' : undefined;
}

/** Spreads the writers of snapshots over time, so that mostly one of them writes. */
export class SnapshotSchedule {
	readonly #limits: SnapshotLimits;
	readonly #random: () => number;
	#writeAtMs: number | undefined;

	/** `random` gives numbers from 0 to 1. */
	constructor(limits: SnapshotLimits, random: () => number) {
		this.#limits = limits;
		this.#random = random;
	}

	/** Why to write a snapshot now. After a write that does not show in the log, a new wait begins. */
	due(replay: CatalogueReplay, now: number): SnapshotReason | undefined {
		const reason = snapshotReason(replay, this.#limits, now);
		if (reason === undefined) {
			this.#writeAtMs = undefined;
			return undefined;
		}

		this.#writeAtMs ??= now + this.#random() * this.#limits.jitterMs;
		if (now < this.#writeAtMs) {
			return undefined;
		}

		this.#writeAtMs = undefined;
		return reason;
	}
}
