import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

const loopback = '127.0.0.1';

/** Reset of the client's side of one connection in the course of a request. */
export type RequestReset = {
	/** Request bytes since the last response after which the connection is reset. */
	readonly afterBytes: number;
	/** Whether the chunk that reaches `afterBytes` is forwarded to the upstream. */
	readonly isForwarded: boolean;
};

/**
 * TCP proxy on loopback that injects network faults in front of one port. Faults apply until
 * {@link TcpProxy.clearFaults}, unless documented otherwise.
 */
export class TcpProxy {
	/** Starts a proxy in front of a loopback port, on a port that the system assigns. */
	static async listen(upstreamPort: number): Promise<TcpProxy> {
		const proxy = new TcpProxy(upstreamPort);
		await proxy.#listen(0);
		return proxy;
	}

	/** Milliseconds by which every chunk is delayed, in both directions. */
	delayMs = 0;
	/** Sent once per request, byte for byte, instead of the response of the upstream. */
	replacementResponse: string | undefined;
	/** Whether new connections are accepted and never forward any data, not even after {@link clearFaults}. */
	isSilent = false;
	readonly #upstreamPort: number;
	readonly #server: Server;
	readonly #connections = new Set<ProxiedConnection>();
	#port = 0;
	#acceptedConnectionCount = 0;
	#pendingReset: RequestReset | undefined;
	/** Set while two responses are to be swapped; holds the first of them once it has arrived. */
	#pendingSwap:
		| {firstResponse?: {connection: ProxiedConnection; chunk: Uint8Array}}
		| undefined;

	private constructor(upstreamPort: number) {
		this.#upstreamPort = upstreamPort;
		this.#server = createServer({allowHalfOpen: true}, (client) => {
			this.#accept(client);
		});
	}

	/** Port that the proxy listens on; it stays the same across {@link isolate} and {@link clearFaults}. */
	get port(): number {
		return this.#port;
	}

	/** Number of connections accepted since the start. */
	get acceptedConnectionCount(): number {
		return this.#acceptedConnectionCount;
	}

	/** Number of connections that are open and not silent. */
	get activeConnectionCount(): number {
		return [...this.#connections].filter(({isSilent}) => !isSilent).length;
	}

	/** Resets all open connections on both sides; new connections are not affected. */
	resetOpenConnections(): void {
		for (const connection of this.#connections) {
			connection.reset();
		}
	}

	/** Drops all data of the open connections from now on without closing them; new connections are not affected. */
	silenceOpenConnections(): void {
		for (const connection of this.#connections) {
			connection.isSilent = true;
		}
	}

	/** Drops all data of the open connections, and of new ones that are opened before {@link clearFaults}. */
	silenceAllConnections(): void {
		this.isSilent = true;
		this.silenceOpenConnections();
	}

	/** Drops all data of the open connections, and refuses new ones until {@link clearFaults}. */
	async isolate(): Promise<void> {
		this.silenceOpenConnections();
		await this.#stopListening();
	}

	/** Resets one connection: the next whose current request reaches `afterBytes`. */
	resetNextRequest(reset: RequestReset): void {
		this.#pendingReset = reset;
	}

	/** Swaps the next two responses that arrive on different connections. */
	swapNextResponses(): void {
		this.#pendingSwap = {};
	}

	/** Resets the open connections, and refuses new ones until {@link clearFaults}. */
	async refuseConnections(): Promise<void> {
		this.resetOpenConnections();
		await this.#stopListening();
	}

	/** Clears all faults and listens again; connections that went silent stay silent. */
	async clearFaults(): Promise<void> {
		this.isSilent = false;
		this.delayMs = 0;
		this.replacementResponse = undefined;
		this.#pendingReset = undefined;
		this.#pendingSwap = undefined;
		if (!this.#server.listening) {
			await this.#listen(this.#port);
		}
	}

	/** Stops listening and resets all connections. */
	async close(): Promise<void> {
		await this.refuseConnections();
	}

	/** Returns and clears the pending reset if a request of `requestBytes` bytes has reached it. */
	consumeReset(requestBytes: number): RequestReset | undefined {
		const reset = this.#pendingReset;
		if (reset === undefined || requestBytes < reset.afterBytes) {
			return undefined;
		}

		this.#pendingReset = undefined;
		return reset;
	}

	/** Writes a response to the client of its connection, or to that of the connection that it is swapped with. */
	relayResponse(connection: ProxiedConnection, chunk: Uint8Array): void {
		const swap = this.#pendingSwap;
		if (swap === undefined || swap.firstResponse?.connection === connection) {
			connection.writeToClient(chunk);
		} else if (swap.firstResponse === undefined) {
			swap.firstResponse = {connection, chunk};
		} else {
			this.#pendingSwap = undefined;
			connection.writeToClient(swap.firstResponse.chunk);
			swap.firstResponse.connection.writeToClient(chunk);
		}
	}

	#accept(client: Socket): void {
		this.#acceptedConnectionCount += 1;
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

	/** Stops listening; open connections are not affected. */
	async #stopListening(): Promise<void> {
		if (this.#server.listening) {
			this.#server.close();
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		}
	}

	/** Listens on a port; 0 lets the system assign one. */
	async #listen(port: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(port, loopback, resolve);
		});
		this.#port = (this.#server.address() as AddressInfo).port;
	}
}

