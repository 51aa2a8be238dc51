/** Targets over HTTP/1.1. The protocol is described in docs/target-protocol.md. */
import {
	type Target,
	type TaskOutcome,
	type DispatchedTask,
} from '@verbenarouter/core';
import {
	badAnswer,
	deadlineHeader,
	outcomeOf,
	startedHeader,
	taskHeader,
	unreachable,
} from './task-answer.js';
import {TargetConnections} from './target-connections.js';
import {BoundedExchange, type ExchangeFailure} from './target-exchange.js';
import {type TaskTargets} from './task-target.js';

/** Settings of the connections to targets that have a default. */
export type TargetBounds = {
	/** Bytes of one answer at most. */
	readonly answerBytes: number;
	/** Milliseconds for which a connection may be idle and unheard before it is probed. */
	readonly probeIntervalMs: number;
	/** Milliseconds without an answer to a probe after which a target's connections are replaced. */
	readonly probeTimeoutMs: number;
	/** Milliseconds for which an idle connection is kept. */
	readonly keepAliveMs: number;
	/** Milliseconds for a cancellation, and for the answer of a cancelled task, after which its connection is cut. */
	readonly cancelTimeoutMs: number;
};

const defaultBounds: TargetBounds = {
	answerBytes: 8_000_000,
	probeIntervalMs: 1000,
	probeTimeoutMs: 500,
	keepAliveMs: 30_000,
	cancelTimeoutMs: 1000,
};

/** Settings of the connections to targets. */
export type HttpTaskTargetsOptions = Partial<TargetBounds> & {
	/** Connections to one target at most. */
	readonly connectionsPerTarget: number;
	/** Milliseconds to wait for a connection. */
	readonly connectTimeoutMs: number;
	/** Present time in milliseconds since 1970. */
	readonly clock: () => number;
};

/** Targets over HTTP/1.1 with bounded connections to each target. */
export class HttpTaskTargets implements TaskTargets {
	readonly #options: HttpTaskTargetsOptions & TargetBounds;
	readonly #connections = new Map<string, TargetConnections>();
	/** One listener for each signal: the tasks of a job share theirs. */
	readonly #bySignal = new WeakMap<AbortSignal, Set<BoundedExchange>>();

	constructor(options: HttpTaskTargetsOptions) {
		this.#options = {...defaultBounds, ...options};
	}

	async start(
		target: Target,
		task: DispatchedTask,
		signal: AbortSignal,
	): Promise<TaskOutcome> {
		const sentAt = this.#options.clock();
		const timeoutMs = this.#remainingMs(task);
		if (signal.aborted || timeoutMs <= 0) {
			return signal.aborted
				? withdrawn('the request was withdrawn before it was written')
				: unreachable('the deadline had passed before the request was written');
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
						[deadlineHeader]: String(this.#remainingMs(task)),
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
							outcomeOf(
								{
									status,
									task: headers[taskHeader],
									started: headers[startedHeader],
									body,
								},
								task.taskIdentifier,
								this.#options.clock() - sentAt,
							),
						);
					},
					onFailure(failure) {
						settle(outcomeOfFailure(failure));
					},
				},
			);
			const exchanges = this.#exchangesOf(signal);
			exchanges.add(exchange);
			this.#connectionsTo(target.address).dispatch(exchange);
		});
	}

	async cancel(target: Target, taskIdentifier: string): Promise<void> {
		const {cancelTimeoutMs, answerBytes} = this.#options;
		// A lost cancellation leaves the task to its deadline at the target.
		await new Promise<void>((resolve) => {
			this.#connectionsTo(target.address).dispatch(
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
			[...this.#connections.values()].map(async (connections) =>
				connections.close(),
			),
		);
		this.#connections.clear();
	}

	#remainingMs({deadlineAtMs}: DispatchedTask): number {
		return Math.floor(deadlineAtMs - this.#options.clock());
	}

	#connectionsTo(address: string): TargetConnections {
		const known = this.#connections.get(address);
		if (known !== undefined) {
			return known;
		}

		const connections = new TargetConnections(address, {
			...this.#options,
			connections: this.#options.connectionsPerTarget,
			onUnused: () => {
				this.#connections.delete(address);
				void connections.close();
			},
		});
		this.#connections.set(address, connections);
		return connections;
	}

	#exchangesOf(signal: AbortSignal): Set<BoundedExchange> {
		const known = this.#bySignal.get(signal);
		if (known !== undefined) {
			return known;
		}

		const exchanges = new Set<BoundedExchange>();
		this.#bySignal.set(signal, exchanges);
		signal.addEventListener(
			'abort',
			() => {
				for (const exchange of exchanges) {
					exchange.withdraw();
				}
			},
			{once: true},
		);
		return exchanges;
	}
}

function outcomeOfFailure({
	mayBeWritten,
	reason,
	message,
}: ExchangeFailure): TaskOutcome {
	if (!mayBeWritten) {
		return reason === 'cancelled' ? withdrawn(message) : unreachable(message);
	}

	return reason === 'too-large'
		? badAnswer(message)
		: {kind: 'unknown', reason, message};
}

function withdrawn(message: string): TaskOutcome {
	return {kind: 'not-started', reason: 'cancelled', message, retryAfterMs: 0};
}
