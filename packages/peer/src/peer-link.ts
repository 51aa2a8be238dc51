/** One entry VM's stream to another: requests go out on it, and their replies come back. */
import {Client, credentials} from '@grpc/grpc-js';
import {type LedgerMessage} from '@verbenarouter/core';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {FrameBatch} from './frame-batch.js';
import {
	type Frame,
	type Hello,
	type PeerReply,
	type PeerRequest,
} from './message.js';
import {channelOptions, openStream, type PeerStream} from './peer-service.js';

/** Why a request has no reply. Only `not-sent` proves that the peer did nothing. */
export type PeerFailure = {
	readonly code: 'not-sent' | 'silent';
	readonly message: string;
};

/** Settings of the links to peers. */
export type PeerLinkOptions = {
	/** Milliseconds between two pings. */
	readonly pingIntervalMs: number;
	/** Milliseconds without a frame after which a stream is replaced by one on a new connection. */
	readonly silenceMs: number;
	/** Milliseconds between two attempts to connect. */
	readonly reconnectMs: number;
};

/** Hears what the peer sends of its own accord. */
export type PeerLinkHandlers = {
	readonly onHello: (hello: Hello) => void;
	readonly onShares?: (messages: readonly LedgerMessage[]) => void;
};

type Waiting = (result: Result<PeerReply, PeerFailure>) => void;

/** One entry VM's stream to another. It reconnects until it is closed. */
export class PeerLink {
	readonly #address: string;
	readonly #options: PeerLinkOptions;
	readonly #hello: () => Hello;
	readonly #handlers: PeerLinkHandlers;
	readonly #waiting = new Map<number, Waiting>();
	#client: Client | undefined;
	#stream: PeerStream | undefined;
	#batch: FrameBatch | undefined;
	#peer: Hello | undefined;
	#nextId = 1;
	#heardInInterval = true;
	#quietMs = 0;
	#pingTimer: NodeJS.Timeout | undefined;
	#reconnectTimer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(
		address: string,
		options: PeerLinkOptions,
		hello: () => Hello,
		handlers: PeerLinkHandlers,
	) {
		this.#address = address;
		this.#options = options;
		this.#hello = hello;
		this.#handlers = handlers;
		this.#connect();
	}

	/** What the peer last said of itself; `undefined` while there is no working stream. */
	get peer(): Hello | undefined {
		return this.#peer;
	}

	/** Takes what the connected process said of itself on its own link, which may be newer. */
	heard(hello: Hello): void {
		if (
			this.#peer !== undefined &&
			this.#peer.incarnation.nonce === hello.incarnation.nonce &&
			this.#peer.version <= hello.version
		) {
			this.#peer = hello;
		}
	}

	/** Tells the peer again what this entry VM holds. */
	announce(): void {
		this.#batch?.add({type: 'hello', hello: this.#hello()});
	}

	/** Sends what needs no reply. It is lost while there is no working stream; returns whether there is one. */
	notify(frame: Extract<Frame, {type: 'shares'}>): boolean {
		if (this.#peer === undefined || this.#batch === undefined) {
			return false;
		}

		this.#batch.add(frame);
		return true;
	}

	/** Sends a request and waits for the reply. */
	request(
		request: PeerRequest,
		timeoutMs: number,
	): ResultAsync<PeerReply, PeerFailure> {
		const batch = this.#batch;
		if (this.#peer === undefined || batch === undefined) {
			return new ResultAsync(
				Promise.resolve(
					err({
						code: 'not-sent',
						message: 'there is no connection to the peer',
					}),
				),
			);
		}

		const id = this.#nextId;
		this.#nextId += 1;
		return new ResultAsync(
			new Promise((resolve) => {
				const timer = setTimeout(() => {
					this.#finish(
						id,
						err({code: 'silent', message: `no reply within ${timeoutMs} ms`}),
					);
				}, timeoutMs);
				this.#waiting.set(id, (result) => {
					clearTimeout(timer);
					resolve(result);
				});
				batch.add({type: 'request', id, request});
			}),
		);
	}

	/** Closes the stream for good. Requests without a reply fail as `silent`. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#reconnectTimer);
		this.#disconnect('the link was closed');
	}

	#connect(): void {
		// A new client each time: a silent connection must not be used again.
		const client = new Client(
			this.#address,
			credentials.createInsecure(),
			channelOptions,
		);
		const stream = openStream(client);
		this.#client = client;
		this.#stream = stream;
		this.#batch = new FrameBatch((frames) => {
			stream.write(frames);
		});
		this.#heardInInterval = true;
		this.#quietMs = 0;
		stream.on('data', (frames: readonly Frame[]) => {
			this.#heardInInterval = true;
			for (const frame of frames) {
				this.#receive(frame);
			}
		});
		const lost = (reason: string) => () => {
			if (this.#client === client) {
				this.#reconnectLater(reason);
			}
		};

		stream.on('error', lost('the stream failed'));
		stream.on('end', lost('the peer ended the stream'));
		this.#pingTimer = setInterval(() => {
			this.#checkSilence();
		}, this.#options.pingIntervalMs);
		this.announce();
	}

	#checkSilence(): void {
		this.#quietMs = this.#heardInInterval
			? 0
			: this.#quietMs + this.#options.pingIntervalMs;
		this.#heardInInterval = false;
		if (this.#quietMs >= this.#options.silenceMs) {
			this.#reconnectLater('the peer is silent');
		} else {
			this.#batch?.add({type: 'ping'});
		}
	}

	#reconnectLater(reason: string): void {
		this.#disconnect(reason);
		if (!this.#isClosed) {
			this.#reconnectTimer = setTimeout(() => {
				this.#connect();
			}, this.#options.reconnectMs);
		}
	}

	#disconnect(reason: string): void {
		clearInterval(this.#pingTimer);
		const client = this.#client;
		const stream = this.#stream;
		this.#client = undefined;
		this.#stream = undefined;
		// An open stream would keep its connection, and the process, alive.
		stream?.cancel();
		client?.close();
		this.#batch = undefined;
		this.#peer = undefined;
		for (const id of this.#waiting.keys()) {
			this.#finish(id, err({code: 'silent', message: reason}));
		}
	}

	#receive(frame: Frame): void {
		switch (frame.type) {
			case 'hello': {
				this.#peer ??= frame.hello;
				this.heard(frame.hello);
				this.#handlers.onHello(frame.hello);
				break;
			}

			case 'reply': {
				this.#finish(frame.id, ok(frame.reply));
				break;
			}

			case 'shares': {
				this.#handlers.onShares?.(frame.messages);
				break;
			}

			case 'ping':
			case 'pong':
			case 'request': {
				break;
			}
		}
	}

	#finish(id: number, result: Result<PeerReply, PeerFailure>): void {
		const waiting = this.#waiting.get(id);
		this.#waiting.delete(id);
		waiting?.(result);
	}
}
