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
} from './peer-message.js';
import {PeerLink, type PeerFailure, type PeerLinkOptions} from './peer-link.js';
import {peerService, serverOptions} from './peer-service.js';
import {withTimeout} from './with-timeout.js';

/** Options and handlers of {@link PeerMesh}. */
export type PeerMeshOptions = {
	readonly name: string;
	/** `host:port` to listen on. */
	readonly listenAddress: string;
	readonly link: PeerLinkOptions;
	/** Returns the current hello of this entry VM. */
	readonly createHello: () => Hello;
	/** Handles a request of a peer; must not reject. */
	readonly onRequest: (request: PeerRequest) => Promise<PeerReply>;
	/** Handles a hello of a peer, on a stream of either end. */
	readonly onHello: (hello: Hello) => void;
	/** Handles each hello that arrives on a stream that this entry VM opened. */
	readonly onLinkHello?: (hello: Hello) => void;
	/** Handles messages of a peer's share ledger. */
	readonly onShares?: (messages: readonly LedgerMessage[]) => void;
};

/** Longest wait for the requests in progress on close. */
const closeTimeoutMs = 2000;
const drainPollMs = 10;

type InboundStream = ServerDuplexStream<Frame[], readonly Frame[]>;

/** Server for the streams of all peers of an entry VM, and a {@link PeerLink} to each of them. */
export class PeerMesh {
	readonly #options: PeerMeshOptions;
	readonly #server = new Server(serverOptions);
	/** Batch of the newest stream that each peer has opened, by the name of the peer. */
	readonly #inboundBatches = new Map<string, FrameBatch>();
	readonly #inboundStreams = new Set<InboundStream>();
	/** Nonce of the latest process that has opened a stream to this one, by the name of its entry VM. */
	readonly #inboundNonces = new Map<string, string>();
	#requestsInProgress = 0;
	readonly #links = new Map<
		string,
		{readonly address: string; readonly link: PeerLink}
	>();

	constructor(options: PeerMeshOptions) {
		this.#options = options;
		this.#server.addService(peerService, {
			exchange: (stream: InboundStream) => {
				this.#handleStream(stream);
			},
		});
	}

	/** Starts to listen for peers. Rejects if the address cannot be bound. */
	async listen(): Promise<void> {
		await bindServer(this.#server, this.#options.listenAddress);
	}

	/** Latest hello of each connected peer, by the name of its entry VM. */
	get peerHellos(): ReadonlyMap<string, Hello> {
		return new Map(
			[...this.#links].flatMap(([name, {link}]) =>
				link.peerHello === undefined ? [] : [[name, link.peerHello] as const],
			),
		);
	}

	/** Whether each member has a working stream in both directions. */
	get isLinkedToAll(): boolean {
		return [...this.#links].every(
			([name, {link}]) =>
				link.peerHello !== undefined &&
				this.#inboundNonces.get(name) === link.peerHello.incarnation.nonce,
		);
	}

	/** Opens and closes links, so that each of these entry VMs except this one has a link. */
	updateMembers(members: readonly EntryVm[]): void {
		const desiredAddresses = new Map(
			members
				.filter(({name}) => name !== this.#options.name)
				.map(({name, peerAddress}) => [name, peerAddress]),
		);
		for (const [name, {address, link}] of this.#links) {
			if (desiredAddresses.get(name) !== address) {
				link.close();
				this.#links.delete(name);
				this.#inboundNonces.delete(name);
			}
		}

		for (const [name, address] of desiredAddresses) {
			if (!this.#links.has(name)) {
				const link = new PeerLink(
					address,
					this.#options.link,
					this.#options.createHello,
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

	/** Sends the current hello of this entry VM to all peers. */
	broadcastHello(): void {
		for (const {link} of this.#links.values()) {
			link.sendHello();
		}
	}

	/** Whether there is a working stream to a peer, opened by either end. */
	isConnected(name: string): boolean {
		return (
			this.#links.get(name)?.link.peerHello !== undefined ||
			this.#inboundBatches.has(name)
		);
	}

	/**
	 * Sends messages of the share ledger to a peer, on the peer's stream if the own link has none. Drops them if there is
	 * no working stream.
	 */
	notify(name: string, messages: readonly LedgerMessage[]): void {
		const frame = {type: 'shares', messages} as const;
		if (this.#links.get(name)?.link.sendShares(frame) !== true) {
			this.#inboundBatches.get(name)?.add(frame);
		}
	}

	/** Sends a request to a peer and waits for the reply, for `timeoutMs` milliseconds at most. */
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

	/** Finishes the requests in progress, within a time limit, then closes all links and the server. */
	async close(): Promise<void> {
		await withTimeout(this.#drainRequests(), closeTimeoutMs);
		for (const {link} of this.#links.values()) {
			link.close();
		}

		this.#links.clear();
		this.#server.forceShutdown();
	}

	async #drainRequests(): Promise<void> {
		do {
			// At least one wait is necessary, because batches write the last replies at the end of a turn of the event loop.
			// eslint-disable-next-line no-await-in-loop -- polls until the condition is met
			await sleep(drainPollMs);
		} while (this.#requestsInProgress > 0);

		for (const stream of this.#inboundStreams) {
			stream.end();
		}

		await new Promise<void>((resolve) => {
			this.#server.tryShutdown(() => {
				resolve();
			});
		});
	}

	#handleStream(stream: InboundStream): void {
		this.#inboundStreams.add(stream);
		const batch = new FrameBatch((frames) => {
			if (!stream.writableEnded && !stream.cancelled) {
				stream.write(frames);
			}
		});
		stream.on('close', () => {
			this.#inboundStreams.delete(stream);
			for (const [name, other] of this.#inboundBatches) {
				if (other === batch) {
					this.#inboundBatches.delete(name);
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
				this.#inboundNonces.set(entryVm, nonce);
				this.#links.get(entryVm)?.link.updatePeerHello(frame.hello);
				this.#inboundBatches.set(entryVm, batch);
				this.#options.onHello(frame.hello);
				batch.add({type: 'hello', hello: this.#options.createHello()});
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
