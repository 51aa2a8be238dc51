/** All streams of one entry VM to and from the others. */
import {Server, type ServerDuplexStream} from '@grpc/grpc-js';
import {bindServer} from './bind-server.js';
import {
	PoolLink,
	poolChannelOptions,
	poolService,
	type PoolBatch,
	type PoolReceipt,
} from './pool-link.js';
import {type PoolMessage} from './pool-message.js';

/** Settings and handlers of the mesh. */
export type PoolMeshOptions = {
	readonly name: string;
	/** `host:port` to listen on. */
	readonly address: string;
	/** Reads a clock that never jumps, in milliseconds. */
	readonly now: () => number;
	/** A message of an entry VM that has said its name. */
	readonly onMessage: (from: string, message: PoolMessage) => void;
	/** The newest stream of an entry VM has broken. */
	readonly onLost: (name: string) => void;
	/** Messages can be sent to an entry VM from now on; those sent before on an earlier stream may be lost. */
	readonly onOpen: (name: string) => void;
};

/**
 * Milliseconds without a message after which what comes on a stream is out of date: a cut, or a freeze of this process, has
 * held it up. Twice the longest pause between heartbeats; the other end has opened a new stream by then.
 */
const staleMs = 800;

type Inbound = ServerDuplexStream<PoolBatch, PoolReceipt>;

/** All streams of one entry VM. */
export class PoolMesh {
	readonly #options: PoolMeshOptions;
	readonly #server = new Server(poolChannelOptions);
	/** Links by address. */
	readonly #links = new Map<string, PoolLink>();
	readonly #addresses = new Map<string, string>();
	/** The newest stream that each entry VM has opened to this one. */
	readonly #inbound = new Map<string, Inbound>();

	constructor(options: PoolMeshOptions) {
		this.#options = options;
		this.#server.addService(poolService, {
			exchange: (stream: Inbound) => {
				this.#serve(stream);
			},
		});
	}

	/** Listens. Rejects when the address cannot be bound. */
	async listen(): Promise<void> {
		await bindServer(this.#server, this.#options.address);
	}

	/** Links to exactly these addresses, the own one left out. */
	linkTo(addresses: readonly string[]): void {
		const wanted = new Set(addresses);
		wanted.delete(this.#options.address);
		for (const [address, link] of this.#links) {
			if (!wanted.has(address)) {
				link.close();
				this.#links.delete(address);
			}
		}

		for (const address of wanted) {
			if (!this.#links.has(address)) {
				this.#links.set(
					address,
					new PoolLink(
						address,
						() => {
							this.#opened(address);
						},
						this.#options.now,
					),
				);
			}
		}
	}

	/** Sends a heartbeat on every link whose address is chosen. */
	beat(
		message: PoolMessage,
		isChosen: (address: string) => boolean,
		now: number,
	): void {
		for (const link of this.#links.values()) {
			if (isChosen(link.address)) {
				link.beat(message, now);
			}
		}
	}

	/** Sends a message to an entry VM; returns false when there is no working stream. */
	send(name: string, message: PoolMessage): boolean {
		return this.#linkTo(name)?.send(message) ?? false;
	}

	/** Whether messages can be sent to an entry VM. */
	isOpen(name: string): boolean {
		return this.#linkTo(name)?.isOpen ?? false;
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.close();
		}

		this.#links.clear();
		this.#server.forceShutdown();
	}

	#opened(address: string): void {
		const name = [...this.#addresses].find(
			([, other]) => other === address,
		)?.[0];
		if (name !== undefined) {
			this.#options.onOpen(name);
		}
	}

	#linkTo(name: string): PoolLink | undefined {
		const address = this.#addresses.get(name);
		return address === undefined ? undefined : this.#links.get(address);
	}

	#serve(stream: Inbound): void {
		let name: string | undefined;
		let heardAtMs = this.#options.now();
		stream.on('data', (batch: PoolBatch) => {
			const now = this.#options.now();
			if (now - heardAtMs > staleMs) {
				ended();
				stream.end();
				return;
			}

			heardAtMs = now;
			for (const message of batch) {
				if (message.type === 'heartbeat') {
					name = message.heartbeat.name;
					this.#inbound.set(name, stream);
					this.#addresses.set(name, message.heartbeat.address);
					if (!stream.writableEnded && !stream.cancelled) {
						stream.write({isAlive: true});
					}
				}

				if (name !== undefined) {
					this.#options.onMessage(name, message);
				}
			}
		});
		const ended = () => {
			if (name !== undefined && this.#inbound.get(name) === stream) {
				this.#inbound.delete(name);
				this.#options.onLost(name);
			}
		};

		stream.on('error', () => {
			ended();
			stream.end();
		});
		stream.on('cancelled', ended);
		stream.on('end', () => {
			ended();
			stream.end();
		});
	}
}
