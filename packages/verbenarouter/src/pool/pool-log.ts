/** Structured log lines and counters of one entry VM on the platform. */
import {type PoolAnswer, type PoolJob} from '@verbenarouter/core';
import {createLogger, type LogFields, type ProcessLogger} from '../logger.js';
import {Metrics} from '../metrics.js';

/** Lines and counters. */
export class PoolLog {
	readonly metrics: Metrics;
	readonly #logger: ProcessLogger;

	constructor(
		name: string,
		gauges: () => Readonly<Record<string, number>>,
	) {
		this.#logger = createLogger({format: 'json', level: 'info'}, name);
		this.metrics = new Metrics(gauges);
	}

	/** Lines that were left out since standard output was not read. */
	get droppedCount(): number {
		return 0;
	}

	/** Writes one line and counts the event. */
	write(fields: LogFields): void {
		this.#logger.info(fields);
		this.metrics.count('events_total', {
			event: fields.event,
			reason: typeof fields['reason'] === 'string' ? fields['reason'] : '',
		});
	}

	/** Writes how a job was answered, and its time. */
	answered(job: PoolJob, answer: PoolAnswer, tookMs: number): void {
		const reason = 'reason' in answer ? answer.reason : '';
		this.#logger.info({
			event: 'answered',
			id: job.id,
			queue: job.queue,
			answer: answer.kind,
			reason,
			tookMs: Math.round(tookMs),
		});
		this.metrics.jobAnswered(
			job.queue,
			answer.kind === 'cancelled' ? 'failed' : answer.kind,
			reason,
			tookMs,
		);
	}
}
