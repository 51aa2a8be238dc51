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

/**
 * Computes the intervals for a number of peers and a delay of the own event loop. A process that is late sends fewer
 * heartbeats and announces it, so that it neither adds to its load nor counts as lost.
 */
export function computeHeartbeatIntervals(
	peerCount: number,
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
			Math.max(legacySlowIntervalMs, perPeerMs.slow * peerCount),
		),
		roundGapMs: Math.max(minRoundGapMs, perPeerMs.roundGap * peerCount),
	};
}

/** The last heartbeat to an address. */
type SentHeartbeat = {readonly sentAtMs: number; readonly intervalMs: number};

/** Decides which addresses are sent a heartbeat, each at its interval. */
export class HeartbeatSchedule {
	#sent: ReadonlyMap<string, SentHeartbeat> = new Map();

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
