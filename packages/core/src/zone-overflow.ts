import {type PoolAnswer, type PoolJob} from './pool-job.js';
import {estimateWaitMs, type ServiceWaits} from './zone-wait.js';

/** Room for jobs of other zones in a zone, as its leader last reported it. */
export type ZoneRoom = {
	readonly zone: string;
	/** Name of the zone's leader. */
	readonly leader: string;
	/** Free thousandths of a core that no waiting task needs. */
	readonly spareMillis: number;
	/** Projected waits of new jobs in the zone, by service; absent if its leader reports none. */
	readonly waits?: ServiceWaits;
	/** False if a connection to the leader has to be opened first, which takes long while the leader is busy. */
	readonly isConnected?: boolean;
};

/** A job that may go to another zone. */
export type OverflowJob = Pick<PoolJob, 'tasks'> & {
	/** Service whose workers run the job; `undefined` if its queue is not known here. */
	readonly service?: string | undefined;
	/** Time in milliseconds by which the last task has to start for the job to meet its latency objective. */
	readonly slackMs?: number;
};

/** Settings of the overflow between zones. */
export type OverflowSettings = {
	/** Largest number of other zones that a job is sent to. */
	readonly maxOverflows: number;
	/** Time until the leader's report certainly counts a job that was sent to it: two heartbeats. */
	readonly reportDelayMs: number;
	/** Time in milliseconds from a refusal until the leader of another zone has the job. */
	readonly transferMs: number;
	/** Time in milliseconds by which each job that was lately sent to a zone lengthens the wait there. */
	readonly waitPerSentJobMs: number;
	/** Share of a job's slack; with a longer projected wait its own zone lets it go to a zone with room for it at once. */
	readonly balancingShare: number;
};

/** Default settings, for heartbeats every 100 ms. */
export const defaultOverflowSettings: OverflowSettings = {
	maxOverflows: 2,
	reportDelayMs: 200,
	transferMs: 5,
	waitPerSentJobMs: 5,
	balancingShare: 0.6,
};

/**
 * Longest time in milliseconds for which a caller waits for a job in another zone. Callers send a job again 1.3 s after
 * its first arrival at the earliest, to the leader of their own zone, which does not know the runs elsewhere; they must
 * have been stopped by then.
 */
export const maxOverflowPatienceMs = 1200;

