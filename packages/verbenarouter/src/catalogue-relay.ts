import {type MachineList} from '@verbenarouter/core';
import {type EntryVmState} from '@verbenarouter/operator';
import {
	type CatalogueReply,
	type CatalogueRequest,
	type Hello,
	type PeerFailure,
	type PeerReply,
	type PeerRequest,
} from '@verbenarouter/peer';
import {type ResultAsync} from 'neverthrow';
import {type CatalogueFollower} from './catalogue-follower.js';
import {type Clock} from './clock.js';
import {type MachineListCache} from './machine-list-cache.js';

const replyTimeoutMs = 2000;

/** Sends a request to one entry VM. */
export type SendRequest = (
	request: PeerRequest,
	timeoutMs: number,
) => ResultAsync<PeerReply, PeerFailure>;

/** A connected entry VM. */
export type ConnectedPeer = {
	readonly name: string;
	readonly sendRequest: SendRequest;
};

/** A peer and the catalogue offset of its last hello message. */
type AnnouncedPeer = ConnectedPeer & {readonly offset: number};

/** Options of {@link CatalogueRelay}. */
export type CatalogueRelayOptions = {
	readonly follower: CatalogueFollower;
	readonly machineList: MachineListCache;
	readonly clock: Clock;
	/** Returns the connected entry VMs. */
	readonly listConnectedPeers: () => readonly ConnectedPeer[];
	/** Returns a function that sends requests to an entry VM of the list of VMs. */
	readonly createSendRequest: (name: string) => SendRequest;
};

/**
 * Exchanges the catalogue and the list of VMs with other entry VMs. An older catalogue or list from a peer never
 * replaces a newer one.
 */
export class CatalogueRelay {
	readonly #options: CatalogueRelayOptions;
	/** Peers by name whose last hello message has not led to a request yet. */
	readonly #announcedPeers = new Map<string, AnnouncedPeer>();
	#isCatchingUp = false;
	#nextPeerIndex = 0;

	constructor(options: CatalogueRelayOptions) {
		this.#options = options;
	}

	/** Answers the request of a peer for the catalogue and the list of VMs. */
	answer({fromOffset, listVersion}: CatalogueRequest): CatalogueReply {
		const {follower, machineList} = this.#options;
		const {ageMs, catalogue, replay} = follower;
		const {newest} = machineList;
		return {
			kind: 'catalogue',
			nextOffset: catalogue.nextOffset,
			...(ageMs === undefined ? {} : {ageMs}),
			update: replay.createPeerUpdate(fromOffset),
			...(newest === undefined || newest.version <= listVersion
				? {}
				: {list: newest}),
		};
	}

	/**
	 * Processes the hello message of a peer. Requests an update if the peer has reached a higher offset or the list of VMs is
	 * unknown here.
	 */
	receiveHello(hello: Hello, sendRequest?: SendRequest): void {
		const name = hello.incarnation.entryVm;
		this.#announcedPeers.set(name, {
			name,
			offset: hello.catalogueOffset ?? 0,
			sendRequest: sendRequest ?? this.#options.createSendRequest(name),
		});
		if (!this.#isCatchingUp) {
			void this.#catchUp();
		}
	}

	/** Requests an update from one connected peer, the next one at each call. Used while the log cannot be read. */
	async updateFromNextPeer(): Promise<void> {
		const peers = this.#options.listConnectedPeers();
		const peer = peers[this.#nextPeerIndex % Math.max(1, peers.length)];
		this.#nextPeerIndex += 1;
		if (peer !== undefined) {
			await this.updateFrom(peer.sendRequest);
		}
	}

	/** Requests an update from a peer and applies its reply; returns `undefined` if there is none. */
	async updateFrom(
		sendRequest: SendRequest,
	): Promise<CatalogueReply | undefined> {
		const {follower, machineList, clock} = this.#options;
		const sentAtMs = clock();
		const reply = await sendRequest(
			{
				kind: 'catalogue',
				fromOffset: follower.catalogue.nextOffset,
				listVersion: machineList.newest?.version ?? -1,
			},
			replyTimeoutMs,
		);
		if (reply.isErr() || reply.value.kind !== 'catalogue') {
			return undefined;
		}

		follower.applyPeerReply(reply.value, clock() - sentAtMs);
		if (reply.value.list !== undefined) {
			machineList.replaceIfNewer(reply.value.list);
		}

		return reply.value;
	}

	/** Returns whether a revision is in force at each entry VM of the list, by requesting an update from each of them. */
	async collectRevisionStates(
		revision: number,
		self: {readonly name: string; readonly zone: string},
	): Promise<readonly EntryVmState[]> {
		const others = filterEntryVms(this.#options.machineList.newest).filter(
			({name}) => name !== self.name,
		);
		const states = await Promise.all(
			others.map(async ({name, zone}): Promise<EntryVmState> => {
				const reply = await this.updateFrom(
					this.#options.createSendRequest(name),
				);
				return reply === undefined
					? {entryVm: name, zone, inForce: 'unknown'}
					: createEntryVmState({name, zone}, revision, reply);
			}),
		);
		const {catalogue, ageMs} = this.#options.follower;
		return [
			createEntryVmState(self, revision, {
				nextOffset: catalogue.nextOffset,
				ageMs,
			}),
			...states,
		];
	}

	/** Requests updates from one peer at a time, so that not every peer sends the whole catalogue to a starting entry VM. */
	async #catchUp(): Promise<void> {
		this.#isCatchingUp = true;
		for (
			let peer = this.#findPeerAhead();
			peer !== undefined;
			peer = this.#findPeerAhead()
		) {
			// A peer whose offset increases during the request sends another hello.
			this.#announcedPeers.delete(peer.name);
			// eslint-disable-next-line no-await-in-loop -- the peers are requested in sequence
			await this.updateFrom(peer.sendRequest);
		}

		this.#isCatchingUp = false;
	}

	#findPeerAhead(): AnnouncedPeer | undefined {
		const {follower, machineList} = this.#options;
		return [...this.#announcedPeers.values()].find(
			({offset}) =>
				offset > follower.catalogue.nextOffset ||
				machineList.newest === undefined,
		);
	}
}

function filterEntryVms(list: MachineList | undefined) {
	return (list?.machines ?? []).flatMap((machine) =>
		machine.role === 'entry' ? [machine] : [],
	);
}

function createEntryVmState(
	{name, zone}: {readonly name: string; readonly zone: string},
	revision: number,
	{
		nextOffset,
		ageMs,
	}: {readonly nextOffset: number; readonly ageMs?: number | undefined},
): EntryVmState {
	return {
		entryVm: name,
		zone,
		inForce: nextOffset >= revision ? 'yes' : 'no',
		nextOffset,
		ageMs,
	};
}
