/** The bounded connections to one target. */
import {Client} from 'undici';
import {BoundedExchange, type TargetExchange} from './target-exchange.js';

const probeAnswerBytes = 65_536;

/** Settings of the connections to one target. */
export type TargetConnectionsOptions = {
	/** Connections at most. Replaced ones that still wait for an answer come on top, until their deadlines. */
	readonly connections: number;
	/** Milliseconds to wait for a connection to open. */
	readonly connectTimeoutMs: number;
	/** Milliseconds for which a connection may be idle and unheard before it is probed. */
	readonly probeIntervalMs: number;
	/** Milliseconds without an answer to a probe after which all connections are replaced. */
	readonly probeTimeoutMs: number;
	/** Milliseconds for which an idle connection is kept. */
	readonly keepAliveMs: number;
	/** Present time in milliseconds. */
	readonly clock: () => number;
	/** Called when no connection is left. */
	readonly onUnused: () => void;
};

type Connection = {
	readonly client: Client;
	readonly generation: number;
	heardAtMs: number;
};

/**
 * The connections to one target, each with one request at a time. The one that was heard of last is used first. Idle
 * ones are probed in turn; one silent connection replaces them all, since whatever lost track of it lost more.
 */
export class TargetConnections {
	readonly #address: string;
	readonly #options: TargetConnectionsOptions;
	readonly #waiting: TargetExchange[] = [];
	readonly #open = new Set<Connection>();
	/** Connections of earlier generations that still wait for an answer. */
	readonly #replaced = new Set<Connection>();
	readonly #probeTimer: NodeJS.Timeout;
	#idle: Connection[] = [];
	#generation = 0;
	#isClosed = false;
	#isProbing = false;

	constructor(address: string, options: TargetConnectionsOptions) {
		this.#address = address;
		this.#options = options;
		this.#probeTimer = setInterval(() => {
			this.#probe();
		}, options.probeIntervalMs);
		this.#probeTimer.unref();
	}

	/** Times that all connections were replaced since one of them was silent. */
	get replacements(): number {
		return this.#generation;
	}

	/** Sends a request on a free connection, or queues it for the next one. */
	dispatch(exchange: TargetExchange): void {
		const connection = this.#take();
		if (connection === undefined) {
			this.#waiting.push(exchange);
		} else {
			this.#send(exchange, connection);
		}
	}

	/** Closes all connections; requests that wait for an answer fail. */
	async close(): Promise<void> {
		this.#isClosed = true;
		clearInterval(this.#probeTimer);
		const connections = [...this.#open, ...this.#replaced];
		this.#open.clear();
		this.#replaced.clear();
		this.#idle = [];
		await Promise.all(connections.map(async ({client}) => client.destroy()));
		for (const exchange of this.#waiting.splice(0)) {
			exchange.onResponseError?.(
				undefined as never,
				new Error('the connections were closed'),
			);
		}
	}

	#take(): Connection | undefined {
		const idle = this.#idle.pop();
		if (idle !== undefined) {
			return idle;
		}

		return this.#open.size < this.#options.connections
			? this.#add()
			: undefined;
	}

	#add(): Connection {
		const connection: Connection = {
			client: new Client(this.#address, {
				pipelining: 1,
				connect: {timeout: this.#options.connectTimeoutMs},
				// Each exchange keeps its own time.
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
		exchange.onFree = () => {
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

		const next = this.#nextWaiting();
		if (next === undefined) {
			this.#idle.push(connection);
		} else {
			this.#send(next, connection);
		}
	}

	#nextWaiting(): TargetExchange | undefined {
		const index = this.#waiting.findIndex(({isWanted}) => isWanted);
		return this.#waiting.splice(
			0,
			index === -1 ? this.#waiting.length : index + 1,
		)[index];
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

	#probe(): void {
		if (this.#open.size + this.#replaced.size + this.#waiting.length === 0) {
			this.#options.onUnused();
			return;
		}

		const [oldest] = this.#idle.toSorted((a, b) => a.heardAtMs - b.heardAtMs);
		const unheardSince = this.#options.clock() - this.#options.probeIntervalMs;
		if (
			this.#isProbing ||
			oldest === undefined ||
			oldest.heardAtMs > unheardSince
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
						this.#replace();
					}
				},
			},
		);
		this.#send(probe, oldest);
	}

	#replace(): void {
		this.#generation += 1;
		for (const connection of this.#idle.splice(0)) {
			this.#drop(connection);
		}

		for (const connection of this.#open) {
			this.#replaced.add(connection);
		}

		this.#open.clear();
		for (const exchange of this.#waiting.splice(0)) {
			this.dispatch(exchange);
		}
	}
}
