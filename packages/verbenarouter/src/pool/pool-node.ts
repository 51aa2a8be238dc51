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
	computeAnswerWindowMs,
	defaultWorkerPoolSettings,
	maxOverflowPatienceMs,
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
	type EntrySettings,
	type JobDispatcher,
} from '@verbenarouter/platform';
import {droppedLines} from '../logger.js';
import {type MetricSample} from '../metrics.js';
import {OverlayNode, type NodeState} from '../overlay/overlay-node.js';
import {
	KnowledgeExchange,
	staleStoreDataMs,
	type KnowledgeView,
} from './knowledge-exchange.js';
import {computeWorkersVersion, describeWorker} from './knowledge-schedule.js';
import {selectLossRecipients} from './loss-recipients.js';
import {PendingJobs, type PendingJob} from './pending-jobs.js';
import {type PoolLog} from './pool-log.js';
import {ReturnableExchange} from './returnable-exchange.js';
import {StoreFollower} from './store-follower.js';
import {createWorkerCommandSender} from './worker-command-sender.js';
import {ZoneReporter} from './zone-reporter.js';
import {
	ZoneRouter,
	defaultRunMs,
	isOwnZoneEvacuated,
	type ZoneView,
} from './zone-router.js';

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
/** Longest time for which a job that was sent to no leader yet waits for a reachable one. */
const maxFirstSendDelayMs = 900;
/** Longest time for which a job that a lost leader may have started waits for the next leader; a failover takes less. */
const maxResendDelayMs = 900;
/** Interval of checks for workers that have not registered again in time, and for unreachable zones. */
const directoryCheckIntervalMs = 500;
/** Time without a report after which the workers of a zone count as unreachable. */
const zoneUnreachableMs = 1500;
/** Time after which a refused caller may retry; also the grace after a job's patience in which its answer may arrive. */
const retryMs = 1000;
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
	readonly #zoneRouter: ZoneRouter;
	readonly #evacuations: ZoneEvacuations;
	readonly #queueShares = new QueueShares();
	readonly #scheduler: PoolScheduler;
	readonly #overlayNode: OverlayNode;
	readonly #workerClient: WorkerClient;
	readonly #storeFollower: StoreFollower;
	readonly #pendingJobs = new PendingJobs();
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
	#workersVersion = '';
	/** Version of the list of workers that a peer has sent since the last read of the store. */
	#receivedWorkersVersion: string | undefined;
	readonly #zoneReporter: ZoneReporter;
	readonly #returnableExchange: ReturnableExchange;

	constructor(settings: EntrySettings, log: PoolLog, now: () => number) {
		this.#settings = settings;
		this.#log = log;
		this.#now = now;
		this.#incarnation = `${settings.name}-${Math.floor(now())}`;
		this.#leadership = new Leadership(settings, settings.zones);
		this.#evacuations = new ZoneEvacuations(settings.zones);
		this.#zoneRouter = new ZoneRouter(
			this.#pendingJobs,
			(time) => this.#readZoneView(time),
			(fields) => {
				log.write(fields);
			},
		);
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
			),
			output: {
				sendAnswer: (receiver, id, answer) => {
					this.#sendAnswer(receiver, id, answer);
				},
				sendCompletedTasks: (receiver, id, doneTasks) => {
					if (receiver === settings.name) {
						this.#addCompletedTasks(receiver, id, doneTasks);
					} else {
						this.#overlayNode.send(receiver, {type: 'progress', id, doneTasks});
					}
				},
				sendUntouched: (receiver, id, attempt) => {
					if (receiver === settings.name) {
						this.#pendingJobs.markUntouched(id, receiver, attempt);
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
				logDecision(decision) {
					log.write(decision);
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
				},
				onOpen: (name) => {
					this.#knowledgeExchange.handleOpen(name);
					this.#resubmitPendingJobs(
						(pending) =>
							this.#findLeaderFor(pending, now()) === name ||
							(pending.overflowZone !== undefined &&
								pending.sentTo === undefined),
					);
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
		return this.#pendingJobs.size;
	}

	/** Present values of the gauges, by metric name. */
	get gauges(): Readonly<Record<string, number>> {
		return {
			jobsReceivedWaiting: this.#pendingJobs.size,
			jobsScheduled: this.#scheduler.jobCount,
			zonesLed: this.#leadership.ledZones.size,
			workersLed: this.#scheduler.pool.workers.length,
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
		const {counts, closedLinks} = this.#overlayNode.traffic;
		return [
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
		for (const {job, sentTo} of this.#pendingJobs.all) {
			if (sentTo !== undefined) {
				this.#cancelAtLeader(sentTo, job.id);
			}

			this.#pendingJobs.answer(
				job.id,
				sentTo === undefined
					? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
					: {kind: 'may-have-run', reason: 'stopping'},
			);
		}
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
			this.#pendingJobs.get(id) !== undefined ||
			(this.#acceptsRequest?.(id, needsMs) ?? true)
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
			const hadLostCaller = this.#pendingJobs.get(job.id)?.hasLostCaller;
			const {pending, isNew} = this.#pendingJobs.add(
				job,
				(answer) => {
					this.#log.writeAnswer(job, answer, this.#now() - now);
					resolve(answer);
				},
				now,
			);
			this.#log.write({
				event: 'received',
				id: job.id,
				queue: job.queue,
				tasks: job.tasks.length,
				patienceMs: job.patienceMs,
				isNew,
				leader: this.#leader ?? 'none',
			});
			if (isNew) {
				this.#sendToLeader(pending);
			} else if (hadLostCaller === true) {
				this.#sendCallerState(pending);
			}
		});
	}

	handleCallerDisconnect(id: string, isReset: boolean): void {
		const pending = this.#pendingJobs.get(id);
		if (pending === undefined) {
			return;
		}

		this.#log.write({event: 'caller-left', id, isReset});
		// A caller whose connection broke submits the job again and then receives the result of the first submission. The
		// leader that gets it then does not know of runs in another zone, so a job there is cancelled.
		const isContinued =
			isReset &&
			(pending.overflowZone === undefined || pending.resolvers.length > 1);
		if (isContinued) {
			pending.hasLostCaller = true;
			this.#sendCallerState(pending);
			return;
		}

		this.#pendingJobs.remove(id);
		if (pending.sentTo !== undefined) {
			this.#cancelAtLeader(pending.sentTo, id);
		}
	}

	async cancel(id: string): Promise<boolean> {
		const replies = await this.#requestFromLeaders(
			() =>
				this.#scheduler.cancel(
					id,
					'cancelled',
					this.#settings.name,
					this.#now(),
				),
			(question) => ({type: 'cancel', id, reason: 'cancelled', question}),
		);
		return replies.includes(true);
	}

	async getJobState(id: string): Promise<string | undefined> {
		const replies = await this.#requestFromLeaders(
			() => toStateText(this.#scheduler.getJobState(id)),
			(question) => ({type: 'ask', question, about: 'state', name: id}),
		);
		return replies.find((state) => typeof state === 'string');
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
			this.#pendingJobs.all.some(
				({withoutLeaderSinceMs}) => withoutLeaderSinceMs !== undefined,
			)
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
			this.#scheduler.markUnreachableReceivers(
				(receiver) =>
					receiver === this.#settings.name ||
					this.#leadership.isPeerLive(receiver, now),
				now,
			);
			this.#scheduler.tick(now);
		}

		this.#updateReturnableJobs(now);

		this.#answerExpiredJobs(now);
		if (now - this.#lastDirectoryCheckMs >= directoryCheckIntervalMs) {
			this.#lastDirectoryCheckMs = now;
			this.#refreshWorkers('time');
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

	/** Tells the leaders of other zones which jobs their zones may get from callers, while each zone has its own leader. */
	#updateReturnableJobs(now: number): void {
		const {ledZones} = this.#leadership;
		this.#returnableExchange.update(
			{
				ledZones: this.#scope === 'zone' ? ledZones : new Map(),
				findOtherLeaders: () =>
					this.#settings.zones
						.filter((zone) => !ledZones.has(zone))
						.map((zone) => this.#leadership.findLeader(zone, now)),
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
			this.#workerEntries.length,
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
			this.#resubmitPendingJobs(({overflowZone}) => overflowZone === undefined);
		}

		const isHomeClosed = isOwnZoneEvacuated({
			ownZone: this.#settings.zone,
			scope: this.#scope,
			evacuatedZones: this.#evacuations.evacuatedZones,
		});
		this.#resubmitPendingJobs(
			(pending) =>
				(pending.overflowZone !== undefined || isHomeClosed) &&
				(pending.withoutLeaderSinceMs !== undefined ||
					this.#findLeaderFor(pending, now) !== pending.sentTo),
		);
	}

	/** Returns the leader that gets a job: that of the zone that it overflows to, or of this entry VM's zone. */
	#findLeaderFor({overflowZone}: PendingJob, now: number): string | undefined {
		return overflowZone === undefined
			? this.#leader
			: this.#overlayNode.findLeader(overflowZone, now)?.name;
	}

	/** Applies changes of leadership to the scheduler, and sends the workers of dropped zones to their new leaders. */
	#applyLeadershipChanges(
		changes: readonly LeadershipChange[],
		cause: string,
	): void {
		const now = this.#now();
		for (const change of changes) {
			this.#log.write({event: 'leadership', ...change, cause});
			const newLeader =
				this.#leadership.successors.get(change.zone) ??
				this.#leadership.findLeader(change.zone, now)?.name;
			if (change.kind === 'dropped' && newLeader !== undefined) {
				this.#overlayNode.send(newLeader, {
					type: 'hand-over',
					workers: this.#workerEntries.filter(({zone}) => zone === change.zone),
				});
			}

			if (change.kind === 'claimed') {
				this.#restoreWorkersOfZone(change.zone, now);
				this.#scheduler.startLeadingZone(change.zone, change.token, now);
				this.#zoneReporter.handleClaim();
				if (this.#desiredState !== undefined) {
					this.#scheduler.applyDesiredState(this.#desiredState);
				}

				this.#scheduler.updateWorkers(this.#workerEntries, now);
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
		this.#pendingJobs.recordLostRuns(lostRuns);
		this.#overlayNode.sendToAll(
			selectLossRecipients(
				receivers,
				this.#leadership.livePeers(this.#now()),
				this.#settings.name,
			),
			{type: 'lost-runs', lostRuns},
		);
	}

	/** Returns what heartbeats tell of this entry VM besides its membership and leadership. */
	#readState(now: number): NodeState {
		return {
			isStopping: this.#isStopping,
			scope: this.#scope,
			...(this.#scope === 'zone' && this.#leadership.ledZones.size > 0
				? this.#zoneReporter.read(now)
				: {}),
			...(this.#evacuations.entries.length > 0
				? {evacuations: this.#evacuations.entries}
				: {}),
			needsKnowledge:
				this.#leadership.ledZones.size > 0 &&
				this.#storeFollower.ownWorkersAgeMs(now) > staleStoreDataMs,
			readsStore: this.#storeFollower.ownWorkersAgeMs(now) < staleStoreDataMs,
			versions: {
				state: this.#desiredState?.version ?? 0,
				workers: this.#receivedWorkersVersion ?? this.#workersVersion,
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
			const pending = this.#pendingJobs.get(id);
			if (pending?.sentTo === leader) {
				this.#sendToLeader(pending);
			}
		}, resubmitDelayMs);
	}

	/** Handles a message from another entry VM. */
	#receiveMessage(from: string, message: PoolMessage): void {
		const now = this.#now();
		switch (message.type) {
			case 'heartbeat': {
				this.#handleEvacuationChanges(
					this.#evacuations.merge(message.heartbeat.evacuations ?? []),
					from,
				);
				this.#knowledgeExchange.recordHeartbeat(from, message, now);
				break;
			}

			case 'submit': {
				this.#receiveSubmission(from, message, now);
				break;
			}

			case 'resubmit': {
				if (message.attempt !== undefined) {
					this.#pendingJobs.markUntouched(message.id, from, message.attempt);
				}

				this.#resubmitAfterHeartbeat(from, message.id);
				break;
			}

			case 'untouched': {
				this.#pendingJobs.markUntouched(message.id, from, message.attempt);
				break;
			}

			case 'answer': {
				this.#receiveAnswer(from, message.id, message.answer);
				break;
			}

			case 'progress': {
				this.#addCompletedTasks(from, message.id, message.doneTasks);
				break;
			}

			case 'lost-runs': {
				this.#pendingJobs.recordLostRuns(message.lostRuns);
				this.#scheduler.importLostRuns(message.lostRuns, now);
				break;
			}

			case 'caller-lost': {
				this.#scheduler.markCallerLost(message.id, from, now);
				break;
			}

			case 'caller-returned': {
				this.#scheduler.markCallerReturned(message.id, from, now);
				break;
			}

			case 'returnable-jobs':
			case 'returnable-jobs-noted': {
				this.#returnableExchange.receive(from, message, now);
				break;
			}

			case 'cancel': {
				if (message.reason === 'moved') {
					this.#scheduler.release(message.id, from, now);
					break;
				}

				const isKnown = this.#scheduler.cancel(
					message.id,
					message.reason,
					from,
					now,
				);
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
					const isNewer = this.#storeFollower.applyPeerWorkers(
						workers,
						{
							ageMs,
							...(versions === undefined ? {} : {version: versions.workers}),
						},
						now,
					);
					if (isNewer) {
						this.#refreshWorkers(from);
					}

					if (versions?.workers !== '') {
						this.#receivedWorkersVersion = versions?.workers;
					}
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
			workers: this.#workersVersion,
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
			this.#receivedWorkersVersion = undefined;
		}

		if (!isChanged) {
			return;
		}

		this.#workersVersion = computeWorkersVersion(entries);
		this.#log.write({
			event: 'workers',
			ready: entries.filter(({state}) => state === 'ready').length,
			draining: entries.filter(({state}) => state === 'draining').length,
			source,
		});
		if (this.#leadership.ledZones.size > 0) {
			this.#scheduler.updateWorkers(entries, this.#now());
		}
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
		this.#workersVersion = computeWorkersVersion(this.#workerEntries);
	}

	/**
	 * Adds tasks that a leader reports as completed to a pending job, and tells the leader that has the job by now, which
	 * would run them again.
	 */
	#addCompletedTasks(
		leader: string,
		id: string,
		doneTasks: readonly string[],
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
			this.#sendToLeader(pending);
		}
	}

	/** Submits a job to the leader, or marks it as unsent while none is reachable. */
	#sendToLeader(pending: PendingJob): void {
		const now = this.#now();
		if (!this.#zoneRouter.prepare(pending, now)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		const leader = this.#findLeaderFor(pending, now);
		if (pending.overflowZone !== undefined) {
			this.#overlayNode.useLeader(pending.overflowZone, now);
		}

		if (leader === undefined || !this.#canReach(leader)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		if (pending.sentTo !== undefined && pending.sentTo !== leader) {
			this.#releaseAtLeader(pending.sentTo, pending.job.id);
		}

		const {earlierToken} = pending;
		const leaderToken =
			this.#overlayNode.findLeader(
				pending.overflowZone ?? this.#settings.zone,
				now,
			)?.token ?? 0;
		const isResubmitted = this.#pendingJobs.markSent(
			pending,
			{name: leader, token: leaderToken},
			this.#findZonesForJob(pending, leader, now),
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
		if (leader === this.#settings.name) {
			this.#scheduler.submit(job, leader, isResubmitted, now);
		} else {
			this.#overlayNode.send(leader, {type: 'submit', job, isResubmitted});
		}

		if (pending.hasLostCaller) {
			this.#sendCallerState(pending);
		}
	}

	/** Tells the leader of a job whether a caller waits here for it: one that does not may submit it to another zone. */
	#sendCallerState({job: {id}, sentTo, hasLostCaller}: PendingJob): void {
		const now = this.#now();
		const {name} = this.#settings;
		if (sentTo === name && hasLostCaller) {
			this.#scheduler.markCallerLost(id, name, now);
		} else if (sentTo === name) {
			this.#scheduler.markCallerReturned(id, name, now);
		} else if (sentTo !== undefined) {
			this.#overlayNode.send(sentTo, {
				type: hasLostCaller ? 'caller-lost' : 'caller-returned',
				id,
			});
		}
	}

	/** Returns what the choice of a zone depends on. */
	#readZoneView(now: number): ZoneView {
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
			ownWaits: this.#overlayNode.findOwnZoneWaits(now),
		};
	}

	/** Returns the zones in which a leader is to place a job; `undefined` for all zones. */
	#findZonesForJob(
		{overflowZone}: PendingJob,
		leader: string,
		now: number,
	): readonly string[] | undefined {
		const peer = this.#leadership
			.livePeers(now)
			.find(({name}) => name === leader);
		// A leader that only a candidate reports is no entry VM of the last build, whose heartbeats have no scope.
		const placesByZone = peer === undefined || peer.scope !== undefined;
		return this.#scope === 'zone' && placesByZone
			? [overflowZone ?? this.#settings.zone]
			: undefined;
	}

	/** Submits the selected pending jobs again, to their present leaders. */
	#resubmitPendingJobs(isSelected: (pending: PendingJob) => boolean): void {
		const now = this.#now();
		for (const pending of this.#pendingJobs.all.filter((other) =>
			isSelected(other),
		)) {
			pending.withoutLeaderSinceMs ??= now;
			this.#sendToLeader(pending);
		}
	}

	/** Answers the jobs that have waited too long for a leader or for their answer. */
	#answerExpiredJobs(now: number): void {
		for (const pending of this.#pendingJobs.all) {
			const {job, sentTo, withoutLeaderSinceMs, receivedAtMs} = pending;
			const maxDelayMs = Math.min(
				sentTo === undefined ? maxFirstSendDelayMs : maxResendDelayMs,
				this.#computeSlackMs(job),
			);
			if (
				withoutLeaderSinceMs !== undefined &&
				now - withoutLeaderSinceMs > maxDelayMs
			) {
				this.#pendingJobs.answer(
					job.id,
					sentTo === undefined
						? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
						: {kind: 'may-have-run', reason: 'leader-lost'},
				);
			} else if (now - receivedAtMs > job.patienceMs + retryMs) {
				this.#pendingJobs.answer(job.id, {
					kind: 'may-have-run',
					reason: 'deadline-exceeded',
				});
			}
		}
	}

	/** Computes the time for which a job may wait for a leader and still be answered in time, by its caller's estimates. */
	#computeSlackMs({queue: name, tasks, patienceMs}: PoolJob): number {
		const queue = this.#desiredState?.queues.find(
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

	#canReach(leader: string): boolean {
		return leader === this.#settings.name || this.#overlayNode.isOpen(leader);
	}

	/** Sends an answer of this leader to the entry VM that received the job. */
	#sendAnswer(receiver: string, id: string, answer: PoolAnswer): void {
		if (receiver === this.#settings.name) {
			this.#receiveAnswer(receiver, id, answer);
		} else {
			this.#overlayNode.send(receiver, {type: 'answer', id, answer});
		}
	}

	/** Passes a leader's answer on to the callers, and cancels the job at another leader that has it now. */
	#receiveAnswer(leader: string, id: string, answer: PoolAnswer): void {
		const pending = this.#pendingJobs.get(id);
		const sentTo = pending?.sentTo;
		const acceptedAnswer = this.#pendingJobs.filterAnswer(id, leader, answer);
		if (
			pending === undefined ||
			acceptedAnswer === undefined ||
			this.#sendToOtherZone(pending, leader, acceptedAnswer)
		) {
			return;
		}

		this.#pendingJobs.answer(id, acceptedAnswer);
		if (sentTo !== undefined && sentTo !== leader) {
			this.#cancelAtLeader(sentTo, id);
		}
	}

	/** Has a leader give up a job that is submitted to another one now; two leaders would otherwise wait and then start it. */
	#releaseAtLeader(leader: string, id: string): void {
		if (leader === this.#settings.name) {
			this.#scheduler.release(id, leader, this.#now());
		} else {
			this.#overlayNode.send(leader, {type: 'cancel', id, reason: 'moved'});
		}
	}

	/** Submits a job that its leader has refused to the leader of another zone, if one can run it; returns whether it did. */
	#sendToOtherZone(
		pending: PendingJob,
		leader: string,
		answer: PoolAnswer,
	): boolean {
		const isRedirected = this.#zoneRouter.redirectRefused(
			pending,
			leader,
			answer,
			this.#now(),
		);
		if (isRedirected) {
			this.#sendToLeader(pending);
		}

		return isRedirected;
	}

	/** Cancels a job at a leader because no caller waits for it any more. */
	#cancelAtLeader(leader: string, id: string): void {
		if (leader === this.#settings.name) {
			this.#scheduler.cancel(id, 'caller-left', leader, this.#now());
		} else {
			this.#overlayNode.send(leader, {
				type: 'cancel',
				id,
				reason: 'caller-left',
			});
		}
	}

	/**
	 * Gets the replies of all leaders to a request, of this entry VM itself from `answer`: a job may be with the leader of
	 * any zone. A reply that does not arrive in time is `undefined`.
	 */
	async #requestFromLeaders<Reply>(
		answer: () => Reply,
		createMessage: (requestNumber: number) => PoolMessage,
	): Promise<readonly unknown[]> {
		const now = this.#now();
		const leaders = new Set(
			this.#settings.zones.flatMap((zone) => {
				const leader = this.#overlayNode.findLeader(zone, now)?.name;
				this.#overlayNode.useLeader(zone, now);
				return leader === undefined ? [] : [leader];
			}),
		);
		return Promise.all(
			[...leaders].map(async (leader) =>
				leader === this.#settings.name
					? answer()
					: this.#requestFromLeader(leader, createMessage),
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
