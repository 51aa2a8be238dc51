/** Run times learned per class of work, since declared times are far off. */

/** What is known of a task before it starts. */
export type TaskKind = {
	readonly classOfWork: string;
	/** The caller's own estimate in milliseconds. */
	readonly declaredMs?: number | undefined;
};

/** Estimates run times. */
export type RunTimeEstimates = {
	/** Expected run time in milliseconds. */
	expectedMs(kind: TaskKind): number;
	/** A time in milliseconds that few tasks of the class stay below; 0 while nothing is known. */
	leastMs(kind: TaskKind): number;
	/** Takes in the run time of a task that has completed. */
	observe(kind: TaskKind, ranMs: number): void;
};

const unknownClassMs = 300;
const lowQuantile = 0.05;

/** The baseline: believes what callers declare. */
export class DeclaredEstimates implements RunTimeEstimates {
	expectedMs({declaredMs}: TaskKind): number {
		return declaredMs ?? unknownClassMs;
	}

	leastMs({declaredMs}: TaskKind): number {
		return declaredMs ?? 0;
	}

	observe(): void {
		// Nothing is learned.
	}
}

type ClassStatistics = {
	meanMs: number;
	leastMs: number;
	count: number;
	/** Mean run time by the order of magnitude of the declared time. */
	readonly byDeclared: Map<number, {meanMs: number; count: number}>;
};

const newestWeight = 0.02;
/** Observations after which a bucket's own mean counts as much as that of its class. */
const priorCount = 20;
const warmUpCount = 20;
const bucketsPerOctave = 1;
const longestBucket = 20;

/** Learns a mean and a low quantile for each class, and a mean for each magnitude of declared times within it. */
export class LearnedEstimates implements RunTimeEstimates {
	readonly #classes = new Map<string, ClassStatistics>();

	expectedMs({classOfWork, declaredMs}: TaskKind): number {
		const known = this.#classes.get(classOfWork);
		if (known === undefined) {
			return declaredMs ?? unknownClassMs;
		}

		const bucket =
			declaredMs === undefined
				? undefined
				: known.byDeclared.get(bucketOf(declaredMs));
		return bucket === undefined
			? known.meanMs
			: (bucket.meanMs * bucket.count + known.meanMs * priorCount) /
					(bucket.count + priorCount);
	}

	leastMs({classOfWork}: TaskKind): number {
		const known = this.#classes.get(classOfWork);
		return known === undefined || known.count < warmUpCount ? 0 : known.leastMs;
	}

	observe({classOfWork, declaredMs}: TaskKind, ranMs: number): void {
		const known = this.#classes.get(classOfWork);
		if (known === undefined) {
			this.#classes.set(classOfWork, {
				meanMs: ranMs,
				leastMs: ranMs,
				count: 1,
				byDeclared: new Map(),
			});
			return;
		}

		known.count += 1;
		known.meanMs += (ranMs - known.meanMs) * weightOf(known.count);
		known.leastMs = nextQuantile(known.leastMs, ranMs);
		if (declaredMs !== undefined) {
			observeBucket(known, bucketOf(declaredMs), ranMs);
		}
	}
}

function observeBucket(
	{byDeclared}: ClassStatistics,
	index: number,
	ranMs: number,
): void {
	const bucket = byDeclared.get(index) ?? {meanMs: ranMs, count: 0};
	bucket.count += 1;
	bucket.meanMs += (ranMs - bucket.meanMs) * weightOf(bucket.count);
	byDeclared.set(index, bucket);
}

function bucketOf(declaredMs: number): number {
	return Math.min(
		longestBucket,
		Math.max(0, Math.round(Math.log2(declaredMs) * bucketsPerOctave)),
	);
}

/** A plain mean at first, then an exponentially weighted one. */
function weightOf(count: number): number {
	return Math.max(newestWeight, 1 / count);
}

/** Moves an estimate of the low quantile by a step that balances at that quantile. */
function nextQuantile(quantileMs: number, ranMs: number): number {
	const stepMs = quantileMs * newestWeight;
	return ranMs < quantileMs
		? Math.max(ranMs, quantileMs - stepMs / lowQuantile / 2)
		: quantileMs + (stepMs * lowQuantile) / (1 - lowQuantile);
}
