/** A stream of messages to one entry VM, opened again until it is closed. */
import {Buffer} from 'node:buffer';
import {
	Client,
	credentials,
	type ChannelOptions,
	type ClientDuplexStream,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {type PoolMessage} from './pool-message.js';

/** Messages of one turn of the event loop. */
export type PoolBatch = readonly PoolMessage[];

/** Answer to each batch that holds a heartbeat; it shows that the other end still reads. */
export type PoolReceipt = {readonly isAlive: true};

/** Messages come from this project's own processes, so they are not checked again. */
function serialize(value: PoolBatch | PoolReceipt) {
	return Buffer.from(JSON.stringify(value));
}

function deserializeBatch(bytes: Uint8Array): PoolBatch {
	return JSON.parse(Buffer.from(bytes).toString('utf8')) as PoolBatch;
}

function deserializeReceipt(): PoolReceipt {
	return {isAlive: true};
}

/** The service, for servers. */
export const poolService = {
	exchange: {
		path: '/verbenarouter.Pool/Exchange',
		requestStream: true,
		responseStream: true,
		requestSerialize: serialize,
		requestDeserialize: deserializeBatch,
		responseSerialize: serialize,
		responseDeserialize: deserializeReceipt,
	},
} satisfies ServiceDefinition;

/* eslint-disable @typescript-eslint/naming-convention -- the names are gRPC's */

/** A pool of connections per client gives each new client a new connection. */
export const poolChannelOptions: ChannelOptions = {
	'grpc.use_local_subchannel_pool': 1,
	'grpc.max_receive_message_length': -1,
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.enable_channelz': 0,
};

/* eslint-enable @typescript-eslint/naming-convention */

/** Settings of links. Times are in milliseconds. */
export type PoolLinkSettings = {
	/** Time without a receipt of a heartbeat after which the stream is replaced. */
	readonly silenceMs: number;
	/** First pause between two attempts to connect; it doubles up to the longest. */
	readonly reconnectMs: number;
	readonly longestReconnectMs: number;
};

/** Settings that suit heartbeats every 100 ms. */
export const defaultPoolLinkSettings: PoolLinkSettings = {
	silenceMs: 400,
	reconnectMs: 50,
	longestReconnectMs: 400,
};

/** A stream of messages to one entry VM. */
export class PoolLink {
	readonly #settings: PoolLinkSettings;
	readonly #onOpen: () => void;
	readonly #now: () => number;
	#client: Client | undefined;
	#stream: ClientDuplexStream<PoolBatch, PoolReceipt> | undefined;
	#isOpen = false;
	#batch: PoolMessage[] = [];
	/** When the oldest heartbeat without a receipt was sent. */
	#unansweredSinceMs: number | undefined;
	#retryAtMs = 0;
	#pauseMs: number;

	/** `onOpen` is called when the first receipt of a new stream comes; `now` reads a clock that never jumps, in milliseconds. */
	constructor(
		readonly address: string,
		onOpen: () => void,
		now: () => number,
		settings: PoolLinkSettings = defaultPoolLinkSettings,
	) {
		this.#now = now;
		this.#onOpen = onOpen;
		this.#settings = settings;
		this.#pauseMs = settings.reconnectMs;
	}

	/** Whether the other end has lately confirmed that it reads. */
	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Sends a message at the end of this turn; returns false when the stream is not open. */
	send(message: PoolMessage): boolean {
		if (!this.#isOpen) {
			return false;
		}

		this.#add(message);
		return true;
	}

	/** Sends a heartbeat, on a stream that is not open yet too, and replaces a silent stream. */
	beat(message: PoolMessage, now: number): void {
		const isUnanswered =
			this.#unansweredSinceMs !== undefined &&
			now - this.#unansweredSinceMs > this.#settings.silenceMs;
		if (this.#stream !== undefined && isUnanswered) {
			this.#disconnect(now);
		}

		if (this.#stream === undefined && now >= this.#retryAtMs) {
			this.#connect(now);
		}

		if (this.#stream !== undefined) {
			this.#unansweredSinceMs ??= now;
			this.#add(message);
		}
	}

	close(): void {
		this.#disconnect(0);
	}

	#add(message: PoolMessage): void {
		this.#batch.push(message);
		if (this.#batch.length === 1) {
			const stream = this.#stream;
			setImmediate(() => {
				const batch = this.#batch;
				this.#batch = [];
				// A batch is never carried over to a later stream: by then it may be out of date.
				if (stream === this.#stream && stream !== undefined) {
					stream.write(batch);
				}
			});
		}
	}

	#connect(now: number): void {
		// A new client each time: a silent connection must not be used again.
		const client = new Client(
			this.address,
			credentials.createInsecure(),
			poolChannelOptions,
		);
		const stream = client.makeBidiStreamRequest(
			poolService.exchange.path,
			serialize,
			deserializeReceipt,
		);
		this.#client = client;
		this.#stream = stream;
		this.#unansweredSinceMs = now;
		stream.on('data', () => {
			if (stream !== this.#stream) {
				return;
			}

			this.#unansweredSinceMs = undefined;
			if (!this.#isOpen) {
				this.#isOpen = true;
				this.#pauseMs = this.#settings.reconnectMs;
				this.#onOpen();
			}
		});
		const lost = () => {
			if (stream === this.#stream) {
				this.#disconnect(this.#now());
			}
		};

		stream.on('error', lost);
		stream.on('end', lost);
	}

	#disconnect(now: number): void {
		const client = this.#client;
		const stream = this.#stream;
		this.#client = undefined;
		this.#stream = undefined;
		this.#isOpen = false;
		this.#batch = [];
		this.#retryAtMs = now + this.#pauseMs;
		this.#pauseMs = Math.min(
			2 * this.#pauseMs,
			this.#settings.longestReconnectMs,
		);
		stream?.cancel();
		client?.close();
	}
}
