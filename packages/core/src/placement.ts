import {type Random} from './seeded-random.js';
import {type TrackedTarget} from './target-tracker.js';

/** Names of the placement policies, as used in the settings. */
export const placementPolicyNames = [
	'least-in-flight',
	'two-choices',
	'random',
] as const;

/** The name of a placement policy. */
export type PlacementPolicyName = (typeof placementPolicyNames)[number];

/** Chooses the target that receives a task. */
export type PlacementPolicy = {
	readonly name: PlacementPolicyName;
	/** Chooses one of the candidates; returns `undefined` if there are none. */
	choose(
		candidates: readonly TrackedTarget[],
		random: Random,
	): TrackedTarget | undefined;
};

/** Chooses any candidate with equal probability. */
export class RandomPlacement implements PlacementPolicy {
	get name(): PlacementPolicyName {
		return 'random';
	}

	choose(
		candidates: readonly TrackedTarget[],
		random: Random,
	): TrackedTarget | undefined {
		return candidates[Math.floor(random() * candidates.length)];
	}
}

/** Chooses the candidate with the fewest tasks in flight per slot; the search starts at a random one, which breaks ties. */
export class LeastInFlightPlacement implements PlacementPolicy {
	get name(): PlacementPolicyName {
		return 'least-in-flight';
	}

	choose(
		candidates: readonly TrackedTarget[],
		random: Random,
	): TrackedTarget | undefined {
		const offset = Math.floor(random() * candidates.length);
		let best: TrackedTarget | undefined;
		let leastLoad = Number.POSITIVE_INFINITY;
		for (let index = 0; index < candidates.length; index += 1) {
			const candidate = candidates[(offset + index) % candidates.length]!;
			const load = slotLoad(candidate);
			if (load < leastLoad) {
				best = candidate;
				leastLoad = load;
			}
		}

		return best;
	}
}

/** Draws two candidates at random and chooses the one with fewer tasks in flight per slot (power of two choices). */
export class TwoChoicesPlacement implements PlacementPolicy {
	get name(): PlacementPolicyName {
		return 'two-choices';
	}

	choose(
		candidates: readonly TrackedTarget[],
		random: Random,
	): TrackedTarget | undefined {
		const first = candidates[Math.floor(random() * candidates.length)];
		const second = candidates[Math.floor(random() * candidates.length)];
		return first !== undefined &&
			second !== undefined &&
			slotLoad(second) < slotLoad(first)
			? second
			: first;
	}
}

/** Creates the placement policy with this name. */
export function createPlacementPolicy(
	name: PlacementPolicyName,
): PlacementPolicy {
	switch (name) {
		case 'random': {
			return new RandomPlacement();
		}

		case 'two-choices': {
			return new TwoChoicesPlacement();
		}

		case 'least-in-flight': {
			return new LeastInFlightPlacement();
		}
	}
}

/** Returns the tasks in flight per slot. */
function slotLoad({inFlight, target}: TrackedTarget): number {
	return inFlight / target.slots;
}
