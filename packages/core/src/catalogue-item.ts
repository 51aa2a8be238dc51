import {z} from 'zod';
import {nameSchema} from './identifier.js';
import {maximumTasksPerJob} from './job.js';

/** Resources that one task of an entry needs on a worker. */
export const needsSchema = z
	.strictObject({
		processors: z.number().positive().max(1024).default(1),
		memoryMb: z.number().int().positive().max(4_194_304).default(256),
		accelerators: z.number().int().nonnegative().max(64).default(0),
	})
	.readonly();

/** Resources that one task of an entry needs on a worker. */
export type Needs = z.infer<typeof needsSchema>;

/** Limits on concurrent tasks and on task starts per second, summed over all entry VMs. */
export const quotaSchema = z
	.strictObject({
		concurrency: z.number().int().positive().max(1_000_000),
		startsPerSecond: z.number().positive().max(1_000_000),
	})
	.readonly();

/** Limits on concurrent tasks and on task starts per second, summed over all entry VMs. */
export type Quota = z.infer<typeof quotaSchema>;

/** An entry: a class of work with its resource needs and limits. */
export const entrySchema = z
	.strictObject({
		kind: z.literal('entry'),
		name: nameSchema,
		/** Name of the team that is responsible for this entry. */
		owner: nameSchema,
		classOfWork: nameSchema,
		/** Whether a task can safely run more than once. Informational only: no task is started twice in either case. */
		idempotent: z.boolean(),
		needs: needsSchema.default({processors: 1, memoryMb: 256, accelerators: 0}),
		limits: z
			.strictObject({
				concurrency: z.number().int().positive().max(1_000_000),
				startsPerSecond: z.number().positive().max(1_000_000),
				/** Longest time in milliseconds from the arrival of a job to its answer. */
				deadlineMs: z.number().int().positive().max(3_600_000),
				/** Largest number of tasks in one job. */
				largestJob: z.number().int().positive().max(maximumTasksPerJob),
				/** Limits for each team's use of this entry; at most the limits of the entry. */
				perTeam: quotaSchema.optional(),
			})
			.readonly(),
		/** Names of the teams that may submit jobs; all teams may if absent. */
		teams: z.array(nameSchema).min(1).readonly().optional(),
	})
	.readonly();

/** An entry: a class of work with its resource needs and limits. */
export type Entry = z.infer<typeof entrySchema>;

/** A team of callers or operators, with the hash of its token and its quota across all entries. */
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

/** A team of callers or operators, with the hash of its token and its quota across all entries. */
export type Team = z.infer<typeof teamSchema>;

/** An item of the catalogue: an entry or a team. */
export const catalogueItemSchema = z.discriminatedUnion('kind', [
	entrySchema,
	teamSchema,
]);

/** An item of the catalogue: an entry or a team. */
export type CatalogueItem = z.infer<typeof catalogueItemSchema>;

/** The kind and name that identify a catalogue item. */
export type ItemKey = Pick<CatalogueItem, 'kind' | 'name'>;
