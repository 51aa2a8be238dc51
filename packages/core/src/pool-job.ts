import {type LostRun} from './lost-runs.js';
import {type ReceiverGrant} from './receiver-grants.js';

/** Resources that a task needs while it runs, or that a worker has. */
export type Resources = {
	/** Thousandths of a core. */
	readonly processorMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** One task of a job. */
export type PoolTask = {
	/** Unique across all jobs: the identifier of the job, a dot and the task's own part. Workers identify the task by it. */
	readonly name: string;
	readonly needs: Resources;
	/** Run time that the caller estimates, in milliseconds; 0 if the caller gave none. */
	readonly declaredMs: number;
	/** Rack that holds the task's data, if any; the task runs slower on other racks. */
	readonly rack?: string;
};

/** A job whose tasks run in parallel. It gets one answer when it ends. */
export type PoolJob = {
	readonly id: string;
	readonly queue: string;
	/** What to run, passed on to workers unchanged. */
	readonly spec: string;
	readonly tasks: readonly PoolTask[];
	/** Milliseconds for which the caller has waited when this copy is sent to a leader. */
	readonly waitedMs: number;
	/** Milliseconds for which the caller waits in total. */
	readonly patienceMs: number;
	/**
	 * Identifies one arrival of the request at an entry VM. A caller that retries after a refusal starts a new attempt,
	 * while a message that is delivered late carries the identifier of an earlier one.
	 */
	readonly attempt: string;
	/** Names of tasks that an earlier leader has reported done. */
	readonly doneTasks?: readonly string[];
	/**
	 * Zones whose workers may run the job, and outside which no earlier leader has run it; absent for all zones. Leaders of
	 * the last build ignore it.
	 */
	readonly zones?: readonly string[];
	/** Number of zones whose leaders have refused this attempt; absent if there is none. */
	readonly refusingZones?: number;
	/**
	 * Longest wait in milliseconds until the last task starts with which the leader of the receiver's own zone is to admit
	 * the job, as another zone has room for it; absent if none has. Leaders of the last build ignore it.
	 */
	readonly balancingWaitMs?: number;
	/**
	 * Fencing token of the leader that the receiver submits this copy to, as last heard; absent in copies from builds that
	 * do not send it.
	 */
	readonly leaderToken?: number;
	/** Highest fencing token of the leaders that the receiver submitted the job to before; absent if there was none. */
	readonly earlierToken?: number;
	/**
	 * The receiver's grant to the leader that it submits this copy to; absent if that is the same entry VM, sends no heartbeats to
	 * the receiver, or is of the last build. Without one, the leader relies on the receiver's heartbeats alone.
	 */
	readonly grant?: ReceiverGrant;
	/**
	 * Milliseconds since the receiver read the newest heartbeat that it can have confirmed to a leader which it moved the job
	 * away from; absent if there is none.
	 */
	readonly earlierGrantAgeMs?: number;
	/** Runs of the job that leaders have reported as lost with their workers; leaders of the last build ignore them. */
	readonly lostRuns?: readonly LostRun[];
};

/** How a job ended, or why it did not run. */
export type PoolAnswer =
	| {readonly kind: 'completed'}
	| {readonly kind: 'failed'; readonly reason: 'attempts-used-up'}
	| {readonly kind: 'cancelled'}
	/** No task has started, and none will start. */
	| {
			readonly kind: 'not-run';
			readonly reason: NotRunReason;
			/** Milliseconds after which the caller should retry; absent if a retry makes no sense. */
			readonly retryAfterMs?: number;
			/** Whether the leader would have admitted the job without its `balancingWaitMs`; absent if not. */
			readonly isBalanced?: boolean;
			/**
			 * Whether runs that an earlier leader has started may be at work on workers that have not reported to this one; absent
			 * if not. The receiver gives the job to no other leader then.
			 */
			readonly isUnsettled?: boolean;
	  }
	/** A task may have started. No task will start from now on, and running tasks are stopped. */
	| {readonly kind: 'may-have-run'; readonly reason: MayHaveRunReason};

/** Why a job did not run. */
export type NotRunReason =
	| 'overloaded'
	| 'deadline-impossible'
	| 'no-workers'
	| 'cannot-fit'
	| 'queue-unknown'
	| 'unsupported'
	| 'not-ready'
	| 'caller-left';

/** Why a job ended without a result although a task may have started. */
export type MayHaveRunReason =
	| 'deadline-exceeded'
	| 'worker-lost'
	/** Workers seem to have crashed under a task, which is not started again. */
	| 'workers-crashed'
	| 'leader-lost'
	| 'caller-left'
	/** The operator has asked that nothing more be started in the zone whose workers run a part of the job. */
	| 'zone-evacuated'
	/** The entry VM that received the job is shutting down and its grace period has ended. */
	| 'stopping';

/** Returns the zones of both sets; `undefined` stands for all zones. */
export function unionZones(
	left: readonly string[] | undefined,
	right: readonly string[] | undefined,
): readonly string[] | undefined {
	return left === undefined || right === undefined
		? undefined
		: [...new Set([...left, ...right])];
}

/** Adds two amounts of resources. */
export function addResources(left: Resources, right: Resources): Resources {
	return {
		processorMillis: left.processorMillis + right.processorMillis,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** Returns the larger amount of each resource. */
export function maxResources(left: Resources, right: Resources): Resources {
	return {
		processorMillis: Math.max(left.processorMillis, right.processorMillis),
		memoryMb: Math.max(left.memoryMb, right.memoryMb),
		accelerators: Math.max(left.accelerators, right.accelerators),
	};
}

/** Whether two amounts of resources are equal. */
export function isEqualAmount(left: Resources, right: Resources): boolean {
	return (
		left.processorMillis === right.processorMillis &&
		left.memoryMb === right.memoryMb &&
		left.accelerators === right.accelerators
	);
}

/** Whether a task with these needs fits into the free resources. */
export function fitsWithin(needs: Resources, free: Resources): boolean {
	return (
		needs.processorMillis <= free.processorMillis &&
		needs.memoryMb <= free.memoryMb &&
		needs.accelerators <= free.accelerators
	);
}
