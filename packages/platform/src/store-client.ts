import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {
	decodeUtf8,
	listField,
	parseJsonObject,
	nonNegativeField,
	stringField,
	asRecord,
} from './decode.js';
import {HttpHostClient} from './http-exchange.js';

/** A record of a key in a topic. A record without a value deletes the key. */
export type KeyedRecord = {
	readonly key: string;
	readonly value: string | undefined;
};

/** Records of a topic and the offset to continue reading from. */
export type KeyedRecordPage = {
	readonly records: readonly KeyedRecord[];
	readonly nextOffset: number;
	/** Offset after the newest record of the topic; above `nextOffset` if the page was cut short at its largest size. */
	readonly endOffset: number;
};

/** Why a call to the store failed. */
export type StoreFailure = {
	/** `expired`: the store no longer retains the records at the offset, so the newest record of each key must be read. */
	readonly code: 'unreachable' | 'refused' | 'expired' | 'bad-answer';
	readonly message: string;
};

const maxConnections = 3;
/** Timeout of a call, in addition to the requested wait. */
const callTimeoutMs = 600;
/** Length of the two offsets at the start of a response of `log-read`. */
const responseHeaderBytes = 16;
/** Length of the big-endian length prefix of each record. */
const lengthPrefixBytes = 4;
/** Maximum number of pages, of up to 500 keys each; more indicate that the store's paging is faulty. */
const maxPages = 100;

/** Reads topics of the platform's store and writes to those of the dispatcher. */
export class StoreClient {
	readonly #host: HttpHostClient;

	/** `address` is `host:port`. */
	constructor(address: string) {
		this.#host = new HttpHostClient(address, maxConnections);
	}

	/** Reads the newest record of each key of a topic. */
	async readNewest(
		topic: string,
	): Promise<Result<KeyedRecordPage, StoreFailure>> {
		const records: KeyedRecord[] = [];
		let afterKey: string | undefined;
		// Reading continues from the first page's offset, so records that change during the paging are read again.
		let nextOffset: number | undefined;
		for (let page = 0; page < maxPages; page += 1) {
			// eslint-disable-next-line no-await-in-loop -- each request depends on the previous page
			const result = await this.#readNewestPage(topic, afterKey);
			if (result.isErr()) {
				return err(result.error);
			}

			records.push(...result.value.records);
			nextOffset ??= result.value.nextOffset;
			afterKey = result.value.hasMore ? records.at(-1)?.key : undefined;
			if (afterKey === undefined) {
				return ok({records, nextOffset, endOffset: nextOffset});
			}
		}

		return err({
			code: 'bad-answer',
			message: `${topic}: over ${maxPages} pages of newest records`,
		});
	}

