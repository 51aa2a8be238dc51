/** What operators write: catalogue entries, each a class of work with its limits, and teams with their quotas. */
import {z} from 'zod';
import {nameSchema} from './identifier.js';
import {maximumTasksPerJob} from './job.js';

/** What one task of an entry needs on a worker. */
export const needsSchema = z
	.strictObject({
		processors: z.number().positive().max(1024).default(1),
		memoryMb: z.number().int().positive().max(4_194_304).default(256),
		accelerators: z.number().int().nonnegative().max(64).default(0),
	})
	.readonly();

/** What one task of an entry needs on a worker. */
export type Needs = z.infer<typeof needsSchema>;

/** Concurrency in tasks and starts per second, over all entry VMs together. */
export const quotaSchema = z
	.strictObject({
		concurrency: z.number().int().positive().max(1_000_000),
		startsPerSecond: z.number().positive().max(1_000_000),
	})
	.readonly();

/** Concurrency in tasks and starts per second, over all entry VMs together. */
export type Quota = z.infer<typeof quotaSchema>;

/** One class of work and the limits that it must stay within. */
export const entrySchema = z
	.strictObject({
		kind: z.literal('entry'),
		name: nameSchema,
		/** The team that answers for this entry. */
		owner: nameSchema,
		classOfWork: nameSchema,
		/** Whether a task may run more than once without harm. It is informative: no task is started twice either way. */
		idempotent: z.boolean(),
		needs: needsSchema.default({processors: 1, memoryMb: 256, accelerators: 0}),
		limits: z
			.strictObject({
				concurrency: z.number().int().positive().max(1_000_000),
				startsPerSecond: z.number().positive().max(1_000_000),
				/** Longest time in milliseconds from arrival to answer. */
				deadlineMs: z.number().int().positive().max(3_600_000),
				largestJob: z.number().int().positive().max(maximumTasksPerJob),
				/** Limits of each team on this entry. */
				perTeam: quotaSchema.optional(),
			})
			.readonly(),
		/** Teams that may submit; absent means all. */
		teams: z.array(nameSchema).min(1).readonly().optional(),
	})
	.readonly();

/** One class of work and the limits that it must stay within. */
export type Entry = z.infer<typeof entrySchema>;

/** A team of callers or operators, with the hash of its token and its quota over all entries. */
export const teamSchema = z
	.strictObject({
		kind: z.literal('team'),
		name: nameSchema,
		/** SHA-256 of the team's bearer token, as lower-case hexadecimal. */
		tokenHash: z
			.string()
			.regex(/^[\da-f]{64}$/v, 'must be 64 lower-case hexadecimal digits'),
		role: z.enum(['caller', 'operator']).default('caller'),
		quota: quotaSchema,
	})
	.readonly();

/** A team of callers or operators, with the hash of its token and its quota over all entries. */
export type Team = z.infer<typeof teamSchema>;

/** Anything that operators keep in the catalogue. */
export const catalogueItemSchema = z.discriminatedUnion('kind', [
	entrySchema,
	teamSchema,
]);

/** Anything that operators keep in the catalogue. */
export type CatalogueItem = z.infer<typeof catalogueItemSchema>;

/** The kind and the name of a catalogue item. */
export type ItemKey = Pick<CatalogueItem, 'kind' | 'name'>;
