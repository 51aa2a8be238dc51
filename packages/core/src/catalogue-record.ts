/** Records of the catalogue's stream on the platform's log. */
import {z} from 'zod';
import {catalogueItemSchema} from './catalogue-entry.js';
import {nameSchema} from './identifier.js';

/** Characters of an edit identifier at most. */
export const maximumEditIdLength = 100;

/** An identifier of an edit, unique for ever: a record that was appended twice counts once. */
export const editIdSchema = z.string().min(1).max(maximumEditIdLength);

const itemKindSchema = z.enum(['entry', 'team']);

/** A change of one item. It holds only when the item still has the revision that the change was based on. */
export const editSchema = z
	.object({
		type: z.literal('edit'),
		editId: editIdSchema,
		kind: itemKindSchema,
		name: nameSchema,
		/** Revision that the item must have; 0 for one that never existed. A deleted item keeps the revision of its deletion. */
		basedOn: z.number().int().nonnegative(),
		/** The item's new content; `null` deletes it. */
		item: catalogueItemSchema.nullable(),
		author: nameSchema,
		writtenAtMs: z.number(),
	})
	.refine(
		({kind, name, item}) =>
			item === null || (item.kind === kind && item.name === name),
		{path: ['item'], error: 'must have the kind and the name of the edit'},
	)
	.readonly();

/** A change of one item. */
export type Edit = z.infer<typeof editSchema>;

/** Makes an edit whose append has an unknown outcome void, unless the edit stands before it in the log. */
export const withdrawalSchema = z
	.object({type: z.literal('withdrawal'), editId: editIdSchema})
	.readonly();

/** Makes an edit void, unless the edit stands before it in the log. */
export type Withdrawal = z.infer<typeof withdrawalSchema>;

/** One past change of an item. */
export const pastEditSchema = z
	.object({
		revision: z.number().int().positive(),
		editId: editIdSchema,
		author: nameSchema,
		writtenAtMs: z.number(),
		/** The content that the change gave the item; `null` for a deletion. */
		item: catalogueItemSchema.nullable(),
	})
	.readonly();

/** One past change of an item. */
export type PastEdit = z.infer<typeof pastEditSchema>;

/** What an item is now, with its latest changes, newest first. The first of them gave it its present content. */
export const itemRecordSchema = z
	.object({
		kind: itemKindSchema,
		name: nameSchema,
		history: z.tuple([pastEditSchema], pastEditSchema).readonly(),
	})
	.readonly();

/** What an item is now, with its latest changes. */
export type ItemRecord = z.infer<typeof itemRecordSchema>;

/** What became of an edit. */
export const editOutcomeSchema = z.discriminatedUnion('code', [
	z
		.object({
			code: z.literal('accepted'),
			/** Offset of the record that decided. */
			offset: z.number().int().nonnegative(),
			/** The item's revision from this edit on. */
			revision: z.number().int().positive(),
		})
		.readonly(),
	z
		.object({
			code: z.literal('conflict'),
			offset: z.number().int().nonnegative(),
			/** Revision that the item had instead of the one that the edit was based on. */
			presentRevision: z.number().int().nonnegative(),
		})
		.readonly(),
	z
		.object({
			code: z.literal('withdrawn'),
			offset: z.number().int().nonnegative(),
		})
		.readonly(),
]);

/** What became of an edit. */
export type EditOutcome = z.infer<typeof editOutcomeSchema>;

/** The catalogue as the records before an offset made it. */
export const snapshotContentSchema = z
	.object({
		/** Offset of the first record that is not covered. */
		upTo: z.number().int().nonnegative(),
		items: z.array(itemRecordSchema).readonly(),
		/** Outcomes of the latest edits, oldest first. */
		outcomes: z
			.array(z.tuple([editIdSchema, editOutcomeSchema]).readonly())
			.readonly(),
	})
	.readonly();

/** The catalogue as the records before an offset made it. */
export type SnapshotContent = z.infer<typeof snapshotContentSchema>;

/** The catalogue written again, so that the records that it covers may be dropped. */
export const snapshotSchema = z
	.object({
		type: z.literal('snapshot'),
		...snapshotContentSchema.unwrap().shape,
		/** Entry VM that wrote it. */
		author: nameSchema,
		writtenAtMs: z.number(),
	})
	.readonly();

/** The catalogue written again, so that the records that it covers may be dropped. */
export type Snapshot = z.infer<typeof snapshotSchema>;

/** A snapshot's place in the log. */
export const snapshotPlaceSchema = z
	.object({
		offset: z.number().int().nonnegative(),
		upTo: z.number().int().nonnegative(),
		writtenAtMs: z.number(),
	})
	.readonly();

/** A snapshot's place in the log. */
export type SnapshotPlace = z.infer<typeof snapshotPlaceSchema>;

/** A record with its place in the log. */
export const offsetRecordSchema = z
	.object({offset: z.number().int().nonnegative(), record: z.unknown()})
	.readonly();

/** A record with its place in the log. */
export type OffsetRecord = z.infer<typeof offsetRecordSchema>;
