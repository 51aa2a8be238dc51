/** How a capacity is divided into base shares: the same everywhere for the same member set. */
import {type MemberSet} from './share-message.js';

/** A capacity that entry VMs divide among themselves. */
export type Capacity = {
	readonly units: number;
	/** The zone whose entry VMs have the base shares; absent means all zones. */
	readonly zone?: string | undefined;
};

/** The positions of one group of members that divide a capacity equally. */
type Group = ReadonlyMap<string, number>;

/**
 * The base shares under one member set. They sum to the capacity exactly, and no member's share shrinks when the
 * capacity grows, so that members that know different capacities never exceed the larger one together.
 */
export class ShareSplit {
	readonly #everyone: Group;
	readonly #byZone = new Map<string, Group>();

	constructor(readonly set: MemberSet) {
		const live = set.members.filter(({isLeaving}) => !isLeaving);
		const eligible = live.length > 0 ? live : set.members;
		this.#everyone = groupOf(eligible);
		for (const zone of new Set(eligible.map((member) => member.zone))) {
			this.#byZone.set(
				zone,
				groupOf(eligible.filter((member) => member.zone === zone)),
			);
		}
	}

	/** Whether a member belongs to the set. */
	includes(name: string): boolean {
		return this.set.members.some((member) => member.name === name);
	}

	/** One member's base share in units. */
	baseOf(name: string, resource: string, {units, zone}: Capacity): number {
		const group = this.#groupFor(zone);
		const position = group.get(name);
		if (position === undefined) {
			return 0;
		}

		const count = group.size;
		const rank = (position + (hashOf(resource) % count)) % count;
		return Math.floor(units / count) + (rank < units % count ? 1 : 0);
	}

	/** The members that have a base share, in order. */
	holders(resource: string, capacity: Capacity): readonly string[] {
		return [...this.#groupFor(capacity.zone).keys()].filter(
			(name) => this.baseOf(name, resource, capacity) > 0,
		);
	}

	#groupFor(zone: string | undefined): Group {
		return zone === undefined
			? this.#everyone
			: (this.#byZone.get(zone) ?? this.#everyone);
	}
}

/** FNV-1a over the UTF-16 units of a text, as an unsigned 32-bit number. */
export function hashOf(text: string): number {
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

function groupOf(members: MemberSet['members']): Group {
	return new Map(
		members
			.map(({name}) => name)
			.toSorted()
			.map((name, index) => [name, index]),
	);
}
