import {
	BestFit,
	DeclaredTimeEstimator,
	EventLoopDelay,
	HeartbeatSchedule,
	Leadership,
	ObjectiveOrder,
	PoolScheduler,
	ScopeBySize,
	WorkerDirectory,
	computeHeartbeatIntervals,
	seededRandom,
	selectHeartbeatInterval,
	type Heartbeat,
	type LeadershipChange,
	type PoolAnswer,
	type PoolJob,
	type PoolScope,
	type Random,
	type ReportedEnd,
	type StartCommand,
	type WorkerEntry,
	type ZoneRoom,
} from '@verbenarouter/core';
import {type PoolMessage} from '@verbenarouter/peer';
import {
	EventQueue,
	ModelCommandSender,
	ModelWorker,
	findActiveRuns,
	type ModelWorld,
	type Overlap,
} from '../../../core/dist/tests/model-parts.js';
import {
	desiredStateFixture,
	poolJobFixture,
} from '../../../core/dist/tests/pool-fixtures.js';
import {ZoneReporter} from '../pool/zone-reporter.js';
import {selectLossRecipients} from '../pool/loss-recipients.js';
import {ReturnableExchange} from '../pool/returnable-exchange.js';
import {ProcessTurns} from './process-turns.js';
import {ReceiverModel} from './receiver-model.js';
import {
	createWorkerEntries,
	drawZoneFaults,
	listEntryVms,
	listZones,
	standStill,
	zoneShape,
	type ZoneFaultTargets,
} from './zone-faults.js';
import {
	zoneModelDays,
	type ZoneModelSettings,
	type ZoneStage,
} from './zone-model-settings.js';

/** An overlap, with the lines of the trace that concern its task, or leadership and faults in the seconds before. */
export type TracedOverlap = Overlap & {readonly trace: readonly string[]};

/** What one play showed. */
export type ZoneModelResult = {
	readonly overlaps: readonly TracedOverlap[];
	/** Tasks that were started although each copy of their job was answered `not-run`. */
	readonly falseRefusals: readonly string[];
	readonly submittedCount: number;
	/** Jobs whose callers got a result. */
	readonly completedCount: number;
	/** Jobs that were refused for good. */
	readonly refusedCount: number;
	readonly startCount: number;
	readonly overflowCount: number;
	readonly balancedCount: number;
	readonly claimCount: number;
	readonly trace: readonly string[];
};

const tickIntervalMs = 20;
const stallThresholdMs = 100;
/** Numbers of connections and entry VMs by which the intervals of heartbeats are chosen: those of a larger deployment. */
const overlaySize = {peerCount: 8, memberCount: 30};
const faultIntervalMs = 100;
const directoryCheckIntervalMs = 500;
const zoneUnreachableMs = 1500;
const storeDelayMs = 5;
const storeReadIntervalMs = 400;
const warmUpMs = 700;
/** Silence after which a stream is closed, and the rest of its messages discarded; the mesh of entry VMs has the same. */
const staleStreamMs = 800;
/** Longest interval of heartbeats for which it holds; on streams with longer ones, four intervals do. */
const maxFastIntervalMs = 400;
const resendDelayMs = 1300;
const maxSends = 4;
const maxStopMs = 2600;
const desiredState = desiredStateFixture();

/** Names of all entry VMs; each begins with the name of its zone. */
export const zoneModelEntryVms: readonly string[] = listEntryVms(zoneShape);

/** A job as its caller sees it. */
type Call = {
	readonly job: Omit<PoolJob, 'attempt'>;
	zone: string;
	sendCount: number;
	lastVm: string | undefined;
	/** Number of the copy that the caller waits for; `undefined` while it waits for none. */
	openCopy: number | undefined;
	/** Whether all copies so far were answered `not-run`. */
	isAlwaysRefused: boolean;
	isOver: boolean;
	hasStarted: boolean;
	/** Entry VMs that get the copies in turn; `undefined` for those of the zone at random. */
	readonly entryVms?: readonly string[];
};

/** The connection between two entry VMs. */
type Link = {
	/** Number of times that it was opened or closed; messages of earlier openings are lost. */
	epoch: number;
	isOpen: boolean;
	cutUntilMs: number;
	/** Whether messages that are sent during the cut arrive after it. */
	isCutDelaying: boolean;
};

/** One process of an entry VM. */
class ModelProcess {
	readonly leadership: Leadership;
	readonly scheduler: PoolScheduler;
	readonly receiver: ReceiverModel;
	readonly processorShare: number;
	isAlive = true;
	isStopping = false;
	readonly turns: ProcessTurns;
	readonly #directory = new WorkerDirectory();
	readonly #scopeBySize: ScopeBySize;
	readonly #reporter: ZoneReporter;
	#scope: PoolScope = 'zone';
	#workerEntries: readonly WorkerEntry[] = [];
	#liveLeaderTokens: Readonly<Record<string, number>> = {};
	readonly #heartbeatSchedule = new HeartbeatSchedule();
	#isRoundDue = false;
	#lastRoundMs = Number.NEGATIVE_INFINITY;
	#lastDirectoryCheckMs = 0;
	/** How late this process runs, by which it announces longer intervals of heartbeats. */
	readonly #eventLoopDelay = new EventLoopDelay(tickIntervalMs);
	readonly #stallDelay = new EventLoopDelay(tickIntervalMs);
	#areChecksDeferred = false;
	#isLeadershipUpdateScheduled = false;
	/** Zones whose leader a peer has lost since the last evaluation of the election. */
	readonly #zonesLostByPeers = new Set<string>();
	#isWarmingUp = false;
	#stopsAtMs = Number.POSITIVE_INFINITY;
	#listReadAtMs = Number.NEGATIVE_INFINITY;
	#canReadStore = true;
	readonly #returnableExchange: ReturnableExchange;

