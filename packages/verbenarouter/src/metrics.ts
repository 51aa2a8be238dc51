import {type TaskOutcome, type Verdict} from '@verbenarouter/core';
import {build, type Histogram} from 'hdr-histogram-js';

const significantDigits = 2;
/** Longest duration that the histograms distinguish; longer ones are recorded as this value. */
const maxTrackableMs = 3_600_000;
const percentiles = [50, 99, 99.9] as const;

/** Percentiles and maximum of durations in milliseconds. */
export type TimeSummary = {
	/** Number of recorded durations. */
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly maximum: number;
};

/** One value of a metric with its labels. */
export type MetricSample = {
	readonly name: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly value: number;
};

/** Returns the current values of the gauges, by name in camel case with the unit, for example `catalogueAgeMs`. */
export type GaugeReader = () => Readonly<Record<string, number>>;

/** Returns counters that are kept outside of {@link Metrics}. */
export type CounterReader = () => readonly MetricSample[];

/** Counters, gauges and response times of one process, exported in the Prometheus text format and as JSON. */
export class Metrics {
	readonly #readGauges: GaugeReader;
	readonly #readCounters: CounterReader;
	readonly #counters = new Map<
		string,
		{readonly sample: MetricSample; value: number}
	>();

	readonly #jobHistograms = new Map<string, Histogram>();
	readonly #taskHistograms = new Map<string, Histogram>();

	constructor(readGauges: GaugeReader, readCounters: CounterReader = () => []) {
		this.#readGauges = readGauges;
		this.#readCounters = readCounters;
	}

	/** Records the answer to a submission; `durationMs` is the time since its arrival. */
	recordJobAnswer(
		entry: string,
		verdict: Verdict,
		code: string,
		durationMs: number,
	): void {
		this.increment('jobs_total', {entry, verdict, code});
		recordTime(this.#jobHistograms, entry, durationMs);
	}

	/** Records the outcome of one attempt to run a task; only the durations of completed tasks are recorded. */
	recordTaskOutcome(
		target: string,
		outcome: TaskOutcome,
		durationMs: number,
	): void {
		this.increment('tasks_total', {
			outcome: outcome.kind,
			reason: 'reason' in outcome ? outcome.reason : '',
		});
		if (outcome.kind === 'completed') {
			recordTime(this.#taskHistograms, target, durationMs);
		}
	}

	/** Adds 1 to the counter with this name and these labels. */
	increment(name: string, labels: Readonly<Record<string, string>>): void {
		const key = `${name} ${Object.values(labels).join(' ')}`;
		const counter = this.#counters.get(key) ?? {
			sample: {name, labels, value: 0},
			value: 0,
		};
		counter.value += 1;
		this.#counters.set(key, counter);
	}

	/** Returns all metrics as an object that can be written as JSON. */
	snapshot(): {
		readonly gauges: Readonly<Record<string, number>>;
		readonly counters: readonly MetricSample[];
		readonly jobTimesMs: Readonly<Record<string, TimeSummary>>;
		readonly taskTimesMs: Readonly<Record<string, TimeSummary>>;
	} {
		return {
			gauges: this.#readGauges(),
			counters: [
				...[...this.#counters.values()].map(({sample, value}) => ({
					...sample,
					value,
				})),
				...this.#readCounters(),
			],
			jobTimesMs: summarizeTimes(this.#jobHistograms),
			taskTimesMs: summarizeTimes(this.#taskHistograms),
		};
	}

	/** Returns all metrics in the Prometheus text format. */
	formatText(): string {
		const {gauges, counters, jobTimesMs, taskTimesMs} = this.snapshot();
		return [
			...Object.entries(gauges).map(([name, value]) =>
				formatLine({name: snakeCase(name), labels: {}, value}),
			),
			...counters.map((sample) => formatLine(sample)),
			...formatTimeLines('job_duration_ms', 'entry', jobTimesMs),
			...formatTimeLines('task_duration_ms', 'target', taskTimesMs),
			'',
		].join('\n');
	}
}

function recordTime(
	histograms: Map<string, Histogram>,
	name: string,
	durationMs: number,
): void {
	const histogram =
		histograms.get(name) ??
		build({
			lowestDiscernibleValue: 1,
			highestTrackableValue: maxTrackableMs,
			numberOfSignificantValueDigits: significantDigits,
		});
	histograms.set(name, histogram);
	histogram.recordValue(
		Math.min(maxTrackableMs, Math.max(0, Math.round(durationMs))),
	);
}

function summarizeTimes(
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

function formatTimeLines(
	name: string,
	label: string,
	summaries: Readonly<Record<string, TimeSummary>>,
): readonly string[] {
	return Object.entries(summaries).flatMap(([key, {count, p50, p99, p999}]) => [
		formatLine({name, labels: {[label]: key, quantile: '0.5'}, value: p50}),
		formatLine({name, labels: {[label]: key, quantile: '0.99'}, value: p99}),
		formatLine({name, labels: {[label]: key, quantile: '0.999'}, value: p999}),
		formatLine({name: `${name}_count`, labels: {[label]: key}, value: count}),
	]);
}

function snakeCase(name: string): string {
	return name.replaceAll(/[A-Z]/gv, (letter) => `_${letter.toLowerCase()}`);
}

function formatLine({name, labels, value}: MetricSample): string {
	const formattedLabels = Object.entries(labels).map(
		([label, labelValue]) => `${label}=${JSON.stringify(labelValue)}`,
	);
	return `verbenarouter_${name}${formattedLabels.length === 0 ? '' : `{${formattedLabels.join(',')}}`} ${value}`;
}
