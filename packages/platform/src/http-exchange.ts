/** One HTTP/1.1 exchange with a time limit that destroys the connection: a silent one must not be used again. */
import {Buffer} from 'node:buffer';
import {Pool, errors, type Dispatcher} from 'undici';

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

/** Longest wait for a connection; a host that does not answer within it is down or cut off. */
const connectTimeoutMs = 500;
const keepAliveMs = 60_000;
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Connections to one host. */
export class HttpHost {
	readonly #pool: Pool;

	constructor(address: string, connections: number) {
		this.#pool = new Pool(`http://${address}`, {
			connections,
			pipelining: 1,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: keepAliveMs,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: {timeout: connectTimeoutMs},
		});
	}

	/** Sends a request and reads the whole answer. It never rejects. */
	async exchange(request: ExchangeRequest): Promise<Exchange> {
		return new Promise((resolve) => {
			const handler = new ExchangeHandler(request.timeoutMs, resolve);
			this.#pool.dispatch(
				{
					method: request.method,
					path: request.path,
					headers: request.headers ?? {},
					body: request.body ?? null,
				},
				handler,
			);
		});
	}

	/** Closes all connections at once. */
	close(): void {
		void this.#pool.destroy();
	}
}

/** Gathers one answer. The dispatch interface takes half the processor time of `request`. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
	readonly #resolve: (exchange: Exchange) => void;
	readonly #timeoutMs: number;
	readonly #timer: NodeJS.Timeout;
	readonly #chunks: Uint8Array[] = [];
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#isSettled = false;

	constructor(timeoutMs: number, resolve: (exchange: Exchange) => void) {
		this.#resolve = resolve;
		this.#timeoutMs = timeoutMs;
		this.#timer = setTimeout(() => {
			// A busy process runs late timers before it reads what has come: the answer may be there already.
			setImmediate(() => {
				setImmediate(() => {
					this.#timedOut();
				});
			});
		}, timeoutMs);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isSettled) {
			controller.abort(new Error('the request was given up'));
		}
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		statusCode: number,
	): void {
		this.#status = statusCode;
	}

	onResponseData(
		_controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		const [first] = this.#chunks;
		this.#settle({
			kind: 'answered',
			status: this.#status,
			body:
				this.#chunks.length === 1 && first !== undefined
					? first
					: Buffer.concat(this.#chunks),
		});
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.#settle({
			kind:
				this.#controller === undefined || isNotSent(error)
					? 'not-sent'
					: 'silent',
			message: String(error),
		});
	}

	#timedOut(): void {
		const message = `no answer within ${this.#timeoutMs} ms`;
		// Without a controller the request still waits for a connection, and is given up when it would be sent.
		this.#settle({
			kind: this.#controller === undefined ? 'not-sent' : 'silent',
			message,
		});
		this.#controller?.abort(new Error(message));
	}

	#settle(exchange: Exchange): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			clearTimeout(this.#timer);
			this.#resolve(exchange);
		}
	}
}

function isNotSent(error: unknown): boolean {
	return (
		error instanceof errors.ConnectTimeoutError ||
		(error instanceof Error &&
			'code' in error &&
			typeof error.code === 'string' &&
			notSentCodes.has(error.code))
	);
}