	constructor(
		readonly name: string,
		readonly zone: string,
		readonly incarnation: string,
		readonly world: ZoneModel,
	) {
		// The first entry VM of each zone is the strongest, so that the leadership returns to it.
		this.processorShare = name.endsWith('1') ? 1 : 0.5;
		const {processorShare} = this;
		const {zones} = world;
		this.leadership = new Leadership({name, zone, processorShare}, zones);
		this.#scopeBySize = new ScopeBySize(world.settings.shape.scope);
		this.turns = new ProcessTurns(world.events, world.random);
		this.scheduler = new PoolScheduler({
			zones,
			queueOrder: new ObjectiveOrder(),
			workerSelection: new BestFit(),
			estimates: new DeclaredTimeEstimator(),
			commandSender: new ModelCommandSender(
				name,
				world,
				(run, stream) => {
					this.handle(run, stream);
				},
				() => this.scheduler,
			),
			output: {
				sendAnswer: (receiver, id, answer) => {
					if (receiver === name) {
						this.receiver.receiveAnswer(name, id, answer);
					} else {
						this.send(receiver, {type: 'answer', id, answer});
					}
				},
				sendUntouched: (receiver, id, attempt) => {
					if (receiver === name) {
						this.receiver.markUntouched(id, receiver, attempt);
					} else {
						this.send(receiver, {type: 'untouched', id, attempt});
					}
				},
				sendCompletedTasks: (receiver, id, doneTasks) => {
					if (receiver === name) {
						this.receiver.addCompletedTasks(name, id, doneTasks);
					} else {
						this.send(receiver, {type: 'progress', id, doneTasks});
					}
				},
				sendLostRuns: (receivers, lostRuns) => {
					this.receiver.recordLostRuns(lostRuns);
					const leaders = this.leadership
						.livePeers(this.#now)
						.filter(({leads}) => Object.keys(leads).length > 0)
						.map((peer) => peer.name);
					for (const recipient of new Set([...receivers, ...leaders])) {
						this.send(recipient, {type: 'lost-runs', lostRuns});
					}
				},
				handleFencedZone: (fencedZone, token) => {
					this.#applyChanges(
						this.leadership.handleTokenRefusal(
							fencedZone,
							token,
							this.scheduler.pool.hasSyncedWorker(fencedZone),
							this.#now,
						),
					);
				},
				logDecision(decision) {
					if (!('id' in decision)) {
						return;
					}

					world.log(
						decision.event === 'placed'
							? `${name} places ${decision.task} run ${decision.run} on ${decision.worker}`
							: `${name} ${decision.event} ${decision.id} ${decision.reason}`,
					);
				},
			},
			requestFlush: () => {
				world.events.add(this.#now, () => {
					this.handle(() => {
						this.scheduler.flush(this.#now);
					});
				});
			},
		});
		this.receiver = new ReceiverModel({
			name,
			zone,
			zones,
			leadership: this.leadership,
			scheduler: this.scheduler,
			desiredState,
			now: () => this.#now,
			readScope: () => this.#scope,
			isOpen: (peer) => world.isOpen(name, peer),
			findRooms: () => this.#findRooms(),
			findOwnWaits: () => {
				const leader = this.leadership.findLeader(zone, this.#now);
				return this.#findPeer(leader?.name)?.waits?.[zone];
			},
			send: (peer, message) => {
				this.send(peer, message);
			},
			setTimer: (delayMs, run) => {
				world.events.add(this.#now + delayMs, () => {
					this.handle(run);
				});
			},
			log(line) {
				world.log(line);
			},
		});
		this.#returnableExchange = new ReturnableExchange({
			scheduler: this.scheduler,
			send: (names, message) => {
				for (const peer of names) {
					this.send(peer, message);
				}
			},
			writeLog({event, id, held}) {
				world.log(`${name} ${event} ${String(id ?? held)}`);
			},
		});
		this.#reporter = new ZoneReporter({
			scheduler: this.scheduler,
			announce: () => {
				this.#sendHeartbeats();
			},
			sendLearned() {
				// Declared run times need no learning.
			},
		});
		this.scheduler.applyDesiredState(desiredState);
	}

	get #now(): number {
		return this.world.events.now;
	}

	/** Calls a handler now or, while this process stands still, afterwards; never after its end. */
	handle(run: () => void, stream?: string): void {
		this.turns.handle(() => {
			if (this.isAlive) {
				run();
			}
		}, stream);
	}

	/** Runs the checks that are due, and schedules the next ones. A process that is late first reads what has arrived. */
	tick(): void {
		this.#schedule(tickIntervalMs, () => {
			this.tick();
		});
		this.#eventLoopDelay.recordCheck(this.#now);
		const isStalled = this.#excludeStall();
		if (this.#areChecksDeferred) {
			return;
		}

		if (!isStalled) {
			this.#runChecks();
			return;
		}

		this.#areChecksDeferred = true;
		this.#schedule(0.01, () => {
			this.#areChecksDeferred = false;
			this.#excludeStall();
			this.#runChecks();
		});
	}

	setStoreReachable(isReachable: boolean): void {
		if (isReachable && !this.#canReadStore) {
			this.#directory.handleStoreReconnect(this.#now);
		}

		this.#canReadStore = isReachable;
	}

	/** Applies the list of workers that the store has, or that another entry VM has read from it. */
	applyWorkers(entries: readonly WorkerEntry[]): void {
		this.#listReadAtMs = this.#now;
		this.#directory.replaceAll(entries, this.#now);
		this.#refreshWorkers();
	}

	get workerEntries(): readonly WorkerEntry[] {
		return this.#workerEntries;
	}

	/** Hands over the zones that this process leads, and ends it when its jobs are answered or after some time. */
	beginStop(): void {
		if (this.isStopping) {
			return;
		}

		this.isStopping = true;
		this.#stopsAtMs = this.#now + maxStopMs;
		this.#applyChanges(this.leadership.stop(this.#now));
		this.#sendHeartbeats();
		this.#schedule(300, () => {
			this.#endIfDone();
		});
	}

	receive(from: string, message: PoolMessage): void {
		if (this.receiver.receive(from, message)) {
			return;
		}

		switch (message.type) {
			case 'heartbeat': {
				this.#receiveHeartbeat(message.heartbeat);
				break;
			}

			case 'submit': {
				this.#receiveSubmission(from, message.job, message.isResubmitted);
				break;
			}

			case 'lost-runs': {
				this.scheduler.importLostRuns(message.lostRuns, this.#now);
				break;
			}

			case 'cancel': {
				this.world.log(
					`${this.name} gets cancel ${message.id} ${message.reason} from ${from}`,
				);
				if (message.reason === 'moved') {
					this.scheduler.release(message.id, from, this.#now);
				} else {
					this.scheduler.cancel(message.id, message.reason, from, this.#now);
				}

				break;
			}

			case 'hand-over': {
				for (const worker of message.workers) {
					this.#directory.addUnlisted(worker, this.#now);
				}

				this.#refreshWorkers();
				break;
			}

			case 'caller-lost': {
				this.scheduler.markCallerLost(
					message.id,
					from,
					this.#now,
					message.lostForMs,
				);
				break;
			}

			case 'caller-returned': {
				this.scheduler.markCallerReturned(message.id, from, this.#now);
				break;
			}

			case 'left-jobs': {
				this.scheduler.recordLeftJobs(message.jobs, this.#now);
				break;
			}

			case 'returnable-jobs':
			case 'returnable-jobs-noted': {
				this.#returnableExchange.receive(from, message, this.#now);
				break;
			}

			case 'answer':
			case 'ask':
			case 'cancelled-jobs':
			case 'knowledge':
			case 'learned':
			case 'progress':
			case 'reply':
			case 'resubmit':
			case 'untouched': {
				throw new Error(`unexpected message ${message.type}`);
			}
		}
	}

	handleLost(peer: string): void {
		this.leadership.markDisconnected(peer);
		this.scheduler.markReceiverUnreachable(peer, this.#now);
		this.#scheduleLeadershipUpdate();
	}

	handleOpen(peer: string): void {
		this.#sendHeartbeats();
		this.receiver.handleOpen(peer);
	}

	send(peer: string, message: PoolMessage): void {
		this.world.send(this, peer, message);
	}

	#schedule(delayMs: number, run: () => void): void {
		this.world.events.add(this.#now + delayMs, () => {
			this.handle(run);
		});
	}

	#runChecks(): void {
		const now = this.#now;
		this.#updateLeadership();
		if (this.leadership.ledZones.size > 0) {
			this.scheduler.recordCurrentList(this.#listReadAtMs, this.#canReadStore);
			if (this.scheduler.pool.isListOutdated) {
				this.#schedule(storeDelayMs, () => {
					this.world.readStore(this);
				});
			}

			this.scheduler.markUnreachableReceivers(
				(receiver) =>
					receiver === this.name || this.leadership.isPeerLive(receiver, now),
				now,
			);
			this.scheduler.tick(now);
		}

		this.#returnableExchange.update(
			{
				ledZones: this.leadership.ledZones,
				findOtherLeaders: () =>
					this.leadership.findOtherLeaders(
						(name) => this.scheduler.isConfirming(name, now),
						now,
					),
				findRecipients: () =>
					selectLossRecipients([], this.leadership.livePeers(now), this.name),
			},
			now,
		);
		this.receiver.answerExpiredJobs();
		if (now - this.#lastDirectoryCheckMs >= directoryCheckIntervalMs) {
			this.#lastDirectoryCheckMs = now;
			this.#refreshWorkers();
			this.#sendUnlistedWorkers();
			this.#applyChanges(
				[...this.leadership.ledZones.keys()].flatMap((zone) =>
					this.leadership.releaseIfUnreachable(
						zone,
						this.scheduler.pool.hasReportedSince(zone, now - zoneUnreachableMs),
						now,
					),
				),
			);
		}

		if (this.#scope === 'zone' && this.leadership.ledZones.size > 0) {
			this.#reporter.update(now);
		}

		if (this.leadership.isWarmUpDue(now) && !this.#isWarmingUp) {
			this.#isWarmingUp = true;
			this.#schedule(warmUpMs, () => {
				this.leadership.setWarm();
			});
		}

		this.#sendDueHeartbeats();
	}

	#endIfDone(): void {
		const isDone =
			this.receiver.size === 0 && this.leadership.ledZones.size === 0;
		if (!isDone && this.#now < this.#stopsAtMs) {
			this.#schedule(50, () => {
				this.#endIfDone();
			});
			return;
		}

		this.receiver.answerRemainingJobs();
		this.#schedule(20, () => {
			this.world.kill(this, 'has stopped');
		});
	}

	#receiveHeartbeat(heartbeat: Heartbeat): void {
		const hasChanged = this.leadership.hasChanged(heartbeat, this.#now);
		this.leadership.receiveHeartbeat(heartbeat, this.#now);
		const grant = heartbeat.grants?.[this.name];
		if (grant !== undefined) {
			this.scheduler.renewGrant(heartbeat.name, grant, this.#now);
		}

		if (!hasChanged) {
			return;
		}

		for (const zone of this.world.zones) {
			if (heartbeat.hears[zone] === undefined) {
				this.#zonesLostByPeers.add(zone);
			}
		}

		this.#scheduleLeadershipUpdate();
	}

	/** Evaluates the election once the messages that have arrived are read. */
	#scheduleLeadershipUpdate(): void {
		if (this.#isLeadershipUpdateScheduled) {
			return;
		}

		this.#isLeadershipUpdateScheduled = true;
		this.#schedule(0, () => {
			this.#isLeadershipUpdateScheduled = false;
			this.#excludeStall();
			this.#updateLeadership();
			const isLossDisputed = [...this.#zonesLostByPeers].some(
				(zone) => this.#liveLeaderTokens[zone] !== undefined,
			);
			this.#zonesLostByPeers.clear();
			if (isLossDisputed) {
				this.#sendHeartbeats();
			}
		});
	}

	/** Excludes a time for which this process stood still from the silence of peers; returns whether there was one. */
	#excludeStall(): boolean {
		const delayMs = this.#stallDelay.recordCheck(this.#now);
		const isStalled = delayMs >= stallThresholdMs;
		if (isStalled) {
			this.leadership.excludeStall(delayMs, this.#now);
		}

		return isStalled;
	}

	#receiveSubmission(from: string, job: PoolJob, isResubmitted: boolean): void {
		if (this.leadership.ledZones.size === 0) {
			return;
		}

		if (this.leadership.hasRecentHeartbeat(from, this.#now)) {
			this.scheduler.submit(job, from, isResubmitted, this.#now);
		} else {
			const {id, attempt} = job;
			this.world.log(`${this.name} returns ${id} to ${from}`);
			this.send(from, {type: 'resubmit', id, attempt});
		}
	}

	#refreshWorkers(): void {
		const entries = this.#directory.entries(this.#now);
		const toText = (list: readonly WorkerEntry[]) =>
			list.map(({id, bornMs}) => `${id} ${bornMs}`).join(' ');
		if (toText(entries) === toText(this.#workerEntries)) {
			return;
		}

		this.#workerEntries = entries;
		this.world.log(`${this.name} lists ${entries.length} workers`);
		if (this.leadership.ledZones.size > 0) {
			this.scheduler.updateWorkers(entries, this.#now, this.#listReadAtMs);
			this.#sendUnlistedWorkers();
		}
	}

	#sendUnlistedWorkers(): void {
		const workers = this.scheduler.pool.unlistedEntries;
		for (const peer of selectLossRecipients(
			[],
			workers.length > 0 ? this.leadership.livePeers(this.#now) : [],
			this.name,
		)) {
			this.send(peer, {type: 'hand-over', workers});
		}
	}

	#updateLeadership(): void {
		this.#updateScope();
		this.#applyChanges(this.leadership.tick(this.#now));
		const tokens = Object.fromEntries(
			this.world.zones.flatMap((zone) => {
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

		this.receiver.updateOwnLeader();
	}

	#updateScope(): void {
		const scope = this.#scopeBySize.update(
			{
				count: this.#workerEntries.length,
				ageMs: this.#now - this.#listReadAtMs,
			},
			this.#findPeer(this.receiver.leader)?.scope,
			this.#now,
		);
		if (scope !== this.#scope) {
			this.#scope = scope;
			this.leadership.setScope(scope);
			this.world.log(
				`${this.name} scope ${scope} with ${this.#workerEntries.length} workers`,
			);
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
				this.#reporter.handleClaim();
				this.scheduler.updateWorkers(
					this.#workerEntries,
					this.#now,
					this.#listReadAtMs,
				);
				continue;
			}

			const newLeader =
				this.leadership.successors.get(change.zone) ??
				this.leadership.findLeader(change.zone, this.#now)?.name;
			if (newLeader !== undefined) {
				this.send(newLeader, {
					type: 'hand-over',
					workers: [
						...this.#workerEntries,
						...this.scheduler.pool.unlistedEntries,
					].filter(({zone}) => zone === change.zone),
				});
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
			this.receiver.updateOwnLeader();
			this.#sendHeartbeats();
		}
	}

	/** Sends a heartbeat to all peers, now or once the gap since the last such round has passed. */
	#sendHeartbeats(): void {
		this.#isRoundDue = true;
		this.#sendDueHeartbeats();
	}

	#sendDueHeartbeats(): void {
		const now = this.#now;
		const intervals = computeHeartbeatIntervals(
			overlaySize,
			this.#eventLoopDelay.largestMs(now),
		);
		if (this.#isRoundDue && now - this.#lastRoundMs >= intervals.roundGapMs) {
			this.#isRoundDue = false;
			this.#lastRoundMs = now;
			this.#heartbeatSchedule.reset();
		}

		const sender = {
			zone: this.zone,
			ledZones: this.leadership.ledZones,
			isElecting: this.world.zones.some(
				(zone) => this.#liveLeaderTokens[zone] === undefined,
			),
		};
		const due = this.#heartbeatSchedule.takeDue(
			new Map(
				[...this.world.zoneByVm]
					.filter(([name]) => name !== this.name)
					.map(([name, zone]) => [
						name,
						selectHeartbeatInterval(
							sender,
							{
								heartbeat: this.#findPeer(name),
								zone,
								acceptsSlowIntervals: true,
							},
							intervals,
						),
					]),
			),
			now,
		);
		for (const [intervalMs, peers] of due) {
			this.#sendHeartbeat(peers, intervalMs);
		}
	}

	#sendHeartbeat(peers: ReadonlySet<string>, intervalMs: number): void {
		const heartbeat: Heartbeat = {
			name: this.name,
			zone: this.zone,
			address: this.name,
			incarnation: this.incarnation,
			intervalMs,
			sentAtMs: Math.floor(this.#now),
			grants: this.receiver.grants,
			processorShare: this.processorShare,
			isStopping: this.isStopping,
			isWarm: this.leadership.isWarm,
			leads: Object.fromEntries(this.leadership.ledZones),
			highestToken: this.leadership.highestToken,
			hears: this.#liveLeaderTokens,
			yields: Object.fromEntries(this.leadership.successors),
			scope: this.#scope,
			...(this.#scope === 'zone' && this.leadership.ledZones.size > 0
				? this.#readReport()
				: {}),
			isCandidate: true,
			members: [],
		};
		for (const peer of peers) {
			this.send(peer, {
				type: 'heartbeat',
				heartbeat,
				needsKnowledge: false,
				readsStore: true,
			});
		}
	}

	#readReport(): Pick<Heartbeat, 'spareMillis' | 'waits'> {
		const {spareMillis, waits} = this.#reporter.read(this.#now);
		return {
			...(spareMillis === undefined ? {} : {spareMillis}),
			...(waits === undefined ? {} : {waits}),
		};
	}

	#findPeer(name: string | undefined): Heartbeat | undefined {
		return this.leadership
			.livePeers(this.#now)
			.find((peer) => peer.name === name);
	}

	#findRooms(): readonly ZoneRoom[] {
		return this.world.zones.flatMap((zone) => {
			const leader = this.leadership.findLeader(zone, this.#now)?.name;
			const report = this.#findPeer(leader);
			const spareMillis = report?.spareMillis?.[zone];
			const waits = report?.waits?.[zone];
			return zone === this.zone ||
				leader === undefined ||
				spareMillis === undefined ||
				!this.world.isOpen(this.name, leader)
				? []
				: [
						{
							zone,
							leader,
							spareMillis,
							isConnected: true,
							...(waits === undefined ? {} : {waits}),
						},
					];
		});
	}
}

