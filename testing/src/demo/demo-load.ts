import {seededRandom, type JobAnswer, type Random} from '@verbenarouter/core';
import {Caller, type ProcessHandle} from '../installation.js';
import {
	drawJob,
	longestRunMs,
	createJobMix,
	type PlannedJob,
} from '../load/job-mix.js';

/** Maximum number of tasks per job. */
export const largestJob = 60;

/** Submitted job with its answer. */
export type DemonstratedJob = {
	readonly job: PlannedJob;
	readonly identifier: string;
	readonly answer: JobAnswer;
	/** Milliseconds from the first request to the answer. */
	readonly responseMs: number;
	/** Number of requests; more than one if a connection was refused or lost, for instance when an entry VM stopped. */
	readonly attempts: number;
};

/** Selects the entry VM for the next request, as a load balancer does. */
export type EntryVmSelector = () => ProcessHandle;

/** Submits jobs of one user's mix, one after another, until `shouldStop` returns true. */
export async function submitJobsUntil(
	shouldStop: () => boolean,
	selectEntryVm: EntryVmSelector,
	mixName: 'coastal' | 'kruidhof',
	seed: number,
): Promise<readonly DemonstratedJob[]> {
	const random = seededRandom(seed);
	const jobs: DemonstratedJob[] = [];
	while (!shouldStop()) {
		const job = drawJob(createJobMix(mixName, largestJob), random);
		// eslint-disable-next-line no-await-in-loop -- a caller submits its next job after the answer
		const submitted = await submitJob(job, selectEntryVm, random);
		jobs.push(submitted);
	}

	return jobs;
}

async function submitJob(
	job: PlannedJob,
	selectEntryVm: EntryVmSelector,
	random: Random,
): Promise<DemonstratedJob> {
	const caller = new Caller(job.team);
	const [identifier = ''] = await caller.reserve(selectEntryVm());
	const request = {
		entry: job.entry,
		tasks: job.tasks.map(({runMs, expectedMs}) => ({
			input: {runMs, value: Math.floor(random() * 1000)},
			...(expectedMs === undefined ? {} : {expectedMs}),
		})),
	};
	const startedAt = performance.now();
	for (let attempts = 1; ; attempts += 1) {
		try {
			// eslint-disable-next-line no-await-in-loop -- an attempt follows the failure of the one before
			const {body: answer} = await caller.submit(
				selectEntryVm(),
				identifier,
				request,
			);
			return {
				job,
				identifier,
				answer,
				responseMs: performance.now() - startedAt,
				attempts,
			};
		} catch {
			// The connection was refused or lost. A retry is safe because it uses the same identifier.
		}
	}
}

/**
 * Row of the demonstration's table: the jobs of one entry. The slowdown of a job is its response time over the run
 * time of its longest task.
 */
export type DemonstrationRow = {
	readonly entry: string;
	readonly jobs: number;
	readonly completed: number;
	readonly medianSlowdown: number;
	readonly worstSlowdown: number;
};

/** Summarizes the jobs of each entry in a row, sorted by name. */
export function summarizeByEntry(
	jobs: readonly DemonstratedJob[],
): readonly DemonstrationRow[] {
	const names = [...new Set(jobs.map(({job}) => job.entry))].toSorted((a, b) =>
		a.localeCompare(b),
	);
	return names.map((entry) => {
		const jobsOfEntry = jobs.filter(({job}) => job.entry === entry);
		const slowdowns = jobsOfEntry
			.map(({job, responseMs}) => responseMs / longestRunMs(job))
			.toSorted((a, b) => a - b);
		return {
			entry,
			jobs: jobsOfEntry.length,
			completed: jobsOfEntry.filter(
				({answer}) => answer.verdict === 'completed',
			).length,
			medianSlowdown: roundToHundredths(
				slowdowns[Math.floor(slowdowns.length / 2)] ?? 0,
			),
			worstSlowdown: roundToHundredths(slowdowns.at(-1) ?? 0),
		};
	});
}

function roundToHundredths(value: number): number {
	return Math.round(value * 100) / 100;
}
