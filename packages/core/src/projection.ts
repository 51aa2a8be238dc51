/** Projects when tasks that wait would start, given what runs and what goes before them. */

/** A worker as the projection sees it; amounts in thousandths of a core. */
export type ProjectedWorker = {
	readonly freeMillis: number;
	/** Expected ends of what runs there, in any order. */
	readonly ends: ReadonlyArray<{
		readonly atMs: number;
		readonly millis: number;
	}>;
	/** How many times as long as expected tasks take there. */
	readonly slowness: number;
};

/** A task that waits. */
export type ProjectedTask = {
	readonly millis: number;
	readonly expectedMs: number;
};

type Timeline = {
	freeMillis: number;
	readonly ends: Array<{readonly atMs: number; readonly millis: number}>;
	readonly slowness: number;
};

/**
 * When the last of some tasks would start, if all tasks start in the given order, each on the worker that has room for
 * it first; infinite when one fits nowhere.
 */
export function projectLastStartMs(
	tasksAhead: readonly ProjectedTask[],
	ownTasks: readonly ProjectedTask[],
	workers: readonly ProjectedWorker[],
	now: number,
): number {
	const timelines = workers.map(({freeMillis, ends, slowness}) => ({
		freeMillis,
		slowness,
		ends: ends
			.map(({atMs, millis}) => ({atMs: Math.max(now, atMs), millis}))
			.toSorted((left, right) => left.atMs - right.atMs),
	}));
	for (const task of tasksAhead) {
		startOn(timelines, task, now);
	}

	return Math.max(
		now,
		...ownTasks.map((task) => startOn(timelines, task, now)),
	);
}

function startOn(
	timelines: readonly Timeline[],
	task: ProjectedTask,
	now: number,
): number {
	let best: Timeline | undefined;
	let earliestMs = Number.POSITIVE_INFINITY;
	let leastLeft = Number.POSITIVE_INFINITY;
	for (const timeline of timelines) {
		const atMs = roomAtMs(timeline, task.millis, now);
		const left = timeline.freeMillis - task.millis;
		if (atMs < earliestMs || (atMs === earliestMs && left < leastLeft)) {
			best = timeline;
			earliestMs = atMs;
			leastLeft = left;
		}
	}

	if (best !== undefined) {
		occupy(best, task, earliestMs);
	}

	return earliestMs;
}

/** When a worker has room for so much. */
function roomAtMs(timeline: Timeline, millis: number, now: number): number {
	let free = timeline.freeMillis;
	if (free >= millis) {
		return now;
	}

	for (const end of timeline.ends) {
		free += end.millis;
		if (free >= millis) {
			return end.atMs;
		}
	}

	return Number.POSITIVE_INFINITY;
}

function occupy(timeline: Timeline, task: ProjectedTask, atMs: number): void {
	while (
		timeline.freeMillis < task.millis &&
		timeline.ends[0] !== undefined &&
		timeline.ends[0].atMs <= atMs
	) {
		timeline.freeMillis += timeline.ends[0].millis;
		timeline.ends.shift();
	}

	timeline.freeMillis -= task.millis;
	const end = {
		atMs: atMs + task.expectedMs * timeline.slowness,
		millis: task.millis,
	};
	const index = timeline.ends.findIndex(({atMs: other}) => other > end.atMs);
	timeline.ends.splice(index === -1 ? timeline.ends.length : index, 0, end);
}