/** Entry VMs of three zones, workers, callers and the network between them, with injected time and seeded choices. */
class ZoneModel implements ModelWorld {
	readonly events = new EventQueue();
	readonly random: Random;
	readonly zones: readonly string[];
	readonly zoneByVm: ReadonlyMap<string, string>;
	readonly workers: ReadonlyMap<string, ModelWorker>;
	claimCount = 0;
	/** The running process of each entry VM that has one. */
	readonly #processes = new Map<string, ModelProcess>();
	readonly #links = new Map<string, Link>();
	readonly #lastDeliveryMs = new Map<string, number>();
	readonly #lastReceivedMs = new Map<string, number>();
	/** Silence after which each stream is closed. */
	readonly #staleMs = new Map<string, number>();
	readonly #silentUntilMs = new Map<string, number>();
	/** Time until which the store does not list a worker. */
	readonly #missingUntilMs = new Map<string, number>();
	readonly #zoneCuts = new Map<
		string,
		{readonly untilMs: number; readonly isDelaying: boolean}
	>();

	readonly #calls = new Map<string, Call>();
	readonly #overlaps: TracedOverlap[] = [];
	readonly #falseRefusals = new Set<string>();
	readonly #trace: string[] = [];
	readonly #runTimesMs = new Map<string, number>();
	#storeDownUntilMs = 0;
	/** Times until which the store turns away entry VMs, by name. */
	readonly #turnedAwayUntilMs = new Map<string, number>();
	#startCount = 0;
	#completedCount = 0;
	#refusedCount = 0;
	#incarnationCount = 0;

