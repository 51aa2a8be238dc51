import {z} from 'zod';
import {nameSchema} from './identifier.js';
import {refusalSchema, verdictSchema} from './verdict.js';

/** Any JSON value. */
export type JsonValue = z.infer<ReturnType<typeof z.json>>;

/** Maximum number of tasks in one job; a catalogue entry may set a lower limit. */
export const maximumTasksPerJob = 1400;

/** Validates one task of a submitted job. */
export const taskSchema = z
	.strictObject({
		/** Passed to the target unchanged. */
		input: z.json(),
		/** The caller's estimate of the run time in milliseconds. */
		expectedMs: z.number().positive().max(600_000).optional(),
	})
	.readonly();

/** One task of a submitted job. */
export type Task = z.infer<typeof taskSchema>;

/** Validates a job as a caller submits it. */
export const jobSchema = z
	.strictObject({
		entry: nameSchema,
		tasks: z.array(taskSchema).min(1).max(maximumTasksPerJob).readonly(),
		/** Deadline in milliseconds after arrival at the entry VM; the catalogue entry's limit applies if it is lower. */
		deadlineMs: z.number().int().positive().max(3_600_000).optional(),
	})
	.readonly();

/** A submitted job: tasks of one catalogue entry that complete or fail together. */
export type Job = z.infer<typeof jobSchema>;

/** Validates the state of a submission. */
export const submissionStateSchema = z.enum(['unknown', 'running', 'settled']);

/** Validates the answer to a submission. */
export const jobAnswerSchema = z
	.object({
		identifier: z.string(),
		verdict: verdictSchema,
		/** One output per task, in task order. Present only if the verdict is `completed`. */
		outputs: z.array(z.json()).readonly().optional(),
		/** Why there are no outputs. Absent if `outputs` is present. */
		refusal: refusalSchema.optional(),
		/** A new identifier for a retry. Present on `not-run` if the owner accepts a retry. */
		nextIdentifier: z.string().optional(),
	})
	.readonly();

/** The final answer to a submission, identical for every copy of the request. */
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
