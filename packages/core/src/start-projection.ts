/** State of a worker from which starts are projected. Processor amounts are in thousandths of a core. */
export type ProjectedWorker = {
	readonly freeProcessorMillis: number;
	/** Expected end of each run on the worker and the processor amount that the run frees, in any order. */
	readonly runEnds: ReadonlyArray<{
		readonly atMs: number;
		readonly processorMillis: number;
	}>;
	/** Ratio of actual to expected run time on the worker. */
	readonly slowdownFactor: number;
};

/** A waiting task. */
export type ProjectedTask = {
	/** Thousandths of a core that the task uses while it runs. */
	readonly processorMillis: number;
	readonly expectedMs: number;
};

/** Projected use of one worker; `runEnds` is sorted by time. */
type Timeline = {
	readonly ordinal: number;
	/** When the worker has room for the smallest of all tasks. */
	earliestStartMs: number;
	freeProcessorMillis: number;
	/** When `freeProcessorMillis` became free: at the end of the runs that reserved tasks wait for. */
	freeSinceMs: number;
	runEnds: Array<{
		readonly atMs: number;
		readonly processorMillis: number;
	}>;
	readonly slowdownFactor: number;
};

/** The waiting tasks of one job. */
export type ProjectedJob = {
	readonly tasks: readonly ProjectedTask[];
	/** Latest start of the last task with which the job is kept; infinite for one that is kept in any case. */
	readonly limitMs: number;
};

/** A timeline as it was before a reservation. */
type Reservation = {
	readonly timeline: Timeline;
	readonly before: Pick<
		Timeline,
		'earliestStartMs' | 'freeProcessorMillis' | 'freeSinceMs' | 'runEnds'
	>;
};

/**
 * Projects when the last of `ownTasks` starts, in milliseconds on the clock of `now`. Tasks start in the given order,
 * `tasksAhead` first, each on the worker that has room for it earliest. Returns infinity if one of `ownTasks` fits on no
 * worker. Once no worker has room before `limitMs`, returns the earliest time that one has, without projecting the rest:
 * under overload hundreds of tasks are ahead, and most new jobs only need to know that they are too late.
 */
export function projectLastStartMs(
	tasksAhead: readonly ProjectedTask[],
	ownTasks: readonly ProjectedTask[],
	workers: readonly ProjectedWorker[],
	now: number,
	limitMs = Number.POSITIVE_INFINITY,
): number {
	const leastMillis = findLeastMillis([...tasksAhead, ...ownTasks]);
	const timelines = createTimelines(workers, leastMillis, now);
	for (const task of tasksAhead) {
		const earliestMs = timelines[0]?.earliestStartMs ?? now;
		if (earliestMs > limitMs) {
			return earliestMs;
		}

		startOnEarliestWorker(timelines, task, leastMillis);
	}

	return Math.max(
		now,
		...ownTasks.map((task) =>
			startOnEarliestWorker(timelines, task, leastMillis),
		),
	);
}

/**
 * Projects when the last task of each job starts, like {@link projectLastStartMs}, for all jobs in one pass. Jobs start in the
 * given order. One whose last task would start after its limit is taken to be refused: it takes no room from those behind it.
 * Once no worker has room before the limit of any further job, the rest get the earliest time that one has.
 */
export function projectLastStarts(
	jobs: readonly ProjectedJob[],
	workers: readonly ProjectedWorker[],
	now: number,
): readonly number[] {
	const leastMillis = findLeastMillis(jobs.flatMap(({tasks}) => tasks));
	const timelines = createTimelines(workers, leastMillis, now);
	const latestLimitsMs: number[] = [];
	let latestLimitMs = Number.NEGATIVE_INFINITY;
	for (const {limitMs} of jobs.toReversed()) {
		latestLimitMs = Number.isFinite(limitMs)
			? Math.max(latestLimitMs, limitMs)
			: latestLimitMs;
		latestLimitsMs.unshift(latestLimitMs);
	}

	return jobs.map(({tasks, limitMs}, index) => {
		const earliestMs = timelines[0]?.earliestStartMs ?? now;
		if (earliestMs > Math.min(limitMs, latestLimitsMs[index]!)) {
			return earliestMs;
		}

		const reservations: Reservation[] = [];
		const lastStartMs = Math.max(
			now,
			...tasks.map((task) =>
				startOnEarliestWorker(timelines, task, leastMillis, reservations),
			),
		);
		if (lastStartMs > limitMs) {
			cancelReservations(timelines, reservations);
		}

		return lastStartMs;
	});
}

function findLeastMillis(tasks: readonly ProjectedTask[]): number {
	let leastMillis = Number.POSITIVE_INFINITY;
	for (const {processorMillis} of tasks) {
		leastMillis = Math.min(leastMillis, processorMillis);
	}

	return leastMillis;
}

/** Returns the timelines of workers, sorted by their earliest start. */
function createTimelines(
	workers: readonly ProjectedWorker[],
	leastMillis: number,
	now: number,
): Timeline[] {
	return workers
		.map((worker, ordinal) => createTimeline(worker, ordinal, leastMillis, now))
		.toSorted((left, right) => left.earliestStartMs - right.earliestStartMs);
}

