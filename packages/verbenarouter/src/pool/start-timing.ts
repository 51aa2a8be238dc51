import {
	parseJobId,
	type CommandOutcome,
	type StartCommand,
} from '@verbenarouter/core';
import {type LogFields} from '../logger.js';

/** Time in milliseconds from which a start is late: a healthy worker confirms it within a few. */
const lateMs = 100;
/** Share of the longest lease from which a lease counts as short when the start is confirmed. */
const minLeaseShare = 0.7;

/** Times of one start command, for the log: what is late is logged, and nothing else. */
export class StartTiming {
	readonly #command: StartCommand;
	readonly #leaseMs: number;
	#sentAtMs: number | undefined;

	/** `leaseMs` is the longest lease that workers accept. */
	constructor(command: StartCommand, leaseMs: number) {
		this.#command = command;
		this.#leaseMs = leaseMs;
	}

	/** Records that the command leaves now, on an open connection. */
	recordSending(now: number): void {
		this.#sentAtMs ??= now;
	}

	/** Returns the fields of a log line if the start was late, or its lease is short; `undefined` otherwise. */
	describe(outcome: CommandOutcome, now: number): LogFields | undefined {
		const {task, run, worker, decidedAtMs, leaseExpiresAtMs} = this.#command;
		const sentAtMs = this.#sentAtMs ?? now;
		const sinceDecisionMs = sentAtMs - decidedAtMs;
		const sinceSendingMs = now - sentAtMs;
		const leaseLeftMs =
			outcome.kind === 'done' ? leaseExpiresAtMs - outcome.clockMs : undefined;
		const reason =
			sinceDecisionMs >= lateMs
				? 'sent-late'
				: sinceSendingMs >= lateMs
					? 'answered-late'
					: leaseLeftMs !== undefined &&
						  leaseLeftMs < minLeaseShare * this.#leaseMs
						? 'short-lease'
						: undefined;
		return reason === undefined
			? undefined
			: {
					event: 'start-late',
					id: parseJobId(task),
					reason,
					task,
					run,
					worker: worker.id,
					outcome: outcome.kind,
					inputs: {
						sinceDecisionMs: Math.round(sinceDecisionMs),
						sinceSendingMs: Math.round(sinceSendingMs),
						...(leaseLeftMs === undefined
							? {}
							: {leaseLeftMs: Math.round(leaseLeftMs)}),
					},
				};
	}
}
