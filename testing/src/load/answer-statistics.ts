import {build, type Histogram} from 'hdr-histogram-js';
import {type JobAnswer} from '@verbenarouter/core';
import {longestRunMs, totalRunMs, type PlannedJob} from './job-mix.js';

/** Share of a round, at its end, in which the backlog has reached its steady level. */
export const steadyStateShare = 2 / 3;

// Histograms hold integers, so they store ratios and milliseconds in thousandths.
const storedUnitsPerValue = 1000;
const significantDigits = 3;
const highestStoredValue = 100_000_000;

/** Percentiles of a ratio or of a time in milliseconds. */
export type PercentileSummary = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly count: number;
};

/** Response times of the completed jobs of one catalogue entry. */
export type ClassSummary = {
	/** Response time divided by the run time of the longest task, the least possible with unlimited slots. */
	readonly overIdeal: PercentileSummary;
	/**
	 * Response time divided by a lower bound for the available slots: the run time of the longest task, or the run time of
	 * all tasks divided by the slots if this is longer.
	 */
	readonly overBound: PercentileSummary;
};

/** One job with its answer and response time. */
export type AnsweredJob = {
	readonly job: PlannedJob;
	/** Milliseconds from the intended arrival to the answer. */
	readonly responseMs: number;
	readonly answer: JobAnswer;
	/** Whether the answer came in the steady part of the round while load was still offered, see {@link steadyStateShare}. */
	readonly isInSteadyState: boolean;
};

/** Collects the answers that one policy gave in all its rounds. */
export class AnswerStatistics {
	readonly #histogramsByEntry = new Map<
		string,
		{ideal: Histogram; bound: Histogram}
	>();

	readonly #outcomeCounts = new Map<string, number>();
	readonly #overloadedRefusalTimes = createHistogram();
	#tasks = 0;
	#completedTasks = 0;
	#steadyCompletedRunMs = 0;
	#jobs = 0;

	/** `slots` is the number of slots of all targets together. */
	constructor(readonly slots: number) {}

	/** Number of tasks in completed jobs. */
	get completedTasks(): number {
		return this.#completedTasks;
	}

	/** Counts the outcome of one job; the response time of a completed job goes into the histograms of its entry. */
	record({job, responseMs, answer, isInSteadyState}: AnsweredJob): void {
		const outcome =
			answer.refusal === undefined
				? answer.verdict
				: `${answer.verdict}: ${answer.refusal.code}`;
		this.#outcomeCounts.set(
			outcome,
			(this.#outcomeCounts.get(outcome) ?? 0) + 1,
		);
		this.#jobs += 1;
		this.#tasks += job.tasks.length;
		if (answer.verdict !== 'completed') {
			if (answer.refusal?.code === 'overloaded') {
				this.#overloadedRefusalTimes.recordValue(
					Math.round(responseMs * storedUnitsPerValue),
				);
			}

			return;
		}

		this.#completedTasks += job.tasks.length;
		this.#steadyCompletedRunMs += isInSteadyState ? totalRunMs(job) : 0;
		const ideal = longestRunMs(job);
		const bound = Math.max(ideal, totalRunMs(job) / this.slots);
		const {ideal: overIdeal, bound: overBound} = this.#histogramsOf(job.entry);
		overIdeal.recordValue(
			Math.round((responseMs / ideal) * storedUnitsPerValue),
		);
		overBound.recordValue(
			Math.round((responseMs / bound) * storedUnitsPerValue),
		);
	}

	/** Summarizes all recorded answers; `offeredMs` is the time during which load was offered. */
	summarize(offeredMs: number) {
		const all = [...this.#histogramsByEntry.values()];
		return {
			jobs: this.#jobs,
			tasks: this.#tasks,
			completedTasks: this.#completedTasks,
			completedTasksPerSecond: roundToThousandths(
				this.#completedTasks / (offeredMs / 1000),
			),
			/** Run time of the jobs that completed in the steady part of the rounds, as a share of the slot time there. */
			completedShareOfSlots: roundToThousandths(
				this.#steadyCompletedRunMs /
					(this.slots * offeredMs * steadyStateShare),
			),
			/** Number of jobs by verdict and, for refused jobs, refusal code. */
			endings: Object.fromEntries(
				[...this.#outcomeCounts].toSorted(([a], [b]) => a.localeCompare(b)),
			),
			/** Response times of jobs that were refused as overloaded. */
			overloadedRefusalMs: summarizePercentiles(this.#overloadedRefusalTimes),
			overIdeal: summarizePercentiles(
				mergeHistograms(all.map(({ideal}) => ideal)),
			),
			overBound: summarizePercentiles(
				mergeHistograms(all.map(({bound}) => bound)),
			),
			/** Summaries by catalogue entry. */
			byClass: Object.fromEntries(
				[...this.#histogramsByEntry].map(
					([name, {ideal, bound}]): [string, ClassSummary] => [
						name,
						{
							overIdeal: summarizePercentiles(ideal),
							overBound: summarizePercentiles(bound),
						},
					],
				),
			),
		};
	}

	#histogramsOf(entry: string): {ideal: Histogram; bound: Histogram} {
		const histograms = this.#histogramsByEntry.get(entry) ?? {
			ideal: createHistogram(),
			bound: createHistogram(),
		};
		this.#histogramsByEntry.set(entry, histograms);
		return histograms;
	}
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestStoredValue,
		numberOfSignificantValueDigits: significantDigits,
	});
}

function mergeHistograms(histograms: readonly Histogram[]): Histogram {
	const merged = createHistogram();
	for (const histogram of histograms) {
		merged.add(histogram);
	}

	return merged;
}

function summarizePercentiles(histogram: Histogram): PercentileSummary {
	const valueAt = (percentile: number): number =>
		histogram.totalCount === 0
			? 0
			: histogram.getValueAtPercentile(percentile) / storedUnitsPerValue;
	return {
		p50: valueAt(50),
		p99: valueAt(99),
		p999: valueAt(99.9),
		count: histogram.totalCount,
	};
}

/** Rounds to three decimal places. */
export function roundToThousandths(value: number): number {
	return Math.round(value * 1000) / 1000;
}
