/** The properties of a task from which its run time is estimated. */
export type EstimateInput = {
	/** The class within which run times are learned. */
	readonly classOfWork: string;
	/** The caller's estimate of the run time in milliseconds. */
	readonly declaredMs?: number | undefined;
};

/** Estimates the run times of tasks. */
export type RunTimeEstimator = {
	/** Returns the expected run time in milliseconds. */
	expectedMs(input: EstimateInput): number;
	/** Returns a run time in milliseconds that few tasks of the class undercut; 0 if there is no estimate. */
	lowEstimateMs(input: EstimateInput): number;
	/** Records the run time in milliseconds of a completed task. */
	observe(input: EstimateInput, ranMs: number): void;
};

/** Expected run time in milliseconds of a task without a declared time in a class without observations. */
const defaultExpectedMs = 300;
/** Quantile parameter that sets the step sizes of the low estimate. */
const lowQuantile = 0.05;

/** The baseline estimator, which returns the callers' declared run times. */
export class DeclaredTimeEstimator implements RunTimeEstimator {
	expectedMs({declaredMs}: EstimateInput): number {
		return declaredMs ?? defaultExpectedMs;
	}

	lowEstimateMs({declaredMs}: EstimateInput): number {
		return declaredMs ?? 0;
	}

	observe(): void {
		// Declared times need no observations.
	}
}

type ClassStatistics = {
	meanMs: number;
	lowEstimateMs: number;
	count: number;
	/** Mean run times by the logarithmic bucket of the declared time. */
	readonly byDeclaredBucket: Map<number, {meanMs: number; count: number}>;
};

/** Minimum weight of a new observation in a mean, and relative step of the low estimate. */
const smoothingFactor = 0.02;
/** Number of observations at which a bucket's mean has the same weight as the mean of its class. */
const priorCount = 20;
/** Number of observations of a class before its low estimate is used. */
const warmUpCount = 20;
const bucketsPerOctave = 1;
const maximumBucketIndex = 20;
/** Distance of buckets from which a mean is not used for another one: declared times are off by far less. */
const farBuckets = 3;

/**
 * Learns a mean and a low estimate of the run times of each class, and a mean for each bucket of declared times in it,
 * because declared times are often far from the actual ones.
 */
export class LearnedTimeEstimator implements RunTimeEstimator {
	readonly #classes = new Map<string, ClassStatistics>();

	expectedMs({classOfWork, declaredMs}: EstimateInput): number {
		const statistics = this.#classes.get(classOfWork);
		if (statistics === undefined) {
			return declaredMs ?? defaultExpectedMs;
		}

		if (declaredMs !== undefined && isFarFromObserved(statistics, declaredMs)) {
			return declaredMs;
		}

		const bucket =
			declaredMs === undefined
				? undefined
				: statistics.byDeclaredBucket.get(bucketIndex(declaredMs));
		return bucket === undefined
			? statistics.meanMs
			: (bucket.meanMs * bucket.count + statistics.meanMs * priorCount) /
					(bucket.count + priorCount);
	}

	lowEstimateMs({classOfWork}: EstimateInput): number {
		const statistics = this.#classes.get(classOfWork);
		return statistics === undefined || statistics.count < warmUpCount
			? 0
			: statistics.lowEstimateMs;
	}

	observe({classOfWork, declaredMs}: EstimateInput, ranMs: number): void {
		const statistics = this.#classes.get(classOfWork);
		if (statistics === undefined) {
			this.#classes.set(classOfWork, {
				meanMs: ranMs,
				lowEstimateMs: ranMs,
				count: 1,
				byDeclaredBucket: new Map(
					declaredMs === undefined
						? []
						: [[bucketIndex(declaredMs), {meanMs: ranMs, count: 1}]],
				),
			});
			return;
		}

		statistics.count += 1;
		statistics.meanMs +=
			(ranMs - statistics.meanMs) * observationWeight(statistics.count);
		statistics.lowEstimateMs = nextLowEstimateMs(
			statistics.lowEstimateMs,
			ranMs,
		);
		if (declaredMs !== undefined) {
			observeBucket(statistics, bucketIndex(declaredMs), ranMs);
		}
	}
}

/** Whether nothing was observed of tasks with a declared time anywhere near this one, so that their mean says nothing of it. */
function isFarFromObserved(
	{byDeclaredBucket}: ClassStatistics,
	declaredMs: number,
): boolean {
	const index = bucketIndex(declaredMs);
	return (
		byDeclaredBucket.size > 0 &&
		[...byDeclaredBucket.keys()].every(
			(observed) => Math.abs(observed - index) >= farBuckets,
		)
	);
}

function observeBucket(
	{byDeclaredBucket}: ClassStatistics,
	index: number,
	ranMs: number,
): void {
	const bucket = byDeclaredBucket.get(index) ?? {meanMs: ranMs, count: 0};
	bucket.count += 1;
	bucket.meanMs += (ranMs - bucket.meanMs) * observationWeight(bucket.count);
	byDeclaredBucket.set(index, bucket);
}

/** Returns the logarithmic bucket of a declared time. */
function bucketIndex(declaredMs: number): number {
	return Math.min(
		maximumBucketIndex,
		Math.max(0, Math.round(Math.log2(declaredMs) * bucketsPerOctave)),
	);
}

/** Returns the weight of the newest observation, for a plain mean at first and an exponentially weighted one later. */
function observationWeight(count: number): number {
	return Math.max(smoothingFactor, 1 / count);
}

/** Moves the low estimate down by a large step after a shorter run time, else up by a small step. */
function nextLowEstimateMs(estimateMs: number, ranMs: number): number {
	const stepMs = estimateMs * smoothingFactor;
	return ranMs < estimateMs
		? Math.max(ranMs, estimateMs - stepMs / lowQuantile / 2)
		: estimateMs + (stepMs * lowQuantile) / (1 - lowQuantile);
}
