/**
 * Which member sets an entry VM keeps within, and when it may drop an older one.
 *
 * An entry VM has the smallest of its base shares under all sets that it keeps within. It drops a set only when every
 * member of a later one has announced to keep within that later one; so there is always one set that all keep within.
 */
import {type MemberSet} from './share-message.js';
import {ShareSplit, type Capacity} from './share-split.js';

/** What is known of another entry VM. */
export type SharePeer = {
	readonly name: string;
	/** The newest process that was heard of. */
	process: string | undefined;
	/** The newest incarnation of its ledger that was heard of; `undefined` before the first one and after evidence of its end. */
	incarnation: string | undefined;
	/** When its process started, by its own clock; known of entry VMs that no list names yet. */
	startedAtMs: number | undefined;
	/** Whether it has announced a set that does not name it, so that it may borrow although no list names it. */
	isGuest: boolean;
	/** Whether a set that was kept within has named this incarnation. */
	wasListed: boolean;
	/** Whether there is evidence that no process runs under this name; its next incarnation starts without a share. */
	isVacant: boolean;
	/** Versions of the sets that this incarnation has announced to this entry VM. */
	readonly announced: Set<number>;
	/** Version of the set that was last announced to this incarnation. */
	told: number | undefined;
};

/** The member sets that one entry VM keeps within. */
export class ShareMembers {
	readonly #self: string;
	readonly #peers = new Map<string, SharePeer>();
	#splits: readonly ShareSplit[] = [];
	#settledVersion = -1;
	#hasBase = false;
	#hasReadList = false;

	constructor(self: string) {
		this.#self = self;
	}

	/** The newest set that was heard of. */
	get newest(): ShareSplit | undefined {
		return this.#splits.at(-1);
	}

	/** Whether this entry VM has a base share yet. */
	get hasBase(): boolean {
		return this.#hasBase;
	}

	/** Whether this entry VM has yet to announce something to somebody. */
	get mustAnnounce(): boolean {
		const version = this.newest?.set.version;
		return (
			this.#hasReadList &&
			version !== undefined &&
			(this.#settledVersion < version ||
				[...this.#peers.values()].some(
					({incarnation, told}) =>
						incarnation !== undefined && told !== version,
				))
		);
	}

	/** What is known of the other entry VMs. */
	get peers(): ReadonlyMap<string, SharePeer> {
		return this.#peers;
	}

	/**
	 * Whether a peer has announced a member set. Loans need this: a list that is older than the peer, and does not name
	 * it, can then no longer be taken for evidence of its end.
	 */
	isKnown(name: string): boolean {
		const peer = this.#peers.get(name);
		return (
			peer?.incarnation !== undefined &&
			(peer.isGuest || peer.announced.size > 0)
		);
	}

	/** Finds a peer, and begins to know of it when it is new. */
	peer(name: string): SharePeer {
		const known = this.#peers.get(name);
		if (known !== undefined) {
			return known;
		}

		const peer: SharePeer = {
			name,
			process: undefined,
			incarnation: undefined,
			startedAtMs: undefined,
			isGuest: false,
			wasListed: false,
			isVacant: false,
			announced: new Set(),
			told: undefined,
		};
		this.#peers.set(name, peer);
		return peer;
	}

	/** Keeps within one more set; returns whether it is new. */
	adopt(set: MemberSet): boolean {
		if (set.version <= (this.newest?.set.version ?? -1)) {
			return false;
		}

		this.#splits = [...this.#splits, new ShareSplit(set)];
		return true;
	}

	/**
	 * Notes that the platform's own list was read. Before that nothing is announced: an older list, learned from a peer,
	 * may name a predecessor whose row is about to go.
	 */
	noteListRead(): void {
		this.#hasReadList = true;
	}

	/** Announces nothing any more, because this entry VM stops. */
	leave(): void {
		this.#hasReadList = false;
	}

	/** Begins anew, without base shares, as after a restart. */
	reset(): void {
		this.#hasBase = false;
		this.#settledVersion = -1;
		for (const peer of this.#peers.values()) {
			peer.announced.clear();
			peer.told = undefined;
		}
	}

	/** Forgets a peer that is not in the newest set. */
	remove(name: string): void {
		this.#peers.delete(name);
	}

	/** Peers to which the newest set has to be announced, now that this entry VM keeps within it. */
	settle(): readonly SharePeer[] {
		const version = this.newest?.set.version;
		if (version === undefined) {
			return [];
		}

		this.#settledVersion = version;
		const untold = [...this.#peers.values()].filter(
			({incarnation, told}) => incarnation !== undefined && told !== version,
		);
		for (const peer of untold) {
			peer.told = version;
		}

		return untold;
	}

	/** Drops the sets that are no longer needed; returns whether base shares may have grown. */
	dropSuperseded(): boolean {
		const stable = this.#splits.findLastIndex((split) => this.#isStable(split));
		if (stable === -1 || (stable === 0 && this.#hasBase)) {
			return false;
		}

		this.#splits = this.#splits.slice(stable);
		this.#hasBase = true;
		return true;
	}

	/** The base share of this entry VM in units. */
	baseOf(resource: string, capacity: Capacity): number {
		return this.#hasBase
			? Math.min(
					...this.#splits.map((split) =>
						split.baseOf(this.#self, resource, capacity),
					),
				)
			: 0;
	}

	#isStable({set}: ShareSplit): boolean {
		return (
			set.version <= this.#settledVersion &&
			set.members.every(({name}) => {
				const peer = this.#peers.get(name);
				return (
					name === this.#self ||
					peer?.isVacant === true ||
					peer?.announced.has(set.version) === true
				);
			})
		);
	}
}
