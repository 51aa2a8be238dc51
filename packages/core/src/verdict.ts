/**
 * What a caller is told about whether its submission ran.
 *
 * A verdict is about the submission that an identifier names, not about one copy of the request.
 */
import {z} from 'zod';

/**
 * - `completed`: every task ran once, and the answer is whole.
 * - `failed`: at least one task ran and the job has no answer.
 * - `not-run`: no task has started and none will. Only the owner of the identifier says so, after recording it.
 * - `may-have-run`: nothing is proven; a retry under another identifier may run the work a second time.
 */
export const verdictSchema = z.enum([
	'completed',
	'failed',
	'not-run',
	'may-have-run',
]);

/** A verdict on a submission. */
export type Verdict = z.infer<typeof verdictSchema>;

/** Stable codes of the reasons for which a submission has no answer. */
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

/** A stable code of a reason for which a submission has no answer. */
export type RefusalCode = z.infer<typeof refusalCodeSchema>;

/** Why a submission has no answer. */
export const refusalSchema = z
	.object({
		code: refusalCodeSchema,
		message: z.string(),
		/** Milliseconds after which a retry makes sense; absent when none does. */
		retryAfterMs: z.number().int().nonnegative().optional(),
	})
	.readonly();

/** Why a submission has no answer, with the time after which a retry makes sense. */
export type Refusal = z.infer<typeof refusalSchema>;

/** Builds a refusal; a retry hint is rounded up to whole milliseconds. */
export function refusal(
	code: RefusalCode,
	message: string,
	retryAfterMs?: number,
): Refusal {
	return retryAfterMs === undefined
		? {code, message}
		: {code, message, retryAfterMs: Math.ceil(retryAfterMs)};
}
