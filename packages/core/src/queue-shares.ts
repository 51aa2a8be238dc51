/** Processor time that a queue has asked for and got since the start, in core-milliseconds. */
export type QueueUsage = {
	readonly queue: string;
	readonly demandCoreMs: number;
	readonly startedCoreMs: number;
};

/** Settings of the shares of queues. */
export type QueueShareSettings = {
	/** Time constant in milliseconds of the rates; a claim that is not met shows within about this time. */
	readonly windowMs: number;
	/** Part of its max-min fair share that no other queue can take from a queue; the rest goes by priority. */
	readonly guaranteedPart: number;
};

/** Default settings: rates of the last second, and half of each fair share. */
export const defaultQueueShareSettings: QueueShareSettings = {
	windowMs: 1000,
	guaranteedPart: 0.5,
};

/** Time in milliseconds for which the claims are not computed anew. */
const cacheMs = 10;
/** Largest number of queues; the jobs of further ones have no claims. */
const maxQueues = 512;

/** A rate that forgets with a time constant. */
class DecayingRate {
	#sum = 0;
	#atMs = 0;

	constructor(readonly windowMs: number) {}

	add(amount: number, now: number): void {
		this.#sum = this.#sum * this.#decay(now) + amount;
		this.#atMs = now;
	}

	/** Returns the amount per millisecond. */
	perMs(now: number): number {
		return (this.#sum * this.#decay(now)) / this.windowMs;
	}

	#decay(now: number): number {
		return Math.exp((this.#atMs - now) / this.windowMs);
	}
}

type QueueState = {
	readonly demand: DecayingRate;
	readonly started: DecayingRate;
	demandCoreMs: number;
	startedCoreMs: number;
};

/**
 * Keeps a queue from being starved by others while room is scarce. Without it a flood of urgent jobs takes all room from the
 * queues of lower priority for as long as it lasts. A queue has a claim while it gets less than a part of its max-min fair
 * share: the share with which the queues that ask for the most bear the shortage. Unused shares are lent, as a
 * queue without waiting jobs is not in the order.
 */
export class QueueShares {
	readonly #settings: QueueShareSettings;
	readonly #queues = new Map<string, QueueState>();
	#claimants: ReadonlySet<string> = new Set();
	#computedAtMs = Number.NEGATIVE_INFINITY;

	constructor(settings: QueueShareSettings = defaultQueueShareSettings) {
		this.#settings = settings;
	}

	/** Records the processor time in core-milliseconds that a new job asks for. */
	recordDemand(queue: string, coreMs: number, now: number): void {
		const state = this.#getOrCreate(queue);
		if (state !== undefined) {
			state.demand.add(coreMs, now);
			state.demandCoreMs += coreMs;
		}
	}

	/** Records the processor time in core-milliseconds of tasks that start. */
	recordStart(queue: string, coreMs: number, now: number): void {
		const state = this.#getOrCreate(queue);
		if (state !== undefined) {
			state.started.add(coreMs, now);
			state.startedCoreMs += coreMs;
		}
	}

	/** Whether a queue gets less than what is guaranteed to it. */
	hasClaim(queue: string, now: number): boolean {
		if (now - this.#computedAtMs >= cacheMs) {
			this.#computedAtMs = now;
			this.#claimants = this.#findClaimants(now);
		}

		return this.#claimants.has(queue);
	}

	/** What each queue has asked for and got since the start. */
	get usage(): readonly QueueUsage[] {
		return [...this.#queues].map(([queue, {demandCoreMs, startedCoreMs}]) => ({
			queue,
			demandCoreMs,
			startedCoreMs,
		}));
	}

	#getOrCreate(queue: string): QueueState | undefined {
		const known = this.#queues.get(queue);
		if (known !== undefined || this.#queues.size >= maxQueues) {
			return known;
		}

		const state = {
			demand: new DecayingRate(this.#settings.windowMs),
			started: new DecayingRate(this.#settings.windowMs),
			demandCoreMs: 0,
			startedCoreMs: 0,
		};
		this.#queues.set(queue, state);
		return state;
	}

	#findClaimants(now: number): ReadonlySet<string> {
		const rates = [...this.#queues].map(([queue, {demand, started}]) => ({
			queue,
			demand: demand.perMs(now),
			started: started.perMs(now),
		}));
		const throughput = rates.reduce((sum, {started}) => sum + started, 0);
		const level = computeFairLevel(
			rates.map(({demand}) => demand),
			throughput,
		);
		return new Set(
			rates
				.filter(
					({demand, started}) =>
						started < this.#settings.guaranteedPart * Math.min(demand, level),
				)
				.map(({queue}) => queue),
		);
	}
}

/**
 * Returns the max-min fair level for demands that share a capacity: each gets its demand up to this level, and together
 * they get the whole capacity. Infinite if the capacity covers all demands.
 */
export function computeFairLevel(
	demands: readonly number[],
	capacity: number,
): number {
	let left = capacity;
	for (const [index, demand] of demands
		.toSorted((one, other) => one - other)
		.entries()) {
		const level = left / (demands.length - index);
		if (demand > level) {
			return level;
		}

		left -= demand;
	}

	return Number.POSITIVE_INFINITY;
}