/** Connection of a client through the proxy, with its connection to the upstream. */
class ProxiedConnection {
	/** Whether all data and ends are dropped in both directions. */
	isSilent = false;
	onClosed: (() => void) | undefined;
	readonly #proxy: TcpProxy;
	readonly #client: Socket;
	readonly #upstream: Socket;
	readonly #delayedSteps: Array<() => void> = [];
	/** Bytes from the client since the last response. */
	#requestBytes = 0;
	#isResponseReplaced = false;

	constructor(proxy: TcpProxy, client: Socket, upstream: Socket) {
		this.#proxy = proxy;
		this.#client = client;
		this.#upstream = upstream;
		client.on('data', (chunk) => {
			this.#runDelayed(() => {
				this.#relayRequest(chunk);
			});
		});
		upstream.on('data', (chunk) => {
			this.#runDelayed(() => {
				this.#relayResponse(chunk);
			});
		});
		this.#relayEnd(client, upstream);
		this.#relayEnd(upstream, client);
	}

	/** Resets both sides. */
	reset(): void {
		this.#client.resetAndDestroy();
		this.#upstream.resetAndDestroy();
		this.onClosed?.();
	}

	/** Writes to the client unless the connection is silent. */
	writeToClient(chunk: Uint8Array | string): void {
		if (!this.isSilent) {
			this.#client.write(chunk);
		}
	}

	#relayRequest(chunk: Uint8Array): void {
		if (this.isSilent) {
			return;
		}

		this.#isResponseReplaced = false;
		this.#requestBytes += chunk.length;
		const reset = this.#proxy.consumeReset(this.#requestBytes);
		if (reset === undefined || reset.isForwarded) {
			this.#upstream.write(chunk);
		}

		if (reset !== undefined) {
			// The upstream's side stays open, so that the upstream serves the request that it received.
			this.isSilent = true;
			this.#client.resetAndDestroy();
		}
	}

	#relayResponse(chunk: Uint8Array): void {
		this.#requestBytes = 0;
		const replacement = this.#proxy.replacementResponse;
		if (replacement === undefined) {
			this.#proxy.relayResponse(this, chunk);
		} else if (!this.#isResponseReplaced) {
			this.#isResponseReplaced = true;
			this.writeToClient(replacement);
		}
	}

	/**
	 * Relays an end of one side to the other, resets both on an error unless the connection is silent, and calls
	 * `onClosed` when both have closed.
	 */
	#relayEnd(from: Socket, to: Socket): void {
		from.on('end', () => {
			this.#runDelayed(() => {
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

	/** Runs a step after the proxy's delay; steps keep their order when the delay changes between them. */
	#runDelayed(step: () => void): void {
		if (this.#proxy.delayMs === 0 && this.#delayedSteps.length === 0) {
			step();
			return;
		}

		this.#delayedSteps.push(step);
		setTimeout(() => {
			this.#delayedSteps.shift()?.();
		}, this.#proxy.delayMs);
	}
}
