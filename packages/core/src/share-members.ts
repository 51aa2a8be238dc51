import {type MemberSet} from './share-message.js';
import {ShareSplit, type Capacity} from './share-split.js';

/** One entry VM's state about another entry VM. */
export type SharePeer = {
	readonly name: string;
	/** Identifier of its newest known process. */
	process: string | undefined;
	/** The newest known incarnation of its ledger; `undefined` before the first one and after evidence that it has ended. */
	incarnation: string | undefined;
	/** Start time of its process by its own clock; recorded only for entry VMs that are not in a member set yet. */
	startedAtMs: number | undefined;
	/** Whether it has announced a member set that does not contain it; such a peer has no base share and may borrow. */
	isUnlisted: boolean;
	/** Whether this incarnation has been in a member set, so that its absence from a newer set means that it has ended. */
	wasListed: boolean;
	/** Whether there is evidence that no process runs under this name. Its next incarnation starts without a base share. */
	hasEnded: boolean;
	/** Versions of the member sets that this incarnation has announced to this entry VM. */
	readonly receivedVersions: Set<number>;
	/** Version of the member set last announced to this incarnation; `undefined` if it must be announced again. */
	lastSentVersion: number | undefined;
};

/**
 * The member sets that limit one entry VM's base shares, from the oldest still needed to the newest.
 *
 * The base share is the smallest under all these sets. An entry VM announces a set to its peers once its use is within
 * all sets, and drops the older ones only when every member of a set has announced that set or has ended. At any time
 * there is therefore one set that limits all entry VMs, so their base shares never sum to more than the capacity.
 */
export class ShareMembers {
	readonly #self: string;
	readonly #peers = new Map<string, SharePeer>();
	#splits: readonly ShareSplit[] = [];
	#announcedVersion = -1;
	#hasBaseShare = false;
	#canAnnounce = false;

	constructor(self: string) {
		this.#self = self;
	}

	/** The shares under the newest member set. */
	get newestSplit(): ShareSplit | undefined {
		return this.#splits.at(-1);
	}

	/** Whether this entry VM may use its base shares; `false` until every member has announced one common set. */
	get hasBaseShare(): boolean {
		return this.#hasBaseShare;
	}

	/** Whether the newest member set has not been announced to every peer. */
	get hasPendingAnnouncement(): boolean {
		const version = this.newestSplit?.memberSet.version;
		return (
			this.#canAnnounce &&
			version !== undefined &&
			(this.#announcedVersion < version ||
				[...this.#peers.values()].some(
					({incarnation, lastSentVersion}) =>
						incarnation !== undefined && lastSentVersion !== version,
				))
		);
	}

	/** The other entry VMs, by name. */
	get peers(): ReadonlyMap<string, SharePeer> {
		return this.#peers;
	}

	/**
	 * Whether the current incarnation of a peer has announced a member set. Loans require this, because a member set
	 * that is older than the peer and does not contain it could otherwise be mistaken for evidence that it has ended.
	 */
	hasAnnounced(name: string): boolean {
		const peer = this.#peers.get(name);
		return (
			peer?.incarnation !== undefined &&
			(peer.isUnlisted || peer.receivedVersions.size > 0)
		);
	}

	/** Returns the peer of this name, and creates it if there is none. */
	getOrCreatePeer(name: string): SharePeer {
		const existing = this.#peers.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const peer: SharePeer = {
			name,
			process: undefined,
			incarnation: undefined,
			startedAtMs: undefined,
			isUnlisted: false,
			wasListed: false,
			hasEnded: false,
			receivedVersions: new Set(),
			lastSentVersion: undefined,
		};
		this.#peers.set(name, peer);
		return peer;
	}

	/** Adds a member set as a further limit; returns `false` if it is not newer than the newest set. */
	addMemberSet(set: MemberSet): boolean {
		if (set.version <= (this.newestSplit?.memberSet.version ?? -1)) {
			return false;
		}

		this.#splits = [...this.#splits, new ShareSplit(set)];
		return true;
	}

	/**
	 * Allows announcements, once the platform's own list has been read. A list received from a peer may be older and
	 * contain the predecessor of this process, whose row is about to be removed.
	 */
	startAnnouncing(): void {
		this.#canAnnounce = true;
	}

	/** Stops announcements, because this entry VM shuts down. */
	stopAnnouncing(): void {
		this.#canAnnounce = false;
	}

	/** Discards the base shares and all announcements, as after a restart. */
	reset(): void {
		this.#hasBaseShare = false;
		this.#announcedVersion = -1;
		for (const peer of this.#peers.values()) {
			peer.receivedVersions.clear();
			peer.lastSentVersion = undefined;
		}
	}

	/** Removes a peer that is not in the newest member set. */
	removePeer(name: string): void {
		this.#peers.delete(name);
	}

	/** Records that the newest member set is announced; returns the peers to which it must be sent. */
	markAnnounced(): readonly SharePeer[] {
		const version = this.newestSplit?.memberSet.version;
		if (version === undefined) {
			return [];
		}

		this.#announcedVersion = version;
		const outdatedPeers = [...this.#peers.values()].filter(
			({incarnation, lastSentVersion}) =>
				incarnation !== undefined && lastSentVersion !== version,
		);
		for (const peer of outdatedPeers) {
			peer.lastSentVersion = version;
		}

		return outdatedPeers;
	}

	/** Drops the sets older than the newest one that every member has announced; returns whether base shares may have grown. */
	dropSupersededSets(): boolean {
		const commonIndex = this.#splits.findLastIndex((split) =>
			this.#isAnnouncedByAll(split),
		);
		if (commonIndex === -1 || (commonIndex === 0 && this.#hasBaseShare)) {
			return false;
		}

		this.#splits = this.#splits.slice(commonIndex);
		this.#hasBaseShare = true;
		return true;
	}

	/** Computes the base share of this entry VM in units; 0 while {@link hasBaseShare} is false. */
	computeBaseShare(resource: string, capacity: Capacity): number {
		return this.#hasBaseShare
			? Math.min(
					...this.#splits.map((split) =>
						split.computeBaseShare(this.#self, resource, capacity),
					),
				)
			: 0;
	}

	/** Whether this entry VM has announced a set, and each other member of the set has announced it or has ended. */
	#isAnnouncedByAll({memberSet}: ShareSplit): boolean {
		return (
			memberSet.version <= this.#announcedVersion &&
			memberSet.members.every(({name}) => {
				const peer = this.#peers.get(name);
				return (
					name === this.#self ||
					peer?.hasEnded === true ||
					peer?.receivedVersions.has(memberSet.version) === true
				);
			})
		);
	}
}
