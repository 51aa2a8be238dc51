/** Counters and response times of one entry VM, readable as text for a scraper and as JSON for people. */
import {type TaskOutcome, type Verdict} from '@verbenarouter/core';
import {build, type Histogram} from 'hdr-histogram-js';

const significantDigits = 2;
const longestMs = 3_600_000;
const percentiles = [50, 99, 99.9] as const;

/** A distribution of times in milliseconds. */
export type TimeSummary = {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly maximum: number;
};

/** One measured value with its labels. */
export type Sample = {
	readonly name: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly value: number;
};

/** Values that are read when the metrics are read, such as the length of a queue. */
export type Gauges = () => Readonly<Record<string, number>>;

/** Counters and response times of one entry VM. */
export class Metrics {
	readonly #gauges: Gauges;
	readonly #counters = new Map<
		string,
		{readonly sample: Sample; value: number}
	>();

	readonly #jobTimes = new Map<string, Histogram>();
	readonly #taskTimes = new Map<string, Histogram>();

	/** The names of gauges are in camel case and carry their units. */
	constructor(gauges: Gauges) {
		this.#gauges = gauges;
	}

	/** Counts the answer to one request of a caller; `tookMs` is the time from its arrival. */
	jobAnswered(
		entry: string,
		verdict: Verdict,
		code: string,
		tookMs: number,
	): void {
		this.count('jobs_total', {entry, verdict, code});
		record(this.#jobTimes, entry, tookMs);
	}

	/** Counts one message to a target and its outcome. */
	taskEnded(target: string, outcome: TaskOutcome, tookMs: number): void {
		this.count('tasks_total', {
			outcome: outcome.kind,
			reason: 'reason' in outcome ? outcome.reason : '',
		});
		if (outcome.kind === 'completed') {
			record(this.#taskTimes, target, tookMs);
		}
	}

	/** Adds one to a counter. */
	count(name: string, labels: Readonly<Record<string, string>>): void {
		const key = `${name} ${Object.values(labels).join(' ')}`;
		const counter = this.#counters.get(key) ?? {
			sample: {name, labels, value: 0},
			value: 0,
		};
		counter.value += 1;
		this.#counters.set(key, counter);
	}

	/** Everything as data. */
	snapshot(): {
		readonly gauges: Readonly<Record<string, number>>;
		readonly counters: readonly Sample[];
		readonly jobTimesMs: Readonly<Record<string, TimeSummary>>;
		readonly taskTimesMs: Readonly<Record<string, TimeSummary>>;
	} {
		return {
			gauges: this.#gauges(),
			counters: [...this.#counters.values()].map(({sample, value}) => ({
				...sample,
				value,
			})),
			jobTimesMs: summaries(this.#jobTimes),
			taskTimesMs: summaries(this.#taskTimes),
		};
	}

	/** Everything in the text format that scrapers of metrics read. */
	text(): string {
		const {gauges, counters, jobTimesMs, taskTimesMs} = this.snapshot();
		return [
			...Object.entries(gauges).map(([name, value]) =>
				line({name: snakeCase(name), labels: {}, value}),
			),
			...counters.map((sample) => line(sample)),
			...timeLines('job_duration_ms', 'entry', jobTimesMs),
			...timeLines('task_duration_ms', 'target', taskTimesMs),
			'',
		].join('\n');
	}
}

function record(
	histograms: Map<string, Histogram>,
	name: string,
	tookMs: number,
): void {
	const histogram =
		histograms.get(name) ??
		build({
			lowestDiscernibleValue: 1,
			highestTrackableValue: longestMs,
			numberOfSignificantValueDigits: significantDigits,
		});
	histograms.set(name, histogram);
	histogram.recordValue(Math.min(longestMs, Math.max(0, Math.round(tookMs))));
}

function summaries(
	histograms: ReadonlyMap<string, Histogram>,
): Readonly<Record<string, TimeSummary>> {
	return Object.fromEntries(
		[...histograms].map(([name, histogram]) => {
			const [p50, p99, p999] = percentiles.map((percentile) =>
				histogram.getValueAtPercentile(percentile),
			);
			return [
				name,
				{
					count: histogram.totalCount,
					p50: p50 ?? 0,
					p99: p99 ?? 0,
					p999: p999 ?? 0,
					maximum: histogram.maxValue,
				},
			];
		}),
	);
}

function timeLines(
	name: string,
	label: string,
	times: Readonly<Record<string, TimeSummary>>,
): readonly string[] {
	return Object.entries(times).flatMap(([key, {count, p50, p99, p999}]) => [
		line({name, labels: {[label]: key, quantile: '0.5'}, value: p50}),
		line({name, labels: {[label]: key, quantile: '0.99'}, value: p99}),
		line({name, labels: {[label]: key, quantile: '0.999'}, value: p999}),
		line({name: `${name}_count`, labels: {[label]: key}, value: count}),
	]);
}

function snakeCase(name: string): string {
	return name.replaceAll(/[A-Z]/gv, (letter) => `_${letter.toLowerCase()}`);
}

function line({name, labels, value}: Sample): string {
	const written = Object.entries(labels).map(
		([label, text]) => `${label}=${JSON.stringify(text)}`,
	);
	return `verbenarouter_${name}${written.length === 0 ? '' : `{${written.join(',')}}`} ${value}`;
}
