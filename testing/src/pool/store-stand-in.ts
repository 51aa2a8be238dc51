import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

type Topic = {
	/** All records in the order of their offsets. */
	readonly records: Array<{readonly key: string; readonly value: string}>;
	/** Newest record by key, without dropped keys. */
	readonly newest: Map<
		string,
		{readonly value: string; readonly offset: number}
	>;
	/** Responds to the reads that wait for a new record. */
	readonly pendingReads: Set<() => void>;
};

/** Stand-in for the store of the users' platform: topics of keyed records that are read from an offset. */
export class StoreStandIn {
	/** Whether every request is refused with status 503. */
	isDown = false;
	/** Largest size of the records that one read returns; the first one is returned whatever its size. */
	maxPageBytes = 1024 * 1024;
	readonly #server: Server;
	readonly #topics = new Map<string, Topic>();

	constructor() {
		this.#server = createServer((request, response) => {
			const url = new URL(request.url ?? '/', 'http://store');
			if (url.pathname === '/api/log-append' && !this.isDown) {
				this.#handleAppend(url.searchParams, request, response);
				return;
			}

			request.resume();
			if (this.isDown) {
				response.writeHead(503).end();
			} else if (url.pathname === '/api/log-newest') {
				this.#handleNewest(url.searchParams, response);
			} else if (url.pathname === '/api/log-read') {
				this.#handleRead(url.searchParams, response);
			} else {
				response.writeHead(404).end();
			}
		});
	}

	/** Listens on a loopback port that the system assigns. */
	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Host and port of the listening store. */
	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Appends a record, which is the newest of its key; an empty value drops the key. */
	put(topicName: string, key: string, value: string): void {
		const topic = this.#getOrCreateTopic(topicName);
		if (value === '') {
			topic.newest.delete(key);
		} else {
			topic.newest.set(key, {value, offset: topic.records.length});
		}

		topic.records.push({key, value});
		for (const respondToRead of topic.pendingReads) {
			respondToRead();
		}
	}

	/** Closes the server and all its connections. */
	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#getOrCreateTopic(name: string): Topic {
		const topic = this.#topics.get(name) ?? {
			records: [],
			newest: new Map(),
			pendingReads: new Set(),
		};
		this.#topics.set(name, topic);
		return topic;
	}

	#handleNewest(parameters: URLSearchParams, response: ServerResponse): void {
		const {newest, records} = this.#getOrCreateTopic(
			parameters.get('topic') ?? '',
		);
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(
			JSON.stringify({
				items: [...newest].map(([key, {value, offset}]) => ({
					key,
					value: Buffer.from(value).toString('base64'),
					offset,
				})),
				hasMore: false,
				endOffset: records.length,
			}),
		);
	}

	#handleAppend(
		parameters: URLSearchParams,
		request: IncomingMessage,
		response: ServerResponse,
	): void {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const topic = parameters.get('topic') ?? '';
			const offset = this.#getOrCreateTopic(topic).records.length;
			const {key, value} = decodeRecord(Buffer.concat(chunks));
			this.put(topic, key, value);
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({offset, endOffset: offset + 1}));
		});
	}

	#handleRead(parameters: URLSearchParams, response: ServerResponse): void {
		const topic = this.#getOrCreateTopic(parameters.get('topic') ?? '');
		const from = Number(parameters.get('from'));
		const respondToRead = () => {
			clearTimeout(timer);
			topic.pendingReads.delete(respondToRead);
			const header = Buffer.alloc(16);
			header.writeBigUInt64BE(BigInt(topic.records.length));
			const records = topic.records
				.slice(from)
				.map(({key, value}) => encodeRecord(key, value));
			let pageBytes = 0;
			const page = records.filter(({length}, index) => {
				pageBytes += length;
				return index === 0 || pageBytes <= this.maxPageBytes;
			});
			response.writeHead(200);
			response.end(Buffer.concat([header, ...page]));
		};

		const timer = setTimeout(respondToRead, Number(parameters.get('waitMs')));
		if (topic.records.length > from) {
			respondToRead();
		} else {
			topic.pendingReads.add(respondToRead);
		}
	}
}

/** Encodes a record: the length of what follows as 32 bits, the length of the key as 8 bits, the key and the value. */
function encodeRecord(key: string, value: string): Uint8Array {
	const keyBytes = Buffer.from(key);
	const valueBytes = Buffer.from(value);
	const header = Buffer.alloc(5);
	header.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
	header.writeUInt8(keyBytes.length, 4);
	return Buffer.concat([header, keyBytes, valueBytes]);
}

/** Decodes the only record in the body of an append. */
function decodeRecord(bytes: Uint8Array): {
	readonly key: string;
	readonly value: string;
} {
	const record = Buffer.from(bytes).subarray(4);
	const keyLength = record.readUInt8(0);
	return {
		key: record.toString('utf8', 1, 1 + keyLength),
		value: record.toString('utf8', 1 + keyLength),
	};
}