	constructor(readonly settings: ZoneModelSettings) {
		this.random = seededRandom(settings.seed);
		this.zones = listZones(settings.shape);
		this.zoneByVm = new Map(
			listEntryVms(settings.shape).map((name) => [
				name,
				name.replace(/-entry-.*/, ''),
			]),
		);
		this.workers = new Map(
			createWorkerEntries(settings.shape).map((entry, index) => [
				entry.id,
				new ModelWorker(entry, this, index % 2 === 0 ? 1 : 0.98),
			]),
		);
	}

	/** The entries of the workers in the store. */
	get workerEntries(): readonly WorkerEntry[] {
		return [...this.workers.values()]
			.map(({entry}) => entry)
			.filter(({id}) => (this.#missingUntilMs.get(id) ?? 0) <= this.events.now);
	}

	takeSendDelayMs(sender: string, isStart: boolean): number {
		return this.#processes.get(sender)?.turns.takeSendDelayMs(isStart) ?? 0;
	}

	/** Plays the model to its end. */
	play(): ZoneModelResult {
		const {
			calmMs,
			durationMs,
			lossesOfAllAtMs,
			jobIntervalMs,
			lateWorkerShare,
		} = this.settings;
		for (const id of this.workers.keys()) {
			if (lateWorkerShare > 0 && this.random() < lateWorkerShare) {
				this.#missingUntilMs.set(
					id,
					calmMs + (durationMs - calmMs) * this.random(),
				);
			}
		}

		for (const name of this.zoneByVm.keys()) {
			this.#start(name);
		}

		for (
			let atMs = calmMs;
			atMs < durationMs;
			atMs += 2 * jobIntervalMs * this.random()
		) {
			this.events.add(atMs, () => {
				this.#createCall();
			});
		}

		for (let atMs = calmMs; atMs < durationMs; atMs += faultIntervalMs) {
			this.events.add(atMs, () => {
				this.#drawFaults();
			});
		}

		for (const atMs of lossesOfAllAtMs) {
			this.events.add(atMs, () => {
				this.#killAll();
			});
		}

		this.settings.script?.(this.#createStage());
		this.events.runUntil(durationMs);
		const count = (event: string) =>
			this.#trace.filter((line) => line.includes(` ${event} `)).length;
		return {
			overlaps: this.#overlaps,
			falseRefusals: [...this.#falseRefusals],
			submittedCount: this.#calls.size,
			completedCount: this.#completedCount,
			refusedCount: this.#refusedCount,
			startCount: this.#startCount,
			overflowCount: count('overflow'),
			balancedCount: count('balanced'),
			claimCount: this.claimCount,
			trace: this.#trace,
		};
	}

	log(line: string): void {
		this.#trace.push(`${this.events.now.toFixed(1)} ${line}`);
	}

	runTimeOf(task: string): number {
		return this.#runTimesMs.get(task) ?? 100;
	}

	drawDelayMs(): number {
		return this.random() < this.settings.slowMessageShare
			? 100 * this.random()
			: 1 + 3 * this.random();
	}

	drawCommandDelayMs(sender: string, worker: string): number | undefined {
		const {now} = this.events;
		const senderZone = this.zoneByVm.get(sender)!;
		const {zone} = this.workers.get(worker)!.entry;
		if ((this.#silentUntilMs.get(worker) ?? 0) > now) {
			return undefined;
		}

		const cuts = [senderZone, zone].flatMap(
			(cutZone) => this.#zoneCuts.get(cutZone) ?? [],
		);
		const cut = cuts.find(({untilMs}) => untilMs > now);
		if (senderZone !== zone && cut !== undefined) {
			// What is sent during a short cut may arrive after it.
			return cut.isDelaying
				? cut.untilMs - now + this.drawDelayMs()
				: undefined;
		}

		return this.random() < this.settings.lateCommandProbability
			? 100 + 1400 * this.random()
			: this.drawDelayMs();
	}

	recordStart(worker: ModelWorker, {task, run}: StartCommand): void {
		this.#startCount += 1;
		this.log(`${worker.entry.id} starts ${task} run ${run}`);
		const id = task.split('.')[0]!;
		const call = this.#calls.get(id)!;
		call.hasStarted = true;
		this.#checkRefusals(call);
		const runs = findActiveRuns(task, this.workers);
		if (runs.length > 1) {
			this.log(`OVERLAP ${task} ${JSON.stringify(runs)}`);
			this.#overlaps.push({
				atMs: this.events.now,
				task,
				runs,
				trace: this.#selectTrace(id),
			});
		}
	}

	recordEnd(worker: ModelWorker, end: Omit<ReportedEnd, 'number'>): void {
		const {task, run, how} = end;
		this.log(`${worker.entry.id} ends ${task} run ${run} ${how}`);
	}

	isOpen(left: string, right: string): boolean {
		return this.#findLink(left, right).isOpen;
	}

	/** Sends a message on the stream between two entry VMs, which keeps the order. It is lost with the stream. */
	send(sender: ModelProcess, to: string, message: PoolMessage): void {
		const sendDelayMs = sender.turns.takeSendDelayMs(false);
		if (sendDelayMs > 0) {
			const {epoch} = this.#findLink(sender.name, to);
			this.events.add(this.events.now + sendDelayMs, () => {
				if (sender.isAlive && this.#findLink(sender.name, to).epoch === epoch) {
					this.#deliver(sender, to, message);
				}
			});
		} else {
			this.#deliver(sender, to, message);
		}
	}

	/** Ends a process; its callers send their jobs again, and a new process starts after a while. */
	kill(process: ModelProcess, reason: string, restartMs?: number): void {
		const {name} = process;
		if (!process.isAlive) {
			return;
		}

		this.log(`${name} ${reason}`);
		process.isAlive = false;
		this.#processes.delete(name);
		for (const peer of this.zoneByVm.keys()) {
			this.#closeLink(name, peer);
		}

		for (const call of this.#calls.values()) {
			if (call.openCopy !== undefined && call.lastVm === name) {
				this.#sendAgain(call);
			}
		}

		this.events.add(
			this.events.now + (restartMs ?? 300 + 1200 * this.random()),
			() => {
				this.#start(name);
			},
		);
	}

	/** Passes the store's list of workers to a process, unless the store is away. */
	readStore(process: ModelProcess): void {
		const isReachable =
			this.events.now >=
			Math.max(
				this.#storeDownUntilMs,
				this.#turnedAwayUntilMs.get(process.name) ?? 0,
			);
		process.setStoreReachable(isReachable);
		if (isReachable) {
			process.applyWorkers(this.workerEntries);
		}
	}

	#deliver(sender: ModelProcess, to: string, message: PoolMessage): void {
		const link = this.#findLink(sender.name, to);
		const {now} = this.events;
		const isCut = link.cutUntilMs > now;
		if (!link.isOpen || (isCut && !link.isCutDelaying)) {
			return;
		}

		const stream = `${sender.name} ${to}`;
		const atMs = Math.max(
			this.#lastDeliveryMs.get(stream) ?? 0,
			(isCut ? link.cutUntilMs : now) + this.drawDelayMs(),
		);
		this.#lastDeliveryMs.set(stream, atMs);
		const {epoch} = link;
		this.events.add(atMs, () => {
			const receiver = this.#processes.get(to);
			receiver?.handle(() => {
				if (link.epoch !== epoch) {
					return;
				}

				const lastMs = this.#lastReceivedMs.get(stream) ?? this.events.now;
				this.#lastReceivedMs.set(stream, this.events.now);
				if (
					this.events.now - lastMs >
					(this.#staleMs.get(stream) ?? staleStreamMs)
				) {
					this.#breakLink(sender.name, to);
					return;
				}

				if (message.type === 'heartbeat') {
					const {intervalMs} = message.heartbeat;
					this.#staleMs.set(
						stream,
						intervalMs > maxFastIntervalMs ? 4 * intervalMs : staleStreamMs,
					);
				}

				receiver.receive(sender.name, message);
			}, sender.name);
		});
	}

	#start(name: string): void {
		this.#incarnationCount += 1;
		const process = new ModelProcess(
			name,
			this.zoneByVm.get(name)!,
			`${name}#${this.#incarnationCount}`,
			this,
		);
		this.#processes.set(name, process);
		this.log(`${name} has started`);
		this.events.add(this.events.now + 10 * this.random(), () => {
			process.handle(() => {
				process.tick();
			});
		});
		this.#readStore(process, 40 + 100 * this.random());
		for (const peer of this.zoneByVm.keys()) {
			if (peer !== name) {
				this.#openLink(name, peer, 10 + 50 * this.random());
			}
		}
	}

