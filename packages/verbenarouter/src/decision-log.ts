/** One log line for each placement or routing decision. */
import {Logger} from 'tslog';
import {type Settings} from './settings.js';

/** A task was given to a target. */
export type Placed = {
	readonly identifier: string;
	readonly task: number;
	readonly target: string;
	readonly reason: string;
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

const levels = {debug: 2, info: 3, warn: 4, error: 5} as const;

/** A logger of the process. */
export function createLogger(
	settings: Settings['log'],
	name: string,
): Logger<unknown> {
	return new Logger({
		name,
		type: settings.format,
		minLevel: levels[settings.level],
		hideLogPositionForProduction: true,
	});
}

/** Decisions as lines of a logger. */
export class LoggerDecisionLog implements DecisionLog {
	readonly #logger: Logger<unknown>;

	constructor(logger: Logger<unknown>) {
		this.#logger = logger;
	}

	placed(decision: Placed): void {
		this.#logger.info('placed', decision);
	}

	routed(decision: Routed): void {
		this.#logger.info('routed', decision);
	}
}