/**
 * Decides which other zone gets a job that its own zone refuses or would keep waiting. It goes to a zone that reports room
 * for the whole job or, after a refusal, to the one where it can start soonest if that is in time: under general overload
 * no zone has either, and so no work is added to it.
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
	 * Chooses a zone for a job, and counts the job as sent there: the zone with the most room or, if none has room for all of
	 * its tasks, the one with the shortest wait within the job's slack. Returns `undefined` if there is neither. Of the zones
	 * with room, those with a connected leader go first. `refusedBy` are the leaders that have refused the job.
	 */
	choose(
		job: OverflowJob,
		refusedBy: readonly string[],
		rooms: readonly ZoneRoom[],
		now: number,
	): ZoneRoom | undefined {
		const {maxOverflows} = this.#settings;
		if (refusedBy.length > maxOverflows) {
			return undefined;
		}

		const [best] = this.#sortRoomyZones(job, refusedBy, rooms, now);
		const room =
			best ??
			this.#findShortestWait(
				job,
				rooms.filter(({leader}) => !refusedBy.includes(leader)),
			);
		if (room !== undefined) {
			this.#recent = [
				...this.#recent,
				{zone: room.zone, millis: sumMillis(job), atMs: now},
			];
		}

		return room;
	}

	/**
	 * Returns the longest wait in milliseconds with which the leader of a job's own zone is to admit it: a share of its slack,
	 * if the leader reports a longer wait while another zone has room for all of the job's tasks, else `undefined`. Waiting
	 * that long often ends in a late answer, as estimates are off; so does waiting for a connection. A zone with a leader
	 * that is not connected is passed to `requestConnection` instead.
	 */
	findBalancingWaitMs(
		job: OverflowJob,
		ownWaits: ServiceWaits | undefined,
		{
			findRooms,
			requestConnection,
		}: {
			readonly findRooms: () => readonly ZoneRoom[];
			readonly requestConnection: (zone: string) => void;
		},
		now: number,
	): number | undefined {
		const wait = ownWaits?.[job.service ?? ''];
		const {balancingShare} = this.#settings;
		if (
			wait === undefined ||
			job.slackMs === undefined ||
			estimateWaitMs(wait, job.tasks.length) <= balancingShare * job.slackMs
		) {
			return undefined;
		}

		const rooms = findRooms();
		for (const {zone} of rooms.filter((room) => !isConnected(room))) {
			requestConnection(zone);
		}

		const isRoomy = this.#sortRoomyZones(job, [], rooms, now).some((room) =>
			isConnected(room),
		);
		return isRoomy ? Math.max(0, balancingShare * job.slackMs) : undefined;
	}

	/**
	 * Chooses a zone with room for all tasks of a job that its own zone lets go, and counts the job as sent there. Returns
	 * `undefined` if there is none with a connected leader.
	 */
	chooseBalanced(
		{tasks}: OverflowJob,
		rooms: readonly ZoneRoom[],
		now: number,
	): ZoneRoom | undefined {
		return this.choose(
			{tasks},
			[],
			rooms.filter((room) => isConnected(room)),
			now,
		);
	}

	/**
	 * Chooses the zone for a job whose own zone takes none: the one with the most room left, also if that is too little, as
	 * the job may wait there. Zones without any room take turns. While any leader is connected, only such zones are chosen.
	 */
	chooseSubstitute(
		job: OverflowJob,
		rooms: readonly ZoneRoom[],
		now: number,
	): ZoneRoom | undefined {
		const connectedRooms = rooms.filter((room) => isConnected(room));
		const eligibleRooms = connectedRooms.length > 0 ? connectedRooms : rooms;
		const withRoom = this.choose(job, [], eligibleRooms, now);
		if (withRoom !== undefined || eligibleRooms.length === 0) {
			return withRoom;
		}

		this.#substituteCount += 1;
		return eligibleRooms[this.#substituteCount % eligibleRooms.length];
	}

	/**
	 * Returns the zones with room for all tasks of a job, without those of leaders that have refused it: those with a connected
	 * leader first, then by their room.
	 */
	#sortRoomyZones(
		job: OverflowJob,
		refusedBy: readonly string[],
		rooms: readonly ZoneRoom[],
		now: number,
	): readonly ZoneRoom[] {
		const {reportDelayMs} = this.#settings;
		this.#recent = this.#recent.filter(({atMs}) => now - atMs < reportDelayMs);
		const neededMillis = sumMillis(job);
		return rooms
			.filter(({leader}) => !refusedBy.includes(leader))
			.map((room) => ({room, leftMillis: this.#computeLeftMillis(room)}))
			.filter(({leftMillis}) => leftMillis >= neededMillis && leftMillis > 0)
			.toSorted(
				(left, right) =>
					Number(isConnected(right.room)) - Number(isConnected(left.room)) ||
					right.leftMillis - left.leftMillis,
			)
			.map(({room}) => room);
	}

	/** Finds the zone in which a job starts soonest, if it starts within its slack there. */
	#findShortestWait(
		{tasks, service, slackMs}: OverflowJob,
		rooms: readonly ZoneRoom[],
	): ZoneRoom | undefined {
		const {transferMs, waitPerSentJobMs} = this.#settings;
		const [soonest] = rooms
			.flatMap((room) => {
				const wait = room.waits?.[service ?? ''];
				const sentCount = this.#recent.filter(
					({zone}) => zone === room.zone,
				).length;
				return wait === undefined
					? []
					: [
							{
								room,
								waitMs:
									estimateWaitMs(wait, tasks.length) +
									transferMs +
									sentCount * waitPerSentJobMs,
							},
						];
			})
			.filter(({waitMs}) => waitMs <= (slackMs ?? Number.NEGATIVE_INFINITY))
			.toSorted((left, right) => left.waitMs - right.waitMs);
		return soonest?.room;
	}

	#computeLeftMillis({zone, spareMillis}: ZoneRoom): number {
		return this.#recent
			.filter((sent) => sent.zone === zone)
			.reduce((left, {millis}) => left - millis, spareMillis);
	}
}

function sumMillis({tasks}: OverflowJob): number {
	return tasks.reduce((sum, {needs}) => sum + needs.processorMillis, 0);
}

function isConnected(room: ZoneRoom): boolean {
	return room.isConnected !== false;
}

/**
 * Whether workers of another zone may run a job that a leader has answered like this: it lacks room, and knows that none of its
 * workers runs the job.
 */
export function isRefusedForLackOfRoom(
	answer: PoolAnswer,
): answer is Extract<PoolAnswer, {readonly kind: 'not-run'}> {
	return (
		answer.kind === 'not-run' &&
		(answer.reason === 'overloaded' || answer.reason === 'no-workers') &&
		answer.isUnsettled !== true
	);
}
