import {Server, type ServerDuplexStream} from '@grpc/grpc-js';
import {type ConnectionState} from '@verbenarouter/core';
import {bindServer} from './bind-server.js';
import {ConnectBudget} from './connect-budget.js';
import {
	EncodedMessage,
	PoolLink,
	poolChannelOptions,
	poolService,
	type PoolBatch,
	type PoolAcknowledgement,
} from './pool-link.js';
import {type PoolMessage} from './pool-message.js';
import {PoolTraffic} from './pool-traffic.js';

/**
 * Why the newest stream that an entry VM has opened is lost: it failed, its sender or a break of the connection has
 * closed it, or a message on it came so late that it may be out of date.
 */
export type PeerLossCause = 'failed' | 'closed' | 'out-of-date';

/** Options and handlers of {@link PoolMesh}. */
export type PoolMeshOptions = {
	readonly name: string;
	/** `host:port` to listen on. */
	readonly address: string;
	/** Returns the time of a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Returns a random number from 0 to 1, by which reconnects are spread. */
	readonly random: () => number;
	/** Handles a message of an entry VM that has sent a heartbeat on the same stream. */
	readonly onMessage: (from: string, message: PoolMessage) => void;
	/**
	 * Returns what is wrong with a received message, `undefined` for a sound one. Others are dropped after a call of
	 * `onInvalid`.
	 */
	readonly findProblem: (message: unknown) => string | undefined;
	/** Handles a message with a problem; `from` is its sender, if it is known. */
	readonly onInvalid: (from: string | undefined, problem: string) => void;
	/** Handles the loss of the newest stream that an entry VM has opened. */
	readonly onLost: (name: string, cause: PeerLossCause) => void;
	/** Handles that the stream to an entry VM has opened. Messages sent on an earlier stream may be lost. */
	readonly onOpen: (name: string) => void;
};

/**
 * Shortest time without a message after which later messages on the stream are discarded as out of date: a network
 * partition or a freeze of this process has delayed them. The sender of fast heartbeats has opened a new stream by then.
 */
const staleStreamMs = 800;
/** The longest heartbeat interval for which `staleStreamMs` holds. */
const maxFastIntervalMs = 400;
/** Number of longer intervals without a message after which later messages on the stream are discarded. */
const staleIntervals = 4;

type InboundStream = ServerDuplexStream<
	PoolBatch,
	PoolAcknowledgement | readonly EncodedMessage[]
>;

/** Server for the streams of other entry VMs, and a {@link PoolLink} to each of them. */
export class PoolMesh {
	/** Counts of the messages to and from other entry VMs. */
	readonly traffic = new PoolTraffic();
	readonly #options: PoolMeshOptions;
	readonly #server = new Server(poolChannelOptions);
	readonly #connectBudget = new ConnectBudget();
	readonly #linksByAddress = new Map<string, PoolLink>();
	readonly #addressesByName = new Map<string, string>();
	/** Newest stream that each entry VM has opened to this one, by the name of the entry VM. */
	readonly #inboundStreams = new Map<string, InboundStream>();
	/** Names of the entry VMs that read messages on the streams that they have opened; those of the last build do not. */
	readonly #replyReaders = new Set<string>();

