/** Settings of an entry VM on the users' platform, which fills them into deploy/settings.jsonc. */
import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';

/** Settings of an entry VM. */
export type EntrySettings = {
	readonly name: string;
	readonly zone: string;
	/** Names of all zones. */
	readonly zones: readonly string[];
	/** `host:port` for callers. */
	readonly callerAddress: string;
	/** `host:port` for the platform's readiness probe. */
	readonly readinessAddress: string;
	/** `host:port` for other entry VMs. */
	readonly peerAddress: string;
	/** Peer addresses of some entry VMs; they may be out of date. */
	readonly peerSeeds: readonly string[];
	/** `host:port` for metrics. */
	readonly metricsAddress: string;
	/** Whether the whole installation starts for the first time, so that no callers come yet. */
	readonly isFirstStart: boolean;
	/** Share of a core that the process may use. */
	readonly processorShare: number;
	/** `host:port` of the platform's store. */
	readonly storeAddress: string;
	/** Longest lease of a worker, in milliseconds. */
	readonly workerLeaseMs: number;
	/** Time that a worker takes for a stop, in milliseconds. */
	readonly workerStopMs: number;
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	readonly stopGraceMs: number;
};

type Kind = 'flag' | 'text' | 'address' | 'positive' | 'texts' | 'addresses';

const kinds: Readonly<Record<keyof EntrySettings, Kind>> = {
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

const isText = (value: unknown): value is string =>
	typeof value === 'string' && value !== '';
const isAddress = (value: unknown): boolean =>
	isText(value) && /^[^:\s]+:\d{1,5}$/v.test(value);

const checks: Readonly<
	Record<Kind, {readonly expected: string; accepts(value: unknown): boolean}>
> = {
	flag: {
		expected: 'true or false',
		accepts: (value) => typeof value === 'boolean',
	},
	text: {expected: 'a text that is not empty', accepts: isText},
	address: {expected: 'host:port', accepts: isAddress},
	positive: {
		expected: 'a number above 0',
		accepts: (value) => typeof value === 'number' && value > 0,
	},
	texts: {
		expected: 'a list of texts with at least one entry',
		accepts: (value) =>
			Array.isArray(value) &&
			value.length > 0 &&
			value.every((entry) => isText(entry)),
	},
	addresses: {
		expected: 'a list of host:port',
		accepts: (value) =>
			Array.isArray(value) && value.every((entry) => isAddress(entry)),
	},
};

/** Reads settings from JSON with comments; an error names each field that is wrong. Unknown fields are left out. */
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
	const names = Object.keys(kinds) as ReadonlyArray<keyof EntrySettings>;
	const problems = names.flatMap((name) => {
		const {expected, accepts} = checks[kinds[name]];
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
