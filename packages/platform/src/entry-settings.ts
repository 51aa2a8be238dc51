import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {isHostAndPort} from './decode.js';

/** Settings of an entry VM. The platform fills them into deploy/settings.jsonc. */
export type EntrySettings = {
	readonly name: string;
	readonly zone: string;
	/** Names of all availability zones. */
	readonly zones: readonly string[];
	/** `host:port` that listens for callers. */
	readonly callerAddress: string;
	/** `host:port` that listens for the platform's readiness probe. */
	readonly readinessAddress: string;
	/** `host:port` that listens for other entry VMs. */
	readonly peerAddress: string;
	/** Peer addresses of some entry VMs, through which the process finds the others; they may be out of date. */
	readonly peerSeeds: readonly string[];
	/** `host:port` that serves metrics. */
	readonly metricsAddress: string;
	/** Whether the whole installation starts for the first time and has no callers yet. */
	readonly isFirstStart: boolean;
	/** Processor time that the process may use, in cores. */
	readonly processorShare: number;
	/** `host:port` of the platform's store. */
	readonly storeAddress: string;
	/** Longest lease that workers accept, in milliseconds. */
	readonly workerLeaseMs: number;
	/** Time that a worker takes to stop a run, in milliseconds. */
	readonly workerStopMs: number;
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	readonly stopGraceMs: number;
};

type FieldKind =
	'flag' | 'text' | 'address' | 'positive' | 'texts' | 'addresses';

const fieldKinds: Readonly<Record<keyof EntrySettings, FieldKind>> = {
	name: 'text',
	zone: 'text',
	zones: 'texts',
	callerAddress: 'address',
	readinessAddress: 'address',
	peerAddress: 'address',
	peerSeeds: 'addresses',
	metricsAddress: 'address',
	isFirstStart: 'flag',
	processorShare: 'positive',
	storeAddress: 'address',
	workerLeaseMs: 'positive',
	workerStopMs: 'positive',
	stopGraceMs: 'positive',
};

const isNonEmptyString = (value: unknown): value is string =>
	typeof value === 'string' && value !== '';

const fieldChecks: Readonly<
	Record<
		FieldKind,
		{readonly expected: string; accepts(value: unknown): boolean}
	>
> = {
	flag: {
		expected: 'true or false',
		accepts: (value) => typeof value === 'boolean',
	},
	text: {expected: 'a text that is not empty', accepts: isNonEmptyString},
	address: {expected: 'host:port', accepts: isHostAndPort},
	positive: {
		expected: 'a number above 0',
		accepts: (value) => typeof value === 'number' && value > 0,
	},
	texts: {
		expected: 'a list of texts with at least one entry',
		accepts: (value) =>
			Array.isArray(value) &&
			value.length > 0 &&
			value.every((entry) => isNonEmptyString(entry)),
	},
	addresses: {
		expected: 'a list of host:port',
		accepts: (value) =>
			Array.isArray(value) && value.every((entry) => isHostAndPort(entry)),
	},
};

/** Parses settings from JSON with comments. The error lists each invalid field; unknown fields are dropped. */
export function parseEntrySettings(
	text: string,
): Result<EntrySettings, readonly string[]> {
	const errors: ParseError[] = [];
	const value: unknown = parse(text, errors, {allowTrailingComma: true});
	const [syntaxError] = errors;
	if (syntaxError !== undefined) {
		return err([
			`not JSON with comments: ${printParseErrorCode(syntaxError.error)} at character ${syntaxError.offset}`,
		]);
	}

	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return err(['the settings must be an object']);
	}

	const fields = value as Readonly<Record<string, unknown>>;
	const names = Object.keys(fieldKinds) as ReadonlyArray<keyof EntrySettings>;
	const problems = names.flatMap((name) => {
		const {expected, accepts} = fieldChecks[fieldKinds[name]];
		return accepts(fields[name]) ? [] : [`${name}: must be ${expected}`];
	});
	return problems.length > 0
		? err(problems)
		: ok(
				Object.fromEntries(
					names.map((name) => [name, fields[name]]),
				) as EntrySettings,
			);
}
