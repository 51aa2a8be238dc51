/** One log line for each placement or routing decision. */
import {type PassedOverCounts} from '@verbenarouter/core';
import {type ProcessLogger} from './logger.js';

/** A task was given to a target. */
export type Placed = {
	readonly identifier: string;
	readonly task: number;
	readonly target: string;
	readonly reason: string;
	/** Milliseconds since the job arrived. */
	readonly waitedMs: number;
	/** Targets among which it was chosen. */
	readonly candidates: number;
	/** Targets that were passed over, counted by reason. */
	readonly passedOver: Readonly<PassedOverCounts>;
};

/** A submission was run here, forwarded or refused. */
export type Routed = {
	readonly identifier: string;
	readonly team: string;
	readonly decision: string;
	readonly reason: string;
};

/** Writes one line for each decision; never a body or a token. */
export type DecisionLog = {
	placed(decision: Placed): void;
	routed(decision: Routed): void;
};

/** Decisions as lines of a logger. */
export class LoggerDecisionLog implements DecisionLog {
	readonly #logger: ProcessLogger;

	constructor(logger: ProcessLogger) {
		this.#logger = logger;
	}

	placed(decision: Placed): void {
		this.#logger.info({event: 'placed', ...decision});
	}

	routed(decision: Routed): void {
		this.#logger.info({event: 'routed', ...decision});
	}
}
