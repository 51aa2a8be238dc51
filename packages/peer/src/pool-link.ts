import {Buffer} from 'node:buffer';
import {
	Client,
	credentials,
	type ChannelOptions,
	type ClientDuplexStream,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {type PoolMessage} from './pool-message.js';

/** Messages that were sent in one turn of the event loop. */
export type PoolBatch = readonly PoolMessage[];

/** Acknowledges a heartbeat, which shows that the receiver still reads the stream. */
export type PoolAcknowledgement = {readonly isAlive: true};

/** Serializes a message. Receivers do not validate messages, as only entry VMs send them. */
function serialize(value: PoolBatch | PoolAcknowledgement) {
	return Buffer.from(JSON.stringify(value));
}

function deserializeBatch(bytes: Uint8Array): PoolBatch {
	return JSON.parse(Buffer.from(bytes).toString('utf8')) as PoolBatch;
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
		requestSerialize: serialize,
		requestDeserialize: deserializeBatch,
		responseSerialize: serialize,
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

/** Client end of a stream of messages to another entry VM. Heartbeats reconnect a lost stream. */
export class PoolLink {
	readonly #settings: PoolLinkSettings;
	readonly #onOpen: () => void;
	readonly #now: () => number;
	#client: Client | undefined;
	#stream: ClientDuplexStream<PoolBatch, PoolAcknowledgement> | undefined;
	#isOpen = false;
	#batch: PoolMessage[] = [];
	/** Time at which the oldest unacknowledged heartbeat was sent. */
	#unacknowledgedSinceMs: number | undefined;
	#reconnectAtMs = 0;
	#reconnectDelayMs: number;

	/**
	 * `onOpen` is called on the first acknowledgement on a new stream; `now` returns the time of a monotonic clock, in
	 * milliseconds.
	 */
	constructor(
		readonly address: string,
		onOpen: () => void,
		now: () => number,
		settings: PoolLinkSettings = defaultPoolLinkSettings,
	) {
		this.#now = now;
		this.#onOpen = onOpen;
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
			this.#disconnect(now);
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
		this.#disconnect(0);
	}

	#enqueue(message: PoolMessage): void {
		this.#batch.push(message);
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
			serialize,
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
		const handleLoss = () => {
			if (stream === this.#stream) {
				this.#disconnect(this.#now());
			}
		};

		stream.on('error', handleLoss);
		stream.on('end', handleLoss);
	}

	#disconnect(now: number): void {
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
