import {
	ZoneOverflow,
	isRefusedForLackOfRoom,
	type DesiredState,
	type OverflowJob,
	type PoolAnswer,
	type PoolScope,
	type ServiceWaits,
	type ZoneRoom,
} from '@verbenarouter/core';
import {type LogFields} from '../logger.js';
import {type PendingJob, type PendingJobs} from './pending-jobs.js';

/** What the choice of a zone depends on at present. */
export type ZoneView = {
	/** Zone of this entry VM. */
	readonly ownZone: string;
	/** Number of zones of the installation. */
	readonly zoneCount: number;
	readonly scope: PoolScope;
	readonly desiredState: DesiredState | undefined;
	readonly evacuatedZones: ReadonlySet<string>;
	/** Finds the room in the other zones, as their leaders report it. */
	readonly findRooms: () => readonly ZoneRoom[];
	/** Opens a connection to the leader of a zone, for later jobs. */
	readonly requestConnection: (zone: string) => void;
	/** Waits in the own zone, as its leader reports them to this entry VM; `undefined` if it leads the zone itself. */
	readonly ownWaits: ServiceWaits | undefined;
};

/** Assumed run time of tasks without an estimate, and lower bound for a job's longest task, in milliseconds. */
export const defaultRunMs = 50;

/** Directs the jobs of one receiver to other zones: while its own is evacuated, about to be full, or has refused them. */
export class ZoneRouter {
	readonly #overflow = new ZoneOverflow();
	readonly #pendingJobs: PendingJobs;
	readonly #readView: (now: number) => ZoneView;
	readonly #writeLog: (fields: LogFields) => void;

	constructor(
		pendingJobs: PendingJobs,
		readView: (now: number) => ZoneView,
		writeLog: (fields: LogFields) => void,
	) {
		this.#pendingJobs = pendingJobs;
		this.#readView = readView;
		this.#writeLog = writeLog;
	}

	/**
	 * Directs a job that the leader of its own, evacuated zone has refused to another zone; one that waits for a connection to
	 * the leader of another zone is directed anew if there is one with a connection. Returns false if the job has to wait
	 * until a leader of another zone is known. The leader of the own zone is asked first in any case: of all leaders only it
	 * can tell that the job is no copy of one that runs in the zone.
	 */
	prepare(pending: PendingJob, now: number): boolean {
		if (pending.sentTo !== undefined) {
			return true;
		}

		const view = this.#readView(now);
		if (pending.overflowZone !== undefined) {
			if (!isBetterConnected(pending, view)) {
				return true;
			}

			pending.overflowZone = undefined;
		}

		if (
			!isOwnZoneEvacuated(view) ||
			view.evacuatedZones.size === view.zoneCount ||
			pending.isBalanced ||
			pending.refusedBy.length === 0
		) {
			return true;
		}

		const rooms = findOpenRooms(view);
		for (const {zone} of rooms.filter(
			({isConnected}) => isConnected === false,
		)) {
			view.requestConnection(zone);
		}

		const room = this.#overflow.chooseSubstitute(
			toOverflowJob(pending, view, now),
			rooms,
			now,
		);
		if (room === undefined) {
			return false;
		}

