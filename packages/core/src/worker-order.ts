/** Orders that the leader of a pool gives to workers, and what comes of them. */
import {type WorkerEntry, type WorkerReport} from './pool-worker.js';

/** Extends the lease of all that runs on a worker, and asks for its lists of runs. */
export type HoldOrder = {
	readonly worker: WorkerEntry;
	readonly token: number;
	/** End of the lease on the worker's clock; absent when it is not to be extended. */
	readonly leaseUntilMs?: number;
	/** Ends up to this number may be forgotten. */
	readonly lastEndNumber: number;
	/** Milliseconds for which the worker holds the answer back while nothing ends. */
	readonly waitMs: number;
};

/** Starts a run. */
export type StartOrder = {
	readonly worker: WorkerEntry;
	readonly token: number;
	readonly task: string;
	readonly run: number;
	readonly spec: string;
	/** End of the lease on the worker's clock; the order is void after it. */
	readonly leaseUntilMs: number;
};

/** Stops a run; one that has not come there yet will be refused. */
export type StopOrder = {
	readonly worker: WorkerEntry;
	readonly token: number;
	readonly task: string;
	readonly run: number;
};

/** Why a worker did nothing. */
export type OrderRefusal =
	/** It has seen a higher fencing token. */
	| 'fenced'
	/** A run with this number or a higher one has ended there. */
	| 'old-run'
	/** The lease in the order had ended. */
	| 'late'
	| 'no-room'
	| 'unhealthy'
	| 'other-incarnation'
	| 'malformed';

/** What came of an order. */
export type OrderOutcome =
	| {
			readonly kind: 'done';
			readonly clockMs: number;
			readonly report?: WorkerReport;
	  }
	| {
			readonly kind: 'refused';
			readonly reason: OrderRefusal;
			readonly clockMs?: number;
	  }
	/** No connection could be opened, so the worker has not seen the order. */
	| {readonly kind: 'not-sent'}
	/** No answer; the order may have been carried out, or may still be. */
	| {readonly kind: 'silent'};

/** Sends orders to workers. Outcomes come back through the pool's methods, never during the call. */
export type WorkerOrders = {
	hold(order: HoldOrder): void;
	start(order: StartOrder): void;
	stop(order: StopOrder): void;
};
