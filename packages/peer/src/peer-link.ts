import {Client, credentials} from '@grpc/grpc-js';
import {type LedgerMessage} from '@verbenarouter/core';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {FrameBatch} from './frame-batch.js';
import {
	type Frame,
	type Hello,
	type PeerReply,
	type PeerRequest,
} from './peer-message.js';
import {channelOptions, openStream, type PeerStream} from './peer-service.js';

/** Why a request has no reply. Only `not-sent` guarantees that the peer has not executed it. */
export type PeerFailure = {
	readonly code: 'not-sent' | 'silent';
	readonly message: string;
};

/** Options of {@link PeerLink}. */
export type PeerLinkOptions = {
	/** Interval between pings, in milliseconds. */
	readonly pingIntervalMs: number;
	/** Milliseconds without a received frame after which the stream is replaced by one on a new connection. */
	readonly silenceMs: number;
	/** Delay before a reconnect, in milliseconds. */
	readonly reconnectMs: number;
};

/** Handlers of the frames that the peer sends without a request. */
export type PeerLinkHandlers = {
	readonly onHello: (hello: Hello) => void;
	readonly onShares?: (messages: readonly LedgerMessage[]) => void;
};

type ReplyHandler = (result: Result<PeerReply, PeerFailure>) => void;

/** Client end of a stream to another entry VM, for requests and their replies. It reconnects until it is closed. */
export class PeerLink {
	readonly #address: string;
	readonly #options: PeerLinkOptions;
	readonly #createHello: () => Hello;
	readonly #handlers: PeerLinkHandlers;
	readonly #pendingRequests = new Map<number, ReplyHandler>();
	#client: Client | undefined;
	#stream: PeerStream | undefined;
	#batch: FrameBatch | undefined;
	#peerHello: Hello | undefined;
	#nextId = 1;
	#hasReceivedInInterval = true;
	#silentForMs = 0;
	#pingTimer: NodeJS.Timeout | undefined;
	#reconnectTimer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(
		address: string,
		options: PeerLinkOptions,
		createHello: () => Hello,
		handlers: PeerLinkHandlers,
	) {
		this.#address = address;
		this.#options = options;
		this.#createHello = createHello;
		this.#handlers = handlers;
		this.#connect();
	}

	/** The peer's latest hello; `undefined` while there is no working stream. */
	get peerHello(): Hello | undefined {
		return this.#peerHello;
	}

	/** Updates the peer's hello with one from its own stream, if that is as new or newer and from the same process. */
	updatePeerHello(hello: Hello): void {
		if (
			this.#peerHello !== undefined &&
			this.#peerHello.incarnation.nonce === hello.incarnation.nonce &&
			this.#peerHello.version <= hello.version
		) {
			this.#peerHello = hello;
		}
	}

	/** Sends the current hello of this entry VM to the peer. */
	sendHello(): void {
		this.#batch?.add({type: 'hello', hello: this.#createHello()});
	}

	/** Sends a frame of the share ledger; drops it and returns false if there is no working stream. */
	sendShares(frame: Extract<Frame, {type: 'shares'}>): boolean {
		if (this.#peerHello === undefined || this.#batch === undefined) {
			return false;
		}

		this.#batch.add(frame);
		return true;
	}

	/** Sends a request and waits for the reply, for `timeoutMs` milliseconds at most. */
	request(
		request: PeerRequest,
		timeoutMs: number,
	): ResultAsync<PeerReply, PeerFailure> {
		const batch = this.#batch;
		if (this.#peerHello === undefined || batch === undefined) {
			return new ResultAsync(
				Promise.resolve(
					err({
						code: 'not-sent',
						message: 'there is no open stream to the peer',
					}),
				),
			);
		}

		const id = this.#nextId;
		this.#nextId += 1;
		return new ResultAsync(
			new Promise((resolve) => {
				const timer = setTimeout(() => {
					this.#settleRequest(
						id,
						err({code: 'silent', message: `no reply within ${timeoutMs} ms`}),
					);
				}, timeoutMs);
				this.#pendingRequests.set(id, (result) => {
					clearTimeout(timer);
					resolve(result);
				});
				batch.add({type: 'request', id, request});
			}),
		);
	}

	/** Closes the stream permanently. Requests without a reply fail as `silent`. */
	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#reconnectTimer);
		this.#disconnect('the link was closed');
	}

	#connect(): void {
		// A silent connection must not be reused, so each attempt has a new client.
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
		this.#hasReceivedInInterval = true;
		this.#silentForMs = 0;
		stream.on('data', (frames: readonly Frame[]) => {
			this.#hasReceivedInInterval = true;
			for (const frame of frames) {
				this.#receive(frame);
			}
		});
		const createLossHandler = (reason: string) => () => {
			if (this.#client === client) {
				this.#reconnectLater(reason);
			}
		};

		stream.on('error', createLossHandler('the stream failed'));
		stream.on('end', createLossHandler('the peer ended the stream'));
		this.#pingTimer = setInterval(() => {
			this.#checkSilence();
		}, this.#options.pingIntervalMs);
		this.sendHello();
	}

	#checkSilence(): void {
		this.#silentForMs = this.#hasReceivedInInterval
			? 0
			: this.#silentForMs + this.#options.pingIntervalMs;
		this.#hasReceivedInInterval = false;
		if (this.#silentForMs >= this.#options.silenceMs) {
			this.#reconnectLater('no frame from the peer within the silence limit');
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
		// An open stream would keep its connection and the process alive.
		stream?.cancel();
		client?.close();
		this.#batch = undefined;
		this.#peerHello = undefined;
		for (const id of this.#pendingRequests.keys()) {
			this.#settleRequest(id, err({code: 'silent', message: reason}));
		}
	}

	#receive(frame: Frame): void {
		switch (frame.type) {
			case 'hello': {
				this.#peerHello ??= frame.hello;
				this.updatePeerHello(frame.hello);
				this.#handlers.onHello(frame.hello);
				break;
			}

			case 'reply': {
				this.#settleRequest(frame.id, ok(frame.reply));
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

	#settleRequest(id: number, result: Result<PeerReply, PeerFailure>): void {
		const handleReply = this.#pendingRequests.get(id);
		this.#pendingRequests.delete(id);
		handleReply?.(result);
	}
}
