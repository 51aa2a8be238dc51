/** The platform's store, as a log of records with keys. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {
	textOf,
	listField,
	parseRecord,
	numberField,
	textField,
	asRecord,
} from './decode.js';
import {HttpHost} from './http-exchange.js';

/** The newest record of a key; without a value the key has been dropped. */
export type KeyedRecord = {
	readonly key: string;
	readonly value: string | undefined;
};

/** Records, and the offset from which to read on. */
export type KeyedPage = {
	readonly records: readonly KeyedRecord[];
	readonly nextOffset: number;
};

/** Why a read has no answer. */
export type StoreFailure = {
	/** `expired`: records from that offset on are gone, so the newest of each key has to be read. */
	readonly code: 'unreachable' | 'refused' | 'expired' | 'bad-answer';
	readonly message: string;
};

const connections = 3;
const callTimeoutMs = 600;
const headBytes = 16;
const lengthBytes = 4;
/** Pages are of 500 keys at most; a store with more than this many pages answers nonsense. */
const mostPages = 100;

/** Reads the platform's store, and writes records of our own topics. */
export class StoreClient {
	readonly #host: HttpHost;

	constructor(address: string) {
		this.#host = new HttpHost(address, connections);
	}

	/** The newest record of each key of a topic. */
	async newest(topic: string): Promise<Result<KeyedPage, StoreFailure>> {
		const records: KeyedRecord[] = [];
		let after: string | undefined;
		// Records that change while pages are read are read again from the first page's offset on.
		let nextOffset: number | undefined;
		for (let page = 0; page < mostPages; page += 1) {
			// eslint-disable-next-line no-await-in-loop -- each page names the next
			const result = await this.#newestPage(topic, after);
			if (result.isErr()) {
				return err(result.error);
			}

			records.push(...result.value.records);
			nextOffset ??= result.value.nextOffset;
			after = result.value.hasMore ? records.at(-1)?.key : undefined;
			if (after === undefined) {
				return ok({records, nextOffset});
			}
		}

		return err({code: 'bad-answer', message: `${topic}: the pages never end`});
	}

	/** Records from an offset on; waits for the first one for `waitMs` at most. */
	async read(
		topic: string,
		from: number,
		waitMs: number,
	): Promise<Result<KeyedPage, StoreFailure>> {
		const exchange = await this.#host.exchange({
			method: 'GET',
			path: `/api/log-read?topic=${topic}&part=0&from=${from}&waitMs=${waitMs}`,
			timeoutMs: callTimeoutMs + waitMs,
		});
		if (exchange.kind !== 'answered') {
			return err({code: 'unreachable', message: exchange.message});
		}

		if (exchange.status === 410) {
			return err({
				code: 'expired',
				message: `${topic}: offset ${from} is gone`,
			});
		}

		return exchange.status === 200
			? decodeRecords(exchange.body, from)
			: err({code: 'refused', message: `status ${exchange.status}`});
	}

	/** Writes the newest record of a key. Without an answer it may have been written, or may be later. */
	async append(
		topic: string,
		key: string,
		value: string,
	): Promise<Result<void, StoreFailure>> {
		const exchange = await this.#host.exchange({
			method: 'POST',
			path: `/api/log-append?topic=${topic}&part=0`,
			headers: {'content-type': 'application/octet-stream'},
			body: encodeKeyed(key, value),
			timeoutMs: callTimeoutMs,
		});
		if (exchange.kind !== 'answered') {
			return err({code: 'unreachable', message: exchange.message});
		}

		return exchange.status === 200
			? ok(undefined)
			: err({code: 'refused', message: `status ${exchange.status}`});
	}

	close(): void {
		this.#host.close();
	}

	async #newestPage(
		topic: string,
		after: string | undefined,
	): Promise<Result<KeyedPage & {readonly hasMore: boolean}, StoreFailure>> {
		// The store calls the key after which to go on `dependsOn`.
		const continued =
			after === undefined ? '' : `&dependsOn=${encodeURIComponent(after)}`;
		const exchange = await this.#host.exchange({
			method: 'GET',
			path: `/api/log-newest?topic=${topic}&part=0${continued}`,
			timeoutMs: callTimeoutMs,
		});
		if (exchange.kind !== 'answered') {
			return err({code: 'unreachable', message: exchange.message});
		}

		if (exchange.status !== 200) {
			return err({code: 'refused', message: `status ${exchange.status}`});
		}

		const record = parseRecord(textOf(exchange.body));
		const nextOffset =
			record === undefined ? undefined : numberField(record, 'endOffset');
		if (record === undefined || nextOffset === undefined) {
			return err({code: 'bad-answer', message: `${topic}: no endOffset`});
		}

		return ok({
			// `items` are records here.
			records: listField(record, 'items').flatMap((item) => decodeItem(item)),
			nextOffset,
			hasMore: record.hasMore === true,
		});
	}
}

function decodeItem(item: unknown): readonly KeyedRecord[] {
	const record = asRecord(item);
	const key = record === undefined ? undefined : textField(record, 'key');
	const value = record === undefined ? undefined : textField(record, 'value');
	return key === undefined || value === undefined
		? []
		: [{key, value: Buffer.from(value, 'base64').toString('utf8')}];
}

/** The end and the first offset, 8 bytes each, then records: a length, and within it a key's length, key and value. */
function decodeRecords(
	bytes: Uint8Array,
	from: number,
): Result<KeyedPage, StoreFailure> {
	const body = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const records: KeyedRecord[] = [];
	let position = headBytes;
	while (position + lengthBytes <= body.length) {
		const start = position + lengthBytes;
		const end = start + body.readUInt32BE(position);
		if (end > body.length) {
			break;
		}

		records.push(decodeKeyed(body.subarray(start, end)));
		position = end;
	}

	return body.length < headBytes
		? err({code: 'bad-answer', message: 'shorter than its head'})
		: ok({records, nextOffset: from + records.length});
}

/** One record as the store takes it: its length, and within it a key's length, key and value. */
function encodeKeyed(key: string, value: string): Uint8Array {
	const keyBytes = Buffer.from(key);
	const valueBytes = Buffer.from(value);
	const head = Buffer.alloc(lengthBytes + 1);
	head.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
	head.writeUInt8(keyBytes.length, lengthBytes);
	return Buffer.concat([head, keyBytes, valueBytes]);
}

function decodeKeyed(bytes: Uint8Array): KeyedRecord {
	const keyLength = bytes[0] ?? 0;
	const value = bytes.subarray(1 + keyLength);
	return {
		key: textOf(bytes.subarray(1, 1 + keyLength)),
		value: value.length === 0 ? undefined : textOf(value),
	};
}