	/** Reads records from an offset on; waits up to `waitMs` milliseconds for the first one. */
	async read(
		topic: string,
		fromOffset: number,
		waitMs: number,
	): Promise<Result<KeyedRecordPage, StoreFailure>> {
		const exchange = await this.#host.exchange({
			method: 'GET',
			path: `/api/log-read?topic=${topic}&part=0&from=${fromOffset}&waitMs=${waitMs}`,
			timeoutMs: callTimeoutMs + waitMs,
		});
		if (exchange.kind !== 'answered') {
			return err({code: 'unreachable', message: exchange.message});
		}

		if (exchange.status === 410) {
			return err({
				code: 'expired',
				message: `${topic}: offset ${fromOffset} is no longer retained`,
			});
		}

		return exchange.status === 200
			? decodeRecords(exchange.body, fromOffset)
			: err({
					code: 'refused',
					message: `the store responded with status ${exchange.status}, expected 200`,
				});
	}

	/** Writes a record of a key. After an `unreachable` failure the record may have been written, or may still be written. */
	async append(
		topic: string,
		key: string,
		value: string,
	): Promise<Result<void, StoreFailure>> {
		const exchange = await this.#host.exchange({
			method: 'POST',
			path: `/api/log-append?topic=${topic}&part=0`,
			headers: {'content-type': 'application/octet-stream'},
			body: encodeKeyedRecord(key, value),
			timeoutMs: callTimeoutMs,
		});
		if (exchange.kind !== 'answered') {
			return err({code: 'unreachable', message: exchange.message});
		}

		return exchange.status === 200
			? ok(undefined)
			: err({
					code: 'refused',
					message: `the store responded with status ${exchange.status}, expected 200`,
				});
	}

	/** Closes all connections; calls in progress fail. */
	close(): void {
		this.#host.close();
	}

	async #readNewestPage(
		topic: string,
		afterKey: string | undefined,
	): Promise<
		Result<
			Omit<KeyedRecordPage, 'endOffset'> & {readonly hasMore: boolean},
			StoreFailure
		>
	> {
		// The store's name for the parameter with the last key of the previous page is `dependsOn`.
		const afterParameter =
			afterKey === undefined
				? ''
				: `&dependsOn=${encodeURIComponent(afterKey)}`;
		const exchange = await this.#host.exchange({
			method: 'GET',
			path: `/api/log-newest?topic=${topic}&part=0${afterParameter}`,
			timeoutMs: callTimeoutMs,
		});
		if (exchange.kind !== 'answered') {
			return err({code: 'unreachable', message: exchange.message});
		}

		if (exchange.status !== 200) {
			return err({
				code: 'refused',
				message: `the store responded with status ${exchange.status}, expected 200`,
			});
		}

		const record = parseJsonObject(decodeUtf8(exchange.body));
		const nextOffset =
			record === undefined ? undefined : nonNegativeField(record, 'endOffset');
		if (record === undefined || nextOffset === undefined) {
			return err({
				code: 'bad-answer',
				message: `${topic}: the response has no valid endOffset`,
			});
		}

		return ok({
			// The store's field for the records is `items`.
			records: listField(record, 'items').flatMap((item) =>
				decodeNewestItem(item),
			),
			nextOffset,
			hasMore: record.hasMore === true,
		});
	}
}

function decodeNewestItem(item: unknown): readonly KeyedRecord[] {
	const record = asRecord(item);
	const key = record === undefined ? undefined : stringField(record, 'key');
	const value = record === undefined ? undefined : stringField(record, 'value');
	return key === undefined || value === undefined
		? []
		: [{key, value: Buffer.from(value, 'base64').toString('utf8')}];
}

/**
 * Decodes a response of `log-read`: the end offset and the first offset, 8 bytes each, then records. A record is the length
 * of the rest in 4 bytes, the key's length in 1 byte, the key and the value. An incomplete last record is skipped.
 */
function decodeRecords(
	bytes: Uint8Array,
	fromOffset: number,
): Result<KeyedRecordPage, StoreFailure> {
	const body = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const records: KeyedRecord[] = [];
	let position = responseHeaderBytes;
	while (position + lengthPrefixBytes <= body.length) {
		const start = position + lengthPrefixBytes;
		const end = start + body.readUInt32BE(position);
		if (end > body.length) {
			break;
		}

		records.push(decodeKeyedRecord(body.subarray(start, end)));
		position = end;
	}

	return body.length < responseHeaderBytes
		? err({
				code: 'bad-answer',
				message: 'the response body is shorter than its header',
			})
		: ok({
				records,
				nextOffset: fromOffset + records.length,
				endOffset: Number(body.readBigUInt64BE()),
			});
}

/** Encodes a record for `log-append`, in the format of {@link decodeRecords}. */
function encodeKeyedRecord(key: string, value: string): Uint8Array {
	const keyBytes = Buffer.from(key);
	const valueBytes = Buffer.from(value);
	const prefix = Buffer.alloc(lengthPrefixBytes + 1);
	prefix.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
	prefix.writeUInt8(keyBytes.length, lengthPrefixBytes);
	return Buffer.concat([prefix, keyBytes, valueBytes]);
}

/** Decodes a record without its length prefix. */
function decodeKeyedRecord(bytes: Uint8Array): KeyedRecord {
	const keyLength = bytes[0] ?? 0;
	const value = bytes.subarray(1 + keyLength);
	return {
		key: decodeUtf8(bytes.subarray(1, 1 + keyLength)),
		value: value.length === 0 ? undefined : decodeUtf8(value),
	};
}