/** Restores timelines to what they were before the reservations, which are given in the order in which they were made. */
function cancelReservations(
	timelines: Timeline[],
	reservations: readonly Reservation[],
): void {
	for (const {timeline, before} of reservations.toReversed()) {
		Object.assign(timeline, before);
	}

	timelines.sort((left, right) => left.earliestStartMs - right.earliestStartMs);
}

function createTimeline(
	{freeProcessorMillis, runEnds, slowdownFactor}: ProjectedWorker,
	ordinal: number,
	leastMillis: number,
	now: number,
): Timeline {
	const timeline = {
		ordinal,
		earliestStartMs: now,
		freeProcessorMillis,
		freeSinceMs: now,
		slowdownFactor,
		runEnds: runEnds
			.map(({atMs, processorMillis}) => ({
				atMs: Math.max(now, atMs),
				processorMillis,
			}))
			.toSorted((left, right) => left.atMs - right.atMs),
	};
	return {
		...timeline,
		earliestStartMs: findEarliestStartMs(timeline, leastMillis),
	};
}

/**
 * Reserves room for a task on the worker that has room earliest, or of several on the one with the least free processor
 * amount, and returns the start. Returns infinity, without a reservation, if no worker ever has room. `timelines` are
 * sorted by their earliest start, so that most need not be examined. The reservation is added to `reservations`, if given.
 */
function startOnEarliestWorker(
	timelines: Timeline[],
	task: ProjectedTask,
	leastMillis: number,
	reservations?: Reservation[],
): number {
	let best: Timeline | undefined;
	let startMs = Number.POSITIVE_INFINITY;
	for (const timeline of timelines) {
		if (
			timeline.earliestStartMs > startMs ||
			timeline.earliestStartMs === Number.POSITIVE_INFINITY
		) {
			break;
		}

		const startAtMs = findEarliestStartMs(timeline, task.processorMillis);
		if (
			startAtMs < startMs ||
			(best !== undefined && startAtMs === startMs && precedes(timeline, best))
		) {
			best = timeline;
			startMs = startAtMs;
		}
	}

	if (best !== undefined) {
		reservations?.push({
			timeline: best,
			before: {
				earliestStartMs: best.earliestStartMs,
				freeProcessorMillis: best.freeProcessorMillis,
				freeSinceMs: best.freeSinceMs,
				runEnds: [...best.runEnds],
			},
		});
		timelines.splice(timelines.indexOf(best), 1);
		reserve(best, task, startMs);
		best.earliestStartMs = findEarliestStartMs(best, leastMillis);
		timelines.splice(findPosition(timelines, best.earliestStartMs), 0, best);
	}

	return startMs;
}

/** Whether a worker is preferred to another one that has room at the same time. */
function precedes(left: Timeline, right: Timeline): boolean {
	return left.freeProcessorMillis === right.freeProcessorMillis
		? left.ordinal < right.ordinal
		: left.freeProcessorMillis < right.freeProcessorMillis;
}

/** Returns the index of the first timeline with a later earliest start, by binary search. */
function findPosition(
	timelines: readonly Timeline[],
	earliestStartMs: number,
): number {
	let low = 0;
	let high = timelines.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (timelines[middle]!.earliestStartMs <= earliestStartMs) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Returns when a worker has `neededMillis` thousandths of a core free, or infinity if it never has. */
function findEarliestStartMs(
	timeline: Pick<Timeline, 'freeProcessorMillis' | 'freeSinceMs' | 'runEnds'>,
	neededMillis: number,
): number {
	let freeMillis = timeline.freeProcessorMillis;
	if (freeMillis >= neededMillis) {
		return timeline.freeSinceMs;
	}

	for (const end of timeline.runEnds) {
		freeMillis += end.processorMillis;
		if (freeMillis >= neededMillis) {
			return Math.max(timeline.freeSinceMs, end.atMs);
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** Reserves room for a task from `startAtMs`: frees as many runs that end by then as the task needs, and adds its own end. */
function reserve(
	timeline: Timeline,
	task: ProjectedTask,
	startAtMs: number,
): void {
	while (
		timeline.freeProcessorMillis < task.processorMillis &&
		timeline.runEnds[0] !== undefined &&
		timeline.runEnds[0].atMs <= startAtMs
	) {
		timeline.freeProcessorMillis += timeline.runEnds[0].processorMillis;
		timeline.runEnds.shift();
	}

	timeline.freeSinceMs = Math.max(timeline.freeSinceMs, startAtMs);
	timeline.freeProcessorMillis -= task.processorMillis;
	const end = {
		atMs: startAtMs + task.expectedMs * timeline.slowdownFactor,
		processorMillis: task.processorMillis,
	};
	const index = timeline.runEnds.findIndex(({atMs: other}) => other > end.atMs);
	timeline.runEnds.splice(
		index === -1 ? timeline.runEnds.length : index,
		0,
		end,
	);
}
