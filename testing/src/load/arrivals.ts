import {seededRandom} from '@verbenarouter/core';
import {drawJob, totalRunMs, type JobMix, type PlannedJob} from './job-mix.js';

/** One job of an open-loop load, with the time at which it is submitted whether or not earlier jobs are answered. */
export type Arrival = {
	/** Milliseconds from the start of the round. */
	readonly atMs: number;
	readonly job: PlannedJob;
};

/** Load that is offered in one round. */
export type OfferedLoad = {
	readonly mix: JobMix;
	/** Offered run time as a share of the time of all slots. */
	readonly slotShare: number;
	/** Number of slots of all targets together. */
	readonly slots: number;
	readonly durationMs: number;
	readonly seed: number;
};

/**
 * Draws jobs until their run times add up to the offered share, and places them at independent uniform times, as a
 * Poisson process with that number of arrivals does. Up to the size of the last job, every seed offers the same run time.
 */
export function planArrivals(offeredLoad: OfferedLoad): readonly Arrival[] {
	const {mix, slotShare, slots, durationMs, seed} = offeredLoad;
	const random = seededRandom(seed);
	const jobs: PlannedJob[] = [];
	for (
		let remainingMs = slotShare * slots * durationMs;
		remainingMs > 0;
		remainingMs -= totalRunMs(jobs.at(-1)!)
	) {
		jobs.push(drawJob(mix, random));
	}

	const times = jobs.map(() => random() * durationMs).toSorted((a, b) => a - b);
	return jobs.map((job, index) => ({atMs: times[index] ?? 0, job}));
}
