/** What operators ask for: the queues that take jobs, and the services whose workers run them. */

/** A queue of jobs. Callers name it by host and path. */
export type QueueSetting = {
	readonly name: string;
	/** Host that callers ask for; an empty one stands for any. */
	readonly host: string;
	/** Start of the path of every request to the queue. */
	readonly pathPrefix: string;
	/** Service whose workers run the tasks. */
	readonly service: string;
	/** 0 comes first. */
	readonly priority: number;
	/** Runs of a task that may fail before its job fails. */
	readonly mostAttempts: number;
	/** A job's objective is this many times its longest task, and `latencyMs` more. */
	readonly stretch: number;
	readonly latencyMs: number;
};

/** Limits of requests of callers. */
export type RequestLimits = {
	readonly bodyBytes: number;
	readonly headerBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The newest state that the operator asked for, whole. */
export type DesiredState = {
	/** Grows with each change, in uneven steps. */
	readonly version: number;
	readonly queues: readonly QueueSetting[];
	readonly services: readonly string[];
	readonly limits: RequestLimits;
};

/** The queue that a request names: the longest prefix of its path among the queues of its host. */
export function queueFor(
	state: DesiredState,
	host: string,
	path: string,
): QueueSetting | undefined {
	const [hostName] = host.split(':');
	const [longest] = state.queues
		.filter(
			(queue) =>
				(queue.host === '' || queue.host === hostName) &&
				path.startsWith(queue.pathPrefix),
		)
		.toSorted(
			(left, right) => right.pathPrefix.length - left.pathPrefix.length,
		);
	return longest;
}
