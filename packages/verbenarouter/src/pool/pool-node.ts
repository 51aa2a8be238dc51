import {
	BestFit,
	EventLoopDelay,
	Leadership,
	LearnedTimeEstimator,
	ObjectiveOrder,
	PoolScheduler,
	QueueShares,
	ScopeBySize,
	ZoneEvacuations,
	defaultWorkerPoolSettings,
	type DesiredState,
	type EvacuationChange,
	type LeadershipChange,
	type LearnedSpeeds,
	type LostRun,
	type PoolAnswer,
	type PoolJob,
	type PoolScope,
	type WorkerEntry,
} from '@verbenarouter/core';
import {type KnowledgeVersions, type PoolMessage} from '@verbenarouter/peer';
import {
	StoreClient,
	WorkerClient,
	type CancelOutcome,
	type EntrySettings,
	type JobDispatcher,
} from '@verbenarouter/platform';
import {droppedLines} from '../logger.js';
import {type MetricSample} from '../metrics.js';
import {OverlayNode, type NodeState} from '../overlay/overlay-node.js';
import {CancelledJobs} from './cancelled-jobs.js';
import {DecisionCounts} from './decision-counts.js';
import {JobReceiver, type ReceiverMessage} from './job-receiver.js';
import {
	KnowledgeExchange,
	staleStoreDataMs,
	type KnowledgeView,
} from './knowledge-exchange.js';
import {computeWorkersVersion, describeWorker} from './knowledge-schedule.js';
import {selectLossRecipients} from './loss-recipients.js';
import {LossRelay} from './loss-relay.js';
import {type PoolLog} from './pool-log.js';
import {ReturnableExchange} from './returnable-exchange.js';
import {StoreFollower} from './store-follower.js';
import {createWorkerCommandSender} from './worker-command-sender.js';
import {WorkerListVersion} from './worker-list-version.js';
import {ZoneReporter} from './zone-reporter.js';
import {type ZoneView} from './zone-router.js';

/** Interval at which unused connections to workers are closed. */
const connectionCheckIntervalMs = 100;
/** Interval at which leadership, store reads, leases, stops and deadlines are checked. */
const tickIntervalMs = 20;
/** The same for an entry VM that leads no zone, while its own one has a leader and no job waits for another. */
const followerTickIntervalMs = 50;
/**
 * Delay of the checks from which this process counts as stalled: peers are then judged only after its sockets have been read,
 * and the time does not count as their silence.
 */
const stallThresholdMs = 100;
/** Interval of checks for workers that have not registered again in time, and for unreachable zones. */
const directoryCheckIntervalMs = 500;
/** Time without a report after which the workers of a zone count as unreachable. */
const zoneUnreachableMs = 1500;
/** Longest time for which a request waits for the first desired state; a new process reads it in a tenth of that. */
const firstStateTimeoutMs = 400;
/** Longest time for which a request to the leader waits for its reply. */
const requestTimeoutMs = 800;

/** Delay of a submission that a leader has asked for again: longer than the interval of heartbeats to leaders. */
const resubmitDelayMs = 120;

/** Settings that take effect without a restart. */
const reloadableSettings: ReadonlySet<keyof EntrySettings> = new Set([
	'peerSeeds',
	'storeAddress',
]);

/**
 * One entry VM: receives jobs from callers and submits them to the leader of its zone, and schedules the workers of the
 * zones that it leads.
 */
export class PoolNode implements JobDispatcher {
	/** How late the timers of this process run. */
	readonly eventLoopDelay = new EventLoopDelay(tickIntervalMs);
	#settings: EntrySettings;
	readonly #log: PoolLog;
	readonly #now: () => number;
	readonly #leadership: Leadership;
	readonly #scopeBySize = new ScopeBySize();
	readonly #jobReceiver: JobReceiver;
	readonly #evacuations: ZoneEvacuations;
	readonly #queueShares = new QueueShares();
	readonly #decisionCounts = new DecisionCounts();
	readonly #scheduler: PoolScheduler;
	readonly #overlayNode: OverlayNode;
	readonly #workerClient: WorkerClient;
	readonly #storeFollower: StoreFollower;
	/** How late this process runs, recorded also when it reads heartbeats that change an election. */
	readonly #stallDelay = new EventLoopDelay(tickIntervalMs);
	/** Whether the checks of a late tick wait until the sockets have been read. */
	#areChecksDeferred = false;
	/** Resolves the requests to the leader that have no reply yet, by request number. */
	readonly #replyHandlers = new Map<number, (value: unknown) => void>();
	/** Identifier of this process, which changes with each restart. */
	readonly #incarnation: string;
	/** Resolves the requests that arrived before the first desired state. */
	readonly #stateWaiters = new Set<(state: DesiredState) => void>();
	#desiredState: DesiredState | undefined;
	/** The workers that may be alive, as last read from the directory. */
	#workerEntries: readonly WorkerEntry[] = [];
	/** Whether one leader leads the whole region or each zone has its own, by the number of workers. */
	#scope: PoolScope = 'zone';
	/** Name of the live leader of this entry VM's zone. */
	#leader: string | undefined;
	#isStopping = false;
	/** Decides while the process stops whether a request is accepted. */
	#acceptsRequest: JobDispatcher['acceptsRequest'] | undefined;
	#nextRequestNumber = 1;
	#attemptCount = 0;
	#lastConnectionCheckMs = 0;
	/** Whether the election is evaluated at the end of this turn of the event loop. */
	#isLeadershipUpdateScheduled = false;
	#lastDirectoryCheckMs = 0;
	/** Workers whose entries expired while their zone was partitioned; their runs may continue. */
	readonly #partitionedWorkers = new Map<string, WorkerEntry>();
	readonly #knowledgeExchange: KnowledgeExchange;
	readonly #listVersion = new WorkerListVersion();
	readonly #zoneReporter: ZoneReporter;
	readonly #returnableExchange: ReturnableExchange;
	readonly #lossRelay = new LossRelay();
	readonly #cancelledJobs = new CancelledJobs();