		pending.overflowZone = room.zone;
		this.#log('rerouted', pending, room, {reason: 'zone-evacuated'});
		return true;
	}

	/**
	 * Directs a job that a leader has refused for lack of room to the leader of a zone that can run it; returns whether the job
	 * is to be sent again.
	 */
	redirectRefused(
		pending: PendingJob,
		leader: string,
		answer: PoolAnswer,
		now: number,
	): boolean {
		const view = this.#readView(now);
		if (
			view.scope !== 'zone' ||
			pending.callerLostAtMs !== undefined ||
			!this.#pendingJobs.isRefusedForCertain(pending, leader)
		) {
			return false;
		}

		if (isTooLongForOtherZone(pending, answer)) {
			this.#pendingJobs.redirect(pending, leader, undefined);
			return true;
		}

		if (!isRefusedForLackOfRoom(answer)) {
			return false;
		}

		if (answer.isBalanced === true) {
			this.#balance(pending, view, now);
			return true;
		}

		const isEvacuated = isOwnZoneEvacuated(view);
		const wasAtHome = pending.overflowZone === undefined;
		if (!wasAtHome && pending.refusedBy.length === 0 && !isEvacuated) {
			// The leader of its own zone let the job go, and may admit it now.
			this.#pendingJobs.redirect(pending, leader, undefined);
			return true;
		}

		if (wasAtHome && isEvacuated && view.evacuatedZones.size < view.zoneCount) {
			this.#pendingJobs.redirect(pending, leader, undefined);
			pending.isBalanced = false;
			return true;
		}

		const room = this.#overflow.choose(
			toOverflowJob(pending, view, now),
			[...pending.refusedBy, leader],
			findOpenRooms(view),
			now,
		);
		if (room === undefined) {
			return false;
		}

		this.#log('overflow', pending, room, {
			refusedBy: leader,
			waitedMs: Math.round(now - pending.receivedAtMs),
		});
		this.#pendingJobs.redirect(pending, leader, room.zone);
		return true;
	}

	/**
	 * Returns the longest wait in milliseconds with which the leader of the own zone is to admit a job that goes to it first;
	 * `undefined` if it may wait for as long as its objective allows.
	 */
	findBalancingWaitMs(pending: PendingJob, now: number): number | undefined {
		const view = this.#readView(now);
		if (
			view.scope !== 'zone' ||
			pending.overflowZone !== undefined ||
			pending.isBalanced ||
			pending.refusedBy.length > 0 ||
			pending.leaders.size > 0
		) {
			return undefined;
		}

		return this.#overflow.findBalancingWaitMs(
			toOverflowJob(pending, view, now),
			view.ownWaits,
			{
				findRooms: () => findOpenRooms(view),
				requestConnection: view.requestConnection,
			},
			now,
		);
	}

	/** Directs a job that the leader of its own zone lets go to a zone with room, or home again if none has any by now. */
	#balance(pending: PendingJob, view: ZoneView, now: number): void {
		const room = this.#overflow.chooseBalanced(
			pending.job,
			findOpenRooms(view),
			now,
		);
		if (room !== undefined) {
			this.#log('balanced', pending, room, {});
		}

		this.#pendingJobs.letGo(pending, room?.zone);
	}

	#log(
		event: string,
		{job}: PendingJob,
		{zone, leader, spareMillis}: ZoneRoom,
		details: Readonly<Record<string, string | number>>,
	): void {
		this.#writeLog({
			event,
			id: job.id,
			zone,
			leader,
			spareMillis,
			...details,
		});
	}
}

/** Whether the operator has asked that nothing be started in the own zone while each zone has its own leader. */
export function isOwnZoneEvacuated({
	scope,
	ownZone,
	evacuatedZones,
}: Pick<ZoneView, 'scope' | 'ownZone' | 'evacuatedZones'>): boolean {
	return scope === 'zone' && evacuatedZones.has(ownZone);
}

/**
 * Whether the leader of another zone has refused a job that its own zone let go because it takes longer than callers wait for
 * jobs in other zones; in its own zone it has more time.
 */
function isTooLongForOtherZone(
	{overflowZone, refusedBy, isBalanced}: PendingJob,
	answer: PoolAnswer,
): boolean {
	return (
		answer.kind === 'not-run' &&
		answer.reason === 'deadline-impossible' &&
		answer.isUnsettled !== true &&
		isBalanced &&
		overflowZone !== undefined &&
		refusedBy.length === 0
	);
}

function findOpenRooms({
	findRooms,
	evacuatedZones,
}: ZoneView): readonly ZoneRoom[] {
	return findRooms().filter(({zone}) => !evacuatedZones.has(zone));
}

/** Whether a job of an evacuated zone waits for a connection to the leader of one zone while another's is connected. */
function isBetterConnected(
	{overflowZone, refusedBy}: PendingJob,
	view: ZoneView,
): boolean {
	if (!isOwnZoneEvacuated(view) || refusedBy.length > 1) {
		return false;
	}

	const rooms = findOpenRooms(view);
	return (
		rooms.some(
			({zone, isConnected}) => zone === overflowZone && isConnected === false,
		) &&
		rooms.some(
			({zone, isConnected}) => zone !== overflowZone && isConnected === true,
		)
	);
}

/** Returns what the choice of another zone needs to know of a job. */
function toOverflowJob(
	{job, receivedAtMs}: PendingJob,
	{desiredState}: ZoneView,
	now: number,
): OverflowJob {
	const queue = desiredState?.queues.find(({name}) => name === job.queue);
	const longestMs = Math.max(
		...job.tasks.map(({declaredMs}) => declaredMs),
		defaultRunMs,
	);
	return queue === undefined
		? job
		: {
				tasks: job.tasks,
				service: queue.service,
				slackMs:
					(queue.stretch - 1) * longestMs +
					queue.latencyMs -
					(now - receivedAtMs),
			};
}
