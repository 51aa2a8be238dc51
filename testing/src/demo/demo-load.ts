/** The load of the demonstration: jobs of both users' mixes, one after another per caller, through any entry VM. */
import {seededRandom, type JobAnswer, type Random} from '@verbenarouter/core';
import {Caller, type Part} from '../installation.js';
import {drawJob, longestRunMs, createJobMix, type PlannedJob} from '../load/job-mix.js';

/** Tasks of one job at most. */
export const largestJob = 60;

/** One job of the demonstration, with its answer. */
export type DemonstratedJob = {
	readonly job: PlannedJob;
	readonly identifier: string;
	readonly answer: JobAnswer;
	readonly responseMs: number;
	/** Requests that it took: more than one when an entry VM closed its listener in between. */
	readonly attempts: number;
};

/** Where jobs are submitted. */
export type Balancer = () => Part;

/** Submits jobs of one caller, one after another, until it is told to stop. */
export async function submitUntil(
	shouldStop: () => boolean,
	balancer: Balancer,
	mixName: 'coastal' | 'kruidhof',
	seed: number,
): Promise<readonly DemonstratedJob[]> {
	const random = seededRandom(seed);
	const jobs: DemonstratedJob[] = [];
	while (!shouldStop()) {
		const job = drawJob(createJobMix(mixName, largestJob), random);
		// eslint-disable-next-line no-await-in-loop -- a caller waits for each answer
		const submitted = await submitOne(job, balancer, random);
		jobs.push(submitted);
	}

	return jobs;
}

async function submitOne(
	job: PlannedJob,
	balancer: Balancer,
	random: Random,
): Promise<DemonstratedJob> {
	const caller = new Caller(job.team);
	const [identifier = ''] = await caller.reserve(balancer());
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
			// eslint-disable-next-line no-await-in-loop -- the next attempt follows a lost one, under the same identifier
			const {body: answer} = await caller.submit(
				balancer(),
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
			// The connection was refused or lost: the same identifier makes the next attempt safe.
		}
	}
}

/** One line of the demonstration's table. */
export type DemonstrationRow = {
	readonly request: string;
	readonly jobs: number;
	readonly completed: number;
	readonly medianOverIdeal: number;
	readonly worstOverIdeal: number;
};

/** Response times over the longest task of each job, by class of work. */
export function rowsOf(
	jobs: readonly DemonstratedJob[],
): readonly DemonstrationRow[] {
	const names = [...new Set(jobs.map(({job}) => job.entry))].toSorted((a, b) =>
		a.localeCompare(b),
	);
	return names.map((request) => {
		const ofClass = jobs.filter(({job}) => job.entry === request);
		const ratios = ofClass
			.map(({job, responseMs}) => responseMs / longestRunMs(job))
			.toSorted((a, b) => a - b);
		return {
			request,
			jobs: ofClass.length,
			completed: ofClass.filter(({answer}) => answer.verdict === 'completed')
				.length,
			medianOverIdeal: rounded(ratios[Math.floor(ratios.length / 2)] ?? 0),
			worstOverIdeal: rounded(ratios.at(-1) ?? 0),
		};
	});
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
