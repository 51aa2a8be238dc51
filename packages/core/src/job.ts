/** Jobs as callers submit them, and the answers that callers get. */
import {z} from 'zod';
import {nameSchema} from './identifier.js';
import {refusalSchema, verdictSchema} from './verdict.js';

/** Any JSON value. */
export type JsonValue = z.infer<ReturnType<typeof z.json>>;

/** Upper bound on the tasks of one job; a catalogue entry may set a lower one. */
export const maximumTasksPerJob = 1400;

/** One task as its caller submits it. */
export const taskSchema = z
	.strictObject({
		/** Passed to the target as it is. */
		input: z.json(),
		/** The caller's estimate of the run time in milliseconds. */
		expectedMs: z.number().positive().max(600_000).optional(),
	})
	.readonly();

/** One task as its caller submits it. */
export type Task = z.infer<typeof taskSchema>;

/** One submission: tasks of one catalogue entry that complete or fail together. */
export const jobSchema = z
	.strictObject({
		entry: nameSchema,
		tasks: z.array(taskSchema).min(1).max(maximumTasksPerJob).readonly(),
		/** Milliseconds that the caller waits, from the arrival at the entry VM; the entry's limit applies when lower. */
		deadlineMs: z.number().int().positive().max(3_600_000).optional(),
	})
	.readonly();

/** One submission: tasks of one catalogue entry that complete or fail together. */
export type Job = z.infer<typeof jobSchema>;

/** Where a submission stands. */
export const submissionStateSchema = z.enum(['unknown', 'running', 'settled']);

/** The one answer of a submission: the same for every copy of the request. */
export const jobAnswerSchema = z
	.object({
		identifier: z.string(),
		verdict: verdictSchema,
		/** One output per task, in the order of the tasks. Present only when the verdict is `completed`. */
		outputs: z.array(z.json()).readonly().optional(),
		/** Present unless the verdict is `completed` with its outputs. */
		refusal: refusalSchema.optional(),
		/** A fresh identifier for a retry. Present on `not-run` when the owner accepts one. */
		nextIdentifier: z.string().optional(),
	})
	.readonly();

/** The one answer of a submission: the same for every copy of the request. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
