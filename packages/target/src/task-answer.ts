import {type JsonValue, type TaskOutcome} from '@verbenarouter/core';
import {z} from 'zod';

/** Header of requests and answers with the task's identifier. */
export const taskHeader = 'verbenarouter-task';

/** Header of requests with the milliseconds until the task's deadline. */
export const deadlineHeader = 'verbenarouter-deadline-ms';

/** Header of answers that states whether the target started the task: `yes` or `no`. */
export const startedHeader = 'verbenarouter-started';

const completedStatus = 200;
const lowestRefusalStatus = 400;

const completedSchema = z.object({
	// A value from `JSON.parse` is valid JSON; the check only rejects a missing output.
	output: z.custom<JsonValue>((value) => value !== undefined),
});
const failedSchema = z.object({message: z.string()});
const notStartedSchema = z.object({
	reason: z.enum(['full', 'leaving', 'refused']),
	message: z.string().default(''),
	retryAfterMs: z.number().nonnegative().default(0),
});

/** A complete answer of a target. */
export type TargetAnswer = {
	readonly status: number;
	/** Value of the header `taskHeader`. */
	readonly task: string | readonly string[] | undefined;
	/** Value of the header `startedHeader`. */
	readonly started: string | readonly string[] | undefined;
	readonly body: string;
};

/**
 * Converts a target's answer to the outcome of its task, by the table in docs/target-protocol.md. An answer that does
 * not follow the protocol gives `unknown`, since the task may have started.
 */
export function toTaskOutcome(
	{status, task, started, body}: TargetAnswer,
	taskIdentifier: string,
	ranMs: number,
): TaskOutcome {
	if (task !== taskIdentifier) {
		return createBadAnswerOutcome(
			task === undefined
				? `the answer with status ${status} has no ${taskHeader} header`
				: `the answer with status ${status} is for task ${JSON.stringify(task)} instead of "${taskIdentifier}"`,
		);
	}

	if (started === 'no') {
		const parsed = notStartedSchema.safeParse(parseJson(body));
		return status >= lowestRefusalStatus && parsed.success
			? {kind: 'not-started', ...parsed.data}
			: createBadAnswerOutcome(
					`the refusal with status ${status} is not valid: expected a status from ${lowestRefusalStatus} and a body with a reason`,
				);
	}

	if (status === completedStatus) {
		const parsed = completedSchema.safeParse(parseJson(body));
		return parsed.success
			? {kind: 'completed', output: parsed.data.output, ranMs}
			: createBadAnswerOutcome(
					`the answer with status ${status} has no valid output`,
				);
	}

	const parsed = failedSchema.safeParse(parseJson(body));
	return started === 'yes' && parsed.success
		? {kind: 'failed', message: parsed.data.message, ranMs}
		: createBadAnswerOutcome(
				`the answer with status ${status} does not prove whether the task started: expected ${startedHeader}: yes and a body with a message`,
			);
}

/** Creates the outcome of an answer that does not prove whether the task started. */
export function createBadAnswerOutcome(message: string): TaskOutcome {
	return {kind: 'unknown', reason: 'bad-answer', message};
}

/** Creates the outcome of a task whose request was never written. */
export function createUnreachableOutcome(message: string): TaskOutcome {
	return {
		kind: 'not-started',
		reason: 'unreachable',
		message,
		retryAfterMs: 0,
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
