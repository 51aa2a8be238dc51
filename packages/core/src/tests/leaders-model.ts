import {BestFit} from '../worker-selection.js';
import {DeclaredTimeEstimator} from '../run-time-estimator.js';
import {
	Leadership,
	type Heartbeat,
	type LeadershipChange,
} from '../leadership.js';
import {type PoolAnswer, type PoolJob} from '../pool-job.js';
import {ObjectiveOrder} from '../pool-queue.js';
import {PoolScheduler} from '../pool-scheduler.js';
import {type WorkerEntry} from '../pool-worker.js';
import {seededRandom, type Random} from '../seeded-random.js';
import {type StartCommand} from '../worker-command.js';
import {
	EventQueue,
	ModelCommandSender,
	ModelWorker,
	findActiveRuns,
	type ModelWorld,
	type Overlap,
} from './model-parts.js';
import {
	desiredStateFixture,
	poolJobFixture,
	workerFixture,
} from './pool-fixtures.js';

/** What one play of the model showed. */
export type ModelResult = {
	readonly overlaps: readonly Overlap[];
	/** Runs that workers started. */
	readonly startCount: number;
	/** Jobs that were answered with success. */
	readonly completedCount: number;
	/** Jobs that callers submitted. */
	readonly submittedCount: number;
	/** Claims of zones. */
	readonly claimCount: number;
	/** Refused fencing tokens that reached a leader. */
	readonly refusalCount: number;
	/** Changes of leadership, starts and answers, one line each. */
	readonly trace: readonly string[];
};

/** Settings of one play. Each fault has a probability in a check every 100 ms. */
export type ModelSettings = {
	readonly seed: number;
	readonly durationMs: number;
	/** Time from which jobs arrive and faults happen; before, the entry VMs elect their first leader. */
	readonly calmMs: number;
	/** Probability that an entry VM handles nothing for a while. */
	readonly stallProbability: number;
	/** Probability that no messages pass between two entry VMs for a while. */
	readonly cutProbability: number;
	/** Probability that the outcome of a command to a worker is lost. */
	readonly lossProbability: number;
	/** Run time of the longest tasks; most tasks take a fraction of it. */
	readonly longestRunMs: number;
	/** Whether callers that get no result submit the job again to another entry VM. */
	readonly hasResends: boolean;
};

const calmDay: Omit<ModelSettings, 'seed'> = {
	durationMs: 9000,
	calmMs: 1500,
	stallProbability: 0,
	cutProbability: 0,
	lossProbability: 0.01,
	longestRunMs: 950,
	hasResends: false,
};

/** Days on which leaders supersede each other often. */
export const modelDays = {
	/** Entry VMs are short of processor time, so that their heartbeats and messages are late. */
	stalls: {...calmDay, stallProbability: 0.1},
	/** Messages between entry VMs are lost. */
	cuts: {...calmDay, stallProbability: 0.03, cutProbability: 0.4},
	both: {
		...calmDay,
		stallProbability: 0.2,
		cutProbability: 0.4,
		lossProbability: 0.03,
	},
} as const satisfies Readonly<Record<string, Omit<ModelSettings, 'seed'>>>;

const zones = ['zone-a', 'zone-b'];
const workersPerZone = 2;
const entryVmNames = ['entry-1', 'entry-2', 'entry-3', 'entry-4'];
const tickIntervalMs = 20;
const heartbeatIntervalMs = 100;
const jobIntervalMs = 60;
const faultIntervalMs = 100;
/** Silence after which the rest of a stream is discarded, as in the mesh of entry VMs. */
const staleStreamMs = 800;
const resendDelayMs = 1300;

type ModelMessage =
	| {readonly type: 'heartbeat'; readonly heartbeat: Heartbeat}
	| {
			readonly type: 'submit';
			readonly job: PoolJob;
			readonly isResubmitted: boolean;
	  }
	| {readonly type: 'answer'; readonly id: string; readonly answer: PoolAnswer}
	| {
			readonly type: 'cancel';
			readonly id: string;
			readonly reason: 'caller-left' | 'moved';
	  };

type ModelPendingJob = {
	readonly job: PoolJob;
	readonly receivedAtMs: number;
	sentTo: string | undefined;
	earlierToken: number | undefined;
	wasSentToSeveralLeaders: boolean;
};

