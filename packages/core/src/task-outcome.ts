import {type JsonValue} from './job.js';

/**
 * The outcome of sending one task to one target.
 *
 * - `completed`: the target ran the task and returned its output.
 * - `failed`: the target started the task and it failed.
 * - `not-started`: the task did not and will not start on this target, so it can be sent to another one.
 * - `unknown`: the task may have started, so it is never sent again.
 */
export type TaskOutcome =
	| {
			readonly kind: 'completed';
			readonly output: JsonValue;
			readonly ranMs: number;
	  }
	| {readonly kind: 'failed'; readonly message: string; readonly ranMs: number}
	| {
			readonly kind: 'not-started';
			readonly reason: NotStartedReason;
			readonly message: string;
			readonly retryAfterMs: number;
	  }
	| {
			readonly kind: 'unknown';
			readonly reason: UnknownReason;
			readonly message: string;
	  };

/** Why a task did not start. `cancelled`: the task was cancelled before any byte of the request was written. */
export type NotStartedReason =
	'full' | 'leaving' | 'refused' | 'unreachable' | 'cannot-fit' | 'cancelled';

/** Why it is indeterminate whether a task started. */
export type UnknownReason =
	'timeout' | 'connection-lost' | 'bad-answer' | 'cancelled';

/** One task as it is sent to a target. */
export type DispatchedTask = {
	/** Globally unique: the submission identifier and the task's index. */
	readonly taskIdentifier: string;
	readonly entry: string;
	readonly team: string;
	readonly input: JsonValue;
	/** Time at which the caller stops waiting, in milliseconds since 1970 by the entry VM's clock. */
	readonly deadlineAtMs: number;
};
