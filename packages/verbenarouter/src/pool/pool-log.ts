/** Structured log lines and counters of one entry VM on the platform. */
import {type PoolAnswer, type PoolJob} from '@verbenarouter/core';
import {createLogger, type LogFields, type ProcessLogger} from '../logger.js';
import {type Metrics} from '../metrics.js';

/** Counts that are kept until the metrics are loaded; more are left out. */
const mostEarlyCounts = 20_000;

/** Lines and counters. */
export class PoolLog {
	readonly #logger: ProcessLogger;
	readonly #gauges: () => Readonly<Record<string, number>>;
	#metrics: Metrics | undefined;
	#early: Array<(metrics: Metrics) => void> = [];

	constructor(name: string, gauges: () => Readonly<Record<string, number>>) {
		this.#logger = createLogger({format: 'json', level: 'info'}, name);
		this.#gauges = gauges;
	}

	/** Loads the metrics, which take as long as all else at a start and can wait until callers are served. */
	async loadMetrics(): Promise<Metrics> {
		if (this.#metrics === undefined) {
			const loaded = await import('../metrics.js');
			this.#metrics ??= new loaded.Metrics(this.#gauges);
			for (const count of this.#early) {
				count(this.#metrics);
			}

			this.#early = [];
		}

		return this.#metrics;
	}

	/** Writes one line and counts the event. */
	write(fields: LogFields): void {
		this.#logger.info(fields);
		this.#count((metrics) => {
			metrics.increment('events_total', {
				event: fields.event,
				reason: typeof fields.reason === 'string' ? fields.reason : '',
			});
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
		this.#count((metrics) => {
			metrics.recordJobAnswer(
				job.queue,
				answer.kind === 'cancelled' ? 'failed' : answer.kind,
				reason,
				tookMs,
			);
		});
	}

	#count(count: (metrics: Metrics) => void): void {
		if (this.#metrics !== undefined) {
			count(this.#metrics);
		} else if (this.#early.length < mostEarlyCounts) {
			this.#early.push(count);
		}
	}
}
