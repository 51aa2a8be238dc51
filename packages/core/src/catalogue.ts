/** The catalogue as the log's records make it: the same records in the same order give the same catalogue everywhere. */
import {
	type CatalogueItem,
	type Entry,
	type ItemKey,
	type Team,
} from './catalogue-entry.js';
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

/** One item with the revision that its last accepted change gave it. */
export type RevisedItem = {
	/** Offset of the accepted edit plus one, so that 0 means "never existed". */
	readonly revision: number;
	readonly item: CatalogueItem;
};

/** Changes of one item that are kept. */
export const historyLength = 5;

/** Records of the log after which an edit's outcome, and a deleted item's last revision, are forgotten. */
export const memoryRecords = 2000;

type State = {
	readonly items: ReadonlyMap<string, ItemRecord>;
	/** In the order of their offsets. */
	readonly outcomes: ReadonlyMap<string, EditOutcome>;
};

const emptyState: State = {items: new Map(), outcomes: new Map()};

type Draft = {
	readonly items: Map<string, ItemRecord>;
	readonly outcomes: Map<string, EditOutcome>;
};

/** The catalogue up to an offset of the log. */
export class Catalogue {
	/** The catalogue that a snapshot describes. */
	static fromSnapshot({upTo, items, outcomes}: SnapshotContent): Catalogue {
		return new Catalogue(upTo, {
			items: new Map(items.map((record) => [keyOf(record), record])),
			outcomes: new Map(outcomes),
		});
	}

	/** Offset of the next record to apply. */
	readonly nextOffset: number;
	readonly #state: State;

	constructor(nextOffset = 0, state = emptyState) {
		this.nextOffset = nextOffset;
		this.#state = state;
	}

	/** All items with their revisions, deleted ones left out. */
	get items(): readonly RevisedItem[] {
		return [...this.#state.items.values()].flatMap(
			(record) => revisedItem(record) ?? [],
		);
	}

	/** One item with its revision. */
	find(key: ItemKey): RevisedItem | undefined {
		const record = this.#state.items.get(keyOf(key));
		return record && revisedItem(record);
	}

	/** The revision that a change of this item has to be based on: that of its last change, a deletion included. */
	revisionOf(key: ItemKey): number {
		return revisionIn(this.#state, keyOf(key), this.nextOffset);
	}

	/** The latest changes of an item, newest first. */
	history(key: ItemKey): readonly PastEdit[] {
		return this.revisionOf(key) === 0
			? []
			: (this.#state.items.get(keyOf(key))?.history ?? []);
	}

	/** What became of an edit; `undefined` when it is not among the latest records. */
	outcome(editId: string): EditOutcome | undefined {
		return outcomeIn(this.#state, editId, this.nextOffset);
	}

	/** The entry with this name. */
	entry(name: string): Entry | undefined {
		const item = this.find({kind: 'entry', name})?.item;
		return item?.kind === 'entry' ? item : undefined;
	}

	/** The team with this name. */
	team(name: string): Team | undefined {
		const item = this.find({kind: 'team', name})?.item;
		return item?.kind === 'team' ? item : undefined;
	}

	/** The catalogue after one more record. */
	apply(offset: number, record: unknown): Catalogue {
		return this.applyAll([{offset, record}]);
	}

	/**
	 * The catalogue after more records, in the order of their offsets and without a gap. Records that it covers already are
	 * passed over; records that are not edits, and edits that do not hold, change only the offset.
	 */
	applyAll(records: readonly OffsetRecord[]): Catalogue {
		const news = records.filter(({offset}) => offset >= this.nextOffset);
		const last = news.at(-1);
		if (last === undefined) {
			return this;
		}

		const draft: Draft = {
			items: new Map(this.#state.items),
			outcomes: new Map(this.#state.outcomes),
		};
		for (const {offset, record} of news) {
			applyRecord(draft, offset, record);
		}

		const nextOffset = last.offset + 1;
		forget(draft, nextOffset);
		return new Catalogue(nextOffset, draft);
	}

	/** What a snapshot of this catalogue says. Catalogues with the same offset give the same content. */
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

function keyOf({kind, name}: ItemKey): string {
	return `${kind}/${name}`;
}

function revisedItem({history: [last]}: ItemRecord): RevisedItem | undefined {
	return last.item === null
		? undefined
		: {revision: last.revision, item: last.item};
}

function applyRecord(draft: Draft, offset: number, record: unknown): void {
	const edit = editSchema.safeParse(record);
	if (edit.success) {
		applyEdit(draft, offset, edit.data);
		return;
	}

	const withdrawal = withdrawalSchema.safeParse(record);
	if (withdrawal.success) {
		decide(draft, withdrawal.data.editId, {code: 'withdrawn', offset});
	}
}

function applyEdit(draft: Draft, offset: number, edit: Edit): void {
	if (outcomeIn(draft, edit.editId, offset) !== undefined) {
		return;
	}

	const key = keyOf(edit);
	const presentRevision = revisionIn(draft, key, offset);
	if (presentRevision !== edit.basedOn) {
		decide(draft, edit.editId, {code: 'conflict', offset, presentRevision});
		return;
	}

	const revision = offset + 1;
	const {editId, kind, name, author, writtenAtMs, item} = edit;
	const past =
		presentRevision === 0 ? [] : (draft.items.get(key)?.history ?? []);
	draft.items.set(key, {
		kind,
		name,
		history: [
			{revision, editId, author, writtenAtMs, item},
			...past.slice(0, historyLength - 1),
		],
	});
	decide(draft, editId, {code: 'accepted', offset, revision});
}

/** The first record about an edit decides; what comes later changes nothing. */
function decide(draft: Draft, editId: string, outcome: EditOutcome): void {
	if (outcomeIn(draft, editId, outcome.offset) === undefined) {
		// An outcome that is past the memory leaves its place, so that the order stays that of the offsets.
		draft.outcomes.delete(editId);
		draft.outcomes.set(editId, outcome);
	}
}

function outcomeIn(
	{outcomes}: State,
	editId: string,
	nextOffset: number,
): EditOutcome | undefined {
	const outcome = outcomes.get(editId);
	return outcome !== undefined && isRemembered(outcome.offset, nextOffset)
		? outcome
		: undefined;
}

function revisionIn({items}: State, key: string, nextOffset: number): number {
	const last = items.get(key)?.history[0];
	return last === undefined || isForgotten(last, nextOffset)
		? 0
		: last.revision;
}

function isRemembered(offset: number, nextOffset: number): boolean {
	return offset + memoryRecords >= nextOffset;
}

function isForgotten(last: PastEdit, nextOffset: number): boolean {
	return last.item === null && !isRemembered(last.revision - 1, nextOffset);
}

function forget(draft: Draft, nextOffset: number): void {
	for (const [editId, {offset}] of draft.outcomes) {
		if (isRemembered(offset, nextOffset)) {
			break;
		}

		draft.outcomes.delete(editId);
	}

	for (const [key, {history}] of draft.items) {
		if (isForgotten(history[0], nextOffset)) {
			draft.items.delete(key);
		}
	}
}
