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
	freeProcessorMillis: number;
	readonly runEnds: Array<{
		readonly atMs: number;
		readonly processorMillis: number;
	}>;
	readonly slowdownFactor: number;
};

/**
 * Projects when the last of `ownTasks` starts, in milliseconds on the clock of `now`. Tasks start in the given order,
 * `tasksAhead` first, each on the worker that has room for it earliest. Returns infinity if one of `ownTasks` fits on no
 * worker.
 */
export function projectLastStartMs(
	tasksAhead: readonly ProjectedTask[],
	ownTasks: readonly ProjectedTask[],
	workers: readonly ProjectedWorker[],
	now: number,
): number {
	const timelines = workers.map(
		({freeProcessorMillis, runEnds, slowdownFactor}) => ({
			freeProcessorMillis,
			slowdownFactor,
			runEnds: runEnds
				.map(({atMs, processorMillis}) => ({
					atMs: Math.max(now, atMs),
					processorMillis,
				}))
				.toSorted((left, right) => left.atMs - right.atMs),
		}),
	);
	for (const task of tasksAhead) {
		startOnEarliestWorker(timelines, task, now);
	}

	return Math.max(
		now,
		...ownTasks.map((task) => startOnEarliestWorker(timelines, task, now)),
	);
}

/**
 * Reserves room for a task on the worker that has room earliest, or of several on the one with the least free processor
 * amount, and returns the start. Returns infinity, without a reservation, if no worker ever has room.
 */
function startOnEarliestWorker(
	timelines: readonly Timeline[],
	task: ProjectedTask,
	now: number,
): number {
	let best: Timeline | undefined;
	let earliestStartMs = Number.POSITIVE_INFINITY;
	let leastLeftoverMillis = Number.POSITIVE_INFINITY;
	for (const timeline of timelines) {
		const startAtMs = findEarliestStartMs(timeline, task.processorMillis, now);
		const leftoverMillis = timeline.freeProcessorMillis - task.processorMillis;
		if (
			startAtMs < earliestStartMs ||
			(startAtMs === earliestStartMs && leftoverMillis < leastLeftoverMillis)
		) {
			best = timeline;
			earliestStartMs = startAtMs;
			leastLeftoverMillis = leftoverMillis;
		}
	}

	if (best !== undefined) {
		reserve(best, task, earliestStartMs);
	}

	return earliestStartMs;
}

/** Returns when a worker has `neededMillis` thousandths of a core free, or infinity if it never has. */
function findEarliestStartMs(
	timeline: Timeline,
	neededMillis: number,
	now: number,
): number {
	let freeMillis = timeline.freeProcessorMillis;
	if (freeMillis >= neededMillis) {
		return now;
	}

	for (const end of timeline.runEnds) {
		freeMillis += end.processorMillis;
		if (freeMillis >= neededMillis) {
			return end.atMs;
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
