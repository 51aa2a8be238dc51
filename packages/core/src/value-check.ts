/** Accepts or rejects a value of unknown type that another process has sent. */
export type ValueCheck = (value: unknown) => boolean;

/** Checks of the fields of an object, by field name. Further fields are accepted, so that later builds can add some. */
export type FieldChecks = Readonly<Record<string, ValueCheck>>;

/** Longest name, address or identifier. */
const maxTextLength = 200;
/** `host:port`. */
const addressPattern = /^[^:\s]+:(?<port>\d{1,5})$/v;
const maxPort = 65_535;

/** A text that is neither empty nor longer than a name or an identifier. */
export const isShortText: ValueCheck = (value) =>
	typeof value === 'string' && value !== '' && value.length <= maxTextLength;

/** Any text. */
export const isText: ValueCheck = (value) => typeof value === 'string';

/** A text `host:port`. */
export const isAddress: ValueCheck = (value) => {
	const match = isShortText(value) ? addressPattern.exec(String(value)) : null;
	const port = Number(match?.groups?.port ?? 0);
	return port > 0 && port <= maxPort;
};

/** `true` or `false`. */
export const isFlag: ValueCheck = (value) => typeof value === 'boolean';

/** Creates a check that also accepts a missing field. */
export const isOptional =
	(check: ValueCheck): ValueCheck =>
	(value) =>
		value === undefined || check(value);

/** Creates a check that accepts numbers from 0 to `largest`. */
export const isNumberUpTo =
	(largest: number): ValueCheck =>
	(value) =>
		typeof value === 'number' && value >= 0 && value <= largest;

/** A number from 0 to the largest safe integer. */
export const isCount: ValueCheck = isNumberUpTo(Number.MAX_SAFE_INTEGER);

/** Creates a check that accepts one of the given texts. */
export const isOneOf =
	(...texts: readonly string[]): ValueCheck =>
	(value) =>
		texts.includes(value as string);

/** Creates a check that accepts lists whose items all satisfy a check. */
export const isListOf =
	(check: ValueCheck, maxLength: number): ValueCheck =>
	(value) =>
		Array.isArray(value) &&
		value.length <= maxLength &&
		value.every((item) => check(item));

/** Creates a check that accepts objects whose fields satisfy checks. */
export const isObjectOf =
	(checks: FieldChecks): ValueCheck =>
	(value) =>
		findWrongField(value, checks) === undefined;

/** Returns the first field of an object that does not satisfy its check, `undefined` if there is none. */
export function findWrongField(
	value: unknown,
	checks: FieldChecks,
): string | undefined {
	if (typeof value !== 'object' || value === null) {
		return 'the value itself';
	}

	const fields = value as Readonly<Record<string, unknown>>;
	return Object.keys(checks).find((name) => !checks[name]!(fields[name]));
}
