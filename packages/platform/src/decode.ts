/** Reading of values that come from outside. */
import {Buffer} from 'node:buffer';

/** Bytes as UTF-8 text. */
export function textOf(bytes: Uint8Array): string {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString(
		'utf8',
	);
}

/** A value that is an object, as a record of unknown values. */
export function asRecord(
	value: unknown,
): Readonly<Record<string, unknown>> | undefined {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		? (value as Readonly<Record<string, unknown>>)
		: undefined;
}

/** JSON text as a record; `undefined` when it is not an object. */
export function parseRecord(
	text: string,
): Readonly<Record<string, unknown>> | undefined {
	try {
		return asRecord(JSON.parse(text));
	} catch {
		// Not JSON: the caller reports it with the place where the text came from.
		return undefined;
	}
}

/** A field that is a text. */
export function textField(
	record: Readonly<Record<string, unknown>>,
	name: string,
): string | undefined {
	const value = record[name];
	return typeof value === 'string' ? value : undefined;
}

/** A field that is a number of at least 0; platform fields whose value is 0 may be left out. */
export function numberField(
	record: Readonly<Record<string, unknown>>,
	name: string,
	defaultValue?: number,
): number | undefined {
	const value = record[name] ?? defaultValue;
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
		? value
		: undefined;
}

/** A field that is a list. */
export function listField(
	record: Readonly<Record<string, unknown>>,
	name: string,
): readonly unknown[] {
	const value = record[name];
	return Array.isArray(value) ? (value as readonly unknown[]) : [];
}
