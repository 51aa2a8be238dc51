import {z} from 'zod';
import {catalogueItemSchema} from './catalogue-item.js';
import {nameSchema} from './identifier.js';

/** Longest edit identifier, in characters. */
export const maximumEditIdLength = 100;

/** Identifier of an edit. It must never be reused: a second record with the same identifier counts as a duplicate. */
export const editIdSchema = z.string().min(1).max(maximumEditIdLength);

const itemKindSchema = z.enum(['entry', 'team']);

/** A change to one item. It is accepted only if the item still has the revision that the edit is based on. */
export const editSchema = z
	.object({
		type: z.literal('edit'),
		editId: editIdSchema,
		kind: itemKindSchema,
		name: nameSchema,
		/** Revision that the item must have; 0 if it never existed. A deleted item keeps the revision of its deletion. */
		basedOn: z.number().int().nonnegative(),
		/** The item's new content, or `null` to delete it. */
		item: catalogueItemSchema.nullable(),
		/** Name of the operator team that made the edit, or `bootstrap` if the bootstrap token authorized it. */
		author: nameSchema,
		writtenAtMs: z.number(),
	})
	.refine(
		({kind, name, item}) =>
			item === null || (item.kind === kind && item.name === name),
		{path: ['item'], error: 'must have the same kind and name as the edit'},
	)
	.readonly();

/** A change to one item. */
export type Edit = z.infer<typeof editSchema>;

/** Cancels an edit whose append may or may not have succeeded, unless the edit precedes the withdrawal in the log. */
export const withdrawalSchema = z
	.object({type: z.literal('withdrawal'), editId: editIdSchema})
	.readonly();

/** Cancels an edit, unless the edit precedes the withdrawal in the log. */
export type Withdrawal = z.infer<typeof withdrawalSchema>;

/** One accepted edit in the history of an item. */
export const pastEditSchema = z
	.object({
		revision: z.number().int().positive(),
		editId: editIdSchema,
		author: nameSchema,
		writtenAtMs: z.number(),
		/** The item's content after the edit, or `null` if the edit deleted it. */
		item: catalogueItemSchema.nullable(),
	})
	.readonly();

/** One accepted edit in the history of an item. */
export type PastEdit = z.infer<typeof pastEditSchema>;

/** An item's most recent edits, newest first. The first one holds the current content. */
export const itemRecordSchema = z
	.object({
		kind: itemKindSchema,
		name: nameSchema,
		history: z.tuple([pastEditSchema], pastEditSchema).readonly(),
	})
	.readonly();

/** An item's most recent edits, newest first. */
export type ItemRecord = z.infer<typeof itemRecordSchema>;

/** The outcome of an edit, decided by the first record in the log that has the edit's identifier. */
export const editOutcomeSchema = z.discriminatedUnion('code', [
	z
		.object({
			code: z.literal('accepted'),
			/** Offset of the record that decided the outcome. */
			offset: z.number().int().nonnegative(),
			/** The item's revision after this edit. */
			revision: z.number().int().positive(),
		})
		.readonly(),
	z
		.object({
			code: z.literal('conflict'),
			offset: z.number().int().nonnegative(),
			/** The item's actual revision, which differs from the one that the edit was based on. */
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

/** The outcome of an edit. */
export type EditOutcome = z.infer<typeof editOutcomeSchema>;

/** The state of the catalogue after all records before an offset. */
export const snapshotContentSchema = z
	.object({
		/** Offset of the first record that the snapshot does not cover. */
		upTo: z.number().int().nonnegative(),
		items: z.array(itemRecordSchema).readonly(),
		/** Outcomes of the most recent edits by edit identifier, oldest first. */
		outcomes: z
			.array(z.tuple([editIdSchema, editOutcomeSchema]).readonly())
			.readonly(),
	})
	.readonly();

/** The state of the catalogue after all records before an offset. */
export type SnapshotContent = z.infer<typeof snapshotContentSchema>;

/** A record with the whole catalogue, so that the log can drop the records that it covers. */
export const snapshotSchema = z
	.object({
		type: z.literal('snapshot'),
		...snapshotContentSchema.unwrap().shape,
		/** Name of the entry VM that wrote the snapshot. */
		author: nameSchema,
		writtenAtMs: z.number(),
	})
	.readonly();

/** A record with the whole catalogue, so that the log can drop the records that it covers. */
export type Snapshot = z.infer<typeof snapshotSchema>;

/** The offset of a snapshot in the log, and the records that it covers. */
export const snapshotPositionSchema = z
	.object({
		offset: z.number().int().nonnegative(),
		upTo: z.number().int().nonnegative(),
		writtenAtMs: z.number(),
	})
	.readonly();

/** The offset of a snapshot in the log, and the records that it covers. */
export type SnapshotPosition = z.infer<typeof snapshotPositionSchema>;

/** A log record with its offset. */
export const offsetRecordSchema = z
	.object({offset: z.number().int().nonnegative(), record: z.unknown()})
	.readonly();

/** A log record with its offset. */
export type OffsetRecord = z.infer<typeof offsetRecordSchema>;
