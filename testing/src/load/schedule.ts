/** Arrivals of an open loop: they do not wait for answers. */
import {seededRandom} from '@verbenarouter/core';
import {drawJob, workMs, type Mix, type PlannedJob} from './mix.js';

/** One arrival. */
export type Arrival = {
	/** Milliseconds from the start of the round. */
	readonly atMs: number;
	readonly job: PlannedJob;
};

/** How much load is offered. */
export type Offer = {
	readonly mix: Mix;
	/** Offered work as a share of what all slots can do. */
	readonly share: number;
	readonly slots: number;
	readonly durationMs: number;
	readonly seed: number;
};

/**
 * Draws jobs until their work makes up the offered share, and spreads them as a Poisson process of that many arrivals
 * would, so that the offered work is the same for every seed but for the last job.
 */
export function planArrivals(offer: Offer): readonly Arrival[] {
	const {mix, share, slots, durationMs, seed} = offer;
	const random = seededRandom(seed);
	const jobs: PlannedJob[] = [];
	for (
		let leftMs = share * slots * durationMs;
		leftMs > 0;
		leftMs -= workMs(jobs.at(-1)!)
	) {
		jobs.push(drawJob(mix, random));
	}

	const times = jobs.map(() => random() * durationMs).toSorted((a, b) => a - b);
	return jobs.map((job, index) => ({atMs: times[index] ?? 0, job}));
}
