/** One request to a target with its answer, on one connection. */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';

/** A request and its answer as the connections see them. */
export type TargetExchange = Dispatcher.DispatchHandler & {
	/** Builds the request when a connection takes it. */
	readonly request: () => Dispatcher.DispatchOptions;
	/** Whether the request is still wanted; one that is not is never written. */
	readonly isWanted: boolean;
	/** Called when the connection is free again. */
	onFree: (() => void) | undefined;
};

/** What is known of an exchange that ended without a whole answer. */
export type ExchangeFailure = {
	/** `false` proves that no byte of the request was written. */
	readonly mayBeWritten: boolean;
	readonly reason: 'timeout' | 'connection-lost' | 'too-large' | 'cancelled';
	readonly message: string;
};

/** A whole answer. */
export type ExchangeAnswer = {
	readonly status: number;
	readonly headers: Readonly<
		Record<string, string | readonly string[] | undefined>
	>;
	readonly body: string;
};

/** Bounds of an exchange and where its end is told. One of the two handlers is called, once. */
export type ExchangeOptions = {
	readonly timeoutMs: number;
	/** Bytes of the answer's body at most. */
	readonly answerBytes: number;
	/** Milliseconds for which a withdrawn request still waits for its answer, so that its connection can be used again. */
	readonly withdrawnMs: number;
	readonly onAnswer: (answer: ExchangeAnswer) => void;
	readonly onFailure: (failure: ExchangeFailure) => void;
};

/** A request that is written at most once. */
export class BoundedExchange implements TargetExchange {
	onFree: (() => void) | undefined;
	readonly #options: ExchangeOptions;
	readonly #chunks: Uint8Array[] = [];
	#timer: NodeJS.Timeout;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#headers: ExchangeAnswer['headers'] = {};
	#bytes = 0;
	#isSettled = false;

	constructor(
		readonly request: () => Dispatcher.DispatchOptions,
		options: ExchangeOptions,
	) {
		this.#options = options;
		this.#timer = setTimeout(() => {
			this.#fail('timeout', `no answer within ${options.timeoutMs} ms`);
			this.#cut();
		}, options.timeoutMs);
	}

	get isWanted(): boolean {
		return !this.#isSettled;
	}

	/** Gives the request up. Once it may be written, its answer is awaited for a while, and ignored. */
	withdraw(): void {
		if (this.#isSettled) {
			return;
		}

		this.#fail('cancelled', 'the request was withdrawn');
		if (this.#controller !== undefined) {
			this.#timer = setTimeout(() => {
				this.#cut();
			}, this.#options.withdrawnMs);
		}
	}

	/** The connection is about to write the request. Throwing keeps it from doing so. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#controller !== undefined) {
			throw new Error('the request may have been written before');
		}

		if (this.#isSettled) {
			throw new Error('the request is not wanted any more');
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
		this.#bytes += chunk.length;
		if (this.#bytes > this.#options.answerBytes) {
			this.#fail(
				'too-large',
				`the answer is larger than ${this.#options.answerBytes} bytes`,
			);
			this.#cut();
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

		this.#free();
	}

	onResponseError(
		_controller: Dispatcher.DispatchController | undefined,
		error: Error,
	): void {
		this.#fail('connection-lost', error.message);
		this.#free();
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

	#cut(): void {
		this.#controller?.abort(new Error('the exchange has ended'));
	}

	#free(): void {
		clearTimeout(this.#timer);
		const {onFree} = this;
		this.onFree = undefined;
		onFree?.();
	}
}
