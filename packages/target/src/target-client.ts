import {
	type Target,
	type TaskOutcome,
	type DispatchedTask,
} from '@verbenarouter/core';

/** Sends tasks to targets; each call sends its task at most once. */
export type TargetClient = {
	/**
	 * Sends one task to one target and returns its outcome; never rejects. Aborting `signal` cancels the task: the outcome
	 * is `not-started` if no byte of the request was written, else `unknown`.
	 */
	start(
		target: Target,
		task: DispatchedTask,
		signal: AbortSignal,
	): Promise<TaskOutcome>;
	/** Requests the target to stop a task. Best effort: failures are ignored, and the task's own outcome is unaffected. */
	cancel(target: Target, taskIdentifier: string): Promise<void>;
	/** Closes all connections. The outcome of a request that may have been written becomes `unknown`, of others `not-started`. */
	close(): Promise<void>;
};
