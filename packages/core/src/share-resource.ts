import {type Capacity} from './share-split.js';

/** The units that a peer has requested and not yet received, and the time at which the request expires. */
export type BorrowRequest = {units: number; readonly expiresAtMs: number};

/** One entry VM's account of one divided capacity. Quantities are in units. */
export type ShareResource = {
	readonly name: string;
	capacity: Capacity;
	baseShare: number;
	/** The epoch of members and capacities for which `capacity` and `baseShare` were computed; -1 before the first. */
	epoch: number;
	/** Units lent to peers and not yet returned. */
	lent: number;
	/** Units borrowed from peers and not yet returned. */
	borrowed: number;
	inUse: number;
	/** Units that the entry VM could use immediately beyond those in use. */
	demand: number;
	/** The fewest idle units since `idleWindowStartedAtMs`. */
	lowestIdleUnits: number;
	/** Start of the window over which idle units are measured before they are returned. */
	idleWindowStartedAtMs: number;
	/** Time of the last increase of `inUse`. */
	lastUsedAtMs: number;
	/** Earliest time of the next request to peers. */
	nextRequestAtMs: number;
	requestIntervalMs: number;
	/** Units held when the last request was made. */
	heldAtLastRequest: number;
	/** Index of the next possible lender to request units from. */
	lenderCursor: number;
	/** Open requests, by the name of the peer. */
	readonly requests: Map<string, BorrowRequest>;
};

/** Creates the account of a resource, with all quantities at zero. */
export function createShareResource(name: string): ShareResource {
	return {
		name,
		capacity: {units: 0},
		baseShare: 0,
		epoch: -1,
		lent: 0,
		borrowed: 0,
		inUse: 0,
		demand: 0,
		lowestIdleUnits: 0,
		idleWindowStartedAtMs: 0,
		lastUsedAtMs: 0,
		nextRequestAtMs: 0,
		requestIntervalMs: 0,
		heldAtLastRequest: 0,
		lenderCursor: 0,
		requests: new Map(),
	};
}

/** Computes the units that may be in use; negative when the base share has shrunk below the units lent. */
export function computeHeldUnits({
	baseShare,
	borrowed,
	lent,
}: ShareResource): number {
	return baseShare + borrowed - lent;
}

/** Computes the units that are held and not in use; negative when more units are in use than are held. */
export function computeIdleUnits(resource: ShareResource): number {
	return computeHeldUnits(resource) - resource.inUse;
}

/** Computes the units by which the demand and the units in use exceed the units held, at least 0. */
export function computeShortage(resource: ShareResource): number {
	return Math.max(0, resource.demand - computeIdleUnits(resource));
}

/** Subtracts units given to a peer from its open request, and removes the request when it is fulfilled. */
export function reduceRequest(
	{requests}: ShareResource,
	peer: string,
	units: number,
): void {
	const request = requests.get(peer);
	if (request !== undefined) {
		request.units -= units;
		if (request.units <= 0) {
			requests.delete(peer);
		}
	}
}
