import {type PoolAnswer, type PoolJob} from '@verbenarouter/core';
import {createLogger, type LogFields, type ProcessLogger} from '../logger.js';
import {type CounterReader, type Metrics} from '../metrics.js';

/** Number of counts that are buffered until the metrics are loaded; further ones are dropped. */
const maxBufferedCounts = 20_000;

/** The structured log lines and event counters of one entry VM. */
export class PoolLog {
	readonly #logger: ProcessLogger;
	readonly #gauges: () => Readonly<Record<string, number>>;
	readonly #counters: CounterReader;
	#metrics: Metrics | undefined;
	/** Counts made before the metrics were loaded. */
	#bufferedCounts: Array<(metrics: Metrics) => void> = [];

	constructor(
		name: string,
		gauges: () => Readonly<Record<string, number>>,
		counters: CounterReader,
	) {
		this.#logger = createLogger({format: 'json', level: 'info'}, name);
		this.#gauges = gauges;
		this.#counters = counters;
	}

	/**
	 * Loads the metrics module once and returns it. Loading takes as long as the rest of the start, so it is deferred
	 * until callers are served.
	 */
	async loadMetrics(): Promise<Metrics> {
		if (this.#metrics === undefined) {
			const loaded = await import('../metrics.js');
			this.#metrics ??= new loaded.Metrics(this.#gauges, this.#counters);
			for (const count of this.#bufferedCounts) {
				count(this.#metrics);
			}

			this.#bufferedCounts = [];
		}

		return this.#metrics;
	}

	/** Writes one log line and counts its event. */
	write(fields: LogFields): void {
		this.#logger.info(fields);
		this.#count((metrics) => {
			metrics.increment('events_total', {
				event: fields.event,
				reason: typeof fields.reason === 'string' ? fields.reason : '',
			});
		});
	}

	/** Writes the answer of a job and the time until it, and counts it. */
	writeAnswer(job: PoolJob, answer: PoolAnswer, tookMs: number): void {
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

	/** Applies a count, or buffers it until the metrics are loaded. */
	#count(count: (metrics: Metrics) => void): void {
		if (this.#metrics !== undefined) {
			count(this.#metrics);
		} else if (this.#bufferedCounts.length < maxBufferedCounts) {
			this.#bufferedCounts.push(count);
		}
	}
}
