/** A TCP proxy on loopback that brings about faults of a network on request. */
import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

const loopback = '127.0.0.1';

/** Resets the client's side of one connection once its request has passed. */
export type RequestReset = {
	/** Bytes from the client after which the connection is reset. */
	readonly afterBytes: number;
	/** Whether the upstream gets these bytes. */
	readonly isForwarded: boolean;
};

/** A proxy in front of one port. Faults apply until they are taken back, unless they say otherwise. */
export class TcpProxy {
	/** Starts a proxy in front of a port of loopback. */
	static async listen(upstreamPort: number): Promise<TcpProxy> {
		const proxy = new TcpProxy(upstreamPort);
		await proxy.#listen(0);
		return proxy;
	}

	/** Milliseconds by which every chunk is delayed, in both directions. */
	delayMs = 0;
	/** Sent instead of each answer of the upstream; the bytes are sent as they are. */
	replacementAnswer: string | undefined;
	/** New connections are accepted, and nothing passes on them, ever. */
	isSilent = false;
	readonly #upstreamPort: number;
	readonly #server: Server;
	readonly #connections = new Set<ProxiedConnection>();
	#port = 0;
	#accepted = 0;
	#reset: RequestReset | undefined;
	#swap:
		{answer?: {connection: ProxiedConnection; chunk: Uint8Array}} | undefined;

	private constructor(upstreamPort: number) {
		this.#upstreamPort = upstreamPort;
		this.#server = createServer({allowHalfOpen: true}, (client) => {
			this.#accept(client);
		});
	}

	/** Port that the proxy listens on. */
	get port(): number {
		return this.#port;
	}

	/** Connections accepted since the start. */
	get accepted(): number {
		return this.#accepted;
	}

	/** Connections that are open and not silent. */
	get working(): number {
		return [...this.#connections].filter(({isSilent}) => !isSilent).length;
	}

	/** Resets all open connections on both sides; new ones work. */
	resetOpen(): void {
		for (const connection of this.#connections) {
			connection.reset();
		}
	}

	/** Nothing passes any more on the connections that are open now, and neither end is told; new ones work. */
	silenceOpen(): void {
		for (const connection of this.#connections) {
			connection.isSilent = true;
		}
	}

	/** Nothing passes on any connection, new ones included, until {@link heal}. */
	silenceAll(): void {
		this.isSilent = true;
		this.silenceOpen();
	}

	/** Nothing passes on the open connections any more, and new ones are refused, until {@link heal}. */
	async cutOff(): Promise<void> {
		this.silenceOpen();
		await this.#stopListening();
	}

	/** Resets one connection, the first on which that many bytes come from its client from now on. */
	resetNextRequest(reset: RequestReset): void {
		this.#reset = reset;
	}

	/** Exchanges the next two answers that come on different connections. */
	swapNextAnswers(): void {
		this.#swap = {};
	}

	/** Refuses new connections and resets those that are open. */
	async refuse(): Promise<void> {
		this.resetOpen();
		await this.#stopListening();
	}

	/** Takes back every fault. A connection that went silent stays silent. */
	async heal(): Promise<void> {
		this.isSilent = false;
		this.delayMs = 0;
		this.replacementAnswer = undefined;
		this.#reset = undefined;
		this.#swap = undefined;
		if (!this.#server.listening) {
			await this.#listen(this.#port);
		}
	}

	/** Closes the proxy and all its connections. */
	async close(): Promise<void> {
		await this.refuse();
	}

	/** Takes the reset that is due on a connection after so many bytes from its client. */
	takeReset(bytes: number): RequestReset | undefined {
		const reset = this.#reset;
		if (reset === undefined || bytes < reset.afterBytes) {
			return undefined;
		}

		this.#reset = undefined;
		return reset;
	}

	/** Passes an answer on, or to the connection that it is exchanged with. */
	answer(connection: ProxiedConnection, chunk: Uint8Array): void {
		const swap = this.#swap;
		if (swap === undefined || swap.answer?.connection === connection) {
			connection.toClient(chunk);
		} else if (swap.answer === undefined) {
			swap.answer = {connection, chunk};
		} else {
			this.#swap = undefined;
			connection.toClient(swap.answer.chunk);
			swap.answer.connection.toClient(chunk);
		}
	}

	#accept(client: Socket): void {
		this.#accepted += 1;
		const connection = new ProxiedConnection(
			this,
			client,
			connect({
				host: loopback,
				port: this.#upstreamPort,
				allowHalfOpen: true,
			}),
		);
		connection.isSilent = this.isSilent;
		this.#connections.add(connection);
		connection.onClosed = () => {
			this.#connections.delete(connection);
		};
	}

	/** Stops listening. The connections that are open go on. */
	async #stopListening(): Promise<void> {
		if (this.#server.listening) {
			this.#server.close();
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		}
	}

	async #listen(port: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(port, loopback, resolve);
		});
		this.#port = (this.#server.address() as AddressInfo).port;
	}
}

