import {type MemberSet} from './share-message.js';

/** A capacity that the entry VMs divide into shares. */
export type Capacity = {
	readonly units: number;
	/** The zone whose entry VMs receive the base shares; `undefined` for the entry VMs of all zones. */
	readonly zone?: string | undefined;
};

/** Maps the name of each member of a group to its index in sorted order. */
type MemberPositions = ReadonlyMap<string, number>;

/**
 * Divides capacities into base shares among one member set. Every entry VM computes the same shares from the same set.
 *
 * The shares sum to the capacity exactly. No share shrinks when the capacity grows, so entry VMs that have received
 * different capacities together never exceed the larger one.
 */
export class ShareSplit {
	readonly #eligibleMembers: MemberPositions;
	readonly #eligibleMembersByZone = new Map<string, MemberPositions>();

	/** Creates the shares of a member set; leaving members are left out unless all members are leaving. */
	constructor(readonly memberSet: MemberSet) {
		const live = memberSet.members.filter(({isLeaving}) => !isLeaving);
		const eligible = live.length > 0 ? live : memberSet.members;
		this.#eligibleMembers = indexMembers(eligible);
		for (const zone of new Set(eligible.map((member) => member.zone))) {
			this.#eligibleMembersByZone.set(
				zone,
				indexMembers(eligible.filter((member) => member.zone === zone)),
			);
		}
	}

	/** Whether the set contains a member of this name. */
	hasMember(name: string): boolean {
		return this.memberSet.members.some((member) => member.name === name);
	}

	/** Computes one member's base share in units; a hash of the resource name rotates who receives the remainder. */
	computeBaseShare(
		name: string,
		resource: string,
		{units, zone}: Capacity,
	): number {
		const positions = this.#findGroup(zone);
		const position = positions.get(name);
		if (position === undefined) {
			return 0;
		}

		const count = positions.size;
		const rank = (position + (hashFnv1a(resource) % count)) % count;
		return Math.floor(units / count) + (rank < units % count ? 1 : 0);
	}

	/** Lists the names of the members whose base share is above zero, sorted by name. */
	listHolders(resource: string, capacity: Capacity): readonly string[] {
		return [...this.#findGroup(capacity.zone).keys()].filter(
			(name) => this.computeBaseShare(name, resource, capacity) > 0,
		);
	}

	#findGroup(zone: string | undefined): MemberPositions {
		return zone === undefined
			? this.#eligibleMembers
			: (this.#eligibleMembersByZone.get(zone) ?? this.#eligibleMembers);
	}
}

/** Computes the 32-bit FNV-1a hash over the UTF-16 code units of a text, as an unsigned integer. */
export function hashFnv1a(text: string): number {
	const offsetBasis = 2_166_136_261;
	const prime = 16_777_619;
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index += 1) {
		// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point
		hash = Math.imul(hash ^ text.charCodeAt(index), prime);
	}

	// eslint-disable-next-line no-bitwise
	return hash >>> 0;
}

function indexMembers(members: MemberSet['members']): MemberPositions {
	return new Map(
		members
			.map(({name}) => name)
			.toSorted()
			.map((name, index) => [name, index]),
	);
}
