/** The store of the users' platform: topics of keyed records that can be read from an offset on. */
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

type Topic = {
	readonly records: Array<{readonly key: string; readonly value: string}>;
	readonly newest: Map<
		string,
		{readonly value: string; readonly offset: number}
	>;
	readonly waiting: Set<() => void>;
};

/** The store; `isDown` makes it refuse every call. */
export class StoreStandIn {
	isDown = false;
	readonly #server: Server;
	readonly #topics = new Map<string, Topic>();

	constructor() {
		this.#server = createServer((request, response) => {
			const url = new URL(request.url ?? '/', 'http://store');
			if (url.pathname === '/api/log-append' && !this.isDown) {
				this.#append(url.searchParams, request, response);
				return;
			}

			request.resume();
			if (this.isDown) {
				response.writeHead(503).end();
			} else if (url.pathname === '/api/log-newest') {
				this.#newest(url.searchParams, response);
			} else if (url.pathname === '/api/log-read') {
				this.#read(url.searchParams, response);
			} else {
				response.writeHead(404).end();
			}
		});
	}

	async listen(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Writes the newest record of a key; an empty value drops the key. */
	put(topicName: string, key: string, value: string): void {
		const topic = this.#topic(topicName);
		if (value === '') {
			topic.newest.delete(key);
		} else {
			topic.newest.set(key, {value, offset: topic.records.length});
		}

		topic.records.push({key, value});
		for (const wake of topic.waiting) {
			wake();
		}
	}

	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#topic(name: string): Topic {
		const topic = this.#topics.get(name) ?? {
			records: [],
			newest: new Map(),
			waiting: new Set(),
		};
		this.#topics.set(name, topic);
		return topic;
	}

	#newest(parameters: URLSearchParams, response: ServerResponse): void {
		const {newest, records} = this.#topic(parameters.get('topic') ?? '');
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

	#append(
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
			const offset = this.#topic(topic).records.length;
			const {key, value} = decodeRecord(Buffer.concat(chunks));
			this.put(topic, key, value);
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({offset, endOffset: offset + 1}));
		});
	}

	#read(parameters: URLSearchParams, response: ServerResponse): void {
		const topic = this.#topic(parameters.get('topic') ?? '');
		const from = Number(parameters.get('from'));
		const answer = () => {
			clearTimeout(timer);
			topic.waiting.delete(answer);
			const head = Buffer.alloc(16);
			head.writeBigUInt64BE(BigInt(topic.records.length));
			response.writeHead(200);
			response.end(
				Buffer.concat([
					head,
					...topic.records
						.slice(from)
						.map(({key, value}) => encodeRecord(key, value)),
				]),
			);
		};

		const timer = setTimeout(answer, Number(parameters.get('waitMs')));
		if (topic.records.length > from) {
			answer();
		} else {
			topic.waiting.add(answer);
		}
	}
}

function encodeRecord(key: string, value: string): Uint8Array {
	const keyBytes = Buffer.from(key);
	const valueBytes = Buffer.from(value);
	const head = Buffer.alloc(5);
	head.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
	head.writeUInt8(keyBytes.length, 4);
	return Buffer.concat([head, keyBytes, valueBytes]);
}

/** The one record of an append. */
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
