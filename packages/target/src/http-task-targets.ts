/** Targets over HTTP/1.1. The protocol is described in docs/target-protocol.md. */
import {
	type Target,
	type TaskOutcome,
	type TaskStart,
} from '@verbenarouter/core';
import {Pool, errors} from 'undici';
import {z} from 'zod';
import {type TaskTargets} from './task-target.js';

/** Carries the task's identifier in both directions. */
export const taskHeader = 'verbenarouter-task';

/** Remaining time of the task in milliseconds. */
export const deadlineHeader = 'verbenarouter-deadline-ms';

/** `yes` or `no`: whether the target started the task that it answers for. */
export const startedHeader = 'verbenarouter-started';

const completedSchema = z.object({output: z.json()});
const failedSchema = z.object({message: z.string()});
const notStartedSchema = z.object({
	reason: z.enum(['full', 'leaving', 'refused']),
	message: z.string().default(''),
	retryAfterMs: z.number().nonnegative().default(0),
});

/** Settings of the connections to targets. */
export type HttpTaskTargetsOptions = {
	/** Connections to one target at most. */
	readonly connectionsPerTarget: number;
	/** Milliseconds to wait for a connection. */
	readonly connectTimeoutMs: number;
	/** Present time in milliseconds since 1970. */
	readonly clock: () => number;
};

/** Targets over HTTP/1.1 with one bounded pool of connections per target. */
export class HttpTaskTargets implements TaskTargets {
	readonly #options: HttpTaskTargetsOptions;
	readonly #pools = new Map<string, Pool>();

	constructor(options: HttpTaskTargetsOptions) {
		this.#options = options;
	}

	async start(
		target: Target,
		task: TaskStart,
		signal: AbortSignal,
	): Promise<TaskOutcome> {
		const sentAt = this.#options.clock();
		const remainingMs = Math.max(1, Math.floor(task.deadlineAtMs - sentAt));
		try {
			const answer = await this.#pool(target.address).request({
				method: 'POST',
				path: '/tasks',
				headers: {
					'content-type': 'application/json',
					[taskHeader]: task.taskIdentifier,
					[deadlineHeader]: String(remainingMs),
				},
				body: JSON.stringify({
					entry: task.entry,
					team: task.team,
					input: task.input,
				}),
				signal,
				headersTimeout: remainingMs,
				bodyTimeout: remainingMs,
			});
			const body: unknown = await answer.body.json();
			return outcomeOf(
				{
					status: answer.statusCode,
					task: answer.headers[taskHeader],
					started: answer.headers[startedHeader],
					body,
				},
				task.taskIdentifier,
				this.#options.clock() - sentAt,
			);
		} catch (error: unknown) {
			return outcomeOfError(error, signal);
		}
	}

	async cancel(target: Target, taskIdentifier: string): Promise<void> {
		try {
			const answer = await this.#pool(target.address).request({
				method: 'DELETE',
				path: `/tasks/${encodeURIComponent(taskIdentifier)}`,
			});
			await answer.body.dump();
		} catch {
			// A lost cancellation leaves the task to its deadline at the target.
		}
	}

	async close(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.destroy()),
		);
		this.#pools.clear();
	}

	#pool(address: string): Pool {
		const known = this.#pools.get(address);
		if (known !== undefined) {
			return known;
		}

		const pool = new Pool(address, {
			connections: this.#options.connectionsPerTarget,
			connect: {timeout: this.#options.connectTimeoutMs},
			pipelining: 1,
		});
		this.#pools.set(address, pool);
		return pool;
	}
}

type TargetAnswer = {
	readonly status: number;
	readonly task: string | string[] | undefined;
	readonly started: string | string[] | undefined;
	readonly body: unknown;
};

function outcomeOf(
	{status, task, started, body}: TargetAnswer,
	taskIdentifier: string,
	ranMs: number,
): TaskOutcome {
	if (task !== taskIdentifier) {
		return badAnswer(`the answer is for another task (status ${status})`);
	}

	if (started === 'no') {
		const parsed = notStartedSchema.safeParse(body);
		return parsed.success
			? {kind: 'not-started', ...parsed.data}
			: badAnswer('the refusal cannot be read');
	}

	if (status === 200) {
		const parsed = completedSchema.safeParse(body);
		return parsed.success
			? {kind: 'completed', output: parsed.data.output, ranMs}
			: badAnswer('the output cannot be read');
	}

	const parsed = failedSchema.safeParse(body);
	return started === 'yes' && parsed.success
		? {kind: 'failed', message: parsed.data.message, ranMs}
		: badAnswer(`status ${status} does not say whether the task started`);
}

function badAnswer(message: string): TaskOutcome {
	return {kind: 'unknown', reason: 'bad-answer', message};
}

function outcomeOfError(error: unknown, signal: AbortSignal): TaskOutcome {
	const message = error instanceof Error ? error.message : String(error);
	if (error instanceof errors.ConnectTimeoutError || isConnectError(error)) {
		return {
			kind: 'not-started',
			reason: 'unreachable',
			message,
			retryAfterMs: 0,
		};
	}

	if (signal.aborted) {
		return {kind: 'unknown', reason: 'cancelled', message};
	}

	return {
		kind: 'unknown',
		reason:
			error instanceof errors.HeadersTimeoutError ||
			error instanceof errors.BodyTimeoutError
				? 'timeout'
				: 'connection-lost',
		message,
	};
}

function isConnectError(error: unknown): boolean {
	return (
		error instanceof Error && 'syscall' in error && error.syscall === 'connect'
	);
}
