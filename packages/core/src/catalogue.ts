import {
	type CatalogueItem,
	type Entry,
	type ItemKey,
	type Team,
} from './catalogue-item.js';
import {
	editSchema,
	withdrawalSchema,
	type Edit,
	type EditOutcome,
	type ItemRecord,
	type OffsetRecord,
	type PastEdit,
	type SnapshotContent,
} from './catalogue-record.js';

/** A catalogue item and the revision that its last accepted edit gave it. */
export type RevisedItem = {
	/** Offset of the accepted edit plus one, so that 0 means that the item never existed. */
	readonly revision: number;
	readonly item: CatalogueItem;
};

/** Largest number of past edits kept for each item. */
export const maxHistoryLength = 5;

/** Number of log records for which the outcome of an edit and the last revision of a deleted item are retained. */
export const retentionRecords = 2000;

type CatalogueState = {
	/** Item records by `kind/name`. */
	readonly items: ReadonlyMap<string, ItemRecord>;
	/** Outcomes by edit identifier, ordered by offset. */
	readonly outcomes: ReadonlyMap<string, EditOutcome>;
};

const emptyState: CatalogueState = {items: new Map(), outcomes: new Map()};

/** A mutable copy of a state, to which a batch of records is applied. */
type CatalogueDraft = {
	readonly items: Map<string, ItemRecord>;
	readonly outcomes: Map<string, EditOutcome>;
};

/**
 * An immutable view of the catalogue up to an offset of the log.
 *
 * The result depends only on the records and their order, so every entry VM that has read up to the same offset has the
 * same catalogue.
 */
export class Catalogue {
	/** Restores the catalogue from the content of a snapshot. */
	static fromSnapshot({upTo, items, outcomes}: SnapshotContent): Catalogue {
		return new Catalogue(upTo, {
			items: new Map(items.map((record) => [toMapKey(record), record])),
			outcomes: new Map(outcomes),
		});
	}

	/** Offset of the next record to apply. */
	readonly nextOffset: number;
	readonly #state: CatalogueState;

	constructor(nextOffset = 0, state = emptyState) {
		this.nextOffset = nextOffset;
		this.#state = state;
	}

	/** All items that are not deleted, with their revisions. */
	get items(): readonly RevisedItem[] {
		return [...this.#state.items.values()].flatMap(
			(record) => toRevisedItem(record) ?? [],
		);
	}

	/** Returns an item with its revision, or `undefined` if it does not exist or is deleted. */
	find(key: ItemKey): RevisedItem | undefined {
		const record = this.#state.items.get(toMapKey(key));
		return record && toRevisedItem(record);
	}