/** One entry VM: receives jobs, takes part in the election, and schedules the zones that it leads. */
class ModelEntryVm {
	readonly leadership: Leadership;
	readonly scheduler: PoolScheduler;
	readonly pending = new Map<string, ModelPendingJob>();
	stalledUntilMs = 0;
	#leader: string | undefined;
	#liveLeaderTokens: Readonly<Record<string, number>> = {};
	#lastHeartbeatAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		readonly name: string,
		readonly zone: string,
		readonly world: Model,
	) {
		this.leadership = new Leadership({name, zone, processorShare: 1}, zones);
		this.leadership.setScope('region');
		this.leadership.setWarm();
		this.scheduler = new PoolScheduler({
			zones,
			queueOrder: new ObjectiveOrder(),
			workerSelection: new BestFit(),
			estimates: new DeclaredTimeEstimator(),
			commandSender: new ModelCommandSender(
				name,
				world,
				(run) => {
					this.handle(run);
				},
				() => this.scheduler,
			),
			output: {
				sendAnswer: (receiver, id, answer) => {
					if (receiver === name) {
						this.#receiveAnswer(name, id, answer);
					} else {
						world.send(this, receiver, {type: 'answer', id, answer});
					}
				},
				sendUntouched() {
					// The receivers of the model do not use it.
				},
				sendLostRuns() {
					// Workers of the model do not crash.
				},
				sendCompletedTasks() {
					// Jobs of the model have one task each.
				},
				handleFencedZone: (zone_, token) => {
					world.refusalCount += 1;
					this.#applyChanges(
						this.leadership.handleTokenRefusal(
							zone_,
							token,
							this.scheduler.pool.hasSyncedWorker(zone_),
							this.#now,
						),
					);
				},
				logDecision(decision) {
					if (decision.event === 'placed') {
						world.log(
							`${name} places ${decision.task} run ${decision.run} on ${decision.worker}`,
						);
					} else if ('id' in decision) {
						world.log(
							`${name} ${decision.event} ${decision.id} ${decision.reason}`,
						);
					}
				},
			},
		});
		this.scheduler.applyDesiredState(desiredStateFixture());
		this.scheduler.updateWorkers(world.workerEntries, 0);
	}

	get #now(): number {
		return this.world.events.now;
	}

	/** Calls a handler now or, while this entry VM is stalled, afterwards. */
	handle(run: () => void): void {
		if (this.#now < this.stalledUntilMs) {
			this.world.events.add(this.stalledUntilMs, () => {
				this.handle(run);
			});
			return;
		}

		run();
	}

	/** Runs the checks that are due, and schedules the next ones. */
	tick(): void {
		this.#updateLeadership();
		if (this.leadership.ledZones.size > 0) {
			for (const receiver of entryVmNames) {
				if (
					receiver !== this.name &&
					!this.leadership.isPeerLive(receiver, this.#now)
				) {
					this.scheduler.markReceiverUnreachable(receiver, this.#now);
				}
			}

			// The list of workers never changes here, so that each check may take it for read anew.
			this.scheduler.recordCurrentList(this.#now, true);
			this.scheduler.tick(this.#now);
		}

		if (this.#now - this.#lastHeartbeatAtMs >= heartbeatIntervalMs) {
			this.#sendHeartbeats();
		}

		this.world.events.add(this.#now + tickIntervalMs, () => {
			this.handle(() => {
				this.tick();
			});
		});
	}

	submit(job: PoolJob): void {
		if (this.pending.has(job.id)) {
			return;
		}

		const pending: ModelPendingJob = {
			job: {...job, attempt: `${this.name}/${job.attempt}`},
			receivedAtMs: this.#now,
			sentTo: undefined,
			earlierToken: undefined,
			wasSentToSeveralLeaders: false,
		};
		this.pending.set(job.id, pending);
		this.#sendToLeader(pending);
	}

	receive(from: string, message: ModelMessage): void {
		switch (message.type) {
			case 'heartbeat': {
				const hasChanged = this.leadership.hasChanged(
					message.heartbeat,
					this.#now,
				);
				this.leadership.receiveHeartbeat(message.heartbeat, this.#now);
				if (hasChanged) {
					this.#updateLeadership();
				}

				const hasLostLeader = zones.some(
					(zone) =>
						message.heartbeat.hears[zone] === undefined &&
						this.#liveLeaderTokens[zone] !== undefined,
				);
				if (hasChanged && hasLostLeader) {
					this.#sendHeartbeats();
				}

				break;
			}

			case 'submit': {
				if (
					this.leadership.ledZones.size > 0 &&
					this.leadership.isPeerLive(from, this.#now)
				) {
					this.scheduler.submit(
						message.job,
						from,
						message.isResubmitted,
						this.#now,
					);
				}

				break;
			}

			case 'answer': {
				this.#receiveAnswer(from, message.id, message.answer);
				break;
			}

			case 'cancel': {
				this.#cancel(from, message.id, message.reason);
				break;
			}
		}
	}

	handleLost(peer: string): void {
		this.leadership.markDisconnected(peer);
		this.scheduler.markReceiverUnreachable(peer, this.#now);
		this.#updateLeadership();
	}

	handleOpen(peer: string): void {
		if (peer === this.#leader) {
			this.#resubmitAll();
		}
	}

	#cancel(from: string, id: string, reason: 'caller-left' | 'moved'): void {
		if (reason === 'moved') {
			this.scheduler.release(id, from, this.#now);
		} else {
			this.scheduler.cancel(id, reason, from, this.#now);
		}
	}

	#updateLeadership(): void {
		this.#applyChanges(this.leadership.tick(this.#now));
		const tokens = Object.fromEntries(
			zones.flatMap((zone) => {
				const leader = this.leadership.findLeader(zone, this.#now);
				return leader === undefined ? [] : [[zone, leader.token]];
			}),
		);
		const hasChanged =
			JSON.stringify(tokens) !== JSON.stringify(this.#liveLeaderTokens);
		this.#liveLeaderTokens = tokens;
		if (hasChanged) {
			this.#sendHeartbeats();
		}

		this.#updateOwnLeader();
	}

	#updateOwnLeader(): void {
		const name = this.leadership.findLeader(this.zone, this.#now)?.name;
		if (name !== this.#leader) {
			this.#leader = name;
			this.world.log(`${this.name} follows ${name ?? 'none'}`);
			this.#resubmitAll();
		}
	}

	#applyChanges(changes: readonly LeadershipChange[]): void {
		for (const change of changes) {
			this.world.log(
				`${this.name} ${change.kind} ${change.zone} ${change.kind === 'claimed' ? change.token : change.reason}`,
			);
			if (change.kind === 'claimed') {
				this.world.claimCount += 1;
				this.scheduler.startLeadingZone(change.zone, change.token, this.#now);
				this.scheduler.updateWorkers(this.world.workerEntries, this.#now);
			}
		}

		const dropped = changes.filter(({kind}) => kind === 'dropped');
		if (dropped.length > 0) {
			this.scheduler.stopLeadingZones(
				dropped.map(({zone}) => zone),
				this.#now,
			);
		}

		if (changes.length > 0) {
			this.#updateOwnLeader();
			this.#sendHeartbeats();
		}
	}

	#sendHeartbeats(): void {
		this.#lastHeartbeatAtMs = this.#now;
		const heartbeat: Heartbeat = {
			name: this.name,
			zone: this.zone,
			address: this.name,
			incarnation: '1',
			intervalMs: heartbeatIntervalMs,
			processorShare: 1,
			isStopping: false,
			isWarm: true,
			leads: Object.fromEntries(this.leadership.ledZones),
			highestToken: this.leadership.highestToken,
			hears: this.#liveLeaderTokens,
			yields: Object.fromEntries(this.leadership.successors),
			members: [],
		};
		for (const peer of entryVmNames) {
			if (peer !== this.name) {
				this.world.send(this, peer, {type: 'heartbeat', heartbeat});
			}
		}
	}

	#resubmitAll(): void {
		for (const pending of this.pending.values()) {
			this.#sendToLeader(pending);
		}
	}

	#sendToLeader(pending: ModelPendingJob): void {
		const leader = this.#leader;
		if (leader === undefined) {
			return;
		}

		const {sentTo, earlierToken} = pending;
		const isResubmitted = sentTo !== undefined;
		if (isResubmitted && sentTo !== leader) {
			this.#cancelAt(sentTo, pending.job.id, 'moved');
		}

		const leaderToken =
			this.leadership.findLeader(this.zone, this.#now)?.token ?? 0;
		pending.earlierToken = Math.max(earlierToken ?? 0, leaderToken);
		pending.wasSentToSeveralLeaders ||= isResubmitted && sentTo !== leader;
		pending.sentTo = leader;
		const job = {
			...pending.job,
			waitedMs: this.#now - pending.receivedAtMs,
			leaderToken,
			...(earlierToken === undefined ? {} : {earlierToken}),
		};
		if (leader === this.name) {
			this.scheduler.submit(job, leader, isResubmitted, this.#now);
		} else {
			this.world.send(this, leader, {type: 'submit', job, isResubmitted});
		}
	}

	#receiveAnswer(leader: string, id: string, answer: PoolAnswer): void {
		const pending = this.pending.get(id);
		if (
			pending === undefined ||
			(pending.sentTo !== leader &&
				answer.kind !== 'completed' &&
				answer.kind !== 'failed')
		) {
			return;
		}

		this.pending.delete(id);
		this.world.recordAnswer(pending.job, answer);
		if (pending.sentTo !== undefined && pending.sentTo !== leader) {
			this.#cancelAt(pending.sentTo, id, 'caller-left');
		}
	}

	#cancelAt(leader: string, id: string, reason: 'caller-left' | 'moved'): void {
		if (leader === this.name) {
			this.#cancel(leader, id, reason);
		} else {
			this.world.send(this, leader, {type: 'cancel', id, reason});
		}
	}
}

/** Entry VMs, workers, callers and the network between them, all with injected time and seeded choices. */
export class Model implements ModelWorld {
	readonly events = new EventQueue();
	readonly random: Random;
	readonly workerEntries: readonly WorkerEntry[] = zones.flatMap((zone) =>
		Array.from({length: workersPerZone}, (_, index) =>
			workerFixture(`${zone}-${index}`, {zone}),
		),
	);

	readonly workers: ReadonlyMap<string, ModelWorker>;
	readonly entryVms: ReadonlyMap<string, ModelEntryVm>;
	claimCount = 0;
	refusalCount = 0;
	readonly #overlaps: Overlap[] = [];
	readonly #trace: string[] = [];
	readonly #runTimesMs = new Map<string, number>();
	readonly #cutUntilMs = new Map<string, number>();
	readonly #lastDeliveryMs = new Map<string, number>();
	readonly #lastReceivedMs = new Map<string, number>();
	/** Time at which each stream was last replaced because its messages were out of date; earlier ones are discarded. */
	readonly #replacedAtMs = new Map<string, number>();
	#submittedCount = 0;
	#completedCount = 0;
	#startCount = 0;

	constructor(readonly settings: ModelSettings) {
		this.random = seededRandom(settings.seed);
		this.workers = new Map(
			this.workerEntries.map((entry) => [
				entry.id,
				new ModelWorker(entry, this),
			]),
		);
		this.entryVms = new Map(
			entryVmNames.map((name, index) => [
				name,
				new ModelEntryVm(name, zones[index % zones.length]!, this),
			]),
		);
	}

	/** Plays the model to its end. */
	play(): ModelResult {
		const {calmMs, durationMs} = this.settings;
		for (const entryVm of this.entryVms.values()) {
			this.events.add(this.random() * tickIntervalMs, () => {
				entryVm.tick();
			});
		}

		for (let atMs = calmMs; atMs < durationMs; atMs += jobIntervalMs) {
			this.events.add(atMs, () => {
				this.#submitJob();
			});
		}

		for (let atMs = calmMs; atMs < durationMs; atMs += faultIntervalMs) {
			this.events.add(atMs, () => {
				this.#drawFaults();
			});
		}

		this.events.runUntil(durationMs);
		return {
			overlaps: this.#overlaps,
			startCount: this.#startCount,
			completedCount: this.#completedCount,
			submittedCount: this.#submittedCount,
			claimCount: this.claimCount,
			refusalCount: this.refusalCount,
			trace: this.#trace,
		};
	}

	log(line: string): void {
		this.#trace.push(`${this.events.now.toFixed(1)} ${line}`);
	}

	runTimeOf(task: string): number {
		return this.#runTimesMs.get(task) ?? 100;
	}

	/** Draws the delay of a message: mostly a few milliseconds, at times much more. */
	drawDelayMs(): number {
		return this.random() < 0.03 ? 150 * this.random() : 1 + 4 * this.random();
	}

	drawCommandDelayMs(): number {
		return this.drawDelayMs();
	}

	recordStart(worker: ModelWorker, {task, run}: StartCommand): void {
		this.#startCount += 1;
		const runs = findActiveRuns(task, this.workers);
		this.log(`${worker.entry.id} starts ${task} run ${run}`);
		if (runs.length > 1) {
			this.log(`OVERLAP ${JSON.stringify(runs)}`);
			this.#overlaps.push({atMs: this.events.now, task, runs});
		}
	}

	recordAnswer(job: PoolJob, answer: PoolAnswer): void {
		this.log(`answer of ${job.id}: ${answer.kind}`);
		if (answer.kind === 'completed') {
			this.#completedCount += 1;
		} else if (answer.kind === 'may-have-run' && this.settings.hasResends) {
			this.events.add(this.events.now + resendDelayMs, () => {
				this.#submitAtRandom({...job, waitedMs: 0, attempt: `${job.id}/again`});
			});
		}
	}

	/** Sends a message on the stream between two entry VMs, which keeps the order; a cut loses it. */
	send(sender: ModelEntryVm, to: string, message: ModelMessage): void {
		const stream = `${sender.name} ${to}`;
		const receiver = this.entryVms.get(to);
		if (
			receiver === undefined ||
			(this.#cutUntilMs.get(pairOf(sender.name, to)) ?? 0) > this.events.now
		) {
			return;
		}

		const atMs = Math.max(
			this.#lastDeliveryMs.get(stream) ?? 0,
			this.events.now + this.drawDelayMs(),
		);
		this.#lastDeliveryMs.set(stream, atMs);
		const sentAtMs = this.events.now;
		this.events.add(atMs, () => {
			receiver.handle(() => {
				const {now} = this.events;
				if (sentAtMs < (this.#replacedAtMs.get(stream) ?? 0)) {
					return;
				}

				const lastMs = this.#lastReceivedMs.get(stream) ?? now;
				this.#lastReceivedMs.set(stream, now);
				if (now - lastMs > staleStreamMs) {
					this.#replacedAtMs.set(stream, now);
					receiver.handleLost(sender.name);
					sender.handle(() => {
						sender.handleOpen(to);
					});
					return;
				}

				receiver.receive(sender.name, message);
			});
		});
	}

	#submitJob(): void {
		this.#submittedCount += 1;
		const id = `job${this.#submittedCount}`;
		const runMs = 50 + (this.settings.longestRunMs - 50) * this.random() ** 3;
		const job = poolJobFixture(id, 1, {runMs, patienceMs: 4000});
		this.#runTimesMs.set(job.tasks[0]!.name, runMs);
		this.#submitAtRandom(job);
	}

	#submitAtRandom(job: PoolJob): void {
		const entryVm = this.#pickEntryVm();
		entryVm.handle(() => {
			entryVm.submit(job);
		});
	}

	#pickEntryVm(): ModelEntryVm {
		const all = [...this.entryVms.values()];
		return all[Math.floor(this.random() * all.length)]!;
	}

	#drawFaults(): void {
		const {now} = this.events;
		for (const entryVm of this.entryVms.values()) {
			if (this.random() < this.settings.stallProbability) {
				entryVm.stalledUntilMs = now + 20 + 1200 * this.random() ** 2;
				this.log(
					`${entryVm.name} stalls until ${entryVm.stalledUntilMs.toFixed(0)}`,
				);
			}
		}

		if (this.random() < this.settings.cutProbability) {
			const left = this.#pickEntryVm();
			const right = this.#pickEntryVm();
			if (left !== right) {
				this.#cut(left, right, 100 + 1000 * this.random());
			}
		}
	}

	/** Loses all messages between two entry VMs for a time, and opens new streams between them afterwards. */
	#cut(left: ModelEntryVm, right: ModelEntryVm, durationMs: number): void {
		const untilMs = this.events.now + durationMs;
		this.log(`cut ${left.name} ${right.name} until ${untilMs.toFixed(0)}`);
		this.#cutUntilMs.set(pairOf(left.name, right.name), untilMs);
		this.events.add(untilMs, () => {
			for (const [entryVm, peer] of [
				[left, right],
				[right, left],
			] as const) {
				entryVm.handle(() => {
					entryVm.handleLost(peer.name);
					entryVm.handleOpen(peer.name);
				});
			}
		});
	}
}

function pairOf(left: string, right: string): string {
	return [left, right].toSorted().join(' ');
}

/** Plays a day of the model with a seed. */
export function playModel(
	day: keyof typeof modelDays,
	seed: number,
	change: Partial<ModelSettings> = {},
): ModelResult {
	return new Model({...modelDays[day], ...change, seed}).play();
}
