/** The way to the targets, as the dispatcher sees it. */
import {
	type Target,
	type TaskOutcome,
	type DispatchedTask,
} from '@verbenarouter/core';

/** Sends tasks to targets, each at most once. */
export type TaskTargets = {
	/**
	 * Sends one task to one target. The outcome says whether the task may have started; this never rejects.
	 * `signal` withdraws the task: before the request is written it surely did not start, afterwards it may have.
	 */
	start(
		target: Target,
		task: DispatchedTask,
		signal: AbortSignal,
	): Promise<TaskOutcome>;
	/** Asks the target to stop a task. It is best effort: the outcome of the task itself is not affected by it. */
	cancel(target: Target, taskIdentifier: string): Promise<void>;
	/** Closes all connections; outcomes that are still awaited become `unknown`. */
	close(): Promise<void>;
};