	constructor(options: PoolMeshOptions) {
		this.#options = options;
		this.#server.addService(poolService, {
			exchange: (stream: InboundStream) => {
				this.#handleStream(stream);
			},
		});
	}

	/** Starts to listen for other entry VMs. Rejects if the address cannot be bound. */
	async listen(): Promise<void> {
		await bindServer(this.#server, this.#options.address);
	}

	/** Opens and closes links, so that each of these addresses except the own one has a link. */
	updateLinks(addresses: readonly string[]): void {
		const desiredAddresses = new Set(addresses);
		desiredAddresses.delete(this.#options.address);
		for (const [address, link] of this.#linksByAddress) {
			if (!desiredAddresses.has(address)) {
				link.close();
				this.#linksByAddress.delete(address);
			}
		}

		for (const address of desiredAddresses) {
			if (!this.#linksByAddress.has(address)) {
				this.#linksByAddress.set(
					address,
					new PoolLink({
						address,
						onOpen: () => {
							this.#handleLinkOpen(address);
						},
						onReplies: (batch) => {
							this.#handleReplies(address, batch);
						},
						now: this.#options.now,
						traffic: this.traffic,
						random: this.#options.random,
						tryTakeConnect: (now) => this.#connectBudget.tryTake(now),
					}),
				);
			}
		}
	}

	/** Sets the address of an entry VM that has sent no heartbeat yet. */
	setAddress(name: string, address: string): void {
		this.#addressesByName.set(name, address);
	}

	/** State of the stream to an address. */
	connectionState(address: string): ConnectionState {
		return this.#linksByAddress.get(address)?.state ?? 'none';
	}

	/** Sends a heartbeat on each link whose address `isRecipient` accepts. */
	sendHeartbeats(
		message: PoolMessage & {readonly type: 'heartbeat'},
		isRecipient: (address: string) => boolean,
		now: number,
	): void {
		const links = [...this.#linksByAddress.values()].filter(({address}) =>
			isRecipient(address),
		);
		if (links.length === 0) {
			return;
		}

		const encoded = this.#encode(message);
		for (const link of links) {
			link.sendHeartbeat(encoded, message.heartbeat.intervalMs, now);
		}
	}

	/** Sends a message to an entry VM; returns false if there is no working stream. */
	send(name: string, message: PoolMessage): boolean {
		return this.sendToAll([name], message);
	}

	/** Sends a message to several entry VMs; returns whether there is a working stream to each. */
	sendToAll(names: readonly string[], message: PoolMessage): boolean {
		const encoded = this.#encode(message);
		return (
			names.filter((name) => this.#sendTo(name, encoded)).length ===
			names.length
		);
	}

	/** Excludes a time for which this process did not read its sockets from the silence of its streams. */
	excludeStall(stallMs: number, now: number): void {
		for (const link of this.#linksByAddress.values()) {
			link.excludeStall(stallMs, now);
		}
	}

	/** Addresses to which this entry VM has links. */
	get addresses(): readonly string[] {
		return [...this.#linksByAddress.keys()];
	}

	/** Whether messages can be sent to an entry VM. */
	isOpen(name: string): boolean {
		return this.#findLink(name)?.isOpen ?? false;
	}

	/** Closes all links and the server. */
	close(): void {
		for (const link of this.#linksByAddress.values()) {
			link.close();
		}

		this.#linksByAddress.clear();
		this.#server.forceShutdown();
	}

	#encode(message: PoolMessage): EncodedMessage {
		const startedAtMs = this.#options.now();
		const encoded = new EncodedMessage(message);
		this.traffic.add('sent', message.type, {
			tookMs: this.#options.now() - startedAtMs,
		});
		return encoded;
	}

	/**
	 * Sends a message on the stream to an entry VM or, until one has first opened, back on the stream from it. After a loss
	 * the stream from it is as likely to be broken.
	 */
	#sendTo(name: string, message: EncodedMessage): boolean {
		const link = this.#findLink(name);
		const inbound = this.#inboundStreams.get(name);
		const isAnsweredBack =
			['none', 'opening'].includes(link?.state ?? 'none') &&
			inbound !== undefined &&
			this.#replyReaders.has(name) &&
			!inbound.writableEnded &&
			!inbound.cancelled;
		if (!isAnsweredBack) {
			const isSent = link?.send(message) ?? false;
			if (!isSent) {
				this.traffic.addUnsent(message.type);
			}

			return isSent;
		}

		inbound.write([message]);
		this.traffic.add('sent', message.type, {
			messages: 1,
			bytes: message.text.length,
		});
		return true;
	}

	/** Handles messages that an entry VM sends back on the stream to it. Its heartbeats come on a stream of its own. */
	#handleReplies(address: string, batch: PoolBatch): void {
		const name = this.#findName(address);
		this.#countBatch(batch);
		for (const message of batch.messages) {
			const problem = this.#options.findProblem(message);
			if (problem !== undefined) {
				this.#options.onInvalid(name, problem);
			} else if (name !== undefined && message.type !== 'heartbeat') {
				this.#options.onMessage(name, message);
			}
		}
	}

	#handleLinkOpen(address: string): void {
		const name = this.#findName(address);
		if (name !== undefined) {
			this.#options.onOpen(name);
		}
	}

	#findName(address: string): string | undefined {
		return [...this.#addressesByName].find(
			([, other]) => other === address,
		)?.[0];
	}

	#findLink(name: string): PoolLink | undefined {
		const address = this.#addressesByName.get(name);
		return address === undefined
			? undefined
			: this.#linksByAddress.get(address);
	}

	#handleStream(stream: InboundStream): void {
		let name: string | undefined;
		let lastReceivedAtMs = this.#options.now();
		let staleMs = staleStreamMs;
		stream.on('data', (batch: PoolBatch) => {
			const now = this.#options.now();
			this.#countBatch(batch);
			if (now - lastReceivedAtMs > staleMs) {
				handleStreamEnd('out-of-date');
				stream.end();
				return;
			}

			lastReceivedAtMs = now;
			for (const message of batch.messages) {
				const problem = this.#options.findProblem(message);
				if (problem !== undefined) {
					this.#options.onInvalid(name, problem);
					continue;
				}

				if (message.type === 'heartbeat') {
					if (name === undefined) {
						this.#linksByAddress.get(message.heartbeat.address)?.resetDelay();
					}

					name = message.heartbeat.name;
					staleMs =
						message.heartbeat.intervalMs > maxFastIntervalMs
							? staleIntervals * message.heartbeat.intervalMs
							: staleStreamMs;
					this.#inboundStreams.set(name, stream);
					if (message.heartbeat.isCandidate === undefined) {
						this.#replyReaders.delete(name);
					} else {
						this.#replyReaders.add(name);
					}

					this.#addressesByName.set(name, message.heartbeat.address);
					if (!stream.writableEnded && !stream.cancelled) {
						stream.write({isAlive: true});
						this.traffic.add('sent', 'acknowledgement', {messages: 1});
					}
				}

				if (name !== undefined) {
					const startedAtMs = this.#options.now();
					this.#options.onMessage(name, message);
					this.traffic.add('received', message.type, {
						tookMs: this.#options.now() - startedAtMs,
					});
				}
			}
		});
		const handleStreamEnd = (cause: PeerLossCause) => {
			if (name !== undefined && this.#inboundStreams.get(name) === stream) {
				this.#inboundStreams.delete(name);
				this.#options.onLost(name, cause);
			}
		};

		stream.on('error', () => {
			handleStreamEnd('failed');
			stream.end();
		});
		stream.on('cancelled', () => {
			handleStreamEnd('closed');
		});
		stream.on('end', () => {
			handleStreamEnd('closed');
			stream.end();
		});
	}

	/** Counts received messages; the bytes of a batch of several messages count as type `batch`. */
	#countBatch({messages, byteLength}: PoolBatch): void {
		for (const message of messages) {
			this.traffic.add('received', readType(message), {messages: 1});
		}

		const [first] = messages;
		this.traffic.add(
			'received',
			messages.length === 1 ? readType(first) : 'batch',
			{bytes: byteLength},
		);
	}
}

/** Returns the type of a received message, which may be any JSON value. */
function readType(message: PoolMessage | undefined): string {
	return String(message?.type);
}