/** One connection through a proxy. */
class ProxiedConnection {
	isSilent = false;
	onClosed: (() => void) | undefined;
	readonly #proxy: TcpProxy;
	readonly #client: Socket;
	readonly #upstream: Socket;
	readonly #delayed: Array<() => void> = [];
	#requestBytes = 0;
	#isReplaced = false;

	constructor(proxy: TcpProxy, client: Socket, upstream: Socket) {
		this.#proxy = proxy;
		this.#client = client;
		this.#upstream = upstream;
		client.on('data', (chunk) => {
			this.#later(() => {
				this.#fromClient(chunk);
			});
		});
		upstream.on('data', (chunk) => {
			this.#later(() => {
				this.#fromUpstream(chunk);
			});
		});
		this.#passOnEnd(client, upstream);
		this.#passOnEnd(upstream, client);
	}

	reset(): void {
		this.#client.resetAndDestroy();
		this.#upstream.resetAndDestroy();
		this.onClosed?.();
	}

	toClient(chunk: Uint8Array | string): void {
		if (!this.isSilent) {
			this.#client.write(chunk);
		}
	}

	#fromClient(chunk: Uint8Array): void {
		if (this.isSilent) {
			return;
		}

		this.#isReplaced = false;
		this.#requestBytes += chunk.length;
		const reset = this.#proxy.takeReset(this.#requestBytes);
		if (reset === undefined || reset.isForwarded) {
			this.#upstream.write(chunk);
		}

		if (reset !== undefined) {
			// The upstream's side stays open, so that the upstream serves the request that it got.
			this.isSilent = true;
			this.#client.resetAndDestroy();
		}
	}

	#fromUpstream(chunk: Uint8Array): void {
		this.#requestBytes = 0;
		const replacement = this.#proxy.replacementAnswer;
		if (replacement === undefined) {
			this.#proxy.answer(this, chunk);
		} else if (!this.#isReplaced) {
			this.#isReplaced = true;
			this.toClient(replacement);
		}
	}

	#passOnEnd(from: Socket, to: Socket): void {
		from.on('end', () => {
			this.#later(() => {
				if (!this.isSilent) {
					to.end();
				}
			});
		});
		from.on('error', () => {
			if (!this.isSilent) {
				this.reset();
			}
		});
		from.on('close', () => {
			if (this.#client.destroyed && this.#upstream.destroyed) {
				this.onClosed?.();
			}
		});
	}

	/** Runs a step after the proxy's delay. Steps keep their order, also when the delay changes in between. */
	#later(step: () => void): void {
		if (this.#proxy.delayMs === 0 && this.#delayed.length === 0) {
			step();
			return;
		}

		this.#delayed.push(step);
		setTimeout(() => {
			this.#delayed.shift()?.();
		}, this.#proxy.delayMs);
	}
}
