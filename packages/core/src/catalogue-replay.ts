import {z} from 'zod';
import {Catalogue} from './catalogue.js';
import {
	offsetRecordSchema,
	snapshotContentSchema,
	snapshotPositionSchema,
	snapshotSchema,
	type OffsetRecord,
	type SnapshotPosition,
} from './catalogue-record.js';

/** The result of one read of the catalogue's log. */
export type CatalogueLogPage = {
	/** Consecutive records, starting at the requested offset or at the oldest retained record after it. */
	readonly records: readonly OffsetRecord[];
	/** Offset of the oldest record that the log retains. */
	readonly oldestOffset: number;
	/** Offset that the next appended record will get. */
	readonly endOffset: number;
};

/** Brings another entry VM up to date: either the records that it lacks or a snapshot of the whole catalogue. */
export const catalogueUpdateSchema = z
	.object({
		records: z.array(offsetRecordSchema).readonly(),
		snapshot: snapshotContentSchema.optional(),
		/** The newest snapshot that the sender has found in the log, so that the receiver does not write another one. */
		lastSnapshot: snapshotPositionSchema.optional(),
	})
	.readonly();

/** Brings another entry VM up to date: either the records that it lacks or a snapshot of the whole catalogue. */
export type CatalogueUpdate = z.infer<typeof catalogueUpdateSchema>;

/** Number of applied records kept in memory, so that a peer that lacks only these needs no snapshot. */
export const maxTailRecords = 200;

/** A range of records that were not read, between the end of the catalogue and later records. */
type LogGap = {
	/** Offset of the first record after the gap. */
	readonly firstOffsetAfter: number;
	/** Records read after the gap, not applied yet. */
	readonly recordsAfter: readonly OffsetRecord[];
};

/** The immutable state of a replay; each step creates a new one. */
type ReplayState = {
	readonly catalogue: Catalogue;
	/** The last records applied to the catalogue, contiguous up to its offset. */
	readonly tail: readonly OffsetRecord[];
	/** The gap after the catalogue, if any, and the records after it, kept until a snapshot covers the gap. */
	readonly gap: LogGap | undefined;
	readonly lastSnapshot: SnapshotPosition | undefined;
	readonly oldestOffset: number;
	readonly endOffset: number;
	readonly isLogBehind: boolean;
};

const emptyState: ReplayState = {
	catalogue: new Catalogue(),
	tail: [],
	gap: undefined,
	lastSnapshot: undefined,
	oldestOffset: 0,
	endOffset: 0,
	isLogBehind: false,
};

/**
 * Builds the catalogue from pages of the log, from snapshots and from updates sent by peers.
 *
 * Instances are immutable. The catalogue's offset never decreases from one step to the next.
 */
export class CatalogueReplay {
	readonly #state: ReplayState;

	constructor(state: ReplayState = emptyState) {
		this.#state = state;
	}

	/** The catalogue built so far. */
	get catalogue(): Catalogue {
		return this.#state.catalogue;
	}

	/** Position of the newest snapshot known to be in the log. */
	get lastSnapshot(): SnapshotPosition | undefined {
		return this.#state.lastSnapshot;
	}

	/** Offset of the oldest record that the log retained at the last read. */
	get oldestOffset(): number {
		return this.#state.oldestOffset;
	}

	/** Offset from which to read the next page. */
	get nextReadOffset(): number {
		const {gap, catalogue} = this.#state;
		return gap === undefined
			? catalogue.nextOffset
			: (gap.recordsAfter.at(-1)?.offset ?? gap.firstOffsetAfter - 1) + 1;
	}

	/** Whether records that the catalogue needs were not read, and no snapshot that covers them has been found. */
	get hasGap(): boolean {
		return this.#state.gap !== undefined;
	}

	/** Whether the log still retains records inside the gap, which a read from the catalogue's end would return. */
	get hasSkippedRecords(): boolean {
		const {gap, oldestOffset} = this.#state;
		return gap !== undefined && gap.firstOffsetAfter > oldestOffset;
	}

	/** Whether the log ended before the offset requested by the last read, which means that it has lost records. */
	get isLogBehind(): boolean {
		return this.#state.isLogBehind;
	}

	/** Whether the catalogue covers every record up to the end of the log as last read. */
	get isAtLogEnd(): boolean {
		return (
			!this.hasGap && this.#state.catalogue.nextOffset === this.#state.endOffset
		);
	}

	/** Applies a page that was read from `requestedOffset`, normally {@link nextReadOffset}. */
	applyPage(page: CatalogueLogPage, requestedOffset: number): CatalogueReplay {
		const {oldestOffset, endOffset} = page;
		const records = page.records.filter(
			({offset}) => offset >= this.nextReadOffset,
		);
		const firstOffset = records[0]?.offset ?? oldestOffset;
		const gap =
			firstOffset > this.nextReadOffset
				? {firstOffsetAfter: firstOffset, recordsAfter: records}
				: this.#state.gap && {
						firstOffsetAfter: this.#state.gap.firstOffsetAfter,
						recordsAfter: [...this.#state.gap.recordsAfter, ...records],
					};
		const state = {
			...this.#state,
			gap,
			oldestOffset,
			endOffset,
			isLogBehind: endOffset < requestedOffset,
			lastSnapshot: findNewestSnapshot(records) ?? this.#state.lastSnapshot,
		};
		return new CatalogueReplay(
			gap === undefined
				? applyNewRecords(state, records)
				: bridgeGap(state, gap),
		);
	}

