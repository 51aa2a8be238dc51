import {
	computeAnswerWindowMs,
	maxOverflowPatienceMs,
	type HeartbeatTimes,
	type LostRun,
	type PoolAnswer,
	type PoolJob,
	type ReceiverGrant,
	type ZoneLeader,
} from '@verbenarouter/core';
import {type PoolMessage} from '@verbenarouter/peer';
import {type LogFields} from '../logger.js';
import {GivenUpJobs, type GiveUpReason} from './given-up-jobs.js';
import {LeaderGrants} from './leader-grants.js';
import {LeftJobs} from './left-jobs.js';
import {PendingJobs, type PendingJob} from './pending-jobs.js';
import {
	ZoneRouter,
	defaultRunMs,
	isOwnZoneEvacuated,
	type ZoneView,
} from './zone-router.js';

/** Longest time for which a job that was sent to no leader yet waits for a reachable one. */
const maxFirstSendDelayMs = 900;
/** Longest time for which a job that a lost leader may have started waits for the next leader; a failover takes less. */
const maxResendDelayMs = 900;
/** Time after which a refused caller may retry; also the grace after a job's patience in which its answer may arrive. */
const retryMs = 1000;

/** A message from the receiver of a job to a leader. */
export type ReceiverMessage = Extract<
	PoolMessage,
	{
		readonly type:
			'submit' | 'cancel' | 'caller-lost' | 'caller-returned' | 'left-jobs';
	}
>;

/** What a receiver needs of its entry VM. */
export type JobReceiverOptions = {
	/** Name of this entry VM. */
	readonly name: string;
	/** Zone of this entry VM. */
	readonly zone: string;
	readonly readZoneView: (now: number) => ZoneView;
	/** Returns the name of the live leader of the own zone. */
	readonly findOwnLeader: () => string | undefined;
	/** Returns the leader of a zone that is live here or reported by a candidate. */
	readonly findLeader: (zone: string, now: number) => ZoneLeader | undefined;
	/** Whether a leader places a job in the zones that its receiver names only. */
	readonly placesByZone: (leader: string, now: number) => boolean;
	/** Whether messages can be sent to another entry VM. */
	readonly isOpen: (name: string) => boolean;
	/** Returns when the newest heartbeat of a leader was sent and arrived; `undefined` if it does not tell or has sent none. */
	readonly findHeartbeatTimes: (leader: string) => HeartbeatTimes | undefined;
	/** Epoch of the first grants of this process, higher than those of the processes before it. */
	readonly firstEpoch: number;
	/** Keeps a connection to the leader of a zone for some seconds, and opens one if there is none. */
	readonly useLeader: (zone: string, now: number) => void;
	/** Sends a message to a leader, which may be this entry VM; returns false if there is no stream to it. */
	readonly send: (
		leader: string,
		message: ReceiverMessage,
		now: number,
	) => boolean;
	readonly writeLog: (fields: LogFields) => void;
};

/**
 * The receiver's part of an entry VM: keeps the jobs of its callers until they are answered, and submits them to leaders.
 * It does no input or output, and takes the time from its arguments.
 */
export class JobReceiver {
	readonly #options: JobReceiverOptions;
	readonly #pendingJobs = new PendingJobs();
	readonly #givenUpJobs = new GivenUpJobs();
	readonly #leftJobs = new LeftJobs();
	readonly #zoneRouter: ZoneRouter;
	readonly #grants: LeaderGrants;

