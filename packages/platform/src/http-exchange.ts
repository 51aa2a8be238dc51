/** One HTTP/1.1 exchange with a time limit that destroys the connection: a silent one must not be used again. */
import {EventEmitter} from 'node:events';
import {Pool, errors} from 'undici';

/** An answer, or why there is none. */
export type Exchange =
	| {readonly kind: 'answered'; readonly status: number; readonly body: Buffer}
	/** No connection could be opened, so nothing was sent. */
	| {readonly kind: 'not-sent'; readonly message: string}
	/** The request may have been carried out, or may still be. */
	| {readonly kind: 'silent'; readonly message: string};

/** A request. */
export type ExchangeRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string | Buffer;
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
		// An emitter is a signal too, and costs a tenth of an AbortController.
		const abort = new EventEmitter();
		let isTimedOut = false;
		const timer = setTimeout(() => {
			isTimedOut = true;
			abort.emit('abort');
		}, request.timeoutMs);
		try {
			const response = await this.#pool.request({
				method: request.method,
				path: request.path,
				headers: request.headers ?? {},
				body: request.body ?? null,
				signal: abort,
			});
			const body = Buffer.from(await response.body.arrayBuffer());
			return {kind: 'answered', status: response.statusCode, body};
		} catch (error: unknown) {
			const message = isTimedOut
				? `no answer within ${request.timeoutMs} ms`
				: String(error);
			return {kind: isNotSent(error) ? 'not-sent' : 'silent', message};
		} finally {
			clearTimeout(timer);
		}
	}

	/** Closes all connections at once. */
	close(): void {
		void this.#pool.destroy();
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
