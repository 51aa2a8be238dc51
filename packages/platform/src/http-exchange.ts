/** One HTTP/1.1 exchange with a time limit that destroys the connection: a silent one must not be used again. */
import {Buffer} from 'node:buffer';
import {
	Agent,
	request as openRequest,
	type ClientRequest,
	type IncomingMessage,
} from 'node:http';

/** An answer, or why there is none. */
export type Exchange =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly body: Uint8Array;
	  }
	/** No connection could be opened, so nothing was sent. */
	| {readonly kind: 'not-sent'; readonly message: string}
	/** The request may have been carried out, or may still be. */
	| {readonly kind: 'silent'; readonly message: string};

/** A request. */
export type ExchangeRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
	/** Milliseconds after which the request is given up and its connection closed. */
	readonly timeoutMs: number;
};

/** Longest wait for a connection; a host on the same network that does not answer within it is down or cut off. */
const connectTimeoutMs = 150;

/** Connections to one host. The built-in client loads and warms up faster than undici, which counts after a restart. */
export class HttpHost {
	readonly #agent: Agent;
	readonly #host: string;
	readonly #port: string;

	constructor(address: string, connections: number) {
		[this.#host = '', this.#port = ''] = address.split(':');
		this.#agent = new Agent({
			keepAlive: true,
			maxSockets: connections,
			scheduling: 'lifo',
		});
	}

	/** Sends a request and reads the whole answer. It never rejects. */
	async exchange(exchangeRequest: ExchangeRequest): Promise<Exchange> {
		const {method, path, headers, body, timeoutMs} = exchangeRequest;
		return new Promise((resolve) => {
			const sent = openRequest({
				agent: this.#agent,
				host: this.#host,
				port: this.#port,
				method,
				path,
				headers: {
					...headers,
					...(body === undefined
						? {}
						: {'content-length': Buffer.byteLength(body)}),
				},
			});
			const exchange = new OpenExchange(sent, timeoutMs, resolve);
			exchange.watch();
			sent.end(body);
		});
	}

	/** Closes all connections at once. */
	close(): void {
		this.#agent.destroy();
	}
}

/** One request that waits for its answer. */
class OpenExchange {
	readonly #request: ClientRequest;
	readonly #timeoutMs: number;
	readonly #resolve: (exchange: Exchange) => void;
	readonly #startedAtMs = performance.now();
	#timer: NodeJS.Timeout;
	/** Whether the request may have left: its connection has been open. */
	#isSent = false;
	#isSettled = false;

	constructor(
		request: ClientRequest,
		timeoutMs: number,
		resolve: (exchange: Exchange) => void,
	) {
		this.#request = request;
		this.#timeoutMs = timeoutMs;
		this.#resolve = resolve;
		this.#timer = this.#startTimer(timeoutMs);
	}

	watch(): void {
		this.#request.on('socket', (socket) => {
			if (socket.connecting) {
				socket.once('connect', () => {
					this.#isSent = true;
				});
			} else {
				this.#isSent = true;
			}
		});
		this.#request.on('response', (response) => {
			this.#read(response);
		});
		this.#request.on('error', (error) => {
			this.#settle({
				kind: this.#isSent ? 'silent' : 'not-sent',
				message: String(error),
			});
		});
	}

	#startTimer(delayMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			// A busy process runs late timers before it reads what has come: the answer may be there already.
			setImmediate(() => {
				setImmediate(() => {
					this.#timedOut();
				});
			});
		}, delayMs);
	}

	#read(response: IncomingMessage): void {
		const chunks: Uint8Array[] = [];
		response.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		response.on('end', () => {
			const [first] = chunks;
			this.#settle({
				kind: 'answered',
				status: response.statusCode ?? 0,
				body:
					chunks.length === 1 && first !== undefined
						? first
						: Buffer.concat(chunks),
			});
		});
		response.on('error', (error) => {
			this.#settle({kind: 'silent', message: String(error)});
		});
	}

	#timedOut(): void {
		if (this.#isSettled) {
			return;
		}

		const waitedMs = performance.now() - this.#startedAtMs;
		const isConnecting = this.#request.socket?.connecting === true;
		if (isConnecting && waitedMs < connectTimeoutMs) {
			this.#timer = this.#startTimer(this.#timeoutMs);
			return;
		}

		const message = `no answer within ${Math.round(waitedMs)} ms`;
		// What still waits for a connection is taken off its agent's list, and never sent.
		this.#settle({kind: this.#isSent ? 'silent' : 'not-sent', message});
		this.#request.destroy();
	}

	#settle(exchange: Exchange): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			clearTimeout(this.#timer);
			this.#resolve(exchange);
		}
	}
}
