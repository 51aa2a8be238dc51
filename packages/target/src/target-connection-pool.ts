import {Client} from 'undici';
import {BoundedExchange, type TargetExchange} from './target-exchange.js';

const probeAnswerBytes = 65_536;

/** Settings of a `TargetConnectionPool`. */
export type TargetConnectionPoolOptions = {
	/** Maximum number of connections. Replaced ones that still await an answer are not counted; they end by their deadlines. */
	readonly connections: number;
	/** Milliseconds after which an attempt to open a connection fails. */
	readonly connectTimeoutMs: number;
	/** Milliseconds after its last answer at which an idle connection is probed. */
	readonly probeIntervalMs: number;
	/** Milliseconds without an answer to a probe after which all connections are replaced. */
	readonly probeTimeoutMs: number;
	/** Milliseconds after which an idle connection is closed. */
	readonly keepAliveMs: number;
	/** Returns the current time in milliseconds. */
	readonly clock: () => number;
	/** Called when no connection is left and no request is queued. */
	readonly onUnused: () => void;
};

type Connection = {
	readonly client: Client;
	/** Value of the pool's generation when the connection was added. */
	readonly generation: number;
	/** Time at which the connection was added or last became free after a request. */
	heardAtMs: number;
};

/**
 * Connection pool of one target. Each connection carries one request at a time, and the one that became idle last is
 * used first. A timer probes the idle connection with the oldest answer. If the probe times out, all connections are
 * replaced: a host or network device that lost the state of one connection has probably lost that of others too.
 * Requests in flight keep their old connections until they end.
 */
export class TargetConnectionPool {
	readonly #address: string;
	readonly #options: TargetConnectionPoolOptions;
	readonly #queue: TargetExchange[] = [];
	readonly #open = new Set<Connection>();
	/** Connections of earlier generations that still await an answer. */
	readonly #replaced = new Set<Connection>();
	readonly #probeTimer: NodeJS.Timeout;
	#idle: Connection[] = [];
	#generation = 0;
	#isClosed = false;
	#isProbing = false;

	constructor(address: string, options: TargetConnectionPoolOptions) {
		this.#address = address;
		this.#options = options;
		this.#probeTimer = setInterval(() => {
			this.#probeOldestIdle();
		}, options.probeIntervalMs);
		this.#probeTimer.unref();
	}

	/** How often all connections were replaced after a probe without an answer. */
	get replacementCount(): number {
		return this.#generation;
	}

	/** Sends a request on an idle or new connection, or queues it until a connection is free. */
	dispatch(exchange: TargetExchange): void {
		const connection = this.#acquire();
		if (connection === undefined) {
			this.#queue.push(exchange);
		} else {
			this.#send(exchange, connection);
		}
	}

	/** Closes all connections; queued requests and those that await an answer fail. */
	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#probeTimer);
		const connections = [...this.#open, ...this.#replaced];
		this.#open.clear();
		this.#replaced.clear();
		this.#idle = [];
		await Promise.all(connections.map(async ({client}) => client.destroy()));
		for (const exchange of this.#queue.splice(0)) {
			exchange.onResponseError?.(
				undefined as never,
				new Error('the connection pool was closed'),
			);
		}
	}

	#acquire(): Connection | undefined {
		const idle = this.#idle.pop();
		if (idle !== undefined) {
			return idle;
		}

		return this.#open.size < this.#options.connections
			? this.#openConnection()
			: undefined;
	}

	#openConnection(): Connection {
		const connection: Connection = {
			client: new Client(this.#address, {
				pipelining: 1,
				connect: {timeout: this.#options.connectTimeoutMs},
				// Each exchange has its own timeout.
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: this.#options.keepAliveMs,
				keepAliveMaxTimeout: this.#options.keepAliveMs,
			}),
			generation: this.#generation,
			heardAtMs: this.#options.clock(),
		};
		const dropIdle = (): void => {
			this.#dropIdle(connection);
		};

		connection.client.on('disconnect', dropIdle);
		connection.client.on('connectionError', dropIdle);
		this.#open.add(connection);
		return connection;
	}

	#send(exchange: TargetExchange, connection: Connection): void {
		exchange.onConnectionFree = () => {
			connection.heardAtMs = this.#options.clock();
			this.#release(connection);
		};

		connection.client.dispatch(exchange.request(), exchange);
	}

	#release(connection: Connection): void {
		if (this.#isClosed) {
			return;
		}

		if (connection.generation !== this.#generation) {
			this.#drop(connection);
			return;
		}

		const next = this.#dequeue();
		if (next === undefined) {
			this.#idle.push(connection);
		} else {
			this.#send(next, connection);
		}
	}

	#dequeue(): TargetExchange | undefined {
		const index = this.#queue.findIndex(({isPending}) => isPending);
		return this.#queue.splice(0, index === -1 ? this.#queue.length : index + 1)[
			index
		];
	}

	#dropIdle(connection: Connection): void {
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
			this.#drop(connection);
		}
	}

	#drop(connection: Connection): void {
		this.#open.delete(connection);
		this.#replaced.delete(connection);
		void connection.client.destroy();
	}

	#probeOldestIdle(): void {
		if (this.#open.size + this.#replaced.size + this.#queue.length === 0) {
			this.#options.onUnused();
			return;
		}

		const [oldest] = this.#idle.toSorted((a, b) => a.heardAtMs - b.heardAtMs);
		const probeBeforeMs = this.#options.clock() - this.#options.probeIntervalMs;
		if (
			this.#isProbing ||
			oldest === undefined ||
			oldest.heardAtMs > probeBeforeMs
		) {
			return;
		}

		this.#isProbing = true;
		this.#idle.splice(this.#idle.indexOf(oldest), 1);
		const probe = new BoundedExchange(
			() => ({method: 'GET', path: '/health'}),
			{
				timeoutMs: this.#options.probeTimeoutMs,
				answerBytes: probeAnswerBytes,
				withdrawnMs: 0,
				// Any answer shows that the connection works.
				onAnswer: () => {
					this.#isProbing = false;
				},
				onFailure: ({reason}) => {
					this.#isProbing = false;
					if (reason === 'timeout') {
						this.#replaceAll();
					}
				},
			},
		);
		this.#send(probe, oldest);
	}

	#replaceAll(): void {
		this.#generation += 1;
		for (const connection of this.#idle.splice(0)) {
			this.#drop(connection);
		}

		for (const connection of this.#open) {
			this.#replaced.add(connection);
		}

		this.#open.clear();
		for (const exchange of this.#queue.splice(0)) {
			this.dispatch(exchange);
		}
	}
}
