/** Builds the catalogue from pages of the log, from snapshots and from what peers know. It never moves back. */
import {z} from 'zod';
import {Catalogue} from './catalogue.js';
import {
	offsetRecordSchema,
	snapshotContentSchema,
	snapshotPlaceSchema,
	snapshotSchema,
	type OffsetRecord,
	type SnapshotPlace,
} from './catalogue-record.js';

/** Records that the log still keeps, read from an offset on. */
export type CataloguePage = {
	readonly records: readonly OffsetRecord[];
	readonly oldestOffset: number;
	readonly endOffset: number;
};

/** What one entry VM tells another of the catalogue: the records that it lacks, or everything. */
export const catalogueUpdateSchema = z
	.object({
		records: z.array(offsetRecordSchema).readonly(),
		snapshot: snapshotContentSchema.optional(),
		/** The newest snapshot in the log, so that the receiver does not write another one. */
		lastSnapshot: snapshotPlaceSchema.optional(),
	})
	.readonly();

/** What one entry VM tells another of the catalogue. */
export type CatalogueUpdate = z.infer<typeof catalogueUpdateSchema>;

/** Records kept to bring peers up to date that are a little behind. */
export const tailLength = 200;

type Gap = {
	readonly fromOffset: number;
	readonly records: readonly OffsetRecord[];
};

