import {type PoolAnswer, type PoolJob} from './pool-job.js';

/** Room for jobs of other zones in a zone, as its leader last reported it. */
export type ZoneRoom = {
	readonly zone: string;
	/** Name of the zone's leader. */
	readonly leader: string;
	/** Free thousandths of a core that no waiting task needs. */
	readonly spareMillis: number;
};

/** Settings of the overflow between zones. */
export type OverflowSettings = {
	/** Largest number of other zones that a job is sent to. */
	readonly maxOverflows: number;
	/** Time until the leader's report certainly counts a job that was sent to it: two heartbeats. */
	readonly reportDelayMs: number;
};

/** Default settings, for heartbeats every 100 ms. */
export const defaultOverflowSettings: OverflowSettings = {
	maxOverflows: 2,
	reportDelayMs: 200,
};

/**
 * Longest time in milliseconds for which a caller waits for a job in another zone. Callers send a job again 1.3 s after
 * its first arrival at the earliest, to the leader of their own zone, which does not know the runs elsewhere; they must
 * have been stopped by then.
 */
export const maxOverflowPatienceMs = 1200;

/**
 * Decides which other zone gets a job that the leader of a zone has refused. Only a zone that reports room for the whole
 * job gets it: under general overload no zone does, and so no work is added to it.
 */
export class ZoneOverflow {
	readonly #settings: OverflowSettings;
	/** Jobs that were sent to other zones and that the report of the zone's leader may not count yet, oldest first. */
	#recent: ReadonlyArray<{
		readonly zone: string;
		readonly millis: number;
		readonly atMs: number;
	}> = [];

	/** Number of jobs for which a zone without room was chosen. */
	#substituteCount = 0;

	constructor(settings: OverflowSettings = defaultOverflowSettings) {
		this.#settings = settings;
	}

	/**
	 * Chooses the zone with the most room for a job, and counts the job as sent there. Returns `undefined` if no zone has
	 * room for all of its tasks. `refusedBy` are the leaders that have refused the job.
	 */
	choose(
		job: Pick<PoolJob, 'tasks'>,
		refusedBy: readonly string[],
		rooms: readonly ZoneRoom[],
		now: number,
	): ZoneRoom | undefined {
		const {maxOverflows, reportDelayMs} = this.#settings;
		if (refusedBy.length > maxOverflows) {
			return undefined;
		}

		this.#recent = this.#recent.filter(({atMs}) => now - atMs < reportDelayMs);
		const neededMillis = job.tasks.reduce(
			(sum, {needs}) => sum + needs.processorMillis,
			0,
		);
		const [best] = rooms
			.filter(({leader}) => !refusedBy.includes(leader))
			.map((room) => ({room, leftMillis: this.#computeLeftMillis(room)}))
			.filter(({leftMillis}) => leftMillis >= neededMillis && leftMillis > 0)
			.toSorted((left, right) => right.leftMillis - left.leftMillis);
		if (best !== undefined) {
			this.#recent = [
				...this.#recent,
				{zone: best.room.zone, millis: neededMillis, atMs: now},
			];
		}

		return best?.room;
	}

	/**
	 * Chooses the zone for a job whose own zone takes none: the one with the most room left, also if that is too little, as
	 * the job may wait there. Zones without any room take turns.
	 */
	chooseSubstitute(
		job: Pick<PoolJob, 'tasks'>,
		rooms: readonly ZoneRoom[],
		now: number,
	): ZoneRoom | undefined {
		const withRoom = this.choose(job, [], rooms, now);
		if (withRoom !== undefined || rooms.length === 0) {
			return withRoom;
		}

		this.#substituteCount += 1;
		return rooms[this.#substituteCount % rooms.length];
	}

	#computeLeftMillis({zone, spareMillis}: ZoneRoom): number {
		return this.#recent
			.filter((sent) => sent.zone === zone)
			.reduce((left, {millis}) => left - millis, spareMillis);
	}
}

/** Whether workers of another zone may run a job that a leader has answered like this. */
export function isRefusedForLackOfRoom(answer: PoolAnswer): boolean {
	return (
		answer.kind === 'not-run' &&
		(answer.reason === 'overloaded' || answer.reason === 'no-workers')
	);
}
