import {
	computeAnswerWindowMs,
	maxOverflowPatienceMs,
	type DesiredState,
	type Leadership,
	type PoolAnswer,
	type PoolJob,
	type PoolScheduler,
	type PoolScope,
	type ServiceWaits,
	type ZoneRoom,
} from '@verbenarouter/core';
import {type PoolMessage} from '@verbenarouter/peer';
import {PendingJobs, type PendingJob} from '../pool/pending-jobs.js';
import {ZoneRouter, defaultRunMs} from '../pool/zone-router.js';

const maxSendDelayMs = 900;
const retryMs = 1000;
const resubmitDelayMs = 120;

/** What a {@link ReceiverModel} needs of its entry VM. */
export type ReceiverModelOptions = {
	readonly name: string;
	readonly zone: string;
	readonly zones: readonly string[];
	readonly leadership: Leadership;
	readonly scheduler: PoolScheduler;
	readonly desiredState: DesiredState;
	readonly now: () => number;
	readonly readScope: () => PoolScope;
	readonly isOpen: (name: string) => boolean;
	readonly findRooms: () => readonly ZoneRoom[];
	readonly findOwnWaits: () => ServiceWaits | undefined;
	readonly send: (name: string, message: PoolMessage) => void;
	readonly setTimer: (delayMs: number, run: () => void) => void;
	readonly log: (line: string) => void;
};

/**
 * The part of `PoolNode` that receives jobs from callers and submits them to leaders, without network. It mirrors the
 * methods of the same names there.
 */
export class ReceiverModel {
	readonly pendingJobs = new PendingJobs();
	/** Name of the live leader of the own zone. */
	leader: string | undefined;
	readonly #options: ReceiverModelOptions;
	readonly #zoneRouter: ZoneRouter;
	#attemptCount = 0;