	/** Applies an update from a peer; an update that is not newer has no effect. */
	applyPeerUpdate(update: CatalogueUpdate): CatalogueReplay {
		const adopted = adoptSnapshot(this.#state, update);
		const {nextOffset} = adopted.catalogue;
		const state = isContiguous(update.records, nextOffset)
			? applyNewRecords(adopted, update.records)
			: adopted;
		const {gap} = state;
		return new CatalogueReplay(
			gap !== undefined && state.catalogue.nextOffset >= gap.firstOffsetAfter
				? applyNewRecords({...state, gap: undefined}, gap.recordsAfter)
				: state,
		);
	}

	/** Discards the gap and the records after it, so that the next read continues from the end of the catalogue. */
	withoutGap(): CatalogueReplay {
		return new CatalogueReplay({...this.#state, gap: undefined});
	}

	/** Creates the update for a peer that lacks the records from `fromOffset` on. */
	createPeerUpdate(fromOffset: number): CatalogueUpdate {
		const {tail, catalogue, lastSnapshot} = this.#state;
		const first = tail[0]?.offset ?? catalogue.nextOffset;
		const base = lastSnapshot === undefined ? {} : {lastSnapshot};
		return fromOffset >= first
			? {...base, records: tail.filter(({offset}) => offset >= fromOffset)}
			: {...base, records: [], snapshot: catalogue.toSnapshot()};
	}
}

/** Replaces the catalogue with a peer's snapshot, and the position of the newest snapshot, if they are newer. */
function adoptSnapshot(
	state: ReplayState,
	{snapshot, lastSnapshot}: CatalogueUpdate,
): ReplayState {
	const newestPosition =
		(lastSnapshot?.offset ?? -1) > (state.lastSnapshot?.offset ?? -1)
			? lastSnapshot
			: state.lastSnapshot;
	return snapshot !== undefined && snapshot.upTo > state.catalogue.nextOffset
		? {
				...state,
				lastSnapshot: newestPosition,
				catalogue: Catalogue.fromSnapshot(snapshot),
				tail: [],
			}
		: {...state, lastSnapshot: newestPosition};
}

/** Whether the records from `nextOffset` on follow each other without a gap. */
function isContiguous(
	records: readonly OffsetRecord[],
	nextOffset: number,
): boolean {
	const newRecords = records.filter(({offset}) => offset >= nextOffset);
	return newRecords.every(({offset}, index) => offset === nextOffset + index);
}

/** Applies the records that the catalogue does not cover yet, and adds them to the tail. */
function applyNewRecords(
	state: ReplayState,
	records: readonly OffsetRecord[],
): ReplayState {
	const {nextOffset} = state.catalogue;
	const newRecords = records.filter(({offset}) => offset >= nextOffset);
	return newRecords.length === 0
		? state
		: {
				...state,
				catalogue: state.catalogue.applyAll(newRecords),
				tail: [
					...state.tail,
					...newRecords.map((record) => stripSnapshot(record)),
				].slice(-maxTailRecords),
			};
}

/** Replaces a snapshot with `null` for the tail: it is large, and a peer that has the records before it does not need it. */
function stripSnapshot({offset, record}: OffsetRecord): OffsetRecord {
	return {offset, record: hasSnapshotType(record) ? null : record};
}

/** Closes the gap with the first snapshot that covers it, and applies the records after the gap that it does not cover. */
function bridgeGap(state: ReplayState, gap: LogGap): ReplayState {
	const snapshot = gap.recordsAfter
		.map(({record}) => snapshotSchema.safeParse(record).data)
		.find(
			(candidate) =>
				candidate !== undefined && candidate.upTo >= gap.firstOffsetAfter,
		);
	if (snapshot === undefined) {
		return state;
	}

	return applyNewRecords(
		{
			...state,
			catalogue: Catalogue.fromSnapshot(snapshot),
			tail: [],
			gap: undefined,
		},
		gap.recordsAfter,
	);
}

function findNewestSnapshot(
	records: readonly OffsetRecord[],
): SnapshotPosition | undefined {
	return records
		.filter(({record}) => hasSnapshotType(record))
		.flatMap(({offset, record}) => {
			const {success, data} = snapshotSchema.safeParse(record);
			return success
				? [{offset, upTo: data.upTo, writtenAtMs: data.writtenAtMs}]
				: [];
		})
		.at(-1);
}

function hasSnapshotType(record: unknown): boolean {
	return (
		typeof record === 'object' &&
		record !== null &&
		'type' in record &&
		record.type === 'snapshot'
	);
}