	constructor(settings: EntrySettings, log: PoolLog, now: () => number) {
		this.#settings = settings;
		this.#log = log;
		this.#now = now;
		this.#incarnation = `${settings.name}-${Math.floor(now())}`;
		this.#leadership = new Leadership(settings, settings.zones);
		this.#evacuations = new ZoneEvacuations(settings.zones);
		this.#jobReceiver = new JobReceiver({
			name: settings.name,
			zone: settings.zone,
			readZoneView: (time) => this.#readZoneView(time),
			findOwnLeader: () => this.#leader,
			findLeader: (zone, time) => this.#overlayNode.findLeader(zone, time),
			placesByZone: (leader, time) => this.#placesByZone(leader, time),
			isOpen: (name) => this.#overlayNode.isOpen(name),
			findHeartbeatTimes: (leader) =>
				this.#leadership.findHeartbeatTimes(leader),
			firstEpoch: Math.floor(now()),
			useLeader: (zone, time) => {
				this.#overlayNode.useLeader(zone, time);
			},
			send: (leader, message, time) =>
				this.#sendToLeader(leader, message, time),
			writeLog(fields) {
				log.write(fields);
			},
		});
		this.#knowledgeExchange = new KnowledgeExchange({
			name: settings.name,
			readView: (time) => this.#readKnowledgeView(time),
			isOpen: (name) => this.#overlayNode.isOpen(name),
			hasLeader: (zone, time) =>
				this.#leadership.findLeader(zone, time) !== undefined,
			send: (names, knowledge) => {
				this.#overlayNode.sendToAll(names, {type: 'knowledge', knowledge});
			},
		});
		this.#workerClient = new WorkerClient(now);
		this.#scheduler = new PoolScheduler({
			commandSender: createWorkerCommandSender(
				this.#workerClient,
				() => this.#scheduler,
				now,
				(error) => {
					this.#logError('worker-command', error);
				},
				{
					leaseMs: settings.workerLeaseMs,
					write(fields) {
						log.write(fields);
					},
				},
			),
			output: {
				sendAnswer: (receiver, id, answer) => {
					this.#sendAnswer(receiver, id, answer);
				},
				sendCompletedTasks: (receiver, id, doneTasks) => {
					if (receiver === settings.name) {
						this.#jobReceiver.addCompletedTasks(receiver, id, doneTasks, now());
					} else {
						this.#overlayNode.send(receiver, {type: 'progress', id, doneTasks});
					}
				},
				sendUntouched: (receiver, id, attempt) => {
					if (receiver === settings.name) {
						this.#jobReceiver.markUntouched(id, receiver, attempt);
					} else {
						this.#overlayNode.send(receiver, {type: 'untouched', id, attempt});
					}
				},
				sendLostRuns: (receivers, lostRuns) => {
					this.#sendLostRuns(receivers, lostRuns);
				},
				handleFencedZone: (zone, token) => {
					this.#applyLeadershipChanges(
						this.#leadership.handleTokenRefusal(
							zone,
							token,
							this.#scheduler.pool.hasSyncedWorker(zone),
							now(),
						),
						'fenced',
					);
				},
				logDecision: (decision) => {
					log.write(decision);
					this.#decisionCounts.recordDecision(decision, (receiver) =>
						receiver === settings.name
							? settings.zone
							: this.#leadership.findZone(receiver),
					);
				},
			},
			estimates: new LearnedTimeEstimator(),
			queueOrder: new ObjectiveOrder(this.#queueShares),
			workerSelection: new BestFit(),
			zones: settings.zones,
			requestFlush: () => {
				// The messages that the process has read already are handled before this runs.
				setImmediate(() => {
					this.#flushScheduler();
				});
			},
			poolSettings: {
				...defaultWorkerPoolSettings,
				leaseMs: settings.workerLeaseMs,
				stopDurationMs: settings.workerStopMs,
			},
		});
		this.#zoneReporter = new ZoneReporter({
			scheduler: this.#scheduler,
			announce: (time) => {
				this.#overlayNode.sendHeartbeatToAll(time);
			},
			sendLearned: (learned, time) => {
				this.#sendLearned(learned, time);
			},
		});
		this.#returnableExchange = new ReturnableExchange({
			scheduler: this.#scheduler,
			send: (names, message) => {
				this.#overlayNode.sendToAll(names, message);
			},
			writeLog(fields) {
				log.write(fields);
			},
		});
		const client = new StoreClient(settings.storeAddress);
		this.#overlayNode = new OverlayNode({
			settings,
			incarnation: this.#incarnation,
			leadership: this.#leadership,
			eventLoopDelay: this.eventLoopDelay,
			storeClient: client,
			now,
			listener: {
				readState: (time) => this.#readState(time),
				onMessage: (from, message) => {
					// One message that cannot be handled must not end the process.
					try {
						this.#receiveMessage(from, message);
					} catch (error: unknown) {
						this.#logError(`message ${message.type} of ${from}`, error);
					}
				},
				onLost: (name) => {
					this.#scheduler.markReceiverUnreachable(name, now());
					this.#sendRecentLostRuns(this.#selectLossRecipients([]));
				},
				onOpen: (name) => {
					this.#knowledgeExchange.handleOpen(name);
					this.#jobReceiver.handleOpen(name, now());
					this.#sendRecentLostRuns([name]);
					this.#sendCancelled([name], this.#cancelledJobs.list(now()));
				},
				onElectionChange: () => {
					this.#scheduleLeadershipUpdate();
				},
				writeLog(fields) {
					log.write(fields);
				},
			},
		});
		this.#storeFollower = new StoreFollower(
			client,
			{
				onStateRead: (state) => {
					this.#applyDesiredState(state, 'store');
				},
				onEvacuationsRead: (read) => {
					this.#handleEvacuationChanges(
						this.#evacuations.applyRead(read),
						'store',
					);
				},
				evacuationPosition: () => this.#evacuations.position,
				onWorkersRead: () => {
					this.#refreshWorkers('store');
				},
				onRecordIgnored(topic, key) {
					log.write({event: 'record-ignored', topic, key});
				},
				onReachabilityChange(isReachable, reason) {
					log.write({event: 'store', isReachable, reason});
				},
			},
			settings.zones,
			now,
		);
	}

	/** Listens for peers, connects to them and starts the periodic checks. Rejects if the peer address cannot be bound. */
	async start(): Promise<void> {
		await this.#overlayNode.start();
		this.#tick();
	}

	/** Whether the load balancer may send new caller connections to this entry VM. */
	get isReady(): boolean {
		return (
			!this.#isStopping &&
			this.#desiredState !== undefined &&
			this.#leader !== undefined &&
			this.#canReach(this.#leader)
		);
	}

	/** Number of jobs that this entry VM has received and not yet answered. */
	get pendingJobCount(): number {
		return this.#jobReceiver.size;
	}

	/** Present values of the gauges, by metric name. */
	get gauges(): Readonly<Record<string, number>> {
		return {
			jobsReceivedWaiting: this.#jobReceiver.size,
			jobsScheduled: this.#scheduler.jobCount,
			zonesLed: this.#leadership.ledZones.size,
			ledToken: Math.max(0, ...this.#leadership.ledZones.values()),
			isScopeRegion: Number(this.#scope === 'region'),
			workersLed: this.#scheduler.pool.workers.length,
			workersListed: this.#workerEntries.length,
			workersUnlisted: this.#storeFollower.directory.unlistedCount,
			hasWholeWorkerList: Number(
				Number.isFinite(this.#storeFollower.workersAgeMs(this.#now())),
			),
			peersHeard: this.#leadership.livePeers(this.#now()).length,
			entryVmsKnown: this.#overlayNode.sizes.members,
			peerConnections: this.#overlayNode.sizes.connections,
			isCandidate: Number(this.#overlayNode.isCandidate),
			desiredStateVersion: this.#desiredState?.version ?? 0,
			jobsAnnounced: this.#returnableExchange.sizes.announced,
			jobsElsewhere: this.#returnableExchange.sizes.elsewhere,
			zonesEvacuated: this.#evacuations.evacuatedZones.size,
			storeKnowledgeAgeMs: Math.round(
				Math.min(1e9, this.#storeFollower.workersAgeMs(this.#now())),
			),
			logLinesDropped: droppedLines.count,
		};
	}

	/** Present values of the counters of messages between entry VMs. */
	get counters(): readonly MetricSample[] {
		const {counts, closedLinks, unsentCounts} = this.#overlayNode.traffic;
		return [
			...this.#decisionCounts.samples,
			{
				name: 'clock_samples_behind_total',
				labels: {},
				value: this.#scheduler.pool.clockSamples.behindCount,
			},
			...[...unsentCounts].map(([type, value]) => ({
				name: 'peer_messages_unsent_total',
				labels: {type},
				value,
			})),
			...counts.flatMap(({type, direction, messages, bytes, tookMs}) => [
				{
					name: 'peer_messages_total',
					labels: {type, direction},
					value: messages,
				},
				{name: 'peer_bytes_total', labels: {type, direction}, value: bytes},
				{
					name: 'peer_handling_ms_total',
					labels: {type, direction},
					value: tookMs,
				},
			]),
			...this.#queueShares.usage.flatMap(
				({queue, demandCoreMs, startedCoreMs}) => [
					{
						name: 'queue_demand_core_ms_total',
						labels: {queue},
						value: Math.round(demandCoreMs),
					},
					{
						name: 'queue_started_core_ms_total',
						labels: {queue},
						value: Math.round(startedCoreMs),
					},
				],
			),
			...this.#returnableExchange.samples,
			...[...closedLinks].map(([cause, value]) => ({
				name: 'peer_streams_closed_total',
				labels: {cause},
				value,
			})),
		];
	}

	/** Whether this entry VM is one of those that may lead its zone. */
	get isCandidate(): boolean {
		return this.#overlayNode.isCandidate;
	}

	/** Whether this process should run its warm-up, so that it can lead its zone instead of a weaker machine. */
	get isWarmUpDue(): boolean {
		return this.isCandidate && this.#leadership.isWarmUpDue(this.#now());
	}

	/** Marks this process as warm, so that it may lead the whole region: its scheduling code has run. */
	setWarm(): void {
		this.#leadership.setWarm();
	}

	/** Hands over the zones that this entry VM leads; jobs are still received and answered, as far as they are accepted. */
	beginStop(acceptsRequest: JobDispatcher['acceptsRequest']): void {
		this.#isStopping = true;
		this.#acceptsRequest = acceptsRequest;
		this.#applyLeadershipChanges(
			this.#leadership.stop(this.#now()),
			'stopping',
		);
		this.#overlayNode.sendHeartbeatToAll(this.#now());
	}

	/** Answers all remaining jobs at the end of a stop; an answer informs callers better than a broken connection. */
	answerRemainingJobs(): void {
		this.#jobReceiver.answerRemainingJobs(this.#now());
	}

	/** Applies changed settings; returns the names of those that take effect only at the next start. */
	reload(settings: EntrySettings): readonly string[] {
		const names = Object.keys(settings) as ReadonlyArray<keyof EntrySettings>;
		const changed = names.filter(
			(name) =>
				JSON.stringify(settings[name]) !== JSON.stringify(this.#settings[name]),
		);
		this.#settings = {...this.#settings, peerSeeds: settings.peerSeeds};
		this.#overlayNode.setSeeds(settings.peerSeeds);
		if (changed.includes('storeAddress')) {
			this.#settings = {...this.#settings, storeAddress: settings.storeAddress};
			const client = new StoreClient(settings.storeAddress);
			this.#storeFollower.setClient(client);
			this.#overlayNode.setStoreClient(client);
		}

		return changed.filter((name) => !reloadableSettings.has(name));
	}

	/** Closes all connections to peers. */
	close(): void {
		this.#overlayNode.close();
	}

	desiredState(): DesiredState | undefined {
		return this.#desiredState;
	}

	async waitForDesiredState(): Promise<DesiredState | undefined> {
		return new Promise((resolve) => {
			this.#stateWaiters.add(resolve);
			setTimeout(() => {
				this.#stateWaiters.delete(resolve);
				resolve(this.#desiredState);
			}, firstStateTimeoutMs);
		});
	}

	isStopping(): boolean {
		return this.#isStopping;
	}

	acceptsRequest(id: string, needsMs: number): boolean {
		// A copy of a pending job gets the answer of that job: "not run" would be untrue if the job has started.
		return (
			this.#jobReceiver.has(id) || (this.#acceptsRequest?.(id, needsMs) ?? true)
		);
	}

	async submit(submitted: Omit<PoolJob, 'attempt'>): Promise<PoolAnswer> {
		return new Promise((resolve) => {
			this.#attemptCount += 1;
			const job = {
				...submitted,
				attempt: `${this.#incarnation}/${this.#attemptCount}`,
			};
			const now = this.#now();
			const isNew = !this.#jobReceiver.has(job.id);
			this.#log.write({
				event: 'received',
				id: job.id,
				queue: job.queue,
				tasks: job.tasks.length,
				patienceMs: job.patienceMs,
				isNew,
				leader: this.#leader ?? 'none',
			});
			if (!isNew) {
				this.#decisionCounts.recordCopy('receiver');
			}

			this.#jobReceiver.receive(
				job,
				(answer) => {
					this.#log.writeAnswer(job, answer, this.#now() - now);
					resolve(answer);
				},
				now,
			);
		});
	}

	handleCallerDisconnect(id: string, isReset: boolean): void {
		this.#jobReceiver.handleCallerDisconnect(id, isReset, this.#now());
	}

	async cancel(id: string): Promise<CancelOutcome> {
		const replies = await this.#requestFromLeaders(
			() => this.#cancelAsLeader(id, this.#now()),
			(question) => ({type: 'cancel', id, reason: 'cancelled', question}),
		);
		const isCancelledHere =
			!replies.includes('over') && this.#jobReceiver.cancel(id, this.#now());
		if (replies.includes('over')) {
			return 'unknown';
		}

		this.#passOnCancelled(id, this.#now());
		if (replies.includes(true) || isCancelledHere) {
			return 'cancelled';
		}

		return replies.length > 0 && !replies.includes(undefined)
			? 'unknown'
			: 'unconfirmed';
	}

	async getJobState(id: string): Promise<string | undefined> {
		const replies = await this.#requestFromLeaders(
			() => toStateText(this.#scheduler.getJobState(id)),
			(question) => ({type: 'ask', question, about: 'state', name: id}),
		);
		const states = replies.filter((state) => typeof state === 'string');
		// Leaders of zones that have not had a job remember that it was cancelled, whatever has become of it in its own one.
		return states.find((state) => state !== 'cancelled') ?? states[0];
	}

	async countPendingJobs(queue: string): Promise<number | undefined> {
		const replies = await this.#requestFromLeaders(
			() => this.#scheduler.countPendingJobs(queue),
			(question) => ({type: 'ask', question, about: 'pending', name: queue}),
		);
		const counts = replies.filter((count) => typeof count === 'number');
		return counts.length === 0
			? undefined
			: counts.reduce((sum, count) => sum + count, 0);
	}

	handleRejectedRequest(id: string, status: number, reason: string): void {
		this.#log.write({event: 'rejected', id, status, reason});
	}

	/**
	 * Runs the checks that are due, and schedules the next ones; if this process was stalled, it first reads what arrived
	 * meanwhile.
	 */
	#tick(): void {
		const intervalMs = this.#selectTickInterval();
		setTimeout(() => {
			this.#tick();
		}, intervalMs);
		this.eventLoopDelay.recordCheck(this.#now(), intervalMs);
		const isStalled = this.#excludeStall(this.#now(), intervalMs);
		if (this.#areChecksDeferred) {
			return;
		}

		if (!isStalled) {
			this.#tryRunChecks();
			return;
		}

		// An event loop that is late runs its timers before it reads its sockets.
		this.#areChecksDeferred = true;
		setImmediate(() => {
			setImmediate(() => {
				this.#areChecksDeferred = false;
				this.#excludeStall(this.#now());
				this.#tryRunChecks();
			});
		});
	}

	#selectTickInterval(): number {
		return this.#leadership.ledZones.size > 0 ||
			this.#overlayNode.isElecting ||
			this.#jobReceiver.isWaitingForLeader
			? tickIntervalMs
			: followerTickIntervalMs;
	}

	/**
	 * Excludes a stall of this process that ends now from the silence of peers; returns whether there was one. The next check
	 * is due in `nextIntervalMs`, if that changes.
	 */
	#excludeStall(now: number, nextIntervalMs?: number): boolean {
		const delayMs = this.#stallDelay.recordCheck(now, nextIntervalMs);
		if (delayMs < stallThresholdMs) {
			return false;
		}

		this.#overlayNode.excludeStall(delayMs, now);
		return true;
	}

	#tryRunChecks(): void {
		try {
			this.#runChecks();
		} catch (error: unknown) {
			this.#logError('periodic checks', error);
		}
	}

	#runChecks(): void {
		const now = this.#now();
		this.#overlayNode.update(false, now);
		this.#updateLeadership();
		const shouldRead = this.#knowledgeExchange.shouldReadStore(now);
		this.#storeFollower.setActive(
			shouldRead,
			shouldRead && (this.isCandidate || this.#leadership.ledZones.size > 0),
		);
		this.#storeFollower.tick(now);
		if (this.#leadership.ledZones.size > 0) {
			this.#scheduler.recordCurrentList(
				this.#listCurrentAtMs(now),
				this.#storeFollower.canReadWholeList(now),
			);
			if (
				this.#storeFollower.canReadWholeList(now) &&
				this.#scheduler.pool.isListOutdated
			) {
				this.#storeFollower.requestWorkers();
			}

			this.#markUnreachableReceivers(now);
			this.#scheduler.tick(now);
		}

		this.#updateReturnableJobs(now);
		this.#jobReceiver.answerExpiredJobs(now);
		if (now - this.#lastDirectoryCheckMs >= directoryCheckIntervalMs) {
			this.#lastDirectoryCheckMs = now;
			this.#refreshWorkers('time');
			this.#sendUnlistedWorkers(now);
			this.#applyLeadershipChanges(
				[...this.#leadership.ledZones.keys()].flatMap((zone) =>
					this.#leadership.releaseIfUnreachable(
						zone,
						this.#scheduler.pool.hasReportedSince(
							zone,
							now - zoneUnreachableMs,
						),
						now,
					),
				),
				'tick',
			);
		}

		if (this.#scope === 'zone' && this.#leadership.ledZones.size > 0) {
			this.#zoneReporter.update(now);
		}

		this.#knowledgeExchange.sendDue(now);
		this.#overlayNode.sendDueHeartbeats(now);
		if (now - this.#lastConnectionCheckMs >= connectionCheckIntervalMs) {
			this.#lastConnectionCheckMs = now;
			this.#workerClient.closeUnusedConnections();
		}
	}

	/** Starts no more tasks for receivers of which no heartbeats arrive. */
	#markUnreachableReceivers(now: number): void {
		const newlyLost = this.#scheduler.markUnreachableReceivers(
			(receiver) =>
				receiver === this.#settings.name ||
				this.#leadership.isPeerLive(receiver, now),
			now,
		);
		for (const [receiver, jobs] of newlyLost) {
			this.#log.write({
				event: 'receiver-lost',
				receiver,
				jobs,
				...this.#leadership.describeSilence(receiver, now),
			});
		}
	}

	/**
	 * Tells other leaders, and candidates that may succeed this one, which jobs they may get from callers. A leader of all zones
	 * has to tell candidates too: its successor may have claimed some zones only when it gets such a job.
	 */
	#updateReturnableJobs(now: number): void {
		this.#returnableExchange.update(
			{
				ledZones: this.#leadership.ledZones,
				findOtherLeaders: () =>
					this.#leadership.findOtherLeaders(
						(name) => this.#scheduler.isConfirming(name, now),
						now,
					),
				findRecipients: () =>
					selectLossRecipients(
						[],
						this.#leadership.livePeers(now),
						this.#settings.name,
					),
			},
			now,
		);
	}

	/**
	 * Evaluates the election once the messages that have arrived are read, however many of them change it, and informs peers
	 * that have lost a leader which is live here before they claim its zone.
	 */
	#scheduleLeadershipUpdate(): void {
		if (this.#isLeadershipUpdateScheduled) {
			return;
		}

		this.#isLeadershipUpdateScheduled = true;
		setImmediate(() => {
			this.#isLeadershipUpdateScheduled = false;
			const now = this.#now();
			this.#excludeStall(now);
			this.#overlayNode.update(true, now);
			this.#updateLeadership();
			if (this.#overlayNode.takeIsLossDisputed()) {
				this.#overlayNode.sendHeartbeatToAll(now);
			}
		});
	}

	/** Evaluates the election, and sends heartbeats at once if the live leaders have changed. */
	#updateLeadership(): void {
		const now = this.#now();
		this.#updateScope(now);
		this.#applyLeadershipChanges(this.#leadership.tick(now), 'tick');
		if (this.#overlayNode.refreshLeaders(now)) {
			this.#overlayNode.sendHeartbeatToAll(now);
		}

		this.#updateOwnLeader(now);
	}

	/** Sets the scope of leaders for the number of workers that are listed now. */
	#updateScope(now: number): void {
		const leaderScope = this.#leadership
			.livePeers(now)
			.find(({name}) => name === this.#leader)?.scope;
		const scope = this.#scopeBySize.update(
			{
				count: this.#workerEntries.length,
				ageMs: this.#storeFollower.workersAgeMs(now),
			},
			leaderScope,
			now,
		);
		if (scope !== this.#scope) {
			this.#scope = scope;
			this.#leadership.setScope(scope);
			this.#log.write({
				event: 'scope',
				scope,
				workers: this.#workerEntries.length,
			});
		}
	}

	/** Resubmits all pending jobs if the leader of this entry VM's zone has changed. */
	#updateOwnLeader(now: number): void {
		const leader = this.#leadership.findLeader(this.#settings.zone, now);
		const name = leader?.name;
		if (name !== this.#leader) {
			this.#leader = name;
			this.#log.write({
				event: 'leader',
				leader: name ?? 'none',
				token: leader?.token ?? 0,
				zone: this.#settings.zone,
			});
			this.#jobReceiver.handleOwnLeaderChange(now);
		}

		this.#jobReceiver.updateOtherLeaders(now);
	}

	/** Applies changes of leadership to the scheduler, and sends the workers of dropped zones to their new leaders. */
	#applyLeadershipChanges(
		changes: readonly LeadershipChange[],
		cause: string,
	): void {
		const now = this.#now();
		for (const change of changes) {
			this.#log.write({
				event: 'leadership',
				...change,
				cause,
				...(change.kind === 'claimed' ? this.#describeList(now) : {}),
			});
			this.#decisionCounts.recordLeadership(change, cause);
			const newLeader =
				this.#leadership.successors.get(change.zone) ??
				this.#leadership.findLeader(change.zone, now)?.name;
			if (change.kind === 'dropped' && newLeader !== undefined) {
				this.#overlayNode.send(newLeader, {
					type: 'hand-over',
					workers: [
						...this.#workerEntries,
						...this.#scheduler.pool.unlistedEntries,
					].filter(({zone}) => zone === change.zone),
				});
			}

			if (change.kind === 'claimed') {
				this.#restoreWorkersOfZone(change.zone, now);
				this.#scheduler.recordCurrentList(
					this.#listCurrentAtMs(now),
					this.#storeFollower.canReadWholeList(now),
				);
				this.#scheduler.startLeadingZone(change.zone, change.token, now);
				this.#zoneReporter.handleClaim();
				if (this.#desiredState !== undefined) {
					this.#scheduler.applyDesiredState(this.#desiredState);
				}

				this.#scheduler.updateWorkers(
					this.#workerEntries,
					now,
					this.#listCurrentAtMs(now),
				);
				this.#storeFollower.requestWorkers();
			}
		}

		// All dropped zones are passed in one call, because the scheduler answers jobs with runs in dropped zones only if
		// this entry VM keeps another zone.
		const dropped = changes.filter(({kind}) => kind === 'dropped');
		if (dropped.length > 0) {
			this.#scheduler.stopLeadingZones(
				dropped.map(({zone}) => zone),
				now,
			);
		}

		if (changes.length > 0) {
			this.#updateOwnLeader(now);
			this.#overlayNode.sendHeartbeatToAll(now);
		}
	}

	/** Sends what this leader has learned of run times to the candidates that it is connected to. */
	#sendLearned(learned: LearnedSpeeds, now: number): void {
		const names = this.#leadership
			.livePeers(now)
			.filter(
				({name, isCandidate}) =>
					isCandidate === true && this.#overlayNode.isOpen(name),
			)
			.map(({name}) => name);
		if (names.length > 0) {
			this.#overlayNode.sendToAll(names, {type: 'learned', learned});
		}
	}

	/** Keeps lost runs for the jobs received here, and sends them to the entry VMs that have to know of them. */
	#sendLostRuns(
		receivers: readonly string[],
		lostRuns: readonly LostRun[],
	): void {
		this.#jobReceiver.recordLostRuns(lostRuns);
		this.#lossRelay.record(lostRuns, this.#now());
		this.#overlayNode.sendToAll(this.#selectLossRecipients(receivers), {
			type: 'lost-runs',
			lostRuns,
		});
	}

	/** Cancels a job for a caller; returns whether the job was known, or `over` if it has ended with a result. */
	#cancelAsLeader(id: string, now: number): boolean | 'over' {
		const outcome = this.#scheduler.cancelForCaller(id, now);
		if (outcome === 'cancelled') {
			this.#passOnCancelled(id, now);
		}

		return outcome === 'over' ? outcome : outcome === 'cancelled';
	}

	/** Cancels a job and tells all leaders and candidates of it, now and when they can be reached again. */
	#passOnCancelled(id: string, now: number): void {
		const added = this.#addCancelled([id], now);
		this.#sendCancelled(this.#selectLossRecipients([]), added);
	}

	/** Cancels jobs as other entry VMs tell; a leader passes them on to those that may succeed it. */
	#handleCancelled(ids: readonly string[], now: number): void {
		const added = this.#addCancelled(ids, now);
		if (this.#leadership.ledZones.size > 0) {
			this.#sendCancelled(this.#selectLossRecipients([]), added);
		}
	}

	/** Cancels jobs, and returns those that were not known to be cancelled. */
	#addCancelled(ids: readonly string[], now: number): readonly string[] {
		const added = this.#cancelledJobs.add(ids, now);
		for (const id of added) {
			this.#scheduler.cancelForCaller(id, now);
		}

		return added;
	}

	#sendCancelled(names: readonly string[], ids: readonly string[]): void {
		if (ids.length > 0) {
			this.#overlayNode.sendToAll(names, {type: 'cancelled-jobs', ids});
		}
	}

	/** Passes on the lost runs of the last seconds. */
	#sendRecentLostRuns(names: readonly string[]): void {
		const lostRuns = this.#lossRelay.recent(this.#now());
		if (lostRuns.length > 0) {
			this.#overlayNode.sendToAll(names, {type: 'lost-runs', lostRuns});
		}
	}

	#selectLossRecipients(receivers: readonly string[]): readonly string[] {
		return selectLossRecipients(
			receivers,
			this.#leadership.livePeers(this.#now()),
			this.#settings.name,
		);
	}

	/** Returns what heartbeats tell of this entry VM besides its membership and leadership. */
	#readState(now: number): NodeState {
		const readsWholeList =
			Math.max(
				this.#storeFollower.ownWorkersAgeMs(now),
				this.#storeFollower.workersAgeMs(now),
			) <= staleStoreDataMs;
		return {
			isStopping: this.#isStopping,
			scope: this.#scope,
			...(this.#scope === 'zone' && this.#leadership.ledZones.size > 0
				? this.#zoneReporter.read(now)
				: {}),
			grants: this.#jobReceiver.listGrants(),
			...(this.#evacuations.entries.length > 0
				? {evacuations: this.#evacuations.entries}
				: {}),
			needsKnowledge: this.#leadership.ledZones.size > 0 && !readsWholeList,
			readsStore: readsWholeList,
			versions: {
				state: this.#desiredState?.version ?? 0,
				workers: this.#listVersion.announced,
			},
		};
	}

	/**
	 * Submits a job to the scheduler. One that arrives before a recent heartbeat of its sender was delayed, by a partition or
	 * because this process was late. Its sender may have submitted it to another leader by then, and is asked to submit it
	 * again if it has not.
	 */
	#receiveSubmission(
		from: string,
		{job, isResubmitted}: PoolMessage & {readonly type: 'submit'},
		now: number,
	): void {
		if (this.#leadership.ledZones.size === 0) {
			return;
		}

		if (this.#leadership.hasRecentHeartbeat(from, now)) {
			this.#scheduler.submit(job, from, isResubmitted, now);
		} else {
			this.#log.write({event: 'submission-out-of-date', id: job.id, from});
			const {id, attempt} = job;
			this.#overlayNode.send(from, {type: 'resubmit', id, attempt});
		}
	}

	/** Submits a job to its leader again, which has received a heartbeat by then, unless another leader has the job. */
	#resubmitAfterHeartbeat(leader: string, id: string): void {
		setTimeout(() => {
			this.#jobReceiver.resubmitTo(leader, id, this.#now());
		}, resubmitDelayMs);
	}

	/** Handles a message from another entry VM. */
	#receiveMessage(from: string, message: PoolMessage): void {
		const now = this.#now();
		switch (message.type) {
			case 'heartbeat': {
				const grant = message.heartbeat.grants?.[this.#settings.name];
				if (grant !== undefined) {
					this.#scheduler.renewGrant(from, grant, now);
				}

				this.#handleEvacuationChanges(
					this.#evacuations.merge(message.heartbeat.evacuations ?? []),
					from,
				);
				this.#knowledgeExchange.recordHeartbeat(from, message, now);
				if (message.readsStore) {
					this.#listVersion.handleAnnounced(
						message.knows?.workers,
						staleStoreDataMs,
						now,
					);
				}

				break;
			}

			case 'submit': {
				this.#receiveSubmission(from, message, now);
				break;
			}

			case 'resubmit': {
				if (message.attempt !== undefined) {
					this.#jobReceiver.markUntouched(message.id, from, message.attempt);
				}

				this.#resubmitAfterHeartbeat(from, message.id);
				break;
			}

			case 'untouched': {
				this.#jobReceiver.markUntouched(message.id, from, message.attempt);
				break;
			}

			case 'answer': {
				this.#jobReceiver.receiveAnswer(from, message.id, message.answer, now);
				break;
			}

			case 'progress': {
				this.#jobReceiver.addCompletedTasks(
					from,
					message.id,
					message.doneTasks,
					now,
				);
				break;
			}

			case 'lost-runs': {
				this.#lossRelay.record(message.lostRuns, now);
				this.#jobReceiver.recordLostRuns(message.lostRuns);
				this.#scheduler.importLostRuns(message.lostRuns, now);
				break;
			}

			case 'caller-lost': {
				this.#scheduler.markCallerLost(
					message.id,
					from,
					now,
					message.lostForMs,
				);
				break;
			}

			case 'caller-returned': {
				this.#scheduler.markCallerReturned(message.id, from, now);
				break;
			}

			case 'cancelled-jobs': {
				this.#handleCancelled(message.ids, now);
				break;
			}

			case 'left-jobs': {
				this.#scheduler.recordLeftJobs(message.jobs, now);
				break;
			}

			case 'returnable-jobs':
			case 'returnable-jobs-noted': {
				this.#returnableExchange.receive(from, message, now);
				break;
			}

			case 'cancel': {
				if (message.reason === 'moved') {
					this.#decisionCounts.recordRelease('received');
					this.#scheduler.release(message.id, from, now);
					break;
				}

				const isKnown =
					message.reason === 'cancelled'
						? this.#cancelAsLeader(message.id, now)
						: this.#scheduler.cancel(message.id, message.reason, from, now);
				if (message.question !== undefined) {
					this.#overlayNode.send(from, {
						type: 'reply',
						question: message.question,
						value: isKnown,
					});
				}

				break;
			}

			case 'ask': {
				this.#overlayNode.send(from, {
					type: 'reply',
					question: message.question,
					value:
						message.about === 'state'
							? toStateText(this.#scheduler.getJobState(message.name))
							: this.#scheduler.countPendingJobs(message.name),
				});
				break;
			}

			case 'reply': {
				this.#replyHandlers.get(message.question)?.(message.value);
				this.#replyHandlers.delete(message.question);
				break;
			}

			case 'knowledge': {
				const {state, workers, versions, ageMs} = message.knowledge;
				if (state !== undefined) {
					this.#applyDesiredState(state, from);
				}

				if (workers !== undefined) {
					const effect = this.#storeFollower.applyPeerWorkers(
						workers,
						{
							ageMs,
							...(versions === undefined ? {} : {version: versions.workers}),
						},
						now,
					);
					if (effect !== 'ignored') {
						this.#refreshWorkers(from);
					}

					this.#listVersion.handleReceived(
						versions?.workers,
						effect === 'replaced',
					);
				}

				break;
			}

			case 'learned': {
				this.#scheduler.importLearned(message.learned);
				break;
			}

			case 'hand-over': {
				for (const worker of message.workers) {
					this.#storeFollower.directory.addUnlisted(worker, now);
				}

				this.#refreshWorkers(from);
				break;
			}
		}
	}

	#flushScheduler(): void {
		try {
			this.#scheduler.flush(this.#now());
		} catch (error: unknown) {
			this.#logError('flush of the scheduler', error);
		}
	}

	#logError(during: string, error: unknown): void {
		this.#log.write({
			event: 'unexpected-error',
			during,
			error: error instanceof Error ? error.stack : String(error),
		});
	}

	/** Returns what this entry VM knows of the store's data and of its peers. */
	#readKnowledgeView(now: number): KnowledgeView {
		return {
			isCandidate: this.isCandidate,
			ledZones: this.#leadership.ledZones,
			hasOwnLeader: this.#leader !== undefined,
			peers: this.#leadership.livePeers(now),
			desiredState: this.#desiredState,
			workers: this.#workerEntries,
			workersAgeMs: this.#storeFollower.workersAgeMs(now),
			ownWorkersAgeMs: this.#storeFollower.ownWorkersAgeMs(now),
			versions: this.#ownVersions,
		};
	}

	get #ownVersions(): KnowledgeVersions {
		return {
			state: this.#desiredState?.version ?? 0,
			workers: this.#listVersion.own,
		};
	}

	/** Applies a desired state from the store or a peer unless it is older than the present one or the same. */
	#applyDesiredState(state: DesiredState, source: string): void {
		if (
			this.#desiredState !== undefined &&
			state.version <= this.#desiredState.version
		) {
			return;
		}

		this.#desiredState = state;
		this.#log.write({
			event: 'desired-state',
			version: state.version,
			queues: state.queues.length,
			source,
		});
		this.#scheduler.applyDesiredState(state);
		for (const resolve of this.#stateWaiters) {
			resolve(state);
		}

		this.#stateWaiters.clear();
		this.#knowledgeExchange.sendDue(this.#now());
	}

	/** Applies a change of the evacuated zones to the scheduler, and tells all peers at once. */
	#handleEvacuationChanges(
		changes: readonly EvacuationChange[],
		source: string,
	): void {
		if (changes.length === 0) {
			return;
		}

		for (const change of changes) {
			this.#log.write({event: 'evacuation', ...change, source});
		}

		const now = this.#now();
		this.#scheduler.setEvacuatedZones(this.#evacuations.evacuatedZones, now);
		this.#overlayNode.sendHeartbeatToAll(now);
	}

	/** Updates the workers from the directory, and passes them on if they have changed. */
	#refreshWorkers(source: string): void {
		const entries = this.#storeFollower.directory.entries(this.#now());
		const isChanged = !hasEqualWorkers(entries, this.#workerEntries);
		this.#retainPartitionedWorkers(entries);
		this.#workerEntries = entries;
		if (source === 'store') {
			this.#listVersion.handleStoreRead();
		}

		if (!isChanged) {
			return;
		}

		this.#listVersion.own = computeWorkersVersion(entries);
		this.#log.write({
			event: 'workers',
			ready: entries.filter(({state}) => state === 'ready').length,
			draining: entries.filter(({state}) => state === 'draining').length,
			source,
		});
		if (this.#leadership.ledZones.size > 0) {
			const now = this.#now();
			this.#scheduler.updateWorkers(entries, now, this.#listCurrentAtMs(now));
			this.#sendUnlistedWorkers(now);
		}
	}

	/** Tells leaders and candidates of workers that have runs for this leader although the store does not list them. */
	#sendUnlistedWorkers(now: number): void {
		const workers = this.#scheduler.pool.unlistedEntries;
		if (workers.length > 0) {
			this.#overlayNode.sendToAll(
				selectLossRecipients(
					[],
					this.#leadership.livePeers(now),
					this.#settings.name,
				),
				{type: 'hand-over', workers},
			);
		}
	}

	/** Returns what shows afterwards whether a claim was made with a current list of workers. */
	#describeList(now: number): Readonly<Record<string, boolean | number>> {
		const listAgeMs = now - this.#listCurrentAtMs(now);
		return {
			...(Number.isFinite(listAgeMs) ? {listAgeMs: Math.round(listAgeMs)} : {}),
			canReadStore: this.#storeFollower.isReachable,
		};
	}

	/** Latest time at which the list of workers was read here or by a peer, or a reader of the store announced the same one. */
	#listCurrentAtMs(now: number): number {
		return Math.max(
			now - this.#storeFollower.workersAgeMs(now),
			this.#listVersion.confirmedAtMs,
		);
	}

	/**
	 * Retains workers whose entries expire while no entry VM of their zone is live: another leader may still extend the
	 * leases of their runs.
	 */
	#retainPartitionedWorkers(entries: readonly WorkerEntry[]): void {
		const listed = new Set(entries.map(({id}) => id));
		const liveZones = new Set([
			this.#settings.zone,
			...this.#leadership.livePeers(this.#now()).map(({zone}) => zone),
		]);
		for (const entry of this.#workerEntries) {
			if (!listed.has(entry.id) && !liveZones.has(entry.zone)) {
				this.#partitionedWorkers.set(entry.id, entry);
			}
		}
	}

	/** Restores the retained workers of a zone until they should have registered again. */
	#restoreWorkersOfZone(zone: string, now: number): void {
		for (const [id, entry] of this.#partitionedWorkers) {
			if (entry.zone === zone) {
				this.#storeFollower.directory.addUnlisted(entry, now);
				this.#partitionedWorkers.delete(id);
			}
		}

		this.#workerEntries = this.#storeFollower.directory.entries(now);
		this.#listVersion.own = computeWorkersVersion(this.#workerEntries);
	}

	/** Returns what the choice of a zone depends on. */
	#readZoneView(now: number): ZoneView {
		const overlayNode = this.#overlayNode;
		return {
			ownZone: this.#settings.zone,
			zoneCount: this.#settings.zones.length,
			scope: this.#scope,
			desiredState: this.#desiredState,
			evacuatedZones: this.#evacuations.evacuatedZones,
			findRooms: () => this.#overlayNode.findZoneRooms(now),
			requestConnection: (zone) => {
				this.#overlayNode.useLeader(zone, now);
			},
			get ownWaits() {
				return overlayNode.findOwnZoneWaits(now);
			},
		};
	}

	#canReach(leader: string): boolean {
		return leader === this.#settings.name || this.#overlayNode.isOpen(leader);
	}

	/** Whether a leader places a job in the zones that its receiver names only. */
	#placesByZone(leader: string, now: number): boolean {
		const peer = this.#leadership
			.livePeers(now)
			.find(({name}) => name === leader);
		// A leader that only a candidate reports is no entry VM of the last build, whose heartbeats have no scope.
		return peer === undefined || peer.scope !== undefined;
	}

	/** Sends a message of this receiver to a leader, which may be this entry VM; returns false if there is no stream to it. */
	#sendToLeader(
		leader: string,
		message: ReceiverMessage,
		now: number,
	): boolean {
		if (message.type === 'cancel' && message.reason === 'moved') {
			this.#decisionCounts.recordRelease('sent');
		}

		if (leader !== this.#settings.name) {
			return this.#overlayNode.send(leader, message);
		}

		switch (message.type) {
			case 'submit': {
				this.#scheduler.submit(message.job, leader, message.isResubmitted, now);
				break;
			}

			case 'cancel': {
				if (message.reason === 'moved') {
					this.#scheduler.release(message.id, leader, now);
				} else if (message.reason === 'cancelled') {
					this.#scheduler.cancelForCaller(message.id, now);
				} else {
					this.#scheduler.cancel(message.id, message.reason, leader, now);
				}

				break;
			}

			case 'caller-lost': {
				this.#scheduler.markCallerLost(
					message.id,
					leader,
					now,
					message.lostForMs,
				);
				break;
			}

			case 'caller-returned': {
				this.#scheduler.markCallerReturned(message.id, leader, now);
				break;
			}

			case 'left-jobs': {
				this.#scheduler.recordLeftJobs(message.jobs, now);
				break;
			}
		}

		return true;
	}

	/** Sends an answer of this leader to the entry VM that received the job. */
	#sendAnswer(receiver: string, id: string, answer: PoolAnswer): void {
		if (receiver === this.#settings.name) {
			this.#jobReceiver.receiveAnswer(receiver, id, answer, this.#now());
		} else {
			this.#overlayNode.send(receiver, {type: 'answer', id, answer});
		}
	}

	/**
	 * Gets the replies of all leaders to a request, of this entry VM itself from `answer`: a job may be with the leader of
	 * any zone. A reply that does not arrive in time, or of a zone without a known leader, is `undefined`.
	 */
	async #requestFromLeaders<Reply>(
		answer: () => Reply,
		createMessage: (requestNumber: number) => PoolMessage,
	): Promise<readonly unknown[]> {
		const now = this.#now();
		const leaders = new Set(
			this.#settings.zones.map((zone) => {
				this.#overlayNode.useLeader(zone, now);
				return this.#overlayNode.findLeader(zone, now)?.name;
			}),
		);
		return Promise.all(
			[...leaders].map(async (leader) =>
				leader === this.#settings.name
					? answer()
					: leader && this.#requestFromLeader(leader, createMessage),
			),
		);
	}

	/** Sends a request to a leader; resolves with its reply, or with `undefined` if there is none in time. */
	async #requestFromLeader(
		leader: string,
		createMessage: (requestNumber: number) => PoolMessage,
	): Promise<unknown> {
		const requestNumber = this.#nextRequestNumber;
		this.#nextRequestNumber += 1;
		return new Promise((resolve) => {
			this.#replyHandlers.set(requestNumber, resolve);
			setTimeout(() => {
				// A late event loop runs overdue timers before it reads its sockets, so the reply may have arrived already.
				setImmediate(() => {
					setImmediate(() => {
						this.#replyHandlers.delete(requestNumber);
						resolve(undefined);
					});
				});
			}, requestTimeoutMs);
			this.#overlayNode.send(leader, createMessage(requestNumber));
		});
	}
}

/** Returns the state of a job as text; for an answered job, the kind of the answer. */
function toStateText(
	state: 'queued' | 'running' | PoolAnswer | undefined,
): string | undefined {
	return typeof state === 'object' ? state.kind : state;
}

/** Whether two lists have the same workers, with equal entries as far as leaders depend on them, in any order. */
function hasEqualWorkers(
	left: readonly WorkerEntry[],
	right: readonly WorkerEntry[],
): boolean {
	const rightById = new Map(right.map((entry) => [entry.id, entry]));
	return (
		left.length === right.length &&
		left.every((entry) => {
			const other = rightById.get(entry.id);
			return (
				other === entry ||
				(other !== undefined && describeWorker(other) === describeWorker(entry))
			);
		})
	);
}