	/** Has a process read the store after a delay and then at intervals; while it cannot, others pass on their lists. */
	#readStore(process: ModelProcess, delayMs: number): void {
		this.events.add(this.events.now + delayMs, () => {
			process.handle(() => {
				this.readStore(process);
				this.#readStore(process, storeReadIntervalMs);
			});
		});
	}

	#findLink(left: string, right: string): Link {
		const key = [left, right].toSorted().join(' ');
		const known = this.#links.get(key);
		if (known !== undefined) {
			return known;
		}

		const link = {
			epoch: 0,
			isOpen: false,
			cutUntilMs: 0,
			isCutDelaying: false,
		};
		this.#links.set(key, link);
		return link;
	}

	/** Closes the stream between two entry VMs; both notice it if they run, unless a cut conceals it. */
	#closeLink(left: string, right: string, isConcealed = false): void {
		const link = this.#findLink(left, right);
		if (!link.isOpen) {
			return;
		}

		const isCut = link.cutUntilMs > this.events.now && !link.isCutDelaying;
		link.isOpen = false;
		link.epoch += 1;
		for (const [name, peer] of [
			[left, right],
			[right, left],
		] as const) {
			this.#lastReceivedMs.delete(`${peer} ${name}`);
			this.#staleMs.delete(`${peer} ${name}`);
			this.#lastDeliveryMs.delete(`${peer} ${name}`);
			const process = this.#processes.get(name);
			const delayMs = 3 * this.random();
			if (!isConcealed && !isCut) {
				this.events.add(this.events.now + delayMs, () => {
					process?.handle(() => {
						process.handleLost(peer);
					}, peer);
				});
			}
		}
	}

	/** Opens the stream between two entry VMs after a delay, or after the cut between them. */
	#openLink(left: string, right: string, delayMs: number): void {
		this.events.add(this.events.now + delayMs, () => {
			const link = this.#findLink(left, right);
			const processes = [left, right].map((name) => this.#processes.get(name));
			if (link.isOpen || processes.includes(undefined)) {
				return;
			}

			if (link.cutUntilMs > this.events.now) {
				this.#openLink(left, right, link.cutUntilMs - this.events.now + 5);
				return;
			}

			link.isOpen = true;
			link.epoch += 1;
			for (const [process, peer] of [
				[processes[0], right],
				[processes[1], left],
			] as const) {
				process?.handle(() => {
					process.handleOpen(peer);
				}, peer);
			}
		});
	}

	#breakLink(left: string, right: string): void {
		this.#closeLink(left, right);
		this.#openLink(left, right, 5 + 30 * this.random());
	}

	/**
	 * Lets no messages pass between two entry VMs for a time. The sender replaces a stream that is silent for long; the other
	 * end notices nothing, as the closing is not delivered either.
	 */
	#cut(
		left: string,
		right: string,
		durationMs: number,
		isCutDelaying: boolean,
	): void {
		const link = this.#findLink(left, right);
		const untilMs = this.events.now + durationMs;
		link.cutUntilMs = Math.max(link.cutUntilMs, untilMs);
		link.isCutDelaying = isCutDelaying && durationMs < staleStreamMs;
		const {epoch} = link;
		if (!link.isCutDelaying) {
			this.events.add(
				Math.min(untilMs, this.events.now + staleStreamMs),
				() => {
					if (link.epoch === epoch) {
						this.#closeLink(left, right, true);
						this.#openLink(left, right, 5 + 30 * this.random());
					}
				},
			);
		}
	}

	get #faultTargets(): ZoneFaultTargets {
		const {settings, random, zones, workers, zoneByVm, events} = this;
		return {
			settings,
			random,
			zones,
			entryVms: [...zoneByVm.keys()],
			workerIds: [...workers.keys()],
			findLeader: () => this.#pickLeader()?.name,
			stand: (entryVm, durationMs) => {
				this.log(`${entryVm} stalls for ${durationMs.toFixed(0)} ms`);
				this.#processes.get(entryVm)?.turns.stand(durationMs);
			},
			standBeforeSend: (entryVm, durationMs, sendsBefore, isStart) => {
				this.log(
					`${entryVm} stalls within a turn for ${durationMs.toFixed(0)} ms`,
				);
				this.#processes
					.get(entryVm)
					?.turns.standBeforeSend(durationMs, sendsBefore, isStart);
			},
			cut: (left, right, durationMs, isDelaying) => {
				for (const name of left) {
					for (const peer of right) {
						this.#cut(name, peer, durationMs, isDelaying);
					}
				}
			},
			cutZone: (zone, durationMs, isDelaying) => {
				this.log(`zone cut ${zone} for ${durationMs.toFixed(0)} ms`);
				this.#zoneCuts.set(zone, {
					untilMs: events.now + durationMs,
					isDelaying,
				});
				for (const [inner, innerZone] of zoneByVm) {
					for (const [outer, outerZone] of zoneByVm) {
						if (innerZone === zone && outerZone !== zone) {
							this.#cut(inner, outer, durationMs, isDelaying);
						}
					}
				}
			},
			reset: (entryVm, durationMs) => {
				for (const peer of zoneByVm.keys()) {
					if (peer !== entryVm) {
						this.#closeLink(entryVm, peer);
						this.#openLink(entryVm, peer, durationMs + 30 * random());
					}
				}
			},
			lose: (entryVms, restartMs) => {
				for (const name of entryVms) {
					const process = this.#processes.get(name);
					if (process !== undefined) {
						this.kill(process, 'is lost', restartMs + 100 * random());
					}
				}
			},
			loseEntries: (ids, outageMs, missingMs) => {
				this.#storeDownUntilMs = events.now + outageMs;
				this.log(`store is down and loses ${ids.join(' ')}`);
				for (const id of ids) {
					this.#missingUntilMs.set(id, events.now + outageMs + missingMs);
				}
			},
			turnAwayFromStore: (entryVms, durationMs) => {
				this.log(`store turns away ${entryVms.join(' ')}`);
				for (const name of entryVms) {
					this.#turnedAwayUntilMs.set(name, events.now + durationMs);
				}
			},
			restartWorker: (worker) => {
				this.log(`${worker} has started anew`);
				this.workers.get(worker)?.restart();
			},
			log: (line) => {
				this.log(line);
			},
		};
	}

	#createStage(): ZoneStage {
		const {events} = this;
		return {
			sendJob: (atMs, id, runMs, entryVms) => {
				events.add(atMs, () => {
					this.#addCall(id, runMs, 2000 + 2 * runMs, {
						zone: this.zoneByVm.get(entryVms[0]!)!,
						entryVms,
					});
				});
			},
			resetCaller: (atMs, id) => {
				events.add(atMs, () => {
					this.#resetCaller(this.#calls.get(id));
				});
			},
			lose: (atMs, entryVms, restartMs) => {
				events.add(atMs, () => {
					for (const name of entryVms) {
						const process = this.#processes.get(name);
						if (process !== undefined) {
							this.kill(process, 'is lost', restartMs);
						}
					}
				});
			},
			stop: (atMs, entryVm) => {
				events.add(atMs, () => {
					this.#processes.get(entryVm)?.beginStop();
				});
			},
			silenceWorkersOf: (atMs, id, durationMs) => {
				events.add(atMs, () => {
					for (const {worker} of findActiveRuns(`${id}.0.0.0`, this.workers)) {
						this.#silentUntilMs.set(worker, atMs + durationMs);
					}
				});
			},
			plan: (atMs, run) => {
				events.add(atMs, () => {
					run(this.#faultTargets);
				});
			},
			unlistWorkersOf: (atMs, id) => {
				events.add(atMs, () => {
					for (const {worker} of findActiveRuns(`${id}.0.0.0`, this.workers)) {
						this.#missingUntilMs.set(worker, Number.POSITIVE_INFINITY);
						this.log(`store lists ${worker} no longer`);
					}
				});
			},
			stopStore: (atMs, durationMs) => {
				events.add(atMs, () => {
					this.#storeDownUntilMs = atMs + durationMs;
				});
			},
		};
	}

	#createCall(): void {
		const {longestRunMs, firstZoneShare} = this.settings;
		const runMs = 50 + (longestRunMs - 50) * this.random() ** 4;
		const patienceMs = Math.round(800 + 2 * runMs + 1500 * this.random());
		this.#addCall(`job${this.#calls.size + 1}`, runMs, patienceMs, {
			zone:
				this.random() < firstZoneShare
					? this.zones[0]!
					: this.zones[
							1 + Math.floor((this.zones.length - 1) * this.random())
						]!,
		});
	}

	#addCall(
		id: string,
		runMs: number,
		patienceMs: number,
		origin: Pick<Call, 'zone' | 'entryVms'>,
	): void {
		const {attempt: _, ...job} = poolJobFixture(id, 1, {runMs, patienceMs});
		this.#runTimesMs.set(job.tasks[0]!.name, runMs);
		const call: Call = {
			job,
			...origin,
			sendCount: 0,
			lastVm: undefined,
			openCopy: undefined,
			isAlwaysRefused: true,
			isOver: false,
			hasStarted: false,
		};
		this.#calls.set(id, call);
		this.#send(call);
	}

	/** Sends a job to an entry VM of the caller's zone, or of another zone if none of its own is up. */
	#send(call: Call): void {
		const {job} = call;
		const process = this.#chooseReceiver(call);
		call.sendCount += 1;
		const copy = call.sendCount;
		call.openCopy = copy;
		call.lastVm = process?.name;
		if (process === undefined) {
			this.#sendAgain(call);
			return;
		}

		this.log(
			`caller sends ${job.id} copy ${copy} of ${job.patienceMs} ms to ${process.name}`,
		);
		this.events.add(this.events.now + 1, () => {
			process.handle(() => {
				// Submissions of callers are read from sockets of their own.
				if (call.openCopy === copy) {
					process.receiver.submit(job, process.incarnation, (answer) => {
						this.#handleAnswer(call, copy, answer);
					});
				}
			}, `caller ${job.id}`);
		});
		this.events.add(this.events.now + job.patienceMs + 100, () => {
			if (call.openCopy === copy) {
				this.#leave(call, process, false);
			}
		});
	}

	#chooseReceiver({
		lastVm,
		zone,
		entryVms,
		sendCount,
	}: Call): ModelProcess | undefined {
		if (entryVms !== undefined) {
			return this.#processes.get(entryVms[sendCount % entryVms.length]!);
		}

		const others = [...this.#processes.values()].filter(
			({name, isStopping}) => name !== lastVm && !isStopping,
		);
		const ofZone = others.filter((process) => process.zone === zone);
		return this.#pick(
			ofZone.length > 0 || this.settings.staysInZone ? ofZone : others,
		);
	}

	/** Has a caller leave its receiver, and send its job again. */
	#leave(call: Call, process: ModelProcess, isReset: boolean): void {
		const {id} = call.job;
		this.log(`caller leaves ${id} at ${process.name}, reset ${isReset}`);
		process.handle(() => {
			process.receiver.handleCallerDisconnect(id, isReset);
		}, `caller ${id}`);
		this.#sendAgain(call);
	}

	#sendAgain(call: Call): void {
		call.openCopy = undefined;
		call.isAlwaysRefused = false;
		if (call.sendCount >= maxSends) {
			call.isOver = true;
			return;
		}

		this.events.add(this.events.now + resendDelayMs, () => {
			if (this.random() < this.settings.movingShare) {
				call.zone = this.#pick(this.zones)!;
			}

			this.#send(call);
		});
	}

	#handleAnswer(call: Call, copy: number, answer: PoolAnswer): void {
		if (call.openCopy !== copy) {
			return;
		}

		const reason = 'reason' in answer ? answer.reason : '';
		this.log(`answer of ${call.job.id}: ${answer.kind} ${reason}`);
		if (answer.kind === 'may-have-run') {
			this.#sendAgain(call);
			return;
		}

		call.openCopy = undefined;
		call.isOver = true;
		if (answer.kind === 'not-run') {
			this.#refusedCount += 1;
			this.#checkRefusals(call);
		} else {
			call.isAlwaysRefused = false;
			this.#completedCount += 1;
		}
	}

	#checkRefusals({job, isOver, isAlwaysRefused, hasStarted}: Call): void {
		if (isOver && isAlwaysRefused && hasStarted) {
			this.log(`FALSE REFUSAL ${job.id}`);
			this.#falseRefusals.add(job.id);
		}
	}

	#pick<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this.random() * items.length)];
	}

	#happens(probability: number): boolean {
		return probability > 0 && this.random() < probability;
	}

	#pickLeader(): ModelProcess | undefined {
		return this.#pick(
			[...this.#processes.values()].filter(
				({leadership}) => leadership.ledZones.size > 0,
			),
		);
	}

	#killAll(): void {
		for (const process of this.#processes.values()) {
			this.kill(process, 'is lost with all', 100 + 1400 * this.random());
		}
	}

	#drawFaults(): void {
		const {settings} = this;
		const running = [...this.#processes.values()];
		if (this.#happens(settings.killProbability)) {
			const process = this.#pick(running);
			if (process !== undefined) {
				this.kill(process, 'is lost');
			}
		}

		if (this.#happens(settings.leaderKillProbability)) {
			const leader = this.#pickLeader();
			if (leader !== undefined) {
				this.kill(leader, 'is lost as a leader');
			}
		}

		if (this.#happens(settings.pairKillProbability)) {
			const leader = this.#pickLeader();
			const other = this.#pick(running.filter((process) => process !== leader));
			for (const process of [leader, other]) {
				if (process !== undefined) {
					this.kill(process, 'is lost in a pair');
				}
			}
		}

		for (const [probability, process] of [
			[settings.stopProbability, this.#pick(running)],
			[settings.leaderStopProbability, this.#pickLeader()],
		] as const) {
			if (this.#happens(probability) && process?.isAlive === true) {
				this.log(`${process.name} begins to stop`);
				process.handle(() => {
					process.beginStop();
				});
			}
		}

		this.#drawDelays();
		this.#drawNetworkFaults();
		drawZoneFaults(this.#faultTargets);
	}

	#drawDelays(): void {
		const {settings} = this;
		const {now} = this.events;
		for (const process of this.#processes.values()) {
			if (this.#happens(settings.stallProbability)) {
				standStill(
					this.#faultTargets,
					process.name,
					20 + 1500 * this.random() ** 2,
				);
			}

			if (this.#happens(settings.delayProbability)) {
				this.#faultTargets.stand(process.name, 150 + 100 * this.random());
			}
		}

		if (this.#happens(settings.silenceProbability)) {
			const worker = this.#pick(this.workerEntries)!;
			const untilMs = now + 50 + 1800 * this.random();
			this.#silentUntilMs.set(worker.id, untilMs);
			this.log(`${worker.id} is silent until ${untilMs.toFixed(0)}`);
		}

		if (this.#happens(settings.storeOutageProbability)) {
			this.#storeDownUntilMs = now + 1000 + 4000 * this.random();
			this.log(`store is down until ${this.#storeDownUntilMs.toFixed(0)}`);
		}

		if (this.#happens(settings.resetProbability)) {
			const call = this.#pick(
				[...this.#calls.values()].filter(
					({openCopy}) => openCopy !== undefined,
				),
			);
			this.#resetCaller(call);
		}
	}

	#resetCaller(call: Call | undefined): void {
		const process = this.#processes.get(call?.lastVm ?? '');
		if (call?.openCopy !== undefined && process !== undefined) {
			this.#leave(call, process, true);
		}
	}

	#drawNetworkFaults(): void {
		const {settings} = this;
		const names = [...this.zoneByVm.keys()];
		const left = this.#pick(names)!;
		const right = this.#pick(names.filter((name) => name !== left))!;
		if (this.#happens(settings.breakProbability)) {
			this.log(`stream of ${left} and ${right} breaks`);
			this.#breakLink(left, right);
		}

		if (this.#happens(settings.cutProbability)) {
			const durationMs = 100 + 1500 * this.random();
			this.log(`cut ${left} ${right} for ${durationMs.toFixed(0)} ms`);
			this.#cut(left, right, durationMs, this.random() < 0.5);
		}

		if (this.#happens(settings.zoneCutProbability)) {
			const zone = this.#pick(this.zones)!;
			const durationMs = settings.shortestZoneCutMs + 2500 * this.random();
			const isDelaying = this.random() < 0.5;
			this.#faultTargets.cutZone(zone, durationMs, isDelaying);
		}
	}

	/** Selects the lines of the trace on a job, and those on leadership and faults in the seconds before. */
	#selectTrace(id: string): readonly string[] {
		const ofJob = new RegExp(String.raw`\b${id}\b`);
		const ofLeaders =
			/claimed|dropped|scope|follows|is lost|stop|stalls|cut|silent|store|lists|started|breaks/;
		const sinceMs = this.events.now - 4000;
		return this.#trace.filter(
			(line) =>
				ofJob.test(line) ||
				(ofLeaders.test(line) &&
					!line.includes(' job') &&
					Number.parseFloat(line) > sinceMs),
		);
	}
}

/** Plays a day of the model with a seed. */
export function playZoneModel(
	day: keyof typeof zoneModelDays,
	seed: number,
	change: Partial<ZoneModelSettings> = {},
): ZoneModelResult {
	return new ZoneModel({...zoneModelDays[day], ...change, seed}).play();
}
