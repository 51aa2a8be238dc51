/** All links of one entry VM: a server for the requests of its peers, and one link to each of them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Server, type ServerDuplexStream} from '@grpc/grpc-js';
import {type EntryVm, type LedgerMessage} from '@verbenarouter/core';
import {ResultAsync, err} from 'neverthrow';
import {bindServer} from './bind-server.js';
import {FrameBatch} from './frame-batch.js';
import {
	type Frame,
	type Hello,
	type PeerReply,
	type PeerRequest,
} from './message.js';
import {PeerLink, type PeerFailure, type PeerLinkOptions} from './peer-link.js';
import {peerService, serverOptions} from './peer-service.js';
import {withinTime} from './within-time.js';

/** Settings and handlers of the mesh. */
export type PeerMeshOptions = {
	readonly name: string;
	/** `host:port` to listen on. */
	readonly listenAddress: string;
	readonly link: PeerLinkOptions;
	/** What this entry VM says of itself now. */
	readonly hello: () => Hello;
	/** Answers a peer's request; it must not reject. */
	readonly onRequest: (request: PeerRequest) => Promise<PeerReply>;
	/** Hears what a peer says of itself. */
	readonly onHello: (hello: Hello) => void;
	/** Hears what the other end says on a stream that this entry VM opened, each time that it says so. */
	readonly onLinkHello?: (hello: Hello) => void;
	/** Hears messages of a peer's share ledger. */
	readonly onShares?: (messages: readonly LedgerMessage[]) => void;
};

const closeGraceMs = 2000;
const closePollMs = 10;

type ServerStream = ServerDuplexStream<Frame[], readonly Frame[]>;

/** All links of one entry VM. */
export class PeerMesh {
	readonly #options: PeerMeshOptions;
	readonly #server = new Server(serverOptions);
	/** The newest stream that each peer opened, by the name of its entry VM. */
	readonly #inbound = new Map<string, FrameBatch>();
	readonly #streams = new Set<ServerStream>();
	/** Nonce of the newest process of each entry VM that has opened a stream to this one. */
	readonly #linkedFrom = new Map<string, string>();
	#requestsInProgress = 0;
	readonly #links = new Map<
		string,
		{readonly address: string; readonly link: PeerLink}
	>();

