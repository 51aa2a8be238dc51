import {type MemberAddress} from './leadership.js';
import {MemberList, type Member} from './member-list.js';

/** Settings of {@link Overlay}. */
export type OverlaySettings = {
	/** Number of candidates of each zone: the leader and those that can succeed it at once. */
	readonly candidatesPerZone: number;
	/** Number of entry VMs up to which all are candidates, so that each is connected to all others. */
	readonly maxMeshSize: number;
	/** Time for which a member that was connected or has refused a connection may be unreachable before others replace it. */
	readonly unreachableMs: number;
	/** The same for a member that has not answered yet: a process that starts answers late. */
	readonly firstContactMs: number;
	/** Interval in which one of the unreachable members is connected to in turn, to notice that it is back. */
	readonly probeIntervalMs: number;
};

/** Default settings. With two candidates for a zone, one fault could take both; each further one costs a stream of each follower. */
export const defaultOverlaySettings: OverlaySettings = {
	candidatesPerZone: 3,
	maxMeshSize: 12,
	unreachableMs: 250,
	firstContactMs: 800,
	probeIntervalMs: 1000,
};

/**
 * State of the connection to an address: `none` before the first attempt, `failed` while none has opened since the last one
 * failed.
 */
export type ConnectionState = 'none' | 'opening' | 'open' | 'failed';

/** What the overlay is to connect to besides the candidates, and the states of the connections. */
export type OverlayView = {
	readonly connectionState: (address: string) => ConnectionState;
	/** Addresses of the entry VMs whose heartbeats arrive at present. */
	readonly liveAddresses: readonly string[];
	/** Addresses of live entry VMs whose list of members differs from the own one, which is sent to them. */
	readonly uninformedAddresses: readonly string[];
	/** Addresses of leaders that this entry VM has business with. */
	readonly leaderAddresses: readonly string[];
	/** Addresses of live entry VMs of the last build, which connect to all others. */
	readonly meshAddresses: readonly string[];
	/** Addresses from the settings, at which other entry VMs may be found. */
	readonly seeds: readonly string[];
	/** Whether this entry VM leads a zone. */
	readonly isLeader: boolean;
};

/** What is known of the reachability of an address. */
type Contact = {
	readonly failingSinceMs: number | undefined;
	readonly hasAnswered: boolean;
};

/**
 * Decides which entry VMs this one connects to. Each zone has a few candidates: the strongest machines of its members, an
 * order that all compute alike. A follower connects to the candidates of its zone only, and a candidate to those of all
 * zones and to its followers. So the cost for a follower does not depend on the number of entry VMs. Candidates that cannot
 * be reached are replaced by the next members in the order.
 */
