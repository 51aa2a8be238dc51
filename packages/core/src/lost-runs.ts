import {parseJobId} from './task-name.js';

/** A run whose worker was lost before the run was known to have ended. */
export type LostRun = {
	/** Name of the task. */
	readonly task: string;
	/** Number of the run among the runs of its task. */
	readonly run: number;
	/** Identifier of the worker. */
	readonly worker: string;
	/** Whether the task may have crashed the worker. */
	readonly isSuspect: boolean;
};

/**
 * What the lost runs of a task mean for its next start.
 *
 * - `unsuspected`: the task is not under suspicion.
 * - `suspect`: a worker crashed under the task, which may be the cause.
 * - `crashing`: as many workers crashed under the task as it may cost.
 * - `lost-too-often`: as many runs of the task were lost as it may cost, but it is not known to crash workers.
 */
export type CrashSuspicion =
	'unsuspected' | 'suspect' | 'crashing' | 'lost-too-often';

/** Crashes of workers under a task, as their possible cause, after which it is not started again. */
const maxSuspectedCrashes = 2;
/** Lost runs of a task after which it is not started again, whatever the cause. */
const maxLostRuns = 3;
/**
 * Time in milliseconds by which a run may have started before the newest one on its worker and still count as a possible
 * cause of a crash: tasks that crash workers do so when they start, and tasks that were started together are not told apart.
 */
const startCrashWindowMs = 100;
/** Time in milliseconds for which a lost run is remembered after its job was last heard of; copies of a request come sooner. */
const retentionMs = 60_000;
/** Largest number of jobs whose lost runs are remembered. */
const maxJobs = 5000;

/** A run on a worker that is lost. */
export type ActiveRun = {
	readonly task: string;
	readonly run: number;
	/** Time at which the run was started, or first heard of. */
	readonly startedAtMs: number;
	/** Whether the worker has confirmed the start; a command that reached the worker too late has crashed nothing. */
	readonly isConfirmed: boolean;
};

type JobRecord = {
	readonly lostRuns: readonly LostRun[];
	readonly updatedAtMs: number;
};

/**
 * The runs that were lost with their workers, by job. Entry VMs merge each other's records, so that a task which crashes
 * workers is recognized whichever leader started it.
 */
export class LostRunRegister {
	readonly #jobs = new Map<string, JobRecord>();

	/** Adds lost runs, also those that other entry VMs report; returns the ones that were not known yet. */
	record(lostRuns: readonly LostRun[], now: number): readonly LostRun[] {
		const added: LostRun[] = [];
		for (const lostRun of lostRuns) {
			const jobId = parseJobId(lostRun.task);
			const known = this.#jobs.get(jobId)?.lostRuns ?? [];
			const previous = known.find((other) => isSameRun(other, lostRun));
			// Within a crash, suspicion is only ever added: a leader that sees less of the worker may not suspect the task.
			if (
				previous === undefined ||
				(lostRun.isSuspect && !previous.isSuspect)
			) {
				added.push(lostRun);
				this.#jobs.delete(jobId);
				this.#jobs.set(jobId, {
					lostRuns: [...known.filter((other) => other !== previous), lostRun],
					updatedAtMs: now,
				});
			}
		}

		this.#evict(now);
		return added;
	}

	/** Returns the lost runs of a job's tasks. */
	ofJob(jobId: string): readonly LostRun[] {
		return this.#jobs.get(jobId)?.lostRuns ?? [];
	}

	/** Returns what the lost runs of a task mean for its next start. */
	assess(task: string): CrashSuspicion {
		const lostRuns = this.ofJob(parseJobId(task)).filter(
			(lostRun) => lostRun.task === task,
		);
		const crashCount = lostRuns.filter(({isSuspect}) => isSuspect).length;
		if (crashCount >= maxSuspectedCrashes) {
			return 'crashing';
		}

		if (lostRuns.length >= maxLostRuns) {
			return 'lost-too-often';
		}

		return crashCount > 0 ? 'suspect' : 'unsuspected';
	}

	/** Whether a task may crash the worker that starts it next. */
	isSuspect(task: string): boolean {
		return this.assess(task) !== 'unsuspected';
	}

	/**
	 * Adds the runs of a worker that has crashed or cannot be reached; returns the ones that were not known yet. After a
	 * crash, the tasks that were under suspicion before are suspected alone; if there is none, the newest runs are.
	 */
	recordWorkerLoss(
		runs: readonly ActiveRun[],
		worker: string,
		hasCrashed: boolean,
		now: number,
	): readonly LostRun[] {
		const newRuns = runs.filter(
			({task, run}) =>
				!this.ofJob(parseJobId(task)).some((other) =>
					isSameRun(other, {task, run, worker}),
				),
		);
		const earlierSuspects = newRuns.filter(({task}) => this.isSuspect(task));
		const newestStartMs = Math.max(
			...newRuns
				.filter(({isConfirmed}) => isConfirmed)
				.map(({startedAtMs}) => startedAtMs),
		);
		const isSuspect = (run: ActiveRun): boolean =>
			hasCrashed &&
			run.isConfirmed &&
			(earlierSuspects.length > 0
				? earlierSuspects.includes(run)
				: newestStartMs - run.startedAtMs <= startCrashWindowMs);
		return this.record(
			newRuns.map((run) => ({
				task: run.task,
				run: run.run,
				worker,
				isSuspect: isSuspect(run),
			})),
			now,
		);
	}

	#evict(now: number): void {
		for (const [jobId, {updatedAtMs}] of this.#jobs) {
			if (now - updatedAtMs <= retentionMs && this.#jobs.size <= maxJobs) {
				return;
			}

			this.#jobs.delete(jobId);
		}
	}
}

function isSameRun(
	left: Pick<LostRun, 'task' | 'run' | 'worker'>,
	right: Pick<LostRun, 'task' | 'run' | 'worker'>,
): boolean {
	return (
		left.task === right.task &&
		left.run === right.run &&
		left.worker === right.worker
	);
}