	constructor(options: ReceiverModelOptions) {
		this.#options = options;
		this.#zoneRouter = new ZoneRouter(
			this.pendingJobs,
			() => ({
				ownZone: options.zone,
				zoneCount: options.zones.length,
				scope: options.readScope(),
				desiredState: options.desiredState,
				evacuatedZones: new Set(),
				findRooms: options.findRooms,
				requestConnection() {
					// All entry VMs of the model are connected to each other.
				},
				ownWaits: options.findOwnWaits(),
			}),
			({event, id, zone}) => {
				options.log(
					`${options.name} ${event} ${String(id)} to ${String(zone)}`,
				);
			},
		);
	}

	submit(
		submitted: Omit<PoolJob, 'attempt'>,
		incarnation: string,
		resolve: (answer: PoolAnswer) => void,
	): void {
		this.#attemptCount += 1;
		const job = {...submitted, attempt: `${incarnation}/${this.#attemptCount}`};
		const {pending, isNew} = this.pendingJobs.add(
			job,
			resolve,
			this.#options.now(),
		);
		if (isNew) {
			this.sendToLeader(pending);
		}
	}

	handleCallerDisconnect(id: string, isReset: boolean): void {
		const pending = this.pendingJobs.get(id);
		if (pending === undefined) {
			return;
		}

		const isContinued =
			isReset &&
			(pending.overflowZone === undefined || pending.resolvers.length > 1);
		if (isContinued) {
			pending.hasLostCaller = true;
			return;
		}

		this.pendingJobs.remove(id);
		if (pending.sentTo !== undefined) {
			this.#cancelAtLeader(pending.sentTo, id);
		}
	}

	/** Handles the messages of leaders to receivers; returns whether it was one. */
	receive(from: string, message: PoolMessage): boolean {
		if (message.type === 'resubmit') {
			if (message.attempt !== undefined) {
				this.pendingJobs.markUntouched(message.id, from, message.attempt);
			}

			this.#options.setTimer(resubmitDelayMs, () => {
				const pending = this.pendingJobs.get(message.id);
				if (pending?.sentTo === from) {
					this.sendToLeader(pending);
				}
			});
			return true;
		}

		if (message.type === 'untouched') {
			this.pendingJobs.markUntouched(message.id, from, message.attempt);
			return true;
		}

		if (message.type === 'answer') {
			this.receiveAnswer(from, message.id, message.answer);
			return true;
		}

		if (message.type === 'progress') {
			this.addCompletedTasks(from, message.id, message.doneTasks);
			return true;
		}

		return false;
	}

	addCompletedTasks(
		leader: string,
		id: string,
		doneTasks: readonly string[],
	): void {
		const pending = this.pendingJobs.get(id);
		if (pending === undefined) {
			return;
		}

		const allDoneTasks = [...new Set([...pending.doneTasks, ...doneTasks])];
		const hasNewTasks = allDoneTasks.length > pending.doneTasks.length;
		pending.doneTasks = allDoneTasks;
		if (
			hasNewTasks &&
			pending.sentTo !== undefined &&
			pending.sentTo !== leader
		) {
			this.sendToLeader(pending);
		}
	}

	sendToLeader(pending: PendingJob): void {
		const {name, zone, scheduler, leadership} = this.#options;
		const now = this.#options.now();
		if (!this.#zoneRouter.prepare(pending, now)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		const leader = this.#findLeaderFor(pending);
		if (leader === undefined || !this.#canReach(leader)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		if (pending.sentTo !== undefined && pending.sentTo !== leader) {
			this.#releaseAtLeader(pending.sentTo, pending.job.id);
		}

		const {earlierToken} = pending;
		const leaderToken =
			leadership.findLeader(pending.overflowZone ?? zone, now)?.token ?? 0;
		const isResubmitted = this.pendingJobs.markSent(
			pending,
			{name: leader, token: leaderToken},
			this.#findZonesForJob(pending),
		);
		const {doneTasks, zones, refusedBy, lostRuns} = pending;
		const job = {
			...pending.job,
			waitedMs: now - pending.receivedAtMs,
			leaderToken,
			...(earlierToken === undefined ? {} : {earlierToken}),
			...(doneTasks.length > 0 ? {doneTasks} : {}),
			...(lostRuns.length > 0 ? {lostRuns} : {}),
			...(zones === undefined ? {} : {zones}),
			...(refusedBy.length > 0 ? {refusingZones: refusedBy.length} : {}),
			...(pending.overflowZone === undefined
				? {}
				: {
						patienceMs: Math.min(pending.job.patienceMs, maxOverflowPatienceMs),
					}),
		};
		this.#logSubmission(pending, leader, isResubmitted);
		if (leader === name) {
			scheduler.submit(job, leader, isResubmitted, now);
		} else {
			this.#options.send(leader, {type: 'submit', job, isResubmitted});
		}
	}

	/** Resubmits pending jobs if the leader of the own zone or of one that has such jobs has changed. */
	updateOwnLeader(): void {
		const {leadership, zone, log} = this.#options;
		const now = this.#options.now();
		const name = leadership.findLeader(zone, now)?.name;
		if (name !== this.leader) {
			this.leader = name;
			log(`${this.#options.name} follows ${name ?? 'none'}`);
			this.#resubmitPendingJobs(({overflowZone}) => overflowZone === undefined);
		}

		this.#resubmitPendingJobs(
			(pending) =>
				pending.overflowZone !== undefined &&
				(pending.withoutLeaderSinceMs !== undefined ||
					this.#findLeaderFor(pending) !== pending.sentTo),
		);
	}

	handleOpen(name: string): void {
		this.#resubmitPendingJobs(
			(pending) =>
				this.#findLeaderFor(pending) === name ||
				(pending.overflowZone !== undefined && pending.sentTo === undefined),
		);
	}

	answerExpiredJobs(): void {
		const now = this.#options.now();
		for (const pending of this.pendingJobs.all) {
			const {job, sentTo, withoutLeaderSinceMs, receivedAtMs} = pending;
			const maxDelayMs = Math.min(maxSendDelayMs, this.#computeSlackMs(job));
			if (
				withoutLeaderSinceMs !== undefined &&
				now - withoutLeaderSinceMs > maxDelayMs
			) {
				this.pendingJobs.answer(
					job.id,
					sentTo === undefined
						? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
						: {kind: 'may-have-run', reason: 'leader-lost'},
				);
			} else if (now - receivedAtMs > job.patienceMs + retryMs) {
				this.pendingJobs.answer(job.id, {
					kind: 'may-have-run',
					reason: 'deadline-exceeded',
				});
			}
		}
	}

	answerRemainingJobs(): void {
		for (const {job, sentTo} of this.pendingJobs.all) {
			if (sentTo !== undefined) {
				this.#cancelAtLeader(sentTo, job.id);
			}

			this.pendingJobs.answer(
				job.id,
				sentTo === undefined
					? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
					: {kind: 'may-have-run', reason: 'stopping'},
			);
		}
	}

	receiveAnswer(leader: string, id: string, answer: PoolAnswer): void {
		const pending = this.pendingJobs.get(id);
		const sentTo = pending?.sentTo;
		const acceptedAnswer = this.pendingJobs.filterAnswer(id, leader, answer);
		if (
			pending === undefined ||
			acceptedAnswer === undefined ||
			this.#sendToOtherZone(pending, leader, acceptedAnswer)
		) {
			return;
		}

		this.pendingJobs.answer(id, acceptedAnswer);
		if (sentTo !== undefined && sentTo !== leader) {
			this.#cancelAtLeader(sentTo, id);
		}
	}

	#logSubmission(
		{job, zones}: PendingJob,
		leader: string,
		isResubmitted: boolean,
	): void {
		const place = zones?.join('+') ?? 'all zones';
		this.#options.log(
			`${this.#options.name} submits ${job.id} to ${leader} for ${place}${isResubmitted ? ' again' : ''}`,
		);
	}

	#sendToOtherZone(
		pending: PendingJob,
		leader: string,
		answer: PoolAnswer,
	): boolean {
		const isRedirected = this.#zoneRouter.redirectRefused(
			pending,
			leader,
			answer,
			this.#options.now(),
		);
		if (isRedirected) {
			this.sendToLeader(pending);
		}

		return isRedirected;
	}

	#findZonesForJob({overflowZone}: PendingJob): readonly string[] | undefined {
		return this.#options.readScope() === 'zone'
			? [overflowZone ?? this.#options.zone]
			: undefined;
	}

	#findLeaderFor({overflowZone}: PendingJob): string | undefined {
		return overflowZone === undefined
			? this.leader
			: this.#options.leadership.findLeader(overflowZone, this.#options.now())
					?.name;
	}

	#canReach(leader: string): boolean {
		return leader === this.#options.name || this.#options.isOpen(leader);
	}

	#resubmitPendingJobs(isSelected: (pending: PendingJob) => boolean): void {
		for (const pending of this.pendingJobs.all.filter((other) =>
			isSelected(other),
		)) {
			pending.withoutLeaderSinceMs ??= this.#options.now();
			this.sendToLeader(pending);
		}
	}

	#computeSlackMs({queue: name, tasks, patienceMs}: PoolJob): number {
		const queue = this.#options.desiredState.queues.find(
			(other) => other.name === name,
		);
		const longestMs = Math.max(
			...tasks.map(({declaredMs}) => declaredMs),
			defaultRunMs,
		);
		return queue === undefined
			? 0
			: computeAnswerWindowMs(queue, longestMs, patienceMs) - longestMs;
	}

	#releaseAtLeader(leader: string, id: string): void {
		const {name, scheduler, now, send} = this.#options;
		if (leader === name) {
			scheduler.release(id, leader, now());
		} else {
			send(leader, {type: 'cancel', id, reason: 'moved'});
		}
	}

	#cancelAtLeader(leader: string, id: string): void {
		const {name, scheduler, now, send} = this.#options;
		if (leader === name) {
			scheduler.cancel(id, 'caller-left', leader, now());
		} else {
			send(leader, {type: 'cancel', id, reason: 'caller-left'});
		}
	}
}
