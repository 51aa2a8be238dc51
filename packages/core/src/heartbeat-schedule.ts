import {type Heartbeat} from './leadership.js';

/** Intervals of heartbeats, in milliseconds. */
export type HeartbeatIntervals = {
	/** From and to a leader. */
	readonly fastMs: number;
	/** Among all while a zone has no live leader. */
	readonly electionMs: number;
	/** Among followers, which need them only to select the next leader. */
	readonly slowMs: number;
	/** Between two rounds of heartbeats to all that changes cause. */
	readonly roundGapMs: number;
};

/** Interval of fast heartbeats; silence of four counts as the loss of a leader. */
const fastIntervalMs = 100;
/** Shortest interval among followers, and the longest that entry VMs of earlier versions accept from any peer. */
export const legacySlowIntervalMs = 400;
/** Longest interval among followers. */
const maxSlowIntervalMs = 2000;
/** Shortest time between rounds of heartbeats to all. */
const minRoundGapMs = 40;
/** Milliseconds of each interval for each peer, from the size on at which these are longer: they bound messages a second. */
const perPeerMs = {election: 8, slow: 40, roundGap: 3} as const;
/** Delay of the event loop from which heartbeats are sent less often; peers bear shorter ones without that. */
const lateMs = 150;

/** Numbers that bound the messages a second of one entry VM and of its peers. */
export type OverlaySize = {
	/** Entry VMs that this one is connected to. */
	readonly peerCount: number;
	/** Other entry VMs of the installation: a candidate hears as many of them as are in its zone. */
	readonly memberCount: number;
};

/**
 * Computes the intervals for a size and a delay of the own event loop. A process that is late sends fewer heartbeats and
 * announces it, so that it neither adds to its load nor counts as lost.
 */
export function computeHeartbeatIntervals(
	{peerCount, memberCount}: OverlaySize,
	eventLoopDelayMs: number,
): HeartbeatIntervals {
	const lengthen = (intervalMs: number) =>
		eventLoopDelayMs < lateMs
			? intervalMs
			: Math.max(intervalMs, legacySlowIntervalMs);
	return {
		fastMs: lengthen(fastIntervalMs),
		electionMs: lengthen(
			Math.min(
				legacySlowIntervalMs,
				Math.max(fastIntervalMs, perPeerMs.election * peerCount),
			),
		),
		slowMs: Math.min(
			maxSlowIntervalMs,
			Math.max(legacySlowIntervalMs, perPeerMs.slow * memberCount),
		),
		roundGapMs: Math.max(minRoundGapMs, perPeerMs.roundGap * peerCount),
	};
}

/** The state of an entry VM by which it selects the intervals of its heartbeats. */
export type HeartbeatSender = {
	readonly zone: string;
	/** Zones that the entry VM leads. */
	readonly ledZones: ReadonlyMap<string, unknown>;
	/** Whether a zone that the entry VM may have to lead, or its own one, has no live leader. */
	readonly isElecting: boolean;
};

/** The recipient of a heartbeat. */
export type HeartbeatRecipient = {
	/** The newest heartbeat of the recipient; `undefined` while none arrives. */
	readonly heartbeat: Heartbeat | undefined;
	/** Zone of the recipient; `undefined` if it is unknown. */
	readonly zone: string | undefined;
	/** Whether the recipient accepts intervals of more than 400 ms. */
	readonly acceptsSlowIntervals: boolean;
};

/** Selects the interval of heartbeats: the fast one between a leader and the entry VMs of its zones, and among leaders. */
export function selectHeartbeatInterval(
	{zone: ownZone, ledZones, isElecting}: HeartbeatSender,
	{heartbeat, zone, acceptsSlowIntervals}: HeartbeatRecipient,
	{fastMs, electionMs, slowMs}: HeartbeatIntervals,
): number {
	const isLeader = ledZones.size > 0;
	const isPeerLeader =
		heartbeat !== undefined && Object.keys(heartbeat.leads).length > 0;
	const isDependent =
		heartbeat === undefined
			? isLeader && (zone === undefined || ledZones.has(zone))
			: ledZones.has(heartbeat.zone) ||
				(isLeader && isPeerLeader) ||
				heartbeat.leads[ownZone] !== undefined;
	if (isDependent) {
		return fastMs;
	}

	if (isElecting) {
		return electionMs;
	}

	return heartbeat !== undefined &&
		!isLeader &&
		!isPeerLeader &&
		acceptsSlowIntervals
		? slowMs
		: legacySlowIntervalMs;
}

/** The last heartbeat to an address. */
type SentHeartbeat = {readonly sentAtMs: number; readonly intervalMs: number};

/** Decides which addresses are sent a heartbeat, each at its interval. */
export class HeartbeatSchedule {
	#sent: ReadonlyMap<string, SentHeartbeat> = new Map();

	/** Time of the next heartbeat while the addresses and their intervals stay the same; infinite if there are none. */
	get nextDueMs(): number {
		return Math.min(
			...[...this.#sent.values()].map(
				({sentAtMs, intervalMs}) => sentAtMs + intervalMs,
			),
		);
	}

	/**
	 * Returns the addresses that are due, by the interval to announce, and records that they are sent one. `intervals` has
	 * the present interval of each address. An address whose interval has become longer is due when the one that was
	 * announced to it has passed.
	 */
	takeDue(
		intervals: ReadonlyMap<string, number>,
		now: number,
	): ReadonlyMap<number, ReadonlySet<string>> {
		const due = new Map<number, Set<string>>();
		const sent = new Map<string, SentHeartbeat>();
		for (const [address, intervalMs] of intervals) {
			const last = this.#sent.get(address);
			const isDue =
				last === undefined ||
				now - last.sentAtMs >= Math.min(intervalMs, last.intervalMs);
			if (isDue) {
				const addresses = due.get(intervalMs) ?? new Set();
				addresses.add(address);
				due.set(intervalMs, addresses);
			}

			sent.set(address, isDue ? {sentAtMs: now, intervalMs} : last);
		}

		this.#sent = sent;
		return due;
	}

	/** Makes all addresses due. */
	reset(): void {
		this.#sent = new Map();
	}
}