	constructor(options: PeerMeshOptions) {
		this.#options = options;
		this.#server.addService(peerService, {
			exchange: (stream: ServerStream) => {
				this.#serve(stream);
			},
		});
	}

	/** Listens for peers. Rejects when the address cannot be bound. */
	async listen(): Promise<void> {
		await bindServer(this.#server, this.#options.listenAddress);
	}

	/** What each connected peer said of itself, by the name of its entry VM. */
	get peers(): ReadonlyMap<string, Hello> {
		return new Map(
			[...this.#links].flatMap(([name, {link}]) =>
				link.peer === undefined ? [] : [[name, link.peer] as const],
			),
		);
	}

	/** Whether there is a working stream to and from each entry VM that it is to link to. */
	get isLinkedToAll(): boolean {
		return [...this.#links].every(
			([name, {link}]) =>
				link.peer !== undefined &&
				this.#linkedFrom.get(name) === link.peer.incarnation.nonce,
		);
	}

	/** Links to exactly these entry VMs, this one left out. */
	updateMembers(members: readonly EntryVm[]): void {
		const wanted = new Map(
			members
				.filter(({name}) => name !== this.#options.name)
				.map(({name, peerAddress}) => [name, peerAddress]),
		);
		for (const [name, {address, link}] of this.#links) {
			if (wanted.get(name) !== address) {
				link.close();
				this.#links.delete(name);
				this.#linkedFrom.delete(name);
			}
		}

		for (const [name, address] of wanted) {
			if (!this.#links.has(name)) {
				const link = new PeerLink(
					address,
					this.#options.link,
					this.#options.hello,
					{
						onHello: (hello) => {
							this.#options.onHello(hello);
							this.#options.onLinkHello?.(hello);
						},
						onShares: (messages) => {
							this.#options.onShares?.(messages);
						},
					},
				);
				this.#links.set(name, {address, link});
			}
		}
	}

	/** Tells all peers again what this entry VM holds. */
	announce(): void {
		for (const {link} of this.#links.values()) {
			link.announce();
		}
	}

	/** Whether there is a working stream to a peer. */
	isConnected(name: string): boolean {
		return (
			this.#links.get(name)?.link.peer !== undefined || this.#inbound.has(name)
		);
	}

	/**
	 * Sends messages of the share ledger to a peer, on the stream that the peer opened when there is no own one. They are
	 * lost while there is no working stream.
	 */
	notify(name: string, messages: readonly LedgerMessage[]): void {
		const frame = {type: 'shares', messages} as const;
		if (this.#links.get(name)?.link.notify(frame) !== true) {
			this.#inbound.get(name)?.add(frame);
		}
	}

	/** Sends a request to a peer and waits for its reply. */
	request(
		name: string,
		request: PeerRequest,
		timeoutMs: number,
	): ResultAsync<PeerReply, PeerFailure> {
		const link = this.#links.get(name)?.link;
		return link === undefined
			? new ResultAsync(
					Promise.resolve(
						err({
							code: 'not-sent',
							message: `${name} is not in the list of VMs`,
						}),
					),
				)
			: link.request(request, timeoutMs);
	}

	/** Answers the requests that have come, then closes all links and stops listening. */
	async close(): Promise<void> {
		await withinTime(this.#finishRequests(), closeGraceMs);
		for (const {link} of this.#links.values()) {
			link.close();
		}

		this.#links.clear();
		this.#server.forceShutdown();
	}

	async #finishRequests(): Promise<void> {
		do {
			// Also when nothing is in progress: the last replies are written at the end of the turn.
			// eslint-disable-next-line no-await-in-loop -- one look after the other
			await sleep(closePollMs);
		} while (this.#requestsInProgress > 0);

		for (const stream of this.#streams) {
			stream.end();
		}

		await new Promise<void>((resolve) => {
			this.#server.tryShutdown(() => {
				resolve();
			});
		});
	}

	#serve(stream: ServerStream): void {
		this.#streams.add(stream);
		const batch = new FrameBatch((frames) => {
			if (!stream.writableEnded && !stream.cancelled) {
				stream.write(frames);
			}
		});
		stream.on('close', () => {
			this.#streams.delete(stream);
			for (const [name, other] of this.#inbound) {
				if (other === batch) {
					this.#inbound.delete(name);
				}
			}
		});
		stream.on('error', () => {
			stream.end();
		});
		stream.on('end', () => {
			stream.end();
		});
		stream.on('data', (frames: readonly Frame[]) => {
			for (const frame of frames) {
				void this.#receive(frame, batch);
			}
		});
	}

	async #receive(frame: Frame, batch: FrameBatch): Promise<void> {
		switch (frame.type) {
			case 'hello': {
				const {entryVm, nonce} = frame.hello.incarnation;
				this.#linkedFrom.set(entryVm, nonce);
				this.#links.get(entryVm)?.link.heard(frame.hello);
				this.#inbound.set(entryVm, batch);
				this.#options.onHello(frame.hello);
				batch.add({type: 'hello', hello: this.#options.hello()});
				break;
			}

			case 'ping': {
				batch.add({type: 'pong'});
				break;
			}

			case 'request': {
				this.#requestsInProgress += 1;
				const reply = await this.#options.onRequest(frame.request);
				this.#requestsInProgress -= 1;
				batch.add({type: 'reply', id: frame.id, reply});
				break;
			}

			case 'shares': {
				this.#options.onShares?.(frame.messages);
				break;
			}

			case 'pong':
			case 'reply': {
				break;
			}
		}
	}
}
