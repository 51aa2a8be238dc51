/** What the load tool measures of one policy, over all its rounds. */
import {build, type Histogram} from 'hdr-histogram-js';
import {type JobAnswer} from '@verbenarouter/core';
import {longestMs, workMs, type PlannedJob} from './mix.js';

/** Last part of a round, in which the queues have filled as far as they will, as a share of it. */
export const steadyShare = 2 / 3;

const ratioScale = 1000;
const histogramDigits = 3;
const highestRatio = 100_000_000;

/** Percentiles of a ratio. */
export type RatioSummary = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly count: number;
};

/** One class of work, as it was served. */
export type ClassSummary = {
	readonly overIdeal: RatioSummary;
	readonly overBound: RatioSummary;
};

/** One job with its answer. */
export type ServedJob = {
	readonly job: PlannedJob;
	/** Milliseconds from the intended arrival to the answer. */
	readonly responseMs: number;
	readonly answer: JobAnswer;
	/** Whether the answer came in the last part of the round in which load was offered, see {@link steadyShare}. */
	readonly isInWindow: boolean;
};

/** Collects answers. */
export class Measurement {
	readonly #byClass = new Map<string, {ideal: Histogram; bound: Histogram}>();
	readonly #endings = new Map<string, number>();
	readonly #refusalMs = ratioHistogram();
	#tasks = 0;
	#completedTasks = 0;
	#completedWorkMs = 0;
	#jobs = 0;

	/** `slots` counts the slots of all targets. */
	constructor(readonly slots: number) {}

	/** Tasks of completed jobs. */
	get completedTasks(): number {
		return this.#completedTasks;
	}

	/** Records one answer. */
	record({job, responseMs, answer, isInWindow}: ServedJob): void {
		const ending =
			answer.refusal === undefined
				? answer.verdict
				: `${answer.verdict}: ${answer.refusal.code}`;
		this.#endings.set(ending, (this.#endings.get(ending) ?? 0) + 1);
		this.#jobs += 1;
		this.#tasks += job.tasks.length;
		if (answer.verdict !== 'completed') {
			if (answer.refusal?.code === 'overloaded') {
				this.#refusalMs.recordValue(Math.round(responseMs * ratioScale));
			}

			return;
		}

		this.#completedTasks += job.tasks.length;
		this.#completedWorkMs += isInWindow ? workMs(job) : 0;
		const ideal = longestMs(job);
		const bound = Math.max(ideal, workMs(job) / this.slots);
		const {ideal: overIdeal, bound: overBound} = this.#histograms(job.entry);
		overIdeal.recordValue(Math.round((responseMs / ideal) * ratioScale));
		overBound.recordValue(Math.round((responseMs / bound) * ratioScale));
	}

	/** The figures so far; `offeredMs` is the time during which load was offered. */
	summary(offeredMs: number) {
		const all = [...this.#byClass.values()];
		return {
			jobs: this.#jobs,
			tasks: this.#tasks,
			completedTasks: this.#completedTasks,
			completedTasksPerSecond: round(this.#completedTasks / (offeredMs / 1000)),
			/** Work of jobs that completed in the steady part of the rounds, as a share of what the slots can do. */
			completedShareOfSlots: round(
				this.#completedWorkMs / (this.slots * offeredMs * steadyShare),
			),
			endings: Object.fromEntries(
				[...this.#endings].toSorted(([a], [b]) => a.localeCompare(b)),
			),
			overloadedRefusalMs: summaryOf(this.#refusalMs),
			overIdeal: summaryOf(merged(all.map(({ideal}) => ideal))),
			overBound: summaryOf(merged(all.map(({bound}) => bound))),
			byClass: Object.fromEntries(
				[...this.#byClass].map(
					([name, {ideal, bound}]): [string, ClassSummary] => [
						name,
						{overIdeal: summaryOf(ideal), overBound: summaryOf(bound)},
					],
				),
			),
		};
	}

	#histograms(entry: string): {ideal: Histogram; bound: Histogram} {
		const known = this.#byClass.get(entry) ?? {
			ideal: ratioHistogram(),
			bound: ratioHistogram(),
		};
		this.#byClass.set(entry, known);
		return known;
	}
}

function ratioHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestRatio,
		numberOfSignificantValueDigits: histogramDigits,
	});
}

function merged(histograms: readonly Histogram[]): Histogram {
	const whole = ratioHistogram();
	for (const histogram of histograms) {
		whole.add(histogram);
	}

	return whole;
}

function summaryOf(histogram: Histogram): RatioSummary {
	const at = (percentile: number): number =>
		histogram.totalCount === 0
			? 0
			: histogram.getValueAtPercentile(percentile) / ratioScale;
	return {
		p50: at(50),
		p99: at(99),
		p999: at(99.9),
		count: histogram.totalCount,
	};
}

/** Rounds to three decimals. */
export function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
