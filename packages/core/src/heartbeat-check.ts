/** Longest name, address or identifier that a heartbeat may have. */
const maxTextLength = 200;
/** Largest number of entries in a list of members. */
const maxListedMembers = 4096;
/** Longest interval that a heartbeat may announce, in milliseconds. */
const maxIntervalMs = 60_000;
/** Largest processor share in cores. */
const maxProcessorShare = 1024;
/** Time by which a fencing token may be ahead of this process's clock, in milliseconds; the clocks differ by seconds. */
const maxTokenLeadMs = 3_600_000;
/** Fencing tokens of one millisecond. */
const tokensPerMs = 4000;
/** `host:port`. */
const addressPattern = /^[^:\s]+:\d{1,5}$/v;

type Check = (value: unknown) => boolean;

const isText: Check = (value) =>
	typeof value === 'string' && value !== '' && value.length <= maxTextLength;
const isAddress: Check = (value) =>
	isText(value) && addressPattern.test(String(value));
const isFlag: Check = (value) => typeof value === 'boolean';
const isOptional =
	(check: Check): Check =>
	(value) =>
		value === undefined || check(value);
const isNumberUpTo =
	(largest: number): Check =>
	(value) =>
		typeof value === 'number' && value >= 0 && value <= largest;
const isListOf =
	(check: Check, maxLength: number): Check =>
	(value) =>
		Array.isArray(value) &&
		value.length <= maxLength &&
		value.every((item) => check(item));

/** Returns the first field of an object that does not satisfy its check, `undefined` if there is none. */
function findWrongField(
	value: unknown,
	checks: Readonly<Record<string, Check>>,
): string | undefined {
	if (typeof value !== 'object' || value === null) {
		return 'the value itself';
	}

	const fields = value as Readonly<Record<string, unknown>>;
	return Object.keys(checks).find((name) => !checks[name]!(fields[name]));
}

/** Checks the heartbeats that other entry VMs send before anything relies on them. */
export class HeartbeatCheck {
	readonly #checks: Readonly<Record<string, Check>>;
	/** Largest fencing token that is plausible at the time of the present check. */
	#largestToken = 0;

	/** `zones` are all zones of the installation. */
	constructor(zones: readonly string[]) {
		const knownZones = new Set(zones);
		const isZone: Check = (value) => knownZones.has(value as string);
		const isByZone =
			(check: Check): Check =>
			(value) =>
				typeof value === 'object' &&
				value !== null &&
				Object.entries(value).every(
					([zone, inZone]) => isZone(zone) && check(inZone),
				);
		const isToken: Check = (value) =>
			typeof value === 'number' && value >= 0 && value <= this.#largestToken;
		const isCount = isNumberUpTo(Number.MAX_SAFE_INTEGER);
		const isObjectOf =
			(checks: Readonly<Record<string, Check>>): Check =>
			(value) =>
				findWrongField(value, checks) === undefined;
		const isMember = isObjectOf({
			name: isText,
			zone: isZone,
			address: isAddress,
			processorShare: isOptional(isNumberUpTo(maxProcessorShare)),
			ageMs: isOptional(isCount),
		});
		const isLeader = isObjectOf({
			zone: isZone,
			name: isText,
			address: isAddress,
			token: isToken,
			spareMillis: isOptional(isCount),
		});
		this.#checks = {
			name: isText,
			zone: isZone,
			address: isAddress,
			incarnation: isText,
			intervalMs: (value) => value !== 0 && isNumberUpTo(maxIntervalMs)(value),
			processorShare: isNumberUpTo(maxProcessorShare),
			isStopping: isFlag,
			isWarm: isFlag,
			leads: isByZone(isToken),
			highestToken: isToken,
			hears: isByZone(isToken),
			yields: isByZone(isText),
			scope: isOptional((value) => value === 'region' || value === 'zone'),
			spareMillis: isOptional(isByZone(isCount)),
			isCandidate: isOptional(isFlag),
			leaders: isOptional(isListOf(isLeader, knownZones.size)),
			members: isListOf(isMember, maxListedMembers),
		};
	}

	/** Returns the name of the first field of a heartbeat that is missing or absurd, `undefined` for a sound heartbeat. */
	findProblem(heartbeat: unknown, now: number): string | undefined {
		this.#largestToken = (now + maxTokenLeadMs) * tokensPerMs;
		return findWrongField(heartbeat, this.#checks);
	}
}
