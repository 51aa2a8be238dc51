import {type PassedOverCounts} from '@verbenarouter/core';
import {type ProcessLogger} from './logger.js';

/** A task was placed on a target. */
export type PlacementDecision = {
	readonly identifier: string;
	/** Index of the task in its job. */
	readonly task: number;
	readonly target: string;
	/** Name of the placement policy. */
	readonly reason: string;
	/** Milliseconds between the arrival of the job and the placement. */
	readonly waitedMs: number;
	/** Number of targets among which the policy chose. */
	readonly candidates: number;
	/** Numbers of targets that could not take the task, by reason. */
	readonly passedOver: Readonly<PassedOverCounts>;
};

/** A submission was run on this entry VM, forwarded to a peer or refused. */
export type RoutingDecision = {
	readonly identifier: string;
	readonly team: string;
	readonly decision: string;
	readonly reason: string;
};

/** Receives placement and routing decisions. They contain neither request bodies nor tokens. */
export type DecisionLog = {
	logPlacement(decision: PlacementDecision): void;
	logRouting(decision: RoutingDecision): void;
};

/** Writes each decision as one line of a logger. */
export class LoggerDecisionLog implements DecisionLog {
	readonly #logger: ProcessLogger;

	constructor(logger: ProcessLogger) {
		this.#logger = logger;
	}

	logPlacement(decision: PlacementDecision): void {
		this.#logger.info({event: 'placed', ...decision});
	}

	logRouting(decision: RoutingDecision): void {
		this.#logger.info({event: 'routed', ...decision});
	}
}
