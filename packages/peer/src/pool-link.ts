import {Buffer} from 'node:buffer';
import {
	Client,
	credentials,
	type ChannelOptions,
	type ClientDuplexStream,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {type PoolMessage} from './pool-message.js';
import {type LinkCloseCause, type PoolTraffic} from './pool-traffic.js';

/** Messages that were sent in one turn of the event loop, and their encoded length. */
export type PoolBatch = {
	readonly messages: readonly PoolMessage[];
	readonly byteLength: number;
};

/** Acknowledges a heartbeat, which shows that the receiver still reads the stream. */
export type PoolAcknowledgement = {readonly isAlive: true};

/** An encoded message and its type. */
type EncodedMessage = {
	readonly type: PoolMessage['type'];
	readonly text: string;
};

/** The encoded acknowledgement. */
const acknowledgementBytes = Buffer.from(JSON.stringify({isAlive: true}));

/** Joins messages into a JSON array. Receivers do not validate messages, as only entry VMs send them. */
function serializeBatch(batch: readonly EncodedMessage[]) {
	return Buffer.from(`[${batch.map(({text}) => text).join(',')}]`);
}

function deserializeBatch(bytes: Uint8Array): PoolBatch {
	return {
		messages: JSON.parse(
			Buffer.from(bytes).toString('utf8'),
		) as readonly PoolMessage[],
		byteLength: bytes.length,
	};
}

function serializeAcknowledgement() {
	return acknowledgementBytes;
}

function deserializeAcknowledgement(): PoolAcknowledgement {
	return {isAlive: true};
}

/** Definition of the gRPC service for pool messages between entry VMs. */
export const poolService = {
	exchange: {
		path: '/verbenarouter.Pool/Exchange',
		requestStream: true,
		responseStream: true,
		requestSerialize: serializeBatch,
		requestDeserialize: deserializeBatch,
		responseSerialize: serializeAcknowledgement,
		responseDeserialize: deserializeAcknowledgement,
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
	/** Milliseconds without an acknowledgement of a heartbeat after which the stream is replaced. */
	readonly silenceMs: number;
	/** First delay before a reconnect, in milliseconds; it doubles with each further attempt up to `maxReconnectMs`. */
	readonly reconnectMs: number;
	/** Longest delay before a reconnect, in milliseconds. */
	readonly maxReconnectMs: number;
};

/** Settings for a heartbeat interval of 100 ms. */
export const defaultPoolLinkSettings: PoolLinkSettings = {
	silenceMs: 400,
	reconnectMs: 50,
	maxReconnectMs: 400,
};

/** Options and handlers of {@link PoolLink}. */
export type PoolLinkOptions = {
	/** `host:port` of the other entry VM. */
	readonly address: string;
	/** Called on the first acknowledgement on a new stream. */
	readonly onOpen: () => void;
	/** Returns the time of a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Counts what the link sends. */
	readonly traffic: PoolTraffic;
	readonly settings?: PoolLinkSettings;
};

/** Client end of a stream of messages to another entry VM. Heartbeats reconnect a lost stream. */
export class PoolLink {
	/** `host:port` of the other entry VM. */
	readonly address: string;
	readonly #settings: PoolLinkSettings;
	readonly #onOpen: () => void;
	readonly #now: () => number;
	readonly #traffic: PoolTraffic;
	#client: Client | undefined;
	#stream:
		| ClientDuplexStream<readonly EncodedMessage[], PoolAcknowledgement>
		| undefined;

	#isOpen = false;
	#batch: EncodedMessage[] = [];
	/** Time at which the oldest unacknowledged heartbeat was sent. */
	#unacknowledgedSinceMs: number | undefined;
	#reconnectAtMs = 0;
	#reconnectDelayMs: number;

	constructor({
		address,
		onOpen,
		now,
		traffic,
		settings = defaultPoolLinkSettings,
	}: PoolLinkOptions) {
		this.address = address;
		this.#now = now;
		this.#onOpen = onOpen;
		this.#traffic = traffic;
		this.#settings = settings;
		this.#reconnectDelayMs = settings.reconnectMs;
	}

	/** Whether the receiver has acknowledged a heartbeat on the current stream. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Sends a message at the end of the current turn of the event loop; returns false if the stream is not open. */
	send(message: PoolMessage): boolean {
		if (!this.#isOpen) {
			return false;
		}

		this.#enqueue(message);
		return true;
	}

	/**
	 * Sends a heartbeat, also on a stream that is not acknowledged yet. Replaces a silent stream, and reconnects after the
	 * reconnect delay if there is none.
	 */
	sendHeartbeat(message: PoolMessage, now: number): void {
		const isSilent =
			this.#unacknowledgedSinceMs !== undefined &&
			now - this.#unacknowledgedSinceMs > this.#settings.silenceMs;
		if (this.#stream !== undefined && isSilent) {
			this.#disconnect('silent', now);
		}

		if (this.#stream === undefined && now >= this.#reconnectAtMs) {
			this.#connect(now);
		}

		if (this.#stream !== undefined) {
			this.#unacknowledgedSinceMs ??= now;
			this.#enqueue(message);
		}
	}

	/** Closes the stream and drops messages that have not been written. */
	close(): void {
		this.#disconnect('removed', 0);
	}

	#enqueue(message: PoolMessage): void {
		const startedAtMs = this.#now();
		const text = JSON.stringify(message);
		this.#traffic.add('sent', message.type, {
			messages: 1,
			bytes: text.length,
			tookMs: this.#now() - startedAtMs,
		});
		this.#batch.push({type: message.type, text});
		if (this.#batch.length === 1) {
			const stream = this.#stream;
			setImmediate(() => {
				const batch = this.#batch;
				this.#batch = [];
				// A batch is not written to a later stream, as it may be out of date by then.
				if (stream === this.#stream && stream !== undefined) {
					stream.write(batch);
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
			deserializeAcknowledgement,
		);
		this.#client = client;
		this.#stream = stream;
		this.#unacknowledgedSinceMs = now;
		stream.on('data', () => {
			if (stream !== this.#stream) {
				return;
			}

			this.#unacknowledgedSinceMs = undefined;
			if (!this.#isOpen) {
				this.#isOpen = true;
				this.#reconnectDelayMs = this.#settings.reconnectMs;
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
		}

		const client = this.#client;
		const stream = this.#stream;
		this.#client = undefined;
		this.#stream = undefined;
		this.#isOpen = false;
		this.#batch = [];
		this.#reconnectAtMs = now + this.#reconnectDelayMs;
		this.#reconnectDelayMs = Math.min(
			2 * this.#reconnectDelayMs,
			this.#settings.maxReconnectMs,
		);
		stream?.cancel();
		client?.close();
	}
}
