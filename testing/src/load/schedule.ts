/** Arrivals of an open loop: they do not wait for answers. */
import {seededRandom} from '@verbenarouter/core';
import {drawJob, meanWorkMs, type Mix, type PlannedJob} from './mix.js';

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

const meanSeed = 1;

/** Draws Poisson arrivals for a share of the slots. */
export function planArrivals(offer: Offer): readonly Arrival[] {
	const {mix, share, slots, durationMs, seed} = offer;
	const random = seededRandom(seed);
	const meanGapMs = meanWorkMs(mix, seededRandom(meanSeed)) / (share * slots);
	const arrivals: Arrival[] = [];
	for (
		let atMs = gap(random, meanGapMs);
		atMs < durationMs;
		atMs += gap(random, meanGapMs)
	) {
		arrivals.push({atMs, job: drawJob(mix, random)});
	}

	return arrivals;
}

function gap(random: () => number, meanMs: number): number {
	return -meanMs * Math.log(1 - random());
}
