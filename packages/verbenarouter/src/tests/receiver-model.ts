import {
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
import {JobReceiver, type ReceiverMessage} from '../pool/job-receiver.js';

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

/** Connects the receiver's part of an entry VM to the model's network and clock, as `PoolNode` does to real ones. */
export class ReceiverModel {
	/** Name of the live leader of the own zone. */
	leader: string | undefined;
	readonly #options: ReceiverModelOptions;
	readonly #jobReceiver: JobReceiver;
	#attemptCount = 0;

	constructor(options: ReceiverModelOptions) {
		this.#options = options;
		const {name, zone, zones, leadership, desiredState, log} = options;
		this.#jobReceiver = new JobReceiver({
			name,
			zone,
			readZoneView: () => ({
				ownZone: zone,
				zoneCount: zones.length,
				scope: options.readScope(),
				desiredState,
				evacuatedZones: new Set(),
				findRooms: options.findRooms,
				requestConnection() {
					// All entry VMs of the model are connected to each other.
				},
				ownWaits: options.findOwnWaits(),
			}),
			findOwnLeader: () => this.leader,
			findLeader: (other, now) => leadership.findLeader(other, now),
			placesByZone: () => true,
			isOpen: options.isOpen,
			findHeartbeatTimes: (leader) => leadership.findHeartbeatTimes(leader),
			firstEpoch: Math.floor(options.now()),
			useLeader() {
				// All entry VMs of the model are connected to each other.
			},
			send: (leader, message, now) => this.#send(leader, message, now),
			writeLog({event, id, zone: other}) {
				log(`${name} ${event} ${String(id)} to ${String(other)}`);
			},
		});
	}

	/** Grants to the leaders of the receiver's jobs. */
	get grants(): ReturnType<JobReceiver['listGrants']> {
		return this.#jobReceiver.listGrants();
	}

	/** Number of jobs without an answer. */
	get size(): number {
		return this.#jobReceiver.size;
	}

	submit(
		submitted: Omit<PoolJob, 'attempt'>,
		incarnation: string,
		resolve: (answer: PoolAnswer) => void,
	): void {
		this.#attemptCount += 1;
		const job = {...submitted, attempt: `${incarnation}/${this.#attemptCount}`};
		this.#jobReceiver.receive(job, resolve, this.#options.now());
	}

	handleCallerDisconnect(id: string, isReset: boolean): void {
		this.#jobReceiver.handleCallerDisconnect(id, isReset, this.#options.now());
	}

	/** Handles the messages of leaders to receivers; returns whether it was one. */
	receive(from: string, message: PoolMessage): boolean {
		if (message.type === 'resubmit') {
			if (message.attempt !== undefined) {
				this.#jobReceiver.markUntouched(message.id, from, message.attempt);
			}

			this.#options.setTimer(resubmitDelayMs, () => {
				this.#jobReceiver.resubmitTo(from, message.id, this.#options.now());
			});
			return true;
		}

		if (message.type === 'untouched') {
			this.#jobReceiver.markUntouched(message.id, from, message.attempt);
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

		if (message.type === 'lost-runs') {
			this.#jobReceiver.recordLostRuns(message.lostRuns);
		}

		return false;
	}

	receiveAnswer(leader: string, id: string, answer: PoolAnswer): void {
		this.#jobReceiver.receiveAnswer(leader, id, answer, this.#options.now());
	}

	addCompletedTasks(
		leader: string,
		id: string,
		doneTasks: readonly string[],
	): void {
		this.#jobReceiver.addCompletedTasks(
			leader,
			id,
			doneTasks,
			this.#options.now(),
		);
	}

	markUntouched(id: string, leader: string, attempt: string): void {
		this.#jobReceiver.markUntouched(id, leader, attempt);
	}

	recordLostRuns(lostRuns: Parameters<JobReceiver['recordLostRuns']>[0]): void {
		this.#jobReceiver.recordLostRuns(lostRuns);
	}

	/** Resubmits pending jobs if the leader of the own zone or of one that has such jobs has changed. */
	updateOwnLeader(): void {
		const {leadership, zone, log, name} = this.#options;
		const now = this.#options.now();
		const leader = leadership.findLeader(zone, now)?.name;
		if (leader !== this.leader) {
			this.leader = leader;
			log(`${name} follows ${leader ?? 'none'}`);
			this.#jobReceiver.handleOwnLeaderChange(now);
		}

		this.#jobReceiver.updateOtherLeaders(now);
	}

	handleOpen(name: string): void {
		this.#jobReceiver.handleOpen(name, this.#options.now());
	}

	answerExpiredJobs(): void {
		this.#jobReceiver.answerExpiredJobs(this.#options.now());
	}

	answerRemainingJobs(): void {
		this.#jobReceiver.answerRemainingJobs(this.#options.now());
	}

	#send(leader: string, message: ReceiverMessage, now: number): boolean {
		const {name, scheduler, isOpen, log} = this.#options;
		if (message.type === 'submit') {
			const place = message.job.zones?.join('+') ?? 'all zones';
			log(
				`${name} submits ${message.job.id} to ${leader} for ${place}${message.isResubmitted ? ' again' : ''}`,
			);
		}

		if (leader !== name) {
			this.#options.send(leader, message);
			return isOpen(leader);
		}

		switch (message.type) {
			case 'submit': {
				scheduler.submit(message.job, leader, message.isResubmitted, now);
				break;
			}

			case 'cancel': {
				if (message.reason === 'moved') {
					scheduler.release(message.id, leader, now);
				} else {
					scheduler.cancel(message.id, message.reason, leader, now);
				}

				break;
			}

			case 'caller-lost': {
				scheduler.markCallerLost(message.id, leader, now, message.lostForMs);
				break;
			}

			case 'caller-returned': {
				scheduler.markCallerReturned(message.id, leader, now);
				break;
			}

			case 'left-jobs': {
				scheduler.recordLeftJobs(message.jobs, now);
				break;
			}
		}

		return true;
	}
}
