import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';

/** A request to a target and the handler of its answer, as the connection pool uses them. */
export type TargetExchange = Dispatcher.DispatchHandler & {
	/** Builds the request; called when the request is sent on a connection. */
	readonly request: () => Dispatcher.DispatchOptions;
	/** Whether the exchange has not ended yet; a queued request whose exchange has ended is never written. */
	readonly isPending: boolean;
	/** Called when the exchange no longer needs its connection. */
	onConnectionFree: (() => void) | undefined;
};

/** Failure of an exchange that ended without a complete answer. */
export type ExchangeFailure = {
	/** Whether the request may have been written; `false` proves that no byte of it was. */
	readonly mayBeWritten: boolean;
	readonly reason: 'timeout' | 'connection-lost' | 'too-large' | 'cancelled';
	readonly message: string;
};

/** A complete answer. */
export type ExchangeAnswer = {
	readonly status: number;
	readonly headers: Readonly<
		Record<string, string | readonly string[] | undefined>
	>;
	readonly body: string;
};

/** Limits and handlers of an exchange. Exactly one of the two handlers is called, once. */
export type ExchangeOptions = {
	/** Milliseconds without a complete answer after which the exchange fails. */
	readonly timeoutMs: number;
	/** Maximum size of the answer's body, in bytes. */
	readonly answerBytes: number;
	/** Milliseconds for which a cancelled request still awaits its answer, so that its connection can be reused. */
	readonly withdrawnMs: number;
	readonly onAnswer: (answer: ExchangeAnswer) => void;
	readonly onFailure: (failure: ExchangeFailure) => void;
};

/** An exchange with a timeout and a size limit, whose request is written at most once. */
export class BoundedExchange implements TargetExchange {
	onConnectionFree: (() => void) | undefined;
	readonly #options: ExchangeOptions;
	readonly #chunks: Uint8Array[] = [];
	#timer: NodeJS.Timeout;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#headers: ExchangeAnswer['headers'] = {};
	#receivedBytes = 0;
	#isSettled = false;

	constructor(
		readonly request: () => Dispatcher.DispatchOptions,
		options: ExchangeOptions,
	) {
		this.#options = options;
		this.#timer = setTimeout(() => {
			this.#fail('timeout', `no answer within ${options.timeoutMs} ms`);
			this.#abortRequest();
		}, options.timeoutMs);
	}

	get isPending(): boolean {
		return !this.#isSettled;
	}

	/**
	 * Ends the exchange with the reason `cancelled`. If its request may be written already, the connection stays open for
	 * up to `withdrawnMs` to receive the answer, which is ignored.
	 */
	cancel(): void {
		if (this.#isSettled) {
			return;
		}

		this.#fail('cancelled', 'the request was cancelled');
		if (this.#controller !== undefined) {
			this.#timer = setTimeout(() => {
				this.#abortRequest();
			}, this.#options.withdrawnMs);
		}
	}

	/** Called before the connection writes the request. An error thrown here prevents the write. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#controller !== undefined) {
			throw new Error(
				'the request may have been written already, and is not written twice',
			);
		}

		if (this.#isSettled) {
			throw new Error('the exchange ended before its request was written');
		}

		this.#controller = controller;
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: ExchangeAnswer['headers'],
	): void {
		this.#status = status;
		this.#headers = headers;
	}

	onResponseData(
		_controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		this.#receivedBytes += chunk.length;
		if (this.#receivedBytes > this.#options.answerBytes) {
			this.#fail(
				'too-large',
				`the answer is larger than ${this.#options.answerBytes} bytes`,
			);
			this.#abortRequest();
		} else if (!this.#isSettled) {
			this.#chunks.push(chunk);
		}
	}

	onResponseEnd(): void {
		if (this.#settle()) {
			this.#options.onAnswer({
				status: this.#status,
				headers: this.#headers,
				body: Buffer.concat(this.#chunks).toString(),
			});
		}

		this.#releaseConnection();
	}

	onResponseError(
		_controller: Dispatcher.DispatchController | undefined,
		error: Error,
	): void {
		this.#fail('connection-lost', error.message);
		this.#releaseConnection();
	}

	#fail(reason: ExchangeFailure['reason'], message: string): void {
		if (this.#settle()) {
			this.#options.onFailure({
				mayBeWritten: this.#controller !== undefined,
				reason,
				message,
			});
		}
	}

	#settle(): boolean {
		const isFirst = !this.#isSettled;
		this.#isSettled = true;
		clearTimeout(this.#timer);
		return isFirst;
	}

	#abortRequest(): void {
		this.#controller?.abort(new Error('the exchange has ended'));
	}

	#releaseConnection(): void {
		clearTimeout(this.#timer);
		const {onConnectionFree} = this;
		this.onConnectionFree = undefined;
		onConnectionFree?.();
	}
}