export class Overlay {
	readonly members: MemberList;
	readonly #self: Member;
	readonly #settings: OverlaySettings;
	readonly #contacts = new Map<string, Contact>();
	/** Members of each zone, the best candidate first, and the list of members that they were computed from. */
	#ranking: {
		readonly members: readonly Member[];
		readonly byZone: ReadonlyMap<string, readonly Member[]>;
	} = {members: [], byZone: new Map()};

	#isCandidate = true;
	#addresses: readonly string[] = [];
	/** Candidates of the own zone that have neither answered nor failed. */
	#unheardCandidates: readonly Member[] = [];

	constructor(
		self: Member,
		settings: OverlaySettings = defaultOverlaySettings,
	) {
		this.#self = self;
		this.#settings = settings;
		this.members = new MemberList(self);
	}

	/** Whether this entry VM is a candidate of its zone. */
	get isCandidate(): boolean {
		return this.#isCandidate;
	}

	/**
	 * Candidates of the own zone to which no connection has opened or failed yet; they may be about to claim the zone. Empty
	 * while all entry VMs are candidates.
	 */
	get unheardCandidates(): readonly Member[] {
		return this.#unheardCandidates;
	}

	/** Addresses to connect to. */
	get addresses(): readonly string[] {
		return this.#addresses;
	}

	/** Does not count a time in which this process read nothing, and which ends now, as a failure of others. */
	excludeStall(stallMs: number, now: number): void {
		for (const [address, contact] of this.#contacts) {
			if (contact.failingSinceMs !== undefined) {
				this.#contacts.set(address, {
					...contact,
					failingSinceMs: Math.min(now, contact.failingSinceMs + stallMs),
				});
			}
		}
	}

	/** Updates the selection; returns whether the addresses have changed. */
	update(view: OverlayView, now: number): boolean {
		this.members.removeExpired(now);
		this.#updateContacts(view, now);
		const isMesh = this.members.all.length <= this.#settings.maxMeshSize;
		const own = this.#selectCandidates(this.#self.zone, isMesh, now);
		this.#isCandidate = own.some(({name}) => name === this.#self.name);
		this.#unheardCandidates = isMesh
			? []
			: own.filter(
					({name, address}) =>
						name !== this.#self.name &&
						['none', 'opening'].includes(view.connectionState(address)),
				);
		const mayServe = this.#isCandidate || view.isLeader;
		const zones = mayServe
			? [...new Set(this.members.all.map((member) => member.zone))]
			: [this.#self.zone];
		const wanted = zones.flatMap((zone) => [
			...this.#selectCandidates(zone, isMesh, now),
			// The regular candidates are tried also while others replace them.
			...this.#rank(zone).slice(0, this.#settings.candidatesPerZone),
		]);
		const connected = wanted.filter(
			({address}) => view.connectionState(address) === 'open',
		);
		// A candidate that reaches no other zone may know none of its entry VMs.
		const needsSeeds =
			connected.length === 0 ||
			(mayServe && connected.every(({zone}) => zone === this.#self.zone));
		const probed = this.#selectProbed(zones, now);
		const addresses = new Set([
			...wanted.map(({address}) => address),
			...(probed === undefined ? [] : [probed.address]),
			...view.leaderAddresses,
			...view.meshAddresses,
			...view.uninformedAddresses,
			...(mayServe ? view.liveAddresses : []),
			...(needsSeeds ? view.seeds : []),
		]);
		addresses.delete(this.#self.address);
		const isChanged =
			addresses.size !== this.#addresses.length ||
			this.#addresses.some((address) => !addresses.has(address));
		this.#addresses = [...addresses];
		return isChanged;
	}

	/** Records since when each address that is connected to has failed, and forgets those of former members. */
	#updateContacts({connectionState}: OverlayView, now: number): void {
		const known = new Set(this.members.all.map(({address}) => address));
		for (const address of this.#contacts.keys()) {
			if (!known.has(address)) {
				this.#contacts.delete(address);
			}
		}

		for (const address of this.#addresses) {
			const contact = this.#contacts.get(address);
			const state = connectionState(address);
			if (state !== 'none' && known.has(address)) {
				this.#contacts.set(address, {
					failingSinceMs:
						state === 'open' ? undefined : (contact?.failingSinceMs ?? now),
					hasAnswered: state !== 'opening' || (contact?.hasAnswered ?? false),
				});
			}
		}
	}

	/** Returns the members of a zone, the best candidate first. */
	#rank(zone: string): readonly Member[] {
		const {all} = this.members;
		if (this.#ranking.members !== all) {
			const zones = [...new Set(all.map((member) => member.zone))];
			this.#ranking = {
				members: all,
				byZone: new Map(
					zones.map((other) => [
						other,
						all
							.filter((member) => member.zone === other)
							.toSorted(
								(left, right) =>
									right.processorShare - left.processorShare ||
									(left.name < right.name ? -1 : 1),
							),
					]),
				),
			};
		}

		return this.#ranking.byZone.get(zone) ?? [];
	}

	#selectCandidates(
		zone: string,
		isMesh: boolean,
		now: number,
	): readonly Member[] {
		const ranked = this.#rank(zone);
		if (isMesh) {
			return ranked;
		}

		const {candidatesPerZone} = this.#settings;
		// Of another zone, which may be cut off as a whole, only the first replacements are tried: later ones connect here.
		const eligible =
			zone === this.#self.zone
				? ranked
				: ranked.slice(0, 2 * candidatesPerZone);
		return eligible
			.filter((member) => !this.#isUnreachable(member, now))
			.slice(0, candidatesPerZone);
	}

	#isUnreachable({name, address}: Member, now: number): boolean {
		const contact = this.#contacts.get(address);
		const {unreachableMs, firstContactMs} = this.#settings;
		return (
			name !== this.#self.name &&
			contact?.failingSinceMs !== undefined &&
			now - contact.failingSinceMs >=
				(contact.hasAnswered ? unreachableMs : firstContactMs)
		);
	}

	/** Selects the unreachable member of these zones whose turn it is to be tried. */
	#selectProbed(zones: readonly string[], now: number): Member | undefined {
		const unreachable = this.members.all.filter(
			(member) =>
				zones.includes(member.zone) && this.#isUnreachable(member, now),
		);
		return unreachable[
			Math.floor(now / this.#settings.probeIntervalMs) % unreachable.length
		];
	}
}

/** Returns a member as it is listed for peers. */
export function toMember({
	name,
	zone,
	address,
	processorShare = 0,
}: MemberAddress): Member {
	return {name, zone, address, processorShare};
}
