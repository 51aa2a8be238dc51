import {z} from 'zod';

/**
 * Validates a verdict.
 *
 * - `completed`: every task ran once and all outputs were received.
 * - `failed`: at least one task ran and the job has no outputs.
 * - `not-run`: no task has started and none will. Only the owner of the identifier returns this, after recording it.
 * - `may-have-run`: indeterminate; a retry under another identifier may run the work a second time.
 */
export const verdictSchema = z.enum([
	'completed',
	'failed',
	'not-run',
	'may-have-run',
]);

/** Whether the submission of an identifier ran. All copies of a request share one verdict. */
export type Verdict = z.infer<typeof verdictSchema>;

/** Validates a refusal code. The codes are stable. */
export const refusalCodeSchema = z.enum([
	'bad-request',
	'unauthenticated',
	'forbidden',
	'entry-unknown',
	'identifier-unknown',
	'identifier-expired',
	'identifier-reused',
	'answer-expired',
	'too-large',
	'deadline-passed',
	'deadline-impossible',
	'deadline-exceeded',
	'cannot-fit',
	'quota-exhausted',
	'overloaded',
	'no-targets',
	'stopping',
	'not-ready',
	'owner-unreachable',
	'owner-gone',
	'owner-silent',
	'task-failed',
	'task-lost',
	'cancelled',
	'internal',
]);

/** A stable code for the reason why a submission has no outputs. */
export type RefusalCode = z.infer<typeof refusalCodeSchema>;

/** Validates a refusal. */
export const refusalSchema = z
	.object({
		code: refusalCodeSchema,
		message: z.string(),
		/** Delay in milliseconds after which a retry is useful; absent if none is. */
		retryAfterMs: z.number().int().nonnegative().optional(),
	})
	.readonly();

/** Why a submission has no outputs, and optionally when to retry. */
export type Refusal = z.infer<typeof refusalSchema>;

/** Creates a refusal; the retry delay is rounded up to whole milliseconds. */
export function createRefusal(
	code: RefusalCode,
	message: string,
	retryAfterMs?: number,
): Refusal {
	return retryAfterMs === undefined
		? {code, message}
		: {code, message, retryAfterMs: Math.ceil(retryAfterMs)};
}