	constructor(options: JobReceiverOptions) {
		this.#options = options;
		this.#grants = new LeaderGrants(
			options.firstEpoch,
			options.findHeartbeatTimes,
		);
		this.#zoneRouter = new ZoneRouter(
			this.#pendingJobs,
			options.readZoneView,
			options.writeLog,
		);
	}

	/** Number of jobs without an answer. */
	get size(): number {
		return this.#pendingJobs.size;
	}

	/** Whether a job without an answer waits to be sent to a leader. */
	get isWaitingForLeader(): boolean {
		return this.#pendingJobs.all.some(
			({withoutLeaderSinceMs}) => withoutLeaderSinceMs !== undefined,
		);
	}

	/** Whether a job with this identifier has no answer yet. */
	has(id: string): boolean {
		return this.#pendingJobs.get(id) !== undefined;
	}

	/** Returns the grants to the leaders that have, or are to get, jobs of this receiver, by the leader's name. */
	listGrants(): Readonly<Record<string, ReceiverGrant>> {
		const leaders = new Set([
			this.#options.findOwnLeader(),
			...this.#pendingJobs.all
				.filter(({sentEpoch}) => sentEpoch !== undefined)
				.map(({sentTo}) => sentTo),
		]);
		return Object.fromEntries(
			[...leaders].flatMap((leader) => {
				const grant =
					leader === undefined ? undefined : this.#findGrant(leader);
				return leader === undefined || grant === undefined
					? []
					: [[leader, grant]];
			}),
		);
	}

	/** Submits a job of a caller, or lets the caller wait for the pending job with its identifier. */
	receive(
		job: PoolJob,
		resolve: (answer: PoolAnswer) => void,
		now: number,
	): void {
		const hadLostCaller =
			this.#pendingJobs.get(job.id)?.callerLostAtMs !== undefined;
		const {pending, isNew} = this.#pendingJobs.add(job, resolve, now);
		if (isNew) {
			this.#sendToLeader(pending, now);
		} else if (hadLostCaller) {
			this.#sendCallerMessage(
				{type: 'caller-returned', id: job.id},
				pending,
				now,
			);
		}
	}

	/** Handles that a caller has left; `isReset` is whether its connection broke, so that it may send the job again. */
	handleCallerDisconnect(id: string, isReset: boolean, now: number): void {
		const pending = this.#pendingJobs.get(id);
		if (pending === undefined) {
			return;
		}

		this.#options.writeLog({event: 'caller-left', id, isReset});
		// A caller whose connection broke submits the job again and then receives the result of the first submission. The
		// leader that gets it then does not know of runs in another zone, so a job there is cancelled.
		const isContinued =
			isReset &&
			(pending.overflowZone === undefined || pending.resolvers.length > 1);
		if (isContinued) {
			pending.callerLostAtMs ??= now;
			this.#sendCallerMessage({type: 'caller-lost', id}, pending, now);
			return;
		}

		this.#pendingJobs.remove(id);
		this.#cancelAtLeaders(pending, undefined, now);
	}

	/** Cancels a job of which no leader has told that it is cancelled; returns whether the job has no answer yet. */
	cancel(id: string, now: number): boolean {
		const pending = this.#pendingJobs.answer(id, {kind: 'cancelled'});
		for (const leader of pending?.leaders ?? []) {
			this.#giveUpAtLeader(leader, pending!, 'cancelled', now);
		}

		return pending !== undefined;
	}

	/** Answers all remaining jobs at the end of a stop; an answer informs callers better than a broken connection. */
	answerRemainingJobs(now: number): void {
		for (const pending of this.#pendingJobs.all) {
			this.#giveUp(pending, 'stopping', now);
		}
	}

	/** Answers the jobs that have waited too long for a leader or for their answer. */
	answerExpiredJobs(now: number): void {
		this.#givenUpJobs.evict(now);
		for (const pending of this.#pendingJobs.all) {
			const {job, sentTo, withoutLeaderSinceMs, receivedAtMs} = pending;
			const maxDelayMs = Math.min(
				sentTo === undefined ? maxFirstSendDelayMs : maxResendDelayMs,
				this.#computeSlackMs(job, now),
			);
			if (
				withoutLeaderSinceMs !== undefined &&
				now - withoutLeaderSinceMs > maxDelayMs
			) {
				this.#giveUp(pending, 'leader-lost', now);
			} else if (now - receivedAtMs > job.patienceMs + retryMs) {
				this.#answer(
					pending,
					{kind: 'may-have-run', reason: 'deadline-exceeded'},
					undefined,
					now,
				);
			}
		}
	}

	/** Submits the jobs of the own zone to its leader, which has changed. */
	handleOwnLeaderChange(now: number): void {
		this.#sendLeftJobs(now);
		this.#resubmit(({overflowZone}) => overflowZone === undefined, now);
	}

	/** Submits the jobs that wait for the leader of another zone, or had another leader there, to its present one. */
	updateOtherLeaders(now: number): void {
		const isHomeClosed = isOwnZoneEvacuated(this.#options.readZoneView(now));
		this.#resubmit(
			(pending) =>
				(pending.overflowZone !== undefined || isHomeClosed) &&
				(pending.withoutLeaderSinceMs !== undefined ||
					this.#findLeaderFor(pending, now) !== pending.sentTo),
			now,
		);
	}

	/**
	 * Sends to an entry VM to which a stream has opened what may be lost with an earlier stream: which jobs it is to give up,
	 * and the jobs that it has.
	 */
	handleOpen(name: string, now: number): void {
		for (const {id, reason} of this.#givenUpJobs.ofLeader(name, now)) {
			this.#options.send(name, {type: 'cancel', id, reason}, now);
		}

		if (name === this.#options.findOwnLeader()) {
			this.#sendLeftJobs(now);
		}

		this.#resubmit(
			(pending) =>
				this.#findLeaderFor(pending, now) === name ||
				(pending.overflowZone !== undefined && pending.sentTo === undefined),
			now,
		);
	}

	/** Submits a job to its leader again, unless another leader has it. */
	resubmitTo(leader: string, id: string, now: number): void {
		const pending = this.#pendingJobs.get(id);
		if (pending?.sentTo === leader) {
			this.#sendToLeader(pending, now);
		}
	}

	/** Records that a leader has started no task of a job and never will for this attempt. */
	markUntouched(id: string, leader: string, attempt: string): void {
		this.#pendingJobs.markUntouched(id, leader, attempt);
	}

	/** Keeps the lost runs of pending jobs for the next leaders. */
	recordLostRuns(lostRuns: readonly LostRun[]): void {
		this.#pendingJobs.recordLostRuns(lostRuns);
	}

	/**
	 * Adds tasks that a leader reports as completed to a pending job, and tells the leader that has the job by now, which
	 * would run them again.
	 */
	addCompletedTasks(
		leader: string,
		id: string,
		doneTasks: readonly string[],
		now: number,
	): void {
		const pending = this.#pendingJobs.get(id);
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
			this.#sendToLeader(pending, now);
		}
	}

	/** Passes a leader's answer on to the callers, and cancels the job at the other leaders that may have it. */
	receiveAnswer(
		leader: string,
		id: string,
		answer: PoolAnswer,
		now: number,
	): void {
		const pending = this.#pendingJobs.get(id);
		const acceptedAnswer = this.#pendingJobs.filterAnswer(id, leader, answer);
		if (
			pending === undefined ||
			acceptedAnswer === undefined ||
			this.#sendToOtherZone(pending, leader, acceptedAnswer, now)
		) {
			return;
		}

		this.#answer(pending, acceptedAnswer, leader, now);
	}

	/** Returns the leader that gets a job: that of the zone that it overflows to, or of this entry VM's zone. */
	#findLeaderFor({overflowZone}: PendingJob, now: number): string | undefined {
		return overflowZone === undefined
			? this.#options.findOwnLeader()
			: this.#options.findLeader(overflowZone, now)?.name;
	}

	/** Submits a job to the leader, or marks it as unsent while none is reachable. */
	#sendToLeader(pending: PendingJob, now: number): void {
		if (!this.#zoneRouter.prepare(pending, now)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		const leader = this.#findLeaderFor(pending, now);
		if (pending.overflowZone !== undefined) {
			this.#options.useLeader(pending.overflowZone, now);
		}

		if (pending.callerLostAtMs !== undefined && pending.sentTo !== leader) {
			// The caller may have submitted the job to another zone by the time at which the new leader would start it.
			this.#pendingJobs.remove(pending.job.id);
			this.#cancelAtLeaders(pending, undefined, now);
			return;
		}

		if (leader === undefined || !this.#canReach(leader)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		if (pending.sentTo !== undefined && pending.sentTo !== leader) {
			this.#moveAway(pending, pending.sentTo, now);
		}

		const {job, isResubmitted} = this.#createSubmission(pending, leader, now);
		this.#givenUpJobs.remove(leader, job.id);
		this.#options.send(leader, {type: 'submit', job, isResubmitted}, now);
		if (pending.callerLostAtMs !== undefined) {
			const lostForMs = Math.round(now - pending.callerLostAtMs);
			this.#options.send(
				leader,
				{type: 'caller-lost', id: job.id, lostForMs},
				now,
			);
		}
	}

	/** Tells the leader of the own zone which jobs its callers may submit to it while another leader runs them. */
	#sendLeftJobs(now: number): void {
		const leader = this.#options.findOwnLeader();
		const jobs = this.#leftJobs.list(now);
		if (leader !== undefined && jobs.length > 0 && this.#canReach(leader)) {
			this.#options.send(leader, {type: 'left-jobs', jobs}, now);
		}
	}

	/** Has a leader give up a job that is moved to another one, and ends the grant under which the leader has it. */
	#moveAway(pending: PendingJob, leader: string, now: number): void {
		pending.movedGrantAtMs = this.#findLatestGrantMs(pending, leader, now);
		if (pending.sentEpoch !== undefined) {
			this.#grants.end(leader, pending.sentEpoch);
		}

		this.#giveUpAtLeader(leader, pending, 'moved', now);
	}

	/** Records that a job is sent to a leader, and returns the job as that leader gets it. */
	#createSubmission(
		pending: PendingJob,
		leader: string,
		now: number,
	): Pick<ReceiverMessage & {type: 'submit'}, 'job' | 'isResubmitted'> {
		const {earlierToken, movedGrantAtMs} = pending;
		const balancingWaitMs = this.#zoneRouter.findBalancingWaitMs(pending, now);
		const leaderToken =
			this.#options.findLeader(pending.overflowZone ?? this.#options.zone, now)
				?.token ?? 0;
		const isResubmitted = this.#pendingJobs.markSent(
			pending,
			{name: leader, token: leaderToken},
			this.#findZonesForJob(pending, leader, now),
		);
		// The leader of another zone, to which a job overflows, sends this receiver heartbeats too rarely.
		const grant =
			pending.overflowZone === undefined ? this.#findGrant(leader) : undefined;
		pending.sentEpoch = grant?.epoch;
		const {doneTasks, zones, refusedBy, isBalanced, lostRuns} = pending;
		const refusingZones = refusedBy.length + Number(isBalanced);
		const job: PoolJob = {
			...pending.job,
			waitedMs: now - pending.receivedAtMs,
			leaderToken,
			...(earlierToken === undefined ? {} : {earlierToken}),
			...(grant === undefined ? {} : {grant}),
			...(movedGrantAtMs === undefined
				? {}
				: {earlierGrantAgeMs: Math.floor(Math.max(0, now - movedGrantAtMs))}),
			...(doneTasks.length > 0 ? {doneTasks} : {}),
			...(lostRuns.length > 0 ? {lostRuns} : {}),
			...(zones === undefined ? {} : {zones}),
			...(refusingZones > 0 ? {refusingZones} : {}),
			...(balancingWaitMs === undefined ? {} : {balancingWaitMs}),
			...(pending.overflowZone === undefined
				? {}
				: {
						patienceMs: Math.min(pending.job.patienceMs, maxOverflowPatienceMs),
					}),
		};
		return {job, isResubmitted};
	}

	/** Tells all leaders that may have a job that its caller may submit it to any entry VM, or that it has come back. */
	#sendCallerMessage(
		message: Extract<
			ReceiverMessage,
			{readonly type: 'caller-lost' | 'caller-returned'}
		>,
		{leaders}: PendingJob,
		now: number,
	): void {
		for (const leader of leaders) {
			this.#options.send(leader, message, now);
		}
	}

	/** Returns the zones in which a leader is to place a job; `undefined` for all zones. */
	#findZonesForJob(
		{overflowZone}: PendingJob,
		leader: string,
		now: number,
	): readonly string[] | undefined {
		return this.#options.readZoneView(now).scope === 'zone' &&
			this.#options.placesByZone(leader, now)
			? [overflowZone ?? this.#options.zone]
			: undefined;
	}

	/** Submits the selected pending jobs again, to their present leaders. */
	#resubmit(isSelected: (pending: PendingJob) => boolean, now: number): void {
		for (const pending of this.#pendingJobs.all.filter((other) =>
			isSelected(other),
		)) {
			pending.withoutLeaderSinceMs ??= now;
			this.#sendToLeader(pending, now);
		}
	}

	/**
	 * Returns when the newest heartbeat arrived that can have been confirmed to a leader of a job, which has it now or had it before;
	 * the present time if that leader has no grant.
	 */
	#findLatestGrantMs(
		{sentEpoch, movedGrantAtMs = 0}: PendingJob,
		leader: string,
		now: number,
	): number {
		return sentEpoch === undefined
			? now
			: Math.max(
					movedGrantAtMs,
					this.#grants.latestConfirmationMs(leader) ?? now,
				);
	}

	/** Returns the grant to a leader; an entry VM needs none for the jobs that it has received itself. */
	#findGrant(leader: string): ReceiverGrant | undefined {
		return leader === this.#options.name
			? undefined
			: this.#grants.grantTo(leader);
	}

	/** Computes the time for which a job may wait for a leader and still be answered in time, by its caller's estimates. */
	#computeSlackMs(
		{queue: name, tasks, patienceMs}: PoolJob,
		now: number,
	): number {
		const queue = this.#options
			.readZoneView(now)
			.desiredState?.queues.find((other) => other.name === name);
		const longestMs = Math.max(
			...tasks.map(({declaredMs}) => declaredMs),
			defaultRunMs,
		);
		return queue === undefined
			? 0
			: computeAnswerWindowMs(queue, longestMs, patienceMs) - longestMs;
	}

	#canReach(leader: string): boolean {
		return leader === this.#options.name || this.#options.isOpen(leader);
	}

	/**
	 * Has a leader give up a job that no caller waits for, or that is submitted to another leader: both would otherwise wait
	 * and then start it.
	 */
	#giveUpAtLeader(
		leader: string,
		{job: {id, patienceMs}, receivedAtMs}: PendingJob,
		reason: GiveUpReason,
		now: number,
	): void {
		this.#givenUpJobs.add(leader, id, reason, receivedAtMs + patienceMs);
		this.#options.send(leader, {type: 'cancel', id, reason}, now);
	}

	/** Submits a job that its leader has refused to the leader of another zone, if one can run it; returns whether it did. */
	#sendToOtherZone(
		pending: PendingJob,
		leader: string,
		answer: PoolAnswer,
		now: number,
	): boolean {
		const isRedirected = this.#zoneRouter.redirectRefused(
			pending,
			leader,
			answer,
			now,
		);
		if (isRedirected) {
			this.#sendToLeader(pending, now);
		}

		return isRedirected;
	}

	/** Answers a job without a result: that no leader has had it, or that it may have run. */
	#giveUp(
		pending: PendingJob,
		reason: 'leader-lost' | 'stopping',
		now: number,
	): void {
		this.#answer(
			pending,
			pending.sentTo === undefined
				? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
				: {kind: 'may-have-run', reason},
			undefined,
			now,
		);
	}

	/** Gives callers the answer of a job, and cancels it at all leaders that may have it, except the one that has answered. */
	#answer(
		pending: PendingJob,
		answer: PoolAnswer,
		answeredBy: string | undefined,
		now: number,
	): void {
		this.#pendingJobs.answer(pending.job.id, answer);
		this.#cancelAtLeaders(pending, answeredBy, now);
	}

	/**
	 * Cancels a job at all leaders that may have it, because no caller waits for it any more. Callers may submit it again to
	 * another entry VM.
	 */
	#cancelAtLeaders(
		pending: PendingJob,
		answeredBy: string | undefined,
		now: number,
	): void {
		for (const leader of pending.leaders) {
			if (leader !== answeredBy) {
				this.#giveUpAtLeader(leader, pending, 'caller-left', now);
			}
		}

		if (answeredBy === undefined && pending.sentTo !== undefined) {
			this.#keepLeft(pending, pending.sentTo, now);
		}
	}

	/** Keeps what the next leader has to know of a job that is given up here; a present one that has not had it is told. */
	#keepLeft(pending: PendingJob, sentTo: string, now: number): void {
		const {job, earlierToken = 0, leaders} = pending;
		this.#leftJobs.add(
			job.id,
			{
				earlierToken,
				grantAtMs: this.#findLatestGrantMs(pending, sentTo, now),
			},
			now,
		);
		const leader = this.#options.findOwnLeader();
		if (leader !== undefined && !leaders.has(leader)) {
			this.#sendLeftJobs(now);
		}
	}
}
