/** The catalogue as the log's records make it: the same records in the same order give the same catalogue everywhere. */
import {z} from 'zod';
import {
	catalogueItemSchema,
	type CatalogueItem,
	type Entry,
	type ItemKey,
	type Team,
} from './catalogue-entry.js';
import {nameSchema} from './identifier.js';

/** A change of one item. It holds only when the item still has the revision that the change was based on. */
export const editSchema = z
	.object({
		type: z.literal('edit'),
		/** Unique for ever, so that a record which was appended twice counts once. */
		editId: z.string().min(1).max(100),
		kind: z.enum(['entry', 'team']),
		name: nameSchema,
		/** Revision of the item that the change was based on; 0 for an item that does not exist. */
		basedOn: z.number().int().nonnegative(),
		/** The item's new content; `null` deletes it. */
		item: catalogueItemSchema.nullable(),
		author: nameSchema,
		writtenAtMs: z.number(),
	})
	.readonly();

/** A change of one item. */
export type Edit = z.infer<typeof editSchema>;

/** One item with the revision that its last accepted change gave it. */
export type RevisedItem = {
	/** Offset of the accepted edit plus one, so that 0 means "does not exist". */
	readonly revision: number;
	readonly item: CatalogueItem;
};

/** The catalogue up to an offset of the log. */
export class Catalogue {
	/** Offset of the next record to apply. */
	readonly nextOffset: number;
	readonly #items: ReadonlyMap<string, RevisedItem>;

	constructor(
		nextOffset = 0,
		items: ReadonlyMap<string, RevisedItem> = new Map(),
	) {
		this.nextOffset = nextOffset;
		this.#items = items;
	}

	/** All items with their revisions. */
	get items(): readonly RevisedItem[] {
		return [...this.#items.values()];
	}

	/** One item with its revision. */
	find({kind, name}: ItemKey): RevisedItem | undefined {
		return this.#items.get(`${kind}/${name}`);
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

	/** The catalogue after one more record. Records that are not edits, and edits that do not hold, change only the offset. */
	apply(offset: number, record: unknown): Catalogue {
		const nextOffset = offset + 1;
		const parsed = editSchema.safeParse(record);
		if (!parsed.success) {
			return new Catalogue(nextOffset, this.#items);
		}

		const edit = parsed.data;
		const key = `${edit.kind}/${edit.name}`;
		if ((this.#items.get(key)?.revision ?? 0) !== edit.basedOn) {
			return new Catalogue(nextOffset, this.#items);
		}

		const items = new Map(this.#items);
		if (edit.item === null) {
			items.delete(key);
		} else {
			items.set(key, {revision: nextOffset, item: edit.item});
		}

		return new Catalogue(nextOffset, items);
	}
}
