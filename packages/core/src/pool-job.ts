/** Jobs as the scheduler of a pool of workers sees them, and what it answers. */

/** What a task needs while it runs. */
export type Resources = {
	/** Thousandths of a core. */
	readonly processorMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** One task of a job. */
export type PoolTask = {
	/** Unique over all tasks of all jobs; workers know the task by it. */
	readonly name: string;
	readonly needs: Resources;
	/** Rough run time that the caller gave, in milliseconds; 0 when none was given. */
	readonly declaredMs: number;
	/** Rack where the task's data is, if any; it runs slower elsewhere. */
	readonly rack?: string;
};

/** A job whose tasks run in parallel and which is answered when it has ended. */
export type PoolJob = {
	readonly id: string;
	/** Name of the queue. */
	readonly queue: string;
	/** Passed on to workers as it came. */
	readonly spec: string;
	readonly tasks: readonly PoolTask[];
	/** Milliseconds for which the caller has waited already when this copy is sent. */
	readonly waitedMs: number;
	/** Milliseconds for which the caller waits in all. */
	readonly patienceMs: number;
	/**
	 * Names one arrival of the request at an entry VM. A caller that comes back after a refusal makes a new attempt; a
	 * message that is delivered late belongs to an old one.
	 */
	readonly attempt: string;
	/** Names of tasks that an earlier leader has seen done. */
	readonly doneTasks?: readonly string[];
};

/** How a job ended, or why it did not run. */
export type PoolAnswer =
	| {readonly kind: 'completed'}
	| {readonly kind: 'failed'; readonly reason: 'attempts-used-up'}
	| {readonly kind: 'cancelled'}
	/** No task has started and none will. */
	| {
			readonly kind: 'not-run';
			readonly reason: NotRunReason;
			/** Milliseconds after which a retry makes sense; absent when none does. */
			readonly retryAfterMs?: number;
	  }
	/** Some task may have started; none runs on, and none will start. */
	| {readonly kind: 'may-have-run'; readonly reason: MayHaveRunReason};

/** Why a job was refused. */
export type NotRunReason =
	| 'overloaded'
	| 'deadline-impossible'
	| 'no-workers'
	| 'cannot-fit'
	| 'queue-unknown'
	| 'unsupported'
	| 'not-ready'
	| 'caller-left';

/** Why a job was given up although a task of it may have started. */
export type MayHaveRunReason =
	| 'deadline-exceeded'
	| 'worker-lost'
	| 'leader-lost'
	| 'caller-left'
	/** The entry VM that received it stops, and its time is up. */
	| 'stopping';

/** Adds what two tasks need. */
export function addResources(left: Resources, right: Resources): Resources {
	return {
		processorMillis: left.processorMillis + right.processorMillis,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** Whether what a task needs fits into what is free. */
export function fits(needs: Resources, free: Resources): boolean {
	return (
		needs.processorMillis <= free.processorMillis &&
		needs.memoryMb <= free.memoryMb &&
		needs.accelerators <= free.accelerators
	);
}
