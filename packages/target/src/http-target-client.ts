import {
	type Target,
	type TaskOutcome,
	type DispatchedTask,
} from '@verbenarouter/core';
import {
	createBadAnswerOutcome,
	deadlineHeader,
	toTaskOutcome,
	startedHeader,
	taskHeader,
	createUnreachableOutcome,
} from './task-answer.js';
import {TargetConnectionPool} from './target-connection-pool.js';
import {BoundedExchange, type ExchangeFailure} from './target-exchange.js';
import {type TargetClient} from './target-client.js';

/** Settings of an `HttpTargetClient` that have a default. */
export type TargetClientDefaults = {
	/** Maximum size of an answer's body, in bytes. */
	readonly answerBytes: number;
	/** Milliseconds after its last answer at which an idle connection is probed. */
	readonly probeIntervalMs: number;
	/** Milliseconds without an answer to a probe after which all connections to the target are replaced. */
	readonly probeTimeoutMs: number;
	/** Milliseconds after which an idle connection is closed. */
	readonly keepAliveMs: number;
	/** Milliseconds after which a cancellation, or the wait for a cancelled task's answer, ends and its connection is aborted. */
	readonly cancelTimeoutMs: number;
};

const defaultOptions: TargetClientDefaults = {
	answerBytes: 8_000_000,
	probeIntervalMs: 1000,
	probeTimeoutMs: 500,
	keepAliveMs: 30_000,
	cancelTimeoutMs: 1000,
};

/** Settings of an `HttpTargetClient`. */
export type HttpTargetClientOptions = Partial<TargetClientDefaults> & {
	/** Maximum number of connections to one target. */
	readonly connectionsPerTarget: number;
	/** Milliseconds after which an attempt to open a connection fails. */
	readonly connectTimeoutMs: number;
	/** Returns the current time in milliseconds since 1970. */
	readonly clock: () => number;
};

/** Sends tasks to targets over HTTP/1.1 as docs/target-protocol.md describes, through one connection pool per target. */
export class HttpTargetClient implements TargetClient {
	readonly #options: HttpTargetClientOptions & TargetClientDefaults;
	readonly #poolsByAddress = new Map<string, TargetConnectionPool>();
	/** Pending exchanges by signal. The tasks of a job share one signal, which gets a single listener. */
	readonly #exchangesBySignal = new WeakMap<
		AbortSignal,
		Set<BoundedExchange>
	>();

	constructor(options: HttpTargetClientOptions) {
		this.#options = {...defaultOptions, ...options};
	}

	async start(
		target: Target,
		task: DispatchedTask,
		signal: AbortSignal,
	): Promise<TaskOutcome> {
		const sentAtMs = this.#options.clock();
		const timeoutMs = this.#computeRemainingMs(task);
		if (signal.aborted || timeoutMs <= 0) {
			return signal.aborted
				? createCancelledOutcome(
						'the task was cancelled before its request was written',
					)
				: createUnreachableOutcome(
						'the deadline had passed before the request was written',
					);
		}

		return new Promise((resolve) => {
			const settle = (outcome: TaskOutcome): void => {
				exchanges.delete(exchange);
				resolve(outcome);
			};

			const exchange = new BoundedExchange(
				() => ({
					method: 'POST',
					path: '/tasks',
					headers: {
						'content-type': 'application/json',
						[taskHeader]: task.taskIdentifier,
						[deadlineHeader]: String(this.#computeRemainingMs(task)),
					},
					body: JSON.stringify({
						entry: task.entry,
						team: task.team,
						input: task.input,
					}),
				}),
				{
					timeoutMs,
					answerBytes: this.#options.answerBytes,
					withdrawnMs: this.#options.cancelTimeoutMs,
					onAnswer: ({status, headers, body}) => {
						settle(
							toTaskOutcome(
								{
									status,
									task: headers[taskHeader],
									started: headers[startedHeader],
									body,
								},
								task.taskIdentifier,
								this.#options.clock() - sentAtMs,
							),
						);
					},
					onFailure(failure) {
						settle(toFailureOutcome(failure));
					},
				},
			);
			const exchanges = this.#getExchanges(signal);
			exchanges.add(exchange);
			this.#getPool(target.address).dispatch(exchange);
		});
	}

	async cancel(target: Target, taskIdentifier: string): Promise<void> {
		const {cancelTimeoutMs, answerBytes} = this.#options;
		// Failures are ignored: without the cancellation, the target runs the task until its deadline at the latest.
		await new Promise<void>((resolve) => {
			this.#getPool(target.address).dispatch(
				new BoundedExchange(
					() => ({
						method: 'DELETE',
						path: `/tasks/${encodeURIComponent(taskIdentifier)}`,
					}),
					{
						timeoutMs: cancelTimeoutMs,
						answerBytes,
						withdrawnMs: 0,
						onAnswer() {
							resolve();
						},
						onFailure() {
							resolve();
						},
					},
				),
			);
		});
	}

	async close(): Promise<void> {
		await Promise.all(
			[...this.#poolsByAddress.values()].map(async (pool) => pool.close()),
		);
		this.#poolsByAddress.clear();
	}

	#computeRemainingMs({deadlineAtMs}: DispatchedTask): number {
		return Math.floor(deadlineAtMs - this.#options.clock());
	}

	#getPool(address: string): TargetConnectionPool {
		const existing = this.#poolsByAddress.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const pool = new TargetConnectionPool(address, {
			...this.#options,
			connections: this.#options.connectionsPerTarget,
			onUnused: () => {
				this.#poolsByAddress.delete(address);
				void pool.close();
			},
		});
		this.#poolsByAddress.set(address, pool);
		return pool;
	}

	#getExchanges(signal: AbortSignal): Set<BoundedExchange> {
		const existing = this.#exchangesBySignal.get(signal);
		if (existing !== undefined) {
			return existing;
		}

		const exchanges = new Set<BoundedExchange>();
		this.#exchangesBySignal.set(signal, exchanges);
		signal.addEventListener(
			'abort',
			() => {
				for (const exchange of exchanges) {
					exchange.cancel();
				}
			},
			{once: true},
		);
		return exchanges;
	}
}

function toFailureOutcome({
	mayBeWritten,
	reason,
	message,
}: ExchangeFailure): TaskOutcome {
	if (!mayBeWritten) {
		return reason === 'cancelled'
			? createCancelledOutcome(message)
			: createUnreachableOutcome(message);
	}

	return reason === 'too-large'
		? createBadAnswerOutcome(message)
		: {kind: 'unknown', reason, message};
}

function createCancelledOutcome(message: string): TaskOutcome {
	return {kind: 'not-started', reason: 'cancelled', message, retryAfterMs: 0};
}
