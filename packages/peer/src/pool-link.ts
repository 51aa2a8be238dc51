import {Buffer} from 'node:buffer';
import {
	Client,
	credentials,
	type ChannelOptions,
	type ClientDuplexStream,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {type ConnectionState} from '@verbenarouter/core';
import {type PoolMessage} from './pool-message.js';
import {type LinkCloseCause, type PoolTraffic} from './pool-traffic.js';

/** Messages that were sent in one turn of the event loop, and their encoded length. */
export type PoolBatch = {
	readonly messages: readonly PoolMessage[];
	readonly byteLength: number;
};

/** Acknowledges a heartbeat, which shows that the receiver still reads the stream. */
export type PoolAcknowledgement = {readonly isAlive: true};

/** What the receiver of a stream sends back on it: acknowledgements, and messages to a sender that it has no stream to. */
export type PoolReply = PoolAcknowledgement | PoolBatch;

/** A message that is encoded once for all streams on which it is sent. */
export class EncodedMessage {
	readonly type: PoolMessage['type'];
	readonly text: string;
	#batchBytes: ReturnType<typeof Buffer.from> | undefined;

	constructor(message: PoolMessage) {
		this.type = message.type;
		this.text = JSON.stringify(message);
	}

	/** The bytes of a batch with only this message. */
	get batchBytes() {
		this.#batchBytes ??= Buffer.from(`[${this.text}]`);
		return this.#batchBytes;
	}
}

/** The encoded acknowledgement. */
const acknowledgementBytes = Buffer.from(JSON.stringify({isAlive: true}));

/** Joins messages into a JSON array. */
function serializeBatch(batch: readonly EncodedMessage[]) {
	const [first] = batch;
	return batch.length === 1 && first !== undefined
		? first.batchBytes
		: Buffer.from(`[${batch.map(({text}) => text).join(',')}]`);
}

function deserializeBatch(bytes: Uint8Array): PoolBatch {
	const messages: unknown = JSON.parse(Buffer.from(bytes).toString('utf8'));
	return {
		messages: (Array.isArray(messages)
			? messages
			: [messages]) as readonly PoolMessage[],
		byteLength: bytes.length,
	};
}

function serializeReply(
	reply: PoolAcknowledgement | readonly EncodedMessage[],
) {
	return 'isAlive' in reply ? acknowledgementBytes : serializeBatch(reply);
}

function deserializeReply(bytes: Uint8Array): PoolReply {
	return bytes.length === acknowledgementBytes.length
		? {isAlive: true}
		: deserializeBatch(bytes);
}

/** Definition of the gRPC service for pool messages between entry VMs. */
export const poolService = {
	exchange: {
		path: '/verbenarouter.Pool/Exchange',
		requestStream: true,
		responseStream: true,
		requestSerialize: serializeBatch,
		requestDeserialize: deserializeBatch,
		responseSerialize: serializeReply,
		responseDeserialize: deserializeReply,
	},
} satisfies ServiceDefinition;

/* eslint-disable @typescript-eslint/naming-convention -- the names are gRPC's */

/** Options of channels and servers. With a local subchannel pool, each new client opens a new connection. */
export const poolChannelOptions: ChannelOptions = {
	'grpc.use_local_subchannel_pool': 1,
	'grpc.max_receive_message_length': -1,
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.enable_channelz': 0,
};

/* eslint-enable @typescript-eslint/naming-convention */

/** Settings of {@link PoolLink}. */
export type PoolLinkSettings = {
	/**
	 * Milliseconds without an acknowledgement of a heartbeat after which a stream is replaced, open or not. Doubles each
	 * time up to `maxSilenceMs`, because an entry VM that lacks processor time acknowledges nothing on streams that are
	 * replaced too often.
	 */
	readonly silenceMs: number;
	/** Longest time without an acknowledgement, in milliseconds. */
	readonly maxSilenceMs: number;
	/** Milliseconds for which a stream must be open before `silenceMs` holds again for it. */
	readonly stableMs: number;
	/** Longest heartbeat interval for which `silenceMs` holds; on streams with longer ones four intervals do. */
	readonly maxFastIntervalMs: number;
	/**
	 * Mean of the first delay before a reconnect, in milliseconds; it doubles with each further attempt up to
	 * `maxReconnectMs`.
	 */
	readonly reconnectMs: number;
	/** Longest mean delay before a reconnect, in milliseconds. */
	readonly maxReconnectMs: number;
};

/** Settings for a heartbeat interval of 100 ms. */
export const defaultPoolLinkSettings: PoolLinkSettings = {
	silenceMs: 400,
	maxSilenceMs: 1600,
	stableMs: 3000,
	maxFastIntervalMs: 400,
	reconnectMs: 50,
	maxReconnectMs: 400,
};

/** Messages that are still of use when they arrive late: they are held while a stream is opening. */
const heldTypes: ReadonlySet<PoolMessage['type']> = new Set([
	'answer',
	'ask',
	'cancel',
	'progress',
	'reply',
]);
/** Time for which messages are held. */
const maxHeldMs = 500;
/** Largest number of messages that are held for one stream; further ones are dropped. */
const maxHeldMessages = 256;

/** Number of long heartbeat intervals without an acknowledgement after which a stream is replaced. */
const silentIntervals = 4;

/** Options and handlers of {@link PoolLink}. */
export type PoolLinkOptions = {
	/** `host:port` of the other entry VM. */
	readonly address: string;
	/** Called on the first acknowledgement on a new stream. */
	readonly onOpen: () => void;
	/** Handles messages that the other entry VM sends back on the stream. */
	readonly onReplies: (batch: PoolBatch) => void;
	/** Returns the time of a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Counts what the link sends. */
	readonly traffic: PoolTraffic;
	/** Returns a random number from 0 to 1, by which reconnects of many links are spread. */
	readonly random: () => number;
	/** Whether a new stream may be opened now; called only when one is due. */
	readonly tryTakeConnect: (now: number) => boolean;
	readonly settings?: PoolLinkSettings;
};

/** Client end of a stream of messages to another entry VM. Heartbeats reconnect a lost stream. */
export class PoolLink {
	/** `host:port` of the other entry VM. */
	readonly address: string;
	readonly #settings: PoolLinkSettings;
	readonly #onOpen: () => void;
	readonly #onReplies: (batch: PoolBatch) => void;
	readonly #now: () => number;
	readonly #traffic: PoolTraffic;
	readonly #random: () => number;
	readonly #tryTakeConnect: (now: number) => boolean;
	#client: Client | undefined;
	#stream: ClientDuplexStream<readonly EncodedMessage[], PoolReply> | undefined;

	#isOpen = false;
	/** Whether the last stream has failed and none has opened since. */
	#hasFailed = false;
	#held: ReadonlyArray<{
		readonly message: EncodedMessage;
		readonly atMs: number;
	}> = [];

	#batch: EncodedMessage[] = [];
	/** Number of batches on the current stream that wait for the connection to open or for the receiver to read. */
	#unwrittenBatches = 0;
	/** Time at which the oldest unacknowledged heartbeat was sent. */
	#unacknowledgedSinceMs: number | undefined;
	#reconnectAtMs = 0;
	#reconnectDelayMs: number;
	#silenceMs: number;
	/** Time since which the stream has been open. */
	#openSinceMs = 0;

	constructor({
		address,
		onOpen,
		onReplies,
		now,
		traffic,
		random,
		tryTakeConnect,
		settings = defaultPoolLinkSettings,
	}: PoolLinkOptions) {
		this.address = address;
		this.#now = now;
		this.#onOpen = onOpen;
		this.#onReplies = onReplies;
		this.#traffic = traffic;
		this.#random = random;
		this.#tryTakeConnect = tryTakeConnect;
		this.#settings = settings;
		this.#reconnectDelayMs = settings.reconnectMs;
		this.#silenceMs = settings.silenceMs;
	}

	/** Whether the receiver has acknowledged a heartbeat on the current stream. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** State of the stream. */
	get state(): ConnectionState {
		if (this.#isOpen) {
			return 'open';
		}

		if (this.#hasFailed) {
			return 'failed';
		}

		return this.#stream === undefined ? 'none' : 'opening';
	}

	/**
	 * Sends a message at the end of the current turn of the event loop; returns false if the stream is not open. Answers and
	 * replies are then sent once it opens, if that is soon.
	 */
	send(message: EncodedMessage): boolean {
		if (!this.#isOpen) {
			if (heldTypes.has(message.type)) {
				const now = this.#now();
				this.#held = [...this.#held, {message, atMs: now}]
					.filter(({atMs}) => now - atMs <= maxHeldMs)
					.slice(-maxHeldMessages);
			}

			return false;
		}

		this.#enqueue(message);
		return true;
	}

	/**
	 * Sends a heartbeat, also on a stream that is not acknowledged yet, unless earlier messages wait to be written. Replaces
	 * a silent stream, and reconnects after the reconnect delay if there is none. `intervalMs` is the time until the next.
	 */
	sendHeartbeat(
		message: EncodedMessage,
		intervalMs: number,
		now: number,
	): void {
		const {silenceMs, maxSilenceMs, stableMs, maxFastIntervalMs} =
			this.#settings;
		if (this.#isOpen && now - this.#openSinceMs >= stableMs) {
			this.#silenceMs = silenceMs;
		}

		const limitMs =
			this.#isOpen && intervalMs > maxFastIntervalMs
				? silentIntervals * intervalMs
				: this.#silenceMs;
		const isSilent =
			this.#unacknowledgedSinceMs !== undefined &&
			now - this.#unacknowledgedSinceMs > limitMs;
		if (this.#stream !== undefined && isSilent) {
			this.#silenceMs = Math.min(2 * this.#silenceMs, maxSilenceMs);
			this.#disconnect('silent', now);
		}

		if (
			this.#stream === undefined &&
			now >= this.#reconnectAtMs &&
			this.#tryTakeConnect(now)
		) {
			this.#connect(now);
		}

		if (this.#stream !== undefined) {
			this.#unacknowledgedSinceMs ??= now;
			const isWaiting =
				this.#unwrittenBatches > 0 || (!this.#isOpen && this.#batch.length > 0);
			if (!isWaiting) {
				this.#enqueue(message);
			}
		}
	}

	/**
	 * Excludes a time for which this process did not read its sockets from the time without an acknowledgement. The
	 * acknowledgement may be unread.
	 */
	excludeStall(stallMs: number, now: number): void {
		if (this.#unacknowledgedSinceMs !== undefined) {
			this.#unacknowledgedSinceMs = Math.min(
				now,
				this.#unacknowledgedSinceMs + stallMs,
			);
		}
	}

	/** Connects at the next heartbeat if there is no stream, as the other entry VM has just opened one. */
	resetDelay(): void {
		this.#reconnectDelayMs = this.#settings.reconnectMs;
		this.#reconnectAtMs = 0;
	}

	/** Closes the stream and drops messages that have not been written. */
	close(): void {
		this.#disconnect('removed', 0);
	}

	#sendHeld(now: number): void {
		const held = this.#held;
		this.#held = [];
		for (const {message, atMs} of held) {
			if (now - atMs <= maxHeldMs) {
				this.#enqueue(message);
			}
		}
	}

	#enqueue(message: EncodedMessage): void {
		this.#traffic.add('sent', message.type, {
			messages: 1,
			bytes: message.text.length,
		});
		this.#batch.push(message);
		if (this.#batch.length === 1) {
			const stream = this.#stream;
			setImmediate(() => {
				const batch = this.#batch;
				this.#batch = [];
				// A batch is not written to a later stream, as it may be out of date by then.
				if (stream === this.#stream && stream !== undefined) {
					this.#unwrittenBatches += 1;
					stream.write(batch, () => {
						if (stream === this.#stream) {
							this.#unwrittenBatches -= 1;
						}
					});
				}
			});
		}
	}

	#connect(now: number): void {
		// A silent connection must not be reused, so each attempt has a new client.
		const client = new Client(
			this.address,
			credentials.createInsecure(),
			poolChannelOptions,
		);
		const stream = client.makeBidiStreamRequest(
			poolService.exchange.path,
			serializeBatch,
			deserializeReply,
		);
		this.#client = client;
		this.#stream = stream;
		this.#unacknowledgedSinceMs = now;
		stream.on('data', (reply: PoolReply) => {
			if (stream !== this.#stream) {
				return;
			}

			if ('messages' in reply) {
				this.#onReplies(reply);
				return;
			}

			this.#unacknowledgedSinceMs = undefined;
			if (!this.#isOpen) {
				this.#isOpen = true;
				this.#hasFailed = false;
				this.#reconnectDelayMs = this.#settings.reconnectMs;
				this.#openSinceMs = this.#now();
				this.#sendHeld(this.#openSinceMs);
				this.#onOpen();
			}
		});
		const handleLoss = (cause: LinkCloseCause) => {
			if (stream === this.#stream) {
				this.#disconnect(cause, this.#now());
			}
		};

		stream.on('error', () => {
			handleLoss('broken');
		});
		stream.on('end', () => {
			handleLoss('ended');
		});
	}

	#disconnect(cause: LinkCloseCause, now: number): void {
		if (this.#stream !== undefined) {
			this.#traffic.addClosedLink(cause);
			this.#hasFailed = true;
		}

		const client = this.#client;
		const stream = this.#stream;
		this.#client = undefined;
		this.#stream = undefined;
		this.#isOpen = false;
		this.#batch = [];
		this.#unwrittenBatches = 0;
		this.#reconnectAtMs = now + this.#reconnectDelayMs * (0.5 + this.#random());
		this.#reconnectDelayMs = Math.min(
			2 * this.#reconnectDelayMs,
			this.#settings.maxReconnectMs,
		);
		stream?.cancel();
		client?.close();
	}
}
