import {type PoolInstallation} from './pool-installation.js';
import {type RecordedRun} from './worker-stand-in.js';

/** Collects the runs that all workers recorded. */
export function collectRuns({
	workers,
}: PoolInstallation): readonly RecordedRun[] {
	return workers.flatMap(({runs}) => runs);
}

/** Finds the tasks that have two runs at the same time. */
export function findOverlappingTasks(
	runs: readonly RecordedRun[],
): readonly string[] {
	const byTask = new Map<string, readonly RecordedRun[]>();
	for (const run of runs) {
		byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
	}

	return [...byTask].flatMap(([task, taskRuns]) =>
		taskRuns
			.toSorted((left, right) => left.startedAtMs - right.startedAtMs)
			.some(
				(run, index, sorted) =>
					index > 0 &&
					run.startedAtMs <
						(sorted[index - 1]!.endedAtMs ?? Number.POSITIVE_INFINITY),
			)
			? [task]
			: [],
	);
}