/** The replay's values; each step gives new ones. */
type ReplayState = {
	readonly catalogue: Catalogue;
	/** The latest records that the catalogue covers, without a gap up to its offset. */
	readonly tail: readonly OffsetRecord[];
	/** Records beyond a gap, kept until a snapshot bridges it. */
	readonly gap: Gap | undefined;
	readonly lastSnapshot: SnapshotPlace | undefined;
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

/** Builds the catalogue from pages of the log, from snapshots and from what peers know. */
export class CatalogueReplay {
	readonly #state: ReplayState;

	constructor(state: ReplayState = emptyState) {
		this.#state = state;
	}

	get catalogue(): Catalogue {
		return this.#state.catalogue;
	}

	/** The newest snapshot that was met in the log. */
	get lastSnapshot(): SnapshotPlace | undefined {
		return this.#state.lastSnapshot;
	}

	/** Offset of the oldest record that the log keeps, as last read. */
	get oldestOffset(): number {
		return this.#state.oldestOffset;
	}

	/** Offset from which to read next. */
	get readFrom(): number {
		const {gap, catalogue} = this.#state;
		return gap === undefined
			? catalogue.nextOffset
			: (gap.records.at(-1)?.offset ?? gap.fromOffset - 1) + 1;
	}

	/** Whether records that the catalogue needs are gone, and no snapshot has been found that covers them. */
	get hasGap(): boolean {
		return this.#state.gap !== undefined;
	}

	/** Whether the log keeps records that were left out between the catalogue and the gap's far side. */
	get hasSkipped(): boolean {
		const {gap, oldestOffset} = this.#state;
		return gap !== undefined && gap.fromOffset > oldestOffset;
	}

	/** Whether the log ended before the offset from which it was last read, so that it has lost records. */
	get isLogBehind(): boolean {
		return this.#state.isLogBehind;
	}

	/** Whether the last page was the log's end, and the catalogue covers it. */
	get isAtEnd(): boolean {
		return (
			!this.hasGap && this.#state.catalogue.nextOffset === this.#state.endOffset
		);
	}

	/** The replay after a page that was asked for from an offset on, which {@link readFrom} gave. */
	read(page: CataloguePage, askedFrom: number): CatalogueReplay {
		const {oldestOffset, endOffset} = page;
		const records = page.records.filter(({offset}) => offset >= this.readFrom);
		const firstOffset = records[0]?.offset ?? oldestOffset;
		const gap =
			firstOffset > this.readFrom
				? {fromOffset: firstOffset, records}
				: this.#state.gap && {
						fromOffset: this.#state.gap.fromOffset,
						records: [...this.#state.gap.records, ...records],
					};
		const state = {
			...this.#state,
			gap,
			oldestOffset,
			endOffset,
			isLogBehind: endOffset < askedFrom,
			lastSnapshot: newestSnapshot(records) ?? this.#state.lastSnapshot,
		};
		return new CatalogueReplay(
			gap === undefined ? advance(state, records) : bridge(state, gap),
		);
	}

	/** The replay after a peer's update; one that brings nothing new changes nothing. */
	learn(update: CatalogueUpdate): CatalogueReplay {
		const adopted = adopt(this.#state, update);
		const {nextOffset} = adopted.catalogue;
		const state = isWithoutGap(update.records, nextOffset)
			? advance(adopted, update.records)
			: adopted;
		const {gap} = state;
		return new CatalogueReplay(
			gap !== undefined && state.catalogue.nextOffset >= gap.fromOffset
				? advance({...state, gap: undefined}, gap.records)
				: state,
		);
	}

	/** The replay without the records beyond its gap, so that reading goes on where the catalogue ends. */
	withoutGap(): CatalogueReplay {
		return new CatalogueReplay({...this.#state, gap: undefined});
	}

	/** What brings a peer that lacks the records from an offset on up to date. */
	updateFor(fromOffset: number): CatalogueUpdate {
		const {tail, catalogue, lastSnapshot} = this.#state;
		const first = tail[0]?.offset ?? catalogue.nextOffset;
		const base = lastSnapshot === undefined ? {} : {lastSnapshot};
		return fromOffset >= first
			? {...base, records: tail.filter(({offset}) => offset >= fromOffset)}
			: {...base, records: [], snapshot: catalogue.toSnapshot()};
	}
}

/** Takes over a peer's whole catalogue when it is newer. */
function adopt(
	state: ReplayState,
	{snapshot, lastSnapshot}: CatalogueUpdate,
): ReplayState {
	const place =
		(lastSnapshot?.offset ?? -1) > (state.lastSnapshot?.offset ?? -1)
			? lastSnapshot
			: state.lastSnapshot;
	return snapshot !== undefined && snapshot.upTo > state.catalogue.nextOffset
		? {
				...state,
				lastSnapshot: place,
				catalogue: Catalogue.fromSnapshot(snapshot),
				tail: [],
			}
		: {...state, lastSnapshot: place};
}

function isWithoutGap(
	records: readonly OffsetRecord[],
	nextOffset: number,
): boolean {
	const news = records.filter(({offset}) => offset >= nextOffset);
	return news.every(({offset}, index) => offset === nextOffset + index);
}

function advance(
	state: ReplayState,
	records: readonly OffsetRecord[],
): ReplayState {
	const {nextOffset} = state.catalogue;
	const news = records.filter(({offset}) => offset >= nextOffset);
	return news.length === 0
		? state
		: {
				...state,
				catalogue: state.catalogue.applyAll(news),
				tail: [
					...state.tail,
					...news.map((record) => withoutSnapshot(record)),
				].slice(-tailLength),
			};
}

/** Snapshots are large, and whoever has the records before them does not need them. */
function withoutSnapshot({offset, record}: OffsetRecord): OffsetRecord {
	return {offset, record: isSnapshotLike(record) ? null : record};
}

/** Adopts the first snapshot that reaches over the gap, and applies the kept records that it does not cover. */
function bridge(state: ReplayState, gap: Gap): ReplayState {
	const snapshot = gap.records
		.map(({record}) => snapshotSchema.safeParse(record).data)
		.find(
			(candidate) =>
				candidate !== undefined && candidate.upTo >= gap.fromOffset,
		);
	if (snapshot === undefined) {
		return state;
	}

	return advance(
		{
			...state,
			catalogue: Catalogue.fromSnapshot(snapshot),
			tail: [],
			gap: undefined,
		},
		gap.records,
	);
}

function newestSnapshot(
	records: readonly OffsetRecord[],
): SnapshotPlace | undefined {
	return records
		.filter(({record}) => isSnapshotLike(record))
		.flatMap(({offset, record}) => {
			const {success, data} = snapshotSchema.safeParse(record);
			return success
				? [{offset, upTo: data.upTo, writtenAtMs: data.writtenAtMs}]
				: [];
		})
		.at(-1);
}

function isSnapshotLike(record: unknown): boolean {
	return (
		typeof record === 'object' &&
		record !== null &&
		'type' in record &&
		record.type === 'snapshot'
	);
}
