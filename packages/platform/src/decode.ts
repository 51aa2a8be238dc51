import {Buffer} from 'node:buffer';

/** Decodes bytes as UTF-8. */
export function decodeUtf8(bytes: Uint8Array): string {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString(
		'utf8',
	);
}

/** Returns a value that is an object as a record of unknown values; `undefined` for other values, also for arrays. */
export function asRecord(
	value: unknown,
): Readonly<Record<string, unknown>> | undefined {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		? (value as Readonly<Record<string, unknown>>)
		: undefined;
}

/** Parses a JSON object; `undefined` if the text is not valid JSON or not an object. */
export function parseJsonObject(
	text: string,
): Readonly<Record<string, unknown>> | undefined {
	try {
		return asRecord(JSON.parse(text));
	} catch {
		// Not valid JSON. The calling code reports it, as it has the source of the text.
		return undefined;
	}
}

/** Returns a field that is a string; `undefined` for other values. */
export function stringField(
	record: Readonly<Record<string, unknown>>,
	name: string,
): string | undefined {
	const value = record[name];
	return typeof value === 'string' ? value : undefined;
}

/**
 * Returns a field that is a finite number of at least 0; `undefined` for other values. `defaultValue` stands for a missing
 * field: the platform may omit fields whose value is 0.
 */
export function nonNegativeField(
	record: Readonly<Record<string, unknown>>,
	name: string,
	defaultValue?: number,
): number | undefined {
	const value = record[name] ?? defaultValue;
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
		? value
		: undefined;
}

/** Returns a field that is a list; an empty list for other values. */
export function listField(
	record: Readonly<Record<string, unknown>>,
	name: string,
): readonly unknown[] {
	const value = record[name];
	return Array.isArray(value) ? (value as readonly unknown[]) : [];
}

const maxPort = 65_535;

/** Whether a value is a text `host:port` with a port that a connection can have. */
export function isHostAndPort(value: unknown): value is string {
	const match =
		typeof value === 'string'
			? /^[^:\s]+:(?<port>\d{1,5})$/v.exec(value)
			: null;
	const port = Number(match?.groups?.port ?? 0);
	return port > 0 && port <= maxPort;
}
