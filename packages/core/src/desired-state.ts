/** Settings of a job queue; requests select it by host and path. */
export type QueueSetting = {
	/** Name of the queue. */
	readonly name: string;
	/** Host name of the requests to the queue; empty for any host. */
	readonly host: string;
	/** Path prefix of the requests to the queue. */
	readonly pathPrefix: string;
	/** Service whose workers run the tasks. */
	readonly service: string;
	/** Priority of the queue; 0 is the highest. */
	readonly priority: number;
	/** Number of failed runs of one task at which its job fails. */
	readonly mostAttempts: number;
	/** Factor of a job's latency objective: the run time of its longest task times `stretch`, plus `latencyMs`. */
	readonly stretch: number;
	/** Constant part of a job's latency objective, in milliseconds. */
	readonly latencyMs: number;
};

/** Limits on the requests of callers; entry VMs enforce only `bodyBytes`. */
export type RequestLimits = {
	/** Largest size of a request body. */
	readonly bodyBytes: number;
	/** Largest size of the request headers. */
	readonly headerBytes: number;
	/** Longest time in which the request headers must arrive. */
	readonly headerTimeoutMs: number;
	/** Longest time for which a connection may be idle. */
	readonly idleTimeoutMs: number;
};

/** The complete configuration that the operator has requested. */
export type DesiredState = {
	/** Increases with each change, not always by one. */
	readonly version: number;
	/** Queues that accept jobs. */
	readonly queues: readonly QueueSetting[];
	/** Names of the services whose workers run tasks. */
	readonly services: readonly string[];
	/** Services whose workers start whatever they are told to, also beyond their capacity; absent for none. */
	readonly unguardedServices?: readonly string[];
	/** Limits on the requests of callers. */
	readonly limits: RequestLimits;
};

/** Finds the queue with the longest matching path prefix among the queues of a request's host. */
export function findQueue(
	state: DesiredState,
	host: string,
	path: string,
): QueueSetting | undefined {
	const [hostName] = host.split(':');
	const [longestMatch] = state.queues
		.filter(
			(queue) =>
				(queue.host === '' || queue.host === hostName) &&
				path.startsWith(queue.pathPrefix),
		)
		.toSorted(
			(left, right) => right.pathPrefix.length - left.pathPrefix.length,
		);
	return longestMatch;
}
