import {type WorkerEntry, type WorkerReport} from './pool-worker.js';

/** Extends the lease of all runs on a worker and requests a report of its runs. */
export type HoldCommand = {
	readonly worker: WorkerEntry;
	readonly fencingToken: number;
	/** End of the lease in milliseconds on the worker's clock; absent if the lease is not extended. */
	readonly leaseExpiresAtMs?: number;
	/** Number of the last ended run that the leader has processed; the worker may drop ended runs up to it. */
	readonly acknowledgedEndNumber: number;
	/** Longest time in milliseconds for which the worker delays its report while no run ends. */
	readonly maxReportDelayMs: number;
};

/** What the handling of a hold command's outcome needs to know of the command. */
export type SentHold = Pick<HoldCommand, 'fencingToken'> & {
	readonly sentAtMs: number;
};

/** Starts a run of a task. */
export type StartCommand = {
	readonly worker: WorkerEntry;
	readonly fencingToken: number;
	readonly task: string;
	readonly run: number;
	/** What to run, as the caller submitted it. */
	readonly spec: string;
	/** End of the lease in milliseconds on the worker's clock; the worker refuses the command after it. */
	readonly leaseExpiresAtMs: number;
	/** Time at which the leader decided to send the command, in milliseconds on the leader's monotonic clock. */
	readonly decidedAtMs: number;
	/**
	 * Time on that clock until which no other leader can have claimed the worker since the decision. The command must not leave
	 * later.
	 */
	readonly sendUntilMs: number;
};

/** Stops a run. If its start command arrives later, the worker refuses the start. */
export type StopCommand = {
	readonly worker: WorkerEntry;
	readonly fencingToken: number;
	readonly task: string;
	readonly run: number;
};

/** Why a worker refused a command. */
export type CommandRefusalReason =
	/** The worker has received a higher fencing token. */
	| 'fenced'
	/** A run of the task with this number or a higher one has ended on the worker. */
	| 'old-run'
	/** The lease in the command had expired. */
	| 'late'
	| 'no-room'
	| 'unhealthy'
	| 'other-incarnation'
	| 'malformed';

/** The outcome of a command. */
export type CommandOutcome =
	| {
			readonly kind: 'done';
			/** Time in milliseconds on the worker's clock. */
			readonly clockMs: number;
			readonly report?: WorkerReport;
	  }
	| {
			readonly kind: 'refused';
			readonly reason: CommandRefusalReason;
			readonly clockMs?: number;
	  }
	/** The worker has not received the command, as no connection could be opened or the command was outdated. */
	| {
			readonly kind: 'not-sent';
			/** Whether the time has passed by which the command had to leave, which says nothing about the worker. */
			readonly isOutdated?: boolean;
			/** Whether the worker's host refused the connection: no process listens at the worker's address. */
			readonly isRefused?: boolean;
	  }
	/** No answer: the worker may have executed the command, or may still execute it. */
	| {readonly kind: 'silent'};

/** Sends commands to workers. Outcomes are passed to the scheduler's `handle…Outcome` methods, never during the call. */
export type WorkerCommandSender = {
	hold(command: HoldCommand): void;
	start(command: StartCommand): void;
	stop(command: StopCommand): void;
};
