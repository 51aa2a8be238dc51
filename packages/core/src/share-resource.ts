/** One divided capacity as one entry VM keeps account of it, in units. */
import {type Capacity} from './share-split.js';

/** What a peer asked for, and until when it is remembered. */
export type Ask = {units: number; readonly untilMs: number};

/** One divided capacity as one entry VM keeps account of it, in units. */
export type ShareResource = {
	readonly name: string;
	capacity: Capacity;
	base: number;
	/** Which state of members and catalogue the base share was worked out from. */
	epoch: number;
	lent: number;
	borrowed: number;
	inUse: number;
	/** Units that could be used at once beyond those in use. */
	wanted: number;
	/** Fewest idle units since `idleSinceMs`. */
	lowestIdle: number;
	idleSinceMs: number;
	usedAtMs: number;
	nextAskAtMs: number;
	askIntervalMs: number;
	heldAtAsk: number;
	askCursor: number;
	/** What peers asked for, by name. */
	readonly asks: Map<string, Ask>;
};

/** A resource that nothing is known of yet. */
export function emptyResource(name: string): ShareResource {
	return {
		name,
		capacity: {units: 0},
		base: 0,
		epoch: -1,
		lent: 0,
		borrowed: 0,
		inUse: 0,
		wanted: 0,
		lowestIdle: 0,
		idleSinceMs: 0,
		usedAtMs: 0,
		nextAskAtMs: 0,
		askIntervalMs: 0,
		heldAtAsk: 0,
		askCursor: 0,
		asks: new Map(),
	};
}

/** Units that may be in use. It is negative when a base share has shrunk below what was lent. */
export function heldOf({base, borrowed, lent}: ShareResource): number {
	return base + borrowed - lent;
}

/** Units that are held and not in use; negative when more are in use than are held now. */
export function idleOf(resource: ShareResource): number {
	return heldOf(resource) - resource.inUse;
}

/** Units that could be used at once, or are in use already, beyond those held. */
export function shortageOf(resource: ShareResource): number {
	return Math.max(0, resource.wanted - idleOf(resource));
}

/** Counts units as given to a peer that asked for them. */
export function answerAsk(
	{asks}: ShareResource,
	peer: string,
	units: number,
): void {
	const ask = asks.get(peer);
	if (ask !== undefined) {
		ask.units -= units;
		if (ask.units <= 0) {
			asks.delete(peer);
		}
	}
}
