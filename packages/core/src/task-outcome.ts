/** How the start of one task at one target ended. */
import {type JsonValue} from './job.js';

/**
 * - `completed`: the target ran the task and gave its output.
 * - `failed`: the target started the task and it failed.
 * - `not-started`: the task surely did not start and never will; another target may be tried.
 * - `unknown`: the task may have started; it is never sent again.
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

/** Why a task surely did not start. `cancelled`: it was withdrawn before anything was written. */
export type NotStartedReason =
	'full' | 'leaving' | 'refused' | 'unreachable' | 'cannot-fit' | 'cancelled';

/** Why it is not known whether a task started. */
export type UnknownReason =
	'timeout' | 'connection-lost' | 'bad-answer' | 'cancelled';

/** One task on its way to a target. */
export type TaskStart = {
	/** Unique for ever: the submission's identifier and the task's index. */
	readonly taskIdentifier: string;
	readonly entry: string;
	readonly team: string;
	readonly input: JsonValue;
	/** Time at which the caller stops waiting, in milliseconds since 1970 by this process's clock. */
	readonly deadlineAtMs: number;
};
