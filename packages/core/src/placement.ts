/** Which of the targets that may take a task is given it. */
import {type Random} from './seeded-random.js';
import {type KnownTarget} from './target-board.js';

/** Names of the placement policies. */
export const placementPolicyNames = [
	'least-in-flight',
	'two-choices',
	'random',
] as const;

/** Name of a placement policy. */
export type PlacementPolicyName = (typeof placementPolicyNames)[number];

/** Chooses a target. */
export type PlacementPolicy = {
	readonly name: PlacementPolicyName;
	/** One of the candidates; `undefined` when there are none. */
	choose(
		candidates: readonly KnownTarget[],
		random: Random,
	): KnownTarget | undefined;
};

/** Any target with equal chances. */
export class RandomPlacement implements PlacementPolicy {
	get name(): PlacementPolicyName {
		return 'random';
	}

	choose(
		candidates: readonly KnownTarget[],
		random: Random,
	): KnownTarget | undefined {
		return candidates[Math.floor(random() * candidates.length)];
	}
}

/** The target with the least tasks in flight, as a share of its slots. */
export class LeastInFlightPlacement implements PlacementPolicy {
	get name(): PlacementPolicyName {
		return 'least-in-flight';
	}

	choose(
		candidates: readonly KnownTarget[],
		random: Random,
	): KnownTarget | undefined {
		const offset = Math.floor(random() * candidates.length);
		let best: KnownTarget | undefined;
		let leastLoad = Number.POSITIVE_INFINITY;
		for (let index = 0; index < candidates.length; index += 1) {
			const candidate = candidates[(offset + index) % candidates.length]!;
			const load = loadOf(candidate);
			if (load < leastLoad) {
				best = candidate;
				leastLoad = load;
			}
		}

		return best;
	}
}

/** The less loaded of two targets that are drawn by chance. */
export class TwoChoicesPlacement implements PlacementPolicy {
	get name(): PlacementPolicyName {
		return 'two-choices';
	}

	choose(
		candidates: readonly KnownTarget[],
		random: Random,
	): KnownTarget | undefined {
		const first = candidates[Math.floor(random() * candidates.length)];
		const second = candidates[Math.floor(random() * candidates.length)];
		return first !== undefined &&
			second !== undefined &&
			loadOf(second) < loadOf(first)
			? second
			: first;
	}
}

/** The policy with this name. */
export function placementPolicy(name: PlacementPolicyName): PlacementPolicy {
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

function loadOf({inFlight, target}: KnownTarget): number {
	return inFlight / target.slots;
}
