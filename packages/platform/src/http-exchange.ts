import {Buffer} from 'node:buffer';
import {
	Agent,
	request as openRequest,
	type ClientRequest,
	type IncomingMessage,
} from 'node:http';

/** The response to a request, or why there is none. */
export type HttpExchangeOutcome =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly body: Uint8Array;
	  }
	/** The request was not sent, so it has had no effect. */
	| {
			readonly kind: 'not-sent';
			readonly message: string;
			/** Whether the host has refused the connection, as no process listens on the port. */
			readonly isRefused: boolean;
			/** Whether `maySend` has kept the request back. */
			readonly isOutdated?: boolean;
	  }
	/** No complete response: the request may have been executed, or may still be executed. */
	| {readonly kind: 'silent'; readonly message: string};

/** An HTTP request and its timeout. */
export type HttpExchangeRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
	/**
	 * Timeout in milliseconds from the end of the present turn of the event loop, after which the connection is destroyed. It
	 * is extended while the connection is being opened.
	 */
	readonly timeoutMs: number;
	/**
	 * Called when the request is about to leave, on an open connection; if it returns false, the request is not sent. Nothing
	 * of the request reaches the connection before.
	 */
	readonly maySend?: () => boolean;
	/** Keeps the connection open after the timeout, and handles a response that comes within `forMs` milliseconds. */
	readonly late?: {
		readonly forMs: number;
		readonly handleResponse: (
			response: Extract<HttpExchangeOutcome, {kind: 'answered'}>,
		) => void;
	};
};

/**
 * Least time that a request waits for its connection, also if its timeout is shorter. A host on the same network that takes
 * longer is down or unreachable.
 */
const minConnectTimeoutMs = 150;

/**
 * HTTP/1.1 client for one host. It uses `node:http` because that loads and warms up faster than undici, which shortens a
 * restart.
 */
export class HttpHostClient {
	readonly #agent: Agent;
	readonly #host: string;
	readonly #port: string;

	/** `address` is `host:port`. */
	constructor(address: string, maxConnections: number) {
		[this.#host = '', this.#port = ''] = address.split(':');
		this.#agent = new Agent({
			keepAlive: true,
			maxSockets: maxConnections,
			scheduling: 'lifo',
		});
	}

	/**
	 * Sends a request and reads the whole response; never rejects. A timeout destroys the connection, as a connection that
	 * has not responded must not be reused.
	 */
	async exchange(
		exchangeRequest: HttpExchangeRequest,
	): Promise<HttpExchangeOutcome> {
		const {method, path, headers, body, timeoutMs, maySend, late} =
			exchangeRequest;
		return new Promise((resolve) => {
			let clientRequest: ClientRequest;
			try {
				clientRequest = openRequest({
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
			} catch (error: unknown) {
				// Node throws on a port or a header value that cannot be sent; both may come from records of other programs.
				resolve({
					kind: 'not-sent',
					message: String(error),
					isRefused: false,
				});
				return;
			}

			const pendingExchange = new PendingExchange(
				clientRequest,
				{body, timeoutMs, maySend, late},
				resolve,
			);
			pendingExchange.attachListeners();
		});
	}

	/** Destroys all connections; requests in progress fail. */
	close(): void {
		this.#agent.destroy();
	}
}

/** A request in progress. */
class PendingExchange {
	readonly #request: ClientRequest;
	readonly #timeoutMs: number;
	readonly #body: HttpExchangeRequest['body'];
	readonly #maySend: (() => boolean) | undefined;
	readonly #late: HttpExchangeRequest['late'] | undefined;
	readonly #resolve: (exchange: HttpExchangeOutcome) => void;
	readonly #startedAtMs = performance.now();
	#timer: NodeJS.Timeout | undefined;
	/** Whether the request may have been sent, as its connection has been open. */
	#mayBeSent = false;
	#isSettled = false;

	constructor(
		request: ClientRequest,
		{
			body,
			timeoutMs,
			maySend,
			late,
		}: {
			readonly body: HttpExchangeRequest['body'];
			readonly timeoutMs: number;
			readonly maySend: (() => boolean) | undefined;
			readonly late: HttpExchangeRequest['late'] | undefined;
		},
		resolve: (exchange: HttpExchangeOutcome) => void,
	) {
		this.#request = request;
		this.#timeoutMs = timeoutMs;
		this.#body = body;
		this.#maySend = maySend;
		this.#late = late;
		this.#resolve = resolve;
		// A process that is busy until the end of this turn sends the request only then.
		setImmediate(() => {
			if (!this.#isSettled) {
				this.#timer = this.#startTimer(timeoutMs);
			}
		});
	}

	attachListeners(): void {
		this.#request.on('socket', (socket) => {
			if (socket.connecting) {
				socket.once('connect', () => {
					this.#send();
				});
			} else {
				this.#send();
			}
		});
		this.#request.on('response', (response) => {
			this.#readResponse(response);
		});
		this.#request.on('error', (error: NodeJS.ErrnoException) => {
			this.#settleWithoutResponse(String(error), error.code === 'ECONNREFUSED');
		});
	}

	/** Sends the request, unless it is outdated: this process may have been busy since it was made. */
	#send(): void {
		if (this.#isSettled) {
			return;
		}

		if (this.#maySend?.() === false) {
			this.#settle({
				kind: 'not-sent',
				message: 'outdated',
				isRefused: false,
				isOutdated: true,
			});
			this.#request.destroy();
			return;
		}

		this.#mayBeSent = true;
		this.#request.end(this.#body);
	}

	#startTimer(delayMs: number): NodeJS.Timeout {
		return setTimeout(() => {
			// A busy event loop runs overdue timers before it reads its sockets, so the response may have arrived already.
			setImmediate(() => {
				setImmediate(() => {
					this.#handleTimeout();
				});
			});
		}, delayMs);
	}

	#readResponse(response: IncomingMessage): void {
		const chunks: Uint8Array[] = [];
		response.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		response.on('end', () => {
			const [first] = chunks;
			this.#settleWithResponse({
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

	#handleTimeout(): void {
		if (this.#isSettled) {
			return;
		}

		const waitedMs = performance.now() - this.#startedAtMs;
		const isConnecting = this.#request.socket?.connecting === true;
		if (isConnecting && waitedMs < minConnectTimeoutMs) {
			this.#timer = this.#startTimer(this.#timeoutMs);
			return;
		}

		const message = `no response within ${Math.round(waitedMs)} ms`;
		// If the request still waits for a connection, `destroy` removes it from the agent's queue, so it is never sent.
		this.#settleWithoutResponse(message, false);
		if (this.#late === undefined || !this.#mayBeSent) {
			this.#request.destroy();
			return;
		}

		this.#timer = setTimeout(() => {
			this.#request.destroy();
		}, this.#late.forMs);
	}

	#settleWithResponse(
		response: Extract<HttpExchangeOutcome, {kind: 'answered'}>,
	): void {
		if (this.#isSettled) {
			clearTimeout(this.#timer);
			this.#late?.handleResponse(response);
			return;
		}

		this.#settle(response);
	}

	#settleWithoutResponse(message: string, isRefused: boolean): void {
		this.#settle(
			this.#mayBeSent
				? {kind: 'silent', message}
				: {kind: 'not-sent', message, isRefused},
		);
	}

	#settle(exchange: HttpExchangeOutcome): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			clearTimeout(this.#timer);
			this.#resolve(exchange);
		}
	}
}
