import {
	findWrongField,
	isAddress,
	isCount,
	isFlag,
	isListOf,
	isNumberUpTo,
	isObjectOf,
	isOneOf,
	isOptional,
	isShortText,
	type FieldChecks,
	type ValueCheck,
} from './value-check.js';
import {maxReportedWaitMs} from './zone-wait.js';

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
/** Largest time in a heartbeat, in Unix milliseconds. */
const maxTimeMs = 1e15;
/** Largest position in the store's log; a larger one could never be superseded. */
const maxPosition = 2 ** 50;
/** Checks the heartbeats that other entry VMs send before anything relies on them. */
export class HeartbeatCheck {
	readonly #checks: FieldChecks;
	/** Largest fencing token that is plausible at the time of the present check. */
	#largestToken = 0;

	/** `zones` are all zones of the installation. */
	constructor(zones: readonly string[]) {
		const knownZones = new Set(zones);
		const isZone: ValueCheck = (value) => knownZones.has(value as string);
		const isByZone =
			(check: ValueCheck): ValueCheck =>
			(value) =>
				typeof value === 'object' &&
				value !== null &&
				Object.entries(value).every(
					([zone, inZone]) => isZone(zone) && check(inZone),
				);
		const isToken: ValueCheck = (value) =>
			typeof value === 'number' && value >= 0 && value <= this.#largestToken;
		const isWait = isObjectOf({
			narrowMs: isNumberUpTo(maxReportedWaitMs),
			wideMs: isNumberUpTo(maxReportedWaitMs),
		});
		const isServiceWaits: ValueCheck = (value) =>
			typeof value === 'object' &&
			value !== null &&
			Object.values(value).every((wait) => isWait(wait));
		const isMember = isObjectOf({
			name: isShortText,
			zone: isZone,
			address: isAddress,
			processorShare: isOptional(isNumberUpTo(maxProcessorShare)),
			ageMs: isOptional(isCount),
		});
		const isLeader = isObjectOf({
			zone: isZone,
			name: isShortText,
			address: isAddress,
			token: isToken,
			spareMillis: isOptional(isCount),
			waits: isOptional(isServiceWaits),
		});
		const isEvacuation = isObjectOf({
			zone: isZone,
			isEvacuated: isFlag,
			position: isNumberUpTo(maxPosition),
		});
		const isGrant = isObjectOf({
			epoch: isCount,
			heartbeatSentAtMs: isNumberUpTo(maxTimeMs),
		});
		const isGrants: ValueCheck = (value) =>
			typeof value === 'object' &&
			value !== null &&
			Object.values(value).every((grant) => isGrant(grant));
		this.#checks = {
			name: isShortText,
			zone: isZone,
			address: isAddress,
			incarnation: isShortText,
			intervalMs: (value) => value !== 0 && isNumberUpTo(maxIntervalMs)(value),
			processorShare: isNumberUpTo(maxProcessorShare),
			isStopping: isFlag,
			isWarm: isFlag,
			leads: isByZone(isToken),
			highestToken: isToken,
			hears: isByZone(isToken),
			yields: isByZone(isShortText),
			scope: isOptional(isOneOf('region', 'zone')),
			spareMillis: isOptional(isByZone(isCount)),
			waits: isOptional(isByZone(isServiceWaits)),
			isCandidate: isOptional(isFlag),
			evacuations: isOptional(isListOf(isEvacuation, knownZones.size)),
			leaders: isOptional(isListOf(isLeader, knownZones.size)),
			sentAtMs: isOptional(isNumberUpTo(maxTimeMs)),
			grants: isOptional(isGrants),
			members: isListOf(isMember, maxListedMembers),
		};
	}

	/** Returns the name of the first field of a heartbeat that is missing or absurd, `undefined` for a sound heartbeat. */
	findProblem(heartbeat: unknown, now: number): string | undefined {
		this.#largestToken = (now + maxTokenLeadMs) * tokensPerMs;
		return findWrongField(heartbeat, this.#checks);
	}
}
