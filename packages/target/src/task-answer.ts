/** What a target's answer, or the lack of one, says about a task. The table is in docs/target-protocol.md. */
import {type JsonValue, type TaskOutcome} from '@verbenarouter/core';
import {z} from 'zod';

/** Carries the task's identifier in both directions. */
export const taskHeader = 'verbenarouter-task';

/** Remaining time of the task in milliseconds. */
export const deadlineHeader = 'verbenarouter-deadline-ms';

/** `yes` or `no`: whether the target started the task that it answers for. */
export const startedHeader = 'verbenarouter-started';

const completedStatus = 200;
const lowestRefusalStatus = 400;

const completedSchema = z.object({
	// What JSON.parse gave is JSON; only its absence has to be found.
	output: z.custom<JsonValue>((value) => value !== undefined),
});
const failedSchema = z.object({message: z.string()});
const notStartedSchema = z.object({
	reason: z.enum(['full', 'leaving', 'refused']),
	message: z.string().default(''),
	retryAfterMs: z.number().nonnegative().default(0),
});

/** A whole answer of a target. */
export type TargetAnswer = {
	readonly status: number;
	readonly task: string | readonly string[] | undefined;
	readonly started: string | readonly string[] | undefined;
	readonly body: string;
};

/** The outcome that an answer proves. Whatever is not in the protocol leaves it unknown whether the task started. */
export function outcomeOf(
	{status, task, started, body}: TargetAnswer,
	taskIdentifier: string,
	ranMs: number,
): TaskOutcome {
	if (task !== taskIdentifier) {
		return badAnswer(
			task === undefined
				? `status ${status} without the task's identifier`
				: `the answer with status ${status} is for another task`,
		);
	}

	if (started === 'no') {
		const parsed = notStartedSchema.safeParse(parseJson(body));
		return status >= lowestRefusalStatus && parsed.success
			? {kind: 'not-started', ...parsed.data}
			: badAnswer(`the refusal with status ${status} cannot be read`);
	}

	if (status === completedStatus) {
		const parsed = completedSchema.safeParse(parseJson(body));
		return parsed.success
			? {kind: 'completed', output: parsed.data.output, ranMs}
			: badAnswer('the output cannot be read');
	}

	const parsed = failedSchema.safeParse(parseJson(body));
	return started === 'yes' && parsed.success
		? {kind: 'failed', message: parsed.data.message, ranMs}
		: badAnswer(`status ${status} does not say whether the task started`);
}

/** An answer that proves nothing. */
export function badAnswer(message: string): TaskOutcome {
	return {kind: 'unknown', reason: 'bad-answer', message};
}

/** A task whose request was never written. */
export function unreachable(message: string): TaskOutcome {
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
