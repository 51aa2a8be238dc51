/** Passes the catalogue and the list of VMs between entry VMs. */
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
import {type MachineListKeeper} from './machine-list-keeper.js';

const replyTimeoutMs = 2000;

/** Sends a request to one entry VM. */
export type SendRequest = (
	request: PeerRequest,
	timeoutMs: number,
) => ResultAsync<PeerReply, PeerFailure>;

/** An entry VM that is connected. */
export type ConnectedPeer = {
	readonly name: string;
	readonly request: SendRequest;
};

type HeardPeer = ConnectedPeer & {readonly offset: number};

/** Parts that the relay connects. */
export type CatalogueRelayParts = {
	readonly follower: CatalogueFollower;
	readonly list: MachineListKeeper;
	readonly clock: Clock;
	/** The entry VMs that are connected. */
	readonly peers: () => readonly ConnectedPeer[];
	/** Sends a request to an entry VM of the list. */
	readonly request: (name: string) => SendRequest;
};

/** Passes the catalogue and the list of VMs between entry VMs. Knowledge only ever grows. */
export class CatalogueRelay {
	readonly #parts: CatalogueRelayParts;
	/** What peers last said of themselves. */
	readonly #heard = new Map<string, HeardPeer>();
	#isCatchingUp = false;
	#nextPeer = 0;

	constructor(parts: CatalogueRelayParts) {
		this.#parts = parts;
	}

	/** Answers a peer that asks for what is known here. */
	answer({fromOffset, listVersion}: CatalogueRequest): CatalogueReply {
		const {follower, list} = this.#parts;
		const {ageMs, catalogue, replay} = follower;
		const {newest} = list;
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

	/** Asks a peer that has reached a higher offset, or that may know the list of VMs while it is unknown here. */
	heard(hello: Hello, request?: SendRequest): void {
		const name = hello.incarnation.entryVm;
		this.#heard.set(name, {
			name,
			offset: hello.catalogueOffset ?? 0,
			request: request ?? this.#parts.request(name),
		});
		if (!this.#isCatchingUp) {
			void this.#catchUp();
		}
	}

	/** Asks one peer after the other, one at each call; for an entry VM that cannot read the log. */
	async askNext(): Promise<void> {
		const peers = this.#parts.peers();
		const peer = peers[this.#nextPeer % Math.max(1, peers.length)];
		this.#nextPeer += 1;
		if (peer !== undefined) {
			await this.ask(peer.request);
		}
	}

	/** Asks a peer and learns from its reply; `undefined` when there is none. */
	async ask(request: SendRequest): Promise<CatalogueReply | undefined> {
		const {follower, list, clock} = this.#parts;
		const askedAtMs = clock();
		const reply = await request(
			{
				kind: 'catalogue',
				fromOffset: follower.catalogue.nextOffset,
				listVersion: list.newest?.version ?? -1,
			},
			replyTimeoutMs,
		);
		if (reply.isErr() || reply.value.kind !== 'catalogue') {
			return undefined;
		}

		follower.learn(reply.value, clock() - askedAtMs);
		if (reply.value.list !== undefined) {
			list.learn(reply.value.list);
		}

		return reply.value;
	}

	/** Where a revision is in force, by asking each entry VM of the list. */
	async inForce(
		revision: number,
		own: {readonly name: string; readonly zone: string},
	): Promise<readonly EntryVmState[]> {
		const others = entryVmsOf(this.#parts.list.newest).filter(
			({name}) => name !== own.name,
		);
		const states = await Promise.all(
			others.map(async ({name, zone}): Promise<EntryVmState> => {
				const reply = await this.ask(this.#parts.request(name));
				return reply === undefined
					? {entryVm: name, zone, inForce: 'unknown'}
					: stateOf({name, zone}, revision, reply);
			}),
		);
		const {catalogue, ageMs} = this.#parts.follower;
		return [
			stateOf(own, revision, {nextOffset: catalogue.nextOffset, ageMs}),
			...states,
		];
	}

	/** Asks one peer at a time, so that a fresh entry VM does not get the whole catalogue from each of them. */
	async #catchUp(): Promise<void> {
		this.#isCatchingUp = true;
		for (
			let peer = this.#peerAhead();
			peer !== undefined;
			peer = this.#peerAhead()
		) {
			// A peer that has more to say by then says hello again.
			this.#heard.delete(peer.name);
			// eslint-disable-next-line no-await-in-loop -- one peer after the other
			await this.ask(peer.request);
		}

		this.#isCatchingUp = false;
	}

	#peerAhead(): HeardPeer | undefined {
		const {follower, list} = this.#parts;
		return [...this.#heard.values()].find(
			({offset}) =>
				offset > follower.catalogue.nextOffset || list.newest === undefined,
		);
	}
}

function entryVmsOf(list: MachineList | undefined) {
	return (list?.machines ?? []).flatMap((machine) =>
		machine.role === 'entry' ? [machine] : [],
	);
}

function stateOf(
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