	/** Returns the revision that the next edit of this item must be based on: that of its last accepted edit or deletion. */
	currentRevision(key: ItemKey): number {
		return findRevision(this.#state, toMapKey(key), this.nextOffset);
	}

	/** Returns the most recent edits of an item, newest first; empty if it never existed or its deletion has expired. */
	history(key: ItemKey): readonly PastEdit[] {
		return this.currentRevision(key) === 0
			? []
			: (this.#state.items.get(toMapKey(key))?.history ?? []);
	}

	/** Returns the outcome of an edit, or `undefined` if none of the last {@link retentionRecords} records decided it. */
	outcome(editId: string): EditOutcome | undefined {
		return findOutcome(this.#state, editId, this.nextOffset);
	}

	/** Returns the entry with this name. */
	entry(name: string): Entry | undefined {
		const item = this.find({kind: 'entry', name})?.item;
		return item?.kind === 'entry' ? item : undefined;
	}

	/** Returns the team with this name. */
	team(name: string): Team | undefined {
		const item = this.find({kind: 'team', name})?.item;
		return item?.kind === 'team' ? item : undefined;
	}

	/** Returns the catalogue with one more record applied. */
	apply(offset: number, record: unknown): Catalogue {
		return this.applyAll([{offset, record}]);
	}

	/**
	 * Returns the catalogue with more records applied, which must be contiguous and in order of offset. Records that the
	 * catalogue already covers are skipped. Records of other types and edits that are not accepted leave the items unchanged
	 * and only advance the offset.
	 */
	applyAll(records: readonly OffsetRecord[]): Catalogue {
		const newRecords = records.filter(({offset}) => offset >= this.nextOffset);
		const last = newRecords.at(-1);
		if (last === undefined) {
			return this;
		}

		const draft: CatalogueDraft = {
			items: new Map(this.#state.items),
			outcomes: new Map(this.#state.outcomes),
		};
		for (const {offset, record} of newRecords) {
			applyRecord(draft, offset, record);
		}

		const nextOffset = last.offset + 1;
		removeExpired(draft, nextOffset);
		return new Catalogue(nextOffset, draft);
	}

	/** Returns the content of a snapshot of this catalogue, which is the same on every entry VM at the same offset. */
	toSnapshot(): SnapshotContent {
		return {
			upTo: this.nextOffset,
			items: [...this.#state.items.entries()]
				.toSorted(([a], [b]) => (a < b ? -1 : 1))
				.map(([, record]) => record),
			outcomes: [...this.#state.outcomes.entries()],
		};
	}
}

function toMapKey({kind, name}: ItemKey): string {
	return `${kind}/${name}`;
}

function toRevisedItem({
	history: [latest],
}: ItemRecord): RevisedItem | undefined {
	return latest.item === null
		? undefined
		: {revision: latest.revision, item: latest.item};
}

function applyRecord(
	draft: CatalogueDraft,
	offset: number,
	record: unknown,
): void {
	const edit = editSchema.safeParse(record);
	if (edit.success) {
		applyEdit(draft, offset, edit.data);
		return;
	}

	const withdrawal = withdrawalSchema.safeParse(record);
	if (withdrawal.success) {
		recordOutcome(draft, withdrawal.data.editId, {code: 'withdrawn', offset});
	}
}

function applyEdit(draft: CatalogueDraft, offset: number, edit: Edit): void {
	if (findOutcome(draft, edit.editId, offset) !== undefined) {
		return;
	}

	const key = toMapKey(edit);
	const presentRevision = findRevision(draft, key, offset);
	if (presentRevision !== edit.basedOn) {
		recordOutcome(draft, edit.editId, {
			code: 'conflict',
			offset,
			presentRevision,
		});
		return;
	}

	const revision = offset + 1;
	const {editId, kind, name, author, writtenAtMs, item} = edit;
	const previousEdits =
		presentRevision === 0 ? [] : (draft.items.get(key)?.history ?? []);
	draft.items.set(key, {
		kind,
		name,
		history: [
			{revision, editId, author, writtenAtMs, item},
			...previousEdits.slice(0, maxHistoryLength - 1),
		],
	});
	recordOutcome(draft, editId, {code: 'accepted', offset, revision});
}

/** Stores the outcome of an edit, unless an earlier record has already decided it. */
function recordOutcome(
	draft: CatalogueDraft,
	editId: string,
	outcome: EditOutcome,
): void {
	if (findOutcome(draft, editId, outcome.offset) === undefined) {
		// Deleting an expired outcome first moves the edit to the end of the map, which keeps the map ordered by offset.
		draft.outcomes.delete(editId);
		draft.outcomes.set(editId, outcome);
	}
}

function findOutcome(
	{outcomes}: CatalogueState,
	editId: string,
	nextOffset: number,
): EditOutcome | undefined {
	const outcome = outcomes.get(editId);
	return outcome !== undefined && isRetained(outcome.offset, nextOffset)
		? outcome
		: undefined;
}

function findRevision(
	{items}: CatalogueState,
	key: string,
	nextOffset: number,
): number {
	const latest = items.get(key)?.history[0];
	return latest === undefined || isExpiredDeletion(latest, nextOffset)
		? 0
		: latest.revision;
}

function isRetained(offset: number, nextOffset: number): boolean {
	return offset + retentionRecords >= nextOffset;
}

function isExpiredDeletion(latest: PastEdit, nextOffset: number): boolean {
	return latest.item === null && !isRetained(latest.revision - 1, nextOffset);
}

/** Removes outcomes and deleted items whose retention has ended. */
function removeExpired(draft: CatalogueDraft, nextOffset: number): void {
	for (const [editId, {offset}] of draft.outcomes) {
		if (isRetained(offset, nextOffset)) {
			break;
		}

		draft.outcomes.delete(editId);
	}

	for (const [key, {history}] of draft.items) {
		if (isExpiredDeletion(history[0], nextOffset)) {
			draft.items.delete(key);
		}
	}
}
