import {
	projectLastStartMs,
	type ProjectedTask,
	type ProjectedWorker,
} from './start-projection.js';

/** Projected waits in a zone, in milliseconds, for jobs of a typical need. */
export type ZoneWait = {
	/** Until the task of a job with one task starts. */
	readonly narrowMs: number;
	/** Until the last task of a job with {@link wideTaskCount} tasks starts. */
	readonly wideMs: number;
};

/** Projected waits by service. */
export type ServiceWaits = Readonly<Record<string, ZoneWait>>;

/** Number of tasks of the wide job whose wait is reported. */
export const wideTaskCount = 8;
/** Longest reported wait in milliseconds; also stands for a job that would never start. */
export const maxReportedWaitMs = 60_000;
/** Largest number of services whose waits are reported, those with the newest jobs first. */
const maxReportedServices = 8;
/** Weight of the newest job in the mean need of a service's tasks. */
const newestJobWeight = 0.05;

/** Estimates the wait of a job from the waits of a narrow and a wide one. */
export function estimateWaitMs(
	{narrowMs, wideMs}: ZoneWait,
	taskCount: number,
): number {
	const share = (taskCount - 1) / (wideTaskCount - 1);
	return Math.max(0, narrowMs + (wideMs - narrowMs) * share);
}

/** The mean task of each service, from the jobs that were submitted. */
export class TypicalTasks {
	readonly #tasksByService = new Map<string, ProjectedTask>();

	/** Services with submitted jobs, the one with the newest job last. */
	get services(): readonly string[] {
		return [...this.#tasksByService.keys()].slice(-maxReportedServices);
	}

	/** Returns the mean task of a service. */
	get(service: string): ProjectedTask | undefined {
		return this.#tasksByService.get(service);
	}

	/** Records the tasks of a submitted job. */
	record(service: string, tasks: readonly ProjectedTask[]): void {
		if (tasks.length === 0) {
			return;
		}

		const mean = (read: (task: ProjectedTask) => number) =>
			tasks.reduce((sum, task) => sum + read(task), 0) / tasks.length;
		const newest = {
			processorMillis: mean(({processorMillis}) => processorMillis),
			expectedMs: mean(({expectedMs}) => expectedMs),
		};
		const known = this.#tasksByService.get(service) ?? newest;
		const blend = (before: number, after: number) =>
			before + (after - before) * newestJobWeight;
		this.#tasksByService.delete(service);
		this.#tasksByService.set(service, {
			processorMillis: blend(known.processorMillis, newest.processorMillis),
			expectedMs: blend(known.expectedMs, newest.expectedMs),
		});
	}
}

/**
 * Projects the waits of a narrow and a wide job of typical tasks behind the waiting ones. Other zones use it to choose
 * where a job that finds no room at home can still start in time: in most bursts no zone is idle, but their waits differ.
 */
export function projectZoneWait(
	typicalTask: ProjectedTask,
	waitingTasks: readonly ProjectedTask[],
	workers: readonly ProjectedWorker[],
	now: number,
): ZoneWait {
	const projectWaitMs = (taskCount: number) =>
		Math.round(
			Math.min(
				maxReportedWaitMs,
				projectLastStartMs(
					waitingTasks,
					Array.from({length: taskCount}, () => typicalTask),
					workers,
					now,
				) - now,
			),
		);
	return {narrowMs: projectWaitMs(1), wideMs: projectWaitMs(wideTaskCount)};
}
