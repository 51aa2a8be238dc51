import {
	BestFit,
	Leadership,
	LearnedTimeEstimator,
	ObjectiveOrder,
	PoolScheduler,
	computeAnswerWindowMs,
	defaultWorkerPoolSettings,
	type DesiredState,
	type Heartbeat,
	type LeadershipChange,
	type MemberAddress,
	type PoolAnswer,
	type PoolJob,
	type WorkerEntry,
} from '@verbenarouter/core';
import {PoolMesh, type PoolMessage} from '@verbenarouter/peer';
import {
	StoreClient,
	WorkerClient,
	type EntrySettings,
	type JobDispatcher,
} from '@verbenarouter/platform';
import {droppedLines} from '../logger.js';
import {MemberRegistry} from './member-registry.js';
import {PendingJobs, type PendingJob} from './pending-jobs.js';
import {type PoolLog} from './pool-log.js';
import {StoreFollower} from './store-follower.js';
import {createWorkerCommandSender} from './worker-command-sender.js';

/** Interval of heartbeats from or to a leader, and of all heartbeats while a zone has no live leader. */
const heartbeatIntervalMs = 100;
/** Interval of heartbeats between followers, which only need them to select the next leader. */
const slowHeartbeatIntervalMs = 400;
/** Interval of heartbeats that include the list of known entry VMs. */
const memberListIntervalMs = 2000;
/** Interval at which leadership, store reads, leases, stops and deadlines are checked. */
const tickIntervalMs = 20;
/** Longest time for which a job that was sent to no leader yet waits for a reachable one. */
const maxFirstSendDelayMs = 900;
/** Longest time for which a job that a lost leader may have started waits for the next leader; a failover takes less. */
const maxResendDelayMs = 900;
/** Age of the store data from which a leader requests it from its peers. */
const staleStoreDataMs = 700;
/**
 * Delay between successive followers before they start to read the store for a leader that cannot, so that only one
 * does.
 */
const readerStaggerMs = 150;
/** Interval at which store data is sent to a leader that cannot read the store, while nothing changes. */
const knowledgeResendIntervalMs = 400;
/** Time for which connections to an entry VM are attempted after its last heartbeat. */
const memberRetentionMs = 120_000;
/** Interval of checks for workers that have not registered again in time, and for unreachable zones. */
const directoryCheckIntervalMs = 500;
/** Time without a report after which the workers of a zone count as unreachable. */
const zoneUnreachableMs = 1500;
/** Time after which a refused caller may retry; also the grace after a job's patience in which its answer may arrive. */
const retryMs = 1000;
/** Longest time for which a request waits for the first desired state; a new process reads it in a tenth of that. */
const firstStateTimeoutMs = 400;
/** Assumed run time of tasks without an estimate, and lower bound for a job's longest task. */
const defaultRunMs = 50;
/** Longest time for which a request to the leader waits for its reply. */
const requestTimeoutMs = 800;

/** Settings that take effect without a restart. */
const reloadableSettings: ReadonlySet<keyof EntrySettings> = new Set([
	'peerSeeds',
	'storeAddress',
]);

/** Time for which connections to an entry VM that only the store lists are attempted; a live one answers at once. */
const registryMemberRetentionMs = 3000;

/** An entry VM that connections are opened to. */
type KnownMember = MemberAddress & {
	/** Time at which the entry VM is removed if it sends no heartbeat before. */
	readonly expiresAtMs: number;
	/** Whether the entry VM is listed only in the store and in no heartbeat yet. */
	readonly isOnlyInRegistry: boolean;
};

/**
 * One entry VM: receives jobs from callers and submits them to the leader of its zone, and schedules the workers of the
 * zones that it leads.
 */
export class PoolNode implements JobDispatcher {
	#settings: EntrySettings;
	readonly #log: PoolLog;
	readonly #now: () => number;
	readonly #leadership: Leadership;
	readonly #scheduler: PoolScheduler;
	readonly #mesh: PoolMesh;
	readonly #workerClient: WorkerClient;
	readonly #storeFollower: StoreFollower;
	readonly #registry: MemberRegistry;
	readonly #pendingJobs = new PendingJobs();
	readonly #members = new Map<string, KnownMember>();
	/** Resolves the requests to the leader that have no reply yet, by request number. */
	readonly #replyHandlers = new Map<number, (value: unknown) => void>();
	/** Identifier of this process, which changes with each restart. */
	readonly #incarnation: string;
	/** Resolves the requests that arrived before the first desired state. */
	readonly #stateWaiters = new Set<(state: DesiredState) => void>();
	#desiredState: DesiredState | undefined;
	/** The workers that may be alive, as last read from the directory. */
	#workerEntries: readonly WorkerEntry[] = [];
	/** Name of the live leader of this entry VM's zone. */
	#leader: string | undefined;
	#isStopping = false;
	#nextRequestNumber = 1;
	#attemptCount = 0;
	#lastHeartbeatMs = 0;
	#lastSlowHeartbeatMs = 0;
	#lastMemberListMs = 0;
	/** Fencing token of the live leader of each zone that has one, by zone. */
	#liveLeaderTokens: Readonly<Record<string, number>> = {};
	#lastDirectoryCheckMs = 0;
	/** Workers whose entries expired while their zone was partitioned; their runs may continue. */
	readonly #partitionedWorkers = new Map<string, WorkerEntry>();
	/** Names of the leaders that cannot read the store. */
	readonly #leadersWithoutStore = new Set<string>();
	/** Time since which some leader cannot read the store. */
	#leaderWithoutStoreSinceMs: number | undefined;
	/** Names of the peers that have recently read the store themselves. */
	readonly #storeReaders = new Set<string>();
	#lastKnowledgeSentMs = 0;

	constructor(settings: EntrySettings, log: PoolLog, now: () => number) {
		this.#settings = settings;
		this.#log = log;
		this.#now = now;
		this.#incarnation = `${settings.name}-${Math.floor(now())}`;
		this.#leadership = new Leadership(settings, settings.zones);
		this.#leadership.setScope('region');
		this.#workerClient = new WorkerClient(now);
		this.#scheduler = new PoolScheduler({
			commandSender: createWorkerCommandSender(
				this.#workerClient,
				() => this.#scheduler,
				now,
			),
			output: {
				sendAnswer: (receiver, id, answer) => {
					this.#sendAnswer(receiver, id, answer);
				},
				sendCompletedTasks: (receiver, id, doneTasks) => {
					if (receiver === settings.name) {
						this.#addCompletedTasks(receiver, id, doneTasks);
					} else {
						this.#mesh.send(receiver, {type: 'progress', id, doneTasks});
					}
				},
				handleFencedZone: (zone, token) => {
					this.#applyLeadershipChanges(
						this.#leadership.handleTokenRefusal(zone, token, now()),
						'fenced',
					);
				},
				logDecision(decision) {
					log.write(decision);
				},
			},
			estimates: new LearnedTimeEstimator(),
			queueOrder: new ObjectiveOrder(),
			workerSelection: new BestFit(),
			zones: settings.zones,
			poolSettings: {
				...defaultWorkerPoolSettings,
				leaseMs: settings.workerLeaseMs,
				stopDurationMs: settings.workerStopMs,
			},
		});
		this.#mesh = new PoolMesh({
			name: settings.name,
			address: settings.peerAddress,
			now,
			onMessage: (from, message) => {
				this.#receiveMessage(from, message);
			},
			onLost: (name) => {
				this.#leadership.markDisconnected(name);
				this.#scheduler.markReceiverUnreachable(name, now());
				log.write({event: 'peer-lost', peer: name});
				this.#updateLeadership();
			},
			onOpen: (name) => {
				log.write({event: 'peer-open', peer: name});
				if (this.#leadership.ledZones.size > 0) {
					this.#sendKnowledge(name);
				}

				if (name === this.#leader) {
					this.#resubmitPendingJobs();
				}
			},
		});
		const client = new StoreClient(settings.storeAddress);
		this.#registry = new MemberRegistry(
			{
				name: settings.name,
				zone: settings.zone,
				address: settings.peerAddress,
			},
			client,
			{
				onMembersRead: (members) => {
					this.#addRegistryMembers(members);
				},
				onFailure(message) {
					log.write({event: 'registry-failed', reason: message});
				},
			},
		);
		this.#storeFollower = new StoreFollower(
			client,
			{
				onStateRead: (state) => {
					this.#applyDesiredState(state, 'store');
				},
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
			now,
		);
	}

	/** Listens for peers, connects to them and starts the periodic checks. Rejects if the peer address cannot be bound. */
	async start(): Promise<void> {
		await this.#mesh.listen();
		this.#updateLinks();
		void this.#registry.register();
		setInterval(() => {
			this.#tick();
		}, tickIntervalMs);
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
			desiredStateVersion: this.#desiredState?.version ?? 0,
			storeKnowledgeAgeMs: Math.round(
				Math.min(1e9, this.#storeFollower.dataAgeMs(this.#now())),
			),
			logLinesDropped: droppedLines.count,
		};
	}

	/** Marks this process as warm, so that it may lead the whole region: its scheduling code has run. */
	setWarm(): void {
		this.#leadership.setWarm();
	}

	/** Hands over the zones that this entry VM leads; jobs are still received and answered. */
	beginStop(): void {
		this.#isStopping = true;
		this.#applyLeadershipChanges(
			this.#leadership.stop(this.#now()),
			'stopping',
		);
		this.#sendHeartbeatToAll(this.#now());
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
		this.#updateLinks();
		if (changed.includes('storeAddress')) {
			this.#settings = {...this.#settings, storeAddress: settings.storeAddress};
			const client = new StoreClient(settings.storeAddress);
			this.#storeFollower.setClient(client);
			this.#registry.setClient(client);
		}

		return changed.filter((name) => !reloadableSettings.has(name));
	}

	/** Closes all connections to peers. */
	close(): void {
		this.#mesh.close();
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

	async submit(submitted: Omit<PoolJob, 'attempt'>): Promise<PoolAnswer> {
		return new Promise((resolve) => {
			this.#attemptCount += 1;
			const job = {
				...submitted,
				attempt: `${this.#incarnation}/${this.#attemptCount}`,
			};
			const now = this.#now();
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
			}
		});
	}

	handleCallerDisconnect(id: string, isReset: boolean): void {
		const pending = this.#pendingJobs.get(id);
		if (pending === undefined) {
			return;
		}

		this.#log.write({event: 'caller-left', id, isReset});
		if (isReset) {
			// A caller whose connection broke submits the job again and then receives the result of the first submission.
			return;
		}

		this.#pendingJobs.remove(id);
		if (pending.sentTo !== undefined) {
			this.#cancelAtLeader(pending.sentTo, id);
		}
	}

	async cancel(id: string): Promise<boolean> {
		const isKnown =
			this.#leader === this.#settings.name
				? this.#scheduler.cancel(id, 'cancelled', this.#now())
				: await this.#requestFromLeader((question) => ({
						type: 'cancel',
						id,
						reason: 'cancelled',
						question,
					}));
		return isKnown === true;
	}

	async getJobState(id: string): Promise<string | undefined> {
		const state =
			this.#leader === this.#settings.name
				? toStateText(this.#scheduler.getJobState(id))
				: await this.#requestFromLeader((question) => ({
						type: 'ask',
						question,
						about: 'state',
						name: id,
					}));
		return typeof state === 'string' ? state : undefined;
	}

	async countPendingJobs(queue: string): Promise<number | undefined> {
		const count =
			this.#leader === this.#settings.name
				? this.#scheduler.countPendingJobs(queue)
				: await this.#requestFromLeader((question) => ({
						type: 'ask',
						question,
						about: 'pending',
						name: queue,
					}));
		return typeof count === 'number' ? count : undefined;
	}

	handleRejectedRequest(id: string, status: number, reason: string): void {
		this.#log.write({event: 'rejected', id, status, reason});
	}

	/** Runs the checks that are due. */
	#tick(): void {
		const now = this.#now();
		this.#updateLeadership();
		this.#storeFollower.setActive(this.#shouldReadStore(now));
		this.#storeFollower.tick(now);
		if (this.#leadership.ledZones.size > 0) {
			for (const {receiver} of this.#findUnreachableReceivers(now)) {
				this.#scheduler.markReceiverUnreachable(receiver, now);
			}

			this.#scheduler.tick(now);
		}

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

		if (now - this.#lastHeartbeatMs >= heartbeatIntervalMs) {
			this.#sendDueHeartbeats(now);
			this.#workerClient.closeUnusedConnections();
		}
	}

	/** Finds the entry VMs that are not live; no tasks of their jobs start until they resubmit them. */
	#findUnreachableReceivers(
		now: number,
	): ReadonlyArray<{readonly receiver: string}> {
		return [...this.#members.keys()]
			.filter((name) => !this.#leadership.isPeerLive(name, now))
			.map((receiver) => ({receiver}));
	}

	/**
	 * Whether to read the store. Leaders do, and entry VMs without a leader; while a leader cannot, one follower that can
	 * reads it on the leader's behalf.
	 */
	#shouldReadStore(now: number): boolean {
		if (this.#leadership.ledZones.size > 0 || this.#leader === undefined) {
			return true;
		}

		if (this.#leadersWithoutStore.size === 0) {
			this.#leaderWithoutStoreSinceMs = undefined;
			return false;
		}

		this.#leaderWithoutStoreSinceMs ??= now;
		const followers = this.#leadership
			.livePeers(now)
			.filter(({leads}) => Object.keys(leads).length === 0)
			.map(({name}) => name);
		const readers = followers.filter((name) => this.#storeReaders.has(name));
		if (this.#storeFollower.ownDataAgeMs(now) < staleStoreDataMs) {
			return readers.every((name) => name > this.#settings.name);
		}

		const position = followers.filter(
			(name) => name < this.#settings.name,
		).length;
		return (
			readers.length === 0 &&
			now - this.#leaderWithoutStoreSinceMs >= position * readerStaggerMs
		);
	}

	/** Evaluates the election, and sends heartbeats at once if the live leaders have changed. */
	#updateLeadership(): void {
		const now = this.#now();
		this.#applyLeadershipChanges(this.#leadership.tick(now), 'tick');
		const liveLeaderTokens = Object.fromEntries(
			this.#settings.zones.flatMap((zone) => {
				const leader = this.#leadership.findLeader(zone, now);
				return leader === undefined ? [] : [[zone, leader.token]];
			}),
		);
		const isChanged =
			JSON.stringify(liveLeaderTokens) !==
			JSON.stringify(this.#liveLeaderTokens);
		this.#liveLeaderTokens = liveLeaderTokens;
		if (isChanged) {
			this.#sendHeartbeatToAll(now);
		}

		this.#updateOwnLeader(now);
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
			this.#resubmitPendingJobs();
		}
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
				this.#mesh.send(newLeader, {
					type: 'hand-over',
					workers: this.#workerEntries.filter(({zone}) => zone === change.zone),
				});
			}

			if (change.kind === 'claimed') {
				this.#restoreWorkersOfZone(change.zone, now);
				this.#scheduler.startLeadingZone(change.zone, change.token, now);
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
			this.#sendHeartbeatToAll(now);
		}
	}

	/** Creates a heartbeat; `intervalMs` is the time until the next one to the same peers. */
	#createHeartbeat(hasMemberList: boolean, intervalMs: number): Heartbeat {
		return {
			name: this.#settings.name,
			zone: this.#settings.zone,
			address: this.#settings.peerAddress,
			incarnation: this.#incarnation,
			intervalMs,
			processorShare: this.#settings.processorShare,
			isStopping: this.#isStopping,
			isWarm: this.#leadership.isWarm,
			leads: Object.fromEntries(this.#leadership.ledZones),
			highestToken: this.#leadership.highestToken,
			hears: this.#liveLeaderTokens,
			yields: Object.fromEntries(this.#leadership.successors),
			members: hasMemberList
				? [...this.#members.values()]
						.filter(({isOnlyInRegistry}) => !isOnlyInRegistry)
						.map(({name, zone, address}) => ({name, zone, address}))
				: [],
		};
	}

	/** Sends a heartbeat to all peers at once, whatever their interval. */
	#sendHeartbeatToAll(now: number): void {
		this.#lastSlowHeartbeatMs = 0;
		this.#sendDueHeartbeats(now);
	}

	/** Sends heartbeats to the peers that need the short interval, and to the others if their interval has passed. */
	#sendDueHeartbeats(now: number): void {
		this.#lastHeartbeatMs = now;
		const leaders = new Set(
			this.#leadership
				.livePeers(now)
				.filter(({leads}) => Object.keys(leads).length > 0)
				.map(({address}) => address),
		);
		const isLeader = this.#leadership.ledZones.size > 0;
		const isElecting =
			Object.keys(this.#liveLeaderTokens).length < this.#settings.zones.length;
		const isFast = (address: string) =>
			isLeader || isElecting || leaders.has(address);
		this.#sendHeartbeat(isFast, heartbeatIntervalMs, now);
		if (now - this.#lastSlowHeartbeatMs >= slowHeartbeatIntervalMs) {
			this.#lastSlowHeartbeatMs = now;
			this.#sendHeartbeat(
				(address) => !isFast(address),
				slowHeartbeatIntervalMs,
				now,
			);
		}
	}

	/** Sends a heartbeat to the peers whose address is selected, announcing the interval until the next one. */
	#sendHeartbeat(
		isSelected: (address: string) => boolean,
		intervalMs: number,
		now: number,
	): void {
		const hasMemberList = now - this.#lastMemberListMs >= memberListIntervalMs;
		if (hasMemberList && intervalMs === slowHeartbeatIntervalMs) {
			this.#lastMemberListMs = now;
		}

		this.#mesh.sendHeartbeats(
			{
				type: 'heartbeat',
				heartbeat: this.#createHeartbeat(hasMemberList, intervalMs),
				needsKnowledge:
					this.#leadership.ledZones.size > 0 &&
					this.#storeFollower.ownDataAgeMs(now) > staleStoreDataMs,
				readsStore: this.#storeFollower.ownDataAgeMs(now) < staleStoreDataMs,
			},
			isSelected,
			now,
		);
	}

	/** Handles a message from another entry VM. */
	#receiveMessage(from: string, message: PoolMessage): void {
		const now = this.#now();
		switch (message.type) {
			case 'heartbeat': {
				this.#receiveHeartbeat(message.heartbeat, now);
				this.#updateStoreReader(from, message, now);
				break;
			}

			case 'submit': {
				// A submission that a partition delayed arrives before the sender's next heartbeat. It is ignored, because the
				// sender has submitted the job to another leader by then.
				if (
					this.#leadership.ledZones.size > 0 &&
					this.#leadership.isPeerLive(from, now)
				) {
					this.#scheduler.submit(message.job, from, message.isResubmitted, now);
				}

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

			case 'cancel': {
				if (message.reason === 'moved') {
					this.#scheduler.release(message.id, from, now);
					break;
				}

				const isKnown = this.#scheduler.cancel(message.id, message.reason, now);
				if (message.question !== undefined) {
					this.#mesh.send(from, {
						type: 'reply',
						question: message.question,
						value: isKnown,
					});
				}

				break;
			}

			case 'ask': {
				this.#mesh.send(from, {
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
				const {state, workers, ageMs} = message.knowledge;
				if (state !== undefined) {
					this.#applyDesiredState(state, from);
				}

				if (ageMs < this.#storeFollower.dataAgeMs(now)) {
					this.#storeFollower.applyPeerWorkers(workers, ageMs, now);
					this.#refreshWorkers(from);
				}

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

	/** Records a heartbeat and the entry VMs that it lists, and reacts at once to changes that affect an election. */
	#receiveHeartbeat(heartbeat: Heartbeat, now: number): void {
		const memberCount = this.#members.size;
		const hasChanged = this.#leadership.hasChanged(heartbeat, now);
		for (const {name, zone, address} of [heartbeat, ...heartbeat.members]) {
			const isSenderOrNew =
				name === heartbeat.name ||
				this.#members.get(name)?.isOnlyInRegistry !== false;
			if (name !== this.#settings.name && isSenderOrNew) {
				this.#members.set(name, {
					name,
					zone,
					address,
					expiresAtMs: now + memberRetentionMs,
					isOnlyInRegistry: false,
				});
			}
		}

		this.#leadership.receiveHeartbeat(heartbeat, now);
		if (this.#members.size !== memberCount) {
			// The next heartbeat includes the member list, so that newly connected peers receive it at once.
			this.#lastMemberListMs = 0;
			this.#updateLinks();
		}

		if (hasChanged) {
			this.#updateLeadership();
		}

		const hasLostLeader = this.#settings.zones.some(
			(zone) =>
				heartbeat.hears[zone] === undefined &&
				this.#liveLeaderTokens[zone] !== undefined,
		);
		if (hasChanged && hasLostLeader) {
			// The sender has lost a leader that is live for this entry VM, and must be informed before it claims the zone.
			this.#sendHeartbeatToAll(now);
		}
	}

	/** Connects to the entry VMs that the store lists. */
	#addRegistryMembers(members: readonly MemberAddress[]): void {
		const now = this.#now();
		for (const member of members) {
			if (!this.#members.has(member.name)) {
				this.#members.set(member.name, {
					...member,
					expiresAtMs: now + registryMemberRetentionMs,
					isOnlyInRegistry: true,
				});
			}
		}

		this.#log.write({event: 'registry', members: members.length});
		this.#updateLinks();
		this.#sendHeartbeatToAll(now);
	}

	/** Records whether a peer can read the store, and sends current store data to a leader that cannot. */
	#updateStoreReader(
		from: string,
		{needsKnowledge, readsStore}: PoolMessage & {readonly type: 'heartbeat'},
		now: number,
	): void {
		if (readsStore) {
			this.#storeReaders.add(from);
		} else {
			this.#storeReaders.delete(from);
		}

		if (!needsKnowledge) {
			this.#leadersWithoutStore.delete(from);
			return;
		}

		this.#leadersWithoutStore.add(from);
		if (
			this.#storeFollower.ownDataAgeMs(now) < staleStoreDataMs &&
			now - this.#lastKnowledgeSentMs >= knowledgeResendIntervalMs
		) {
			this.#lastKnowledgeSentMs = now;
			this.#sendKnowledge(from);
		}
	}

	/** Removes expired members, and opens or closes connections to match the seeds and the remaining members. */
	#updateLinks(): void {
		const now = this.#now();
		for (const [name, {expiresAtMs}] of this.#members) {
			if (now > expiresAtMs) {
				this.#members.delete(name);
			}
		}

		this.#mesh.updateLinks([
			...this.#settings.peerSeeds,
			...[...this.#members.values()].map(({address}) => address),
		]);
	}

	/** Sends the desired state and the workers to a peer. */
	#sendKnowledge(name: string): void {
		this.#mesh.send(name, {
			type: 'knowledge',
			knowledge: {
				state: this.#desiredState,
				workers: this.#workerEntries,
				ageMs: this.#storeFollower.dataAgeMs(this.#now()),
			},
		});
	}

	/** Sends the desired state and the workers to all live peers. */
	#sendKnowledgeToPeers(): void {
		for (const {name} of this.#leadership.livePeers(this.#now())) {
			this.#sendKnowledge(name);
		}
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
		if (source === 'store') {
			this.#sendKnowledgeToPeers();
		}
	}

	/** Updates the workers from the directory, and passes them on if they have changed. */
	#refreshWorkers(source: string): void {
		const entries = this.#storeFollower.directory.entries(this.#now());
		const isChanged = !hasEqualWorkers(entries, this.#workerEntries);
		this.#retainPartitionedWorkers(entries);
		this.#workerEntries = entries;
		if (!isChanged) {
			return;
		}

		this.#log.write({
			event: 'workers',
			ready: entries.filter(({state}) => state === 'ready').length,
			draining: entries.filter(({state}) => state === 'draining').length,
			source,
		});
		if (this.#leadership.ledZones.size > 0) {
			this.#scheduler.updateWorkers(entries, this.#now());
		}

		if (source === 'store') {
			this.#sendKnowledgeToPeers();
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
		const leader = this.#leader;
		if (leader === undefined || !this.#canReach(leader)) {
			pending.withoutLeaderSinceMs ??= now;
			return;
		}

		if (pending.sentTo !== undefined && pending.sentTo !== leader) {
			this.#releaseAtLeader(pending.sentTo, pending.job.id);
		}

		const {doneTasks, earlierToken} = pending;
		const leaderToken =
			this.#leadership.findLeader(this.#settings.zone, now)?.token ?? 0;
		const isResubmitted = this.#pendingJobs.markSent(
			pending,
			leader,
			leaderToken,
		);
		const job = {
			...pending.job,
			waitedMs: now - pending.receivedAtMs,
			leaderToken,
			...(earlierToken === undefined ? {} : {earlierToken}),
			...(doneTasks.length > 0 ? {doneTasks} : {}),
		};
		if (leader === this.#settings.name) {
			this.#scheduler.submit(job, leader, isResubmitted, now);
		} else {
			this.#mesh.send(leader, {type: 'submit', job, isResubmitted});
		}
	}

	/** Submits all pending jobs again, to the present leader. */
	#resubmitPendingJobs(): void {
		const now = this.#now();
		for (const pending of this.#pendingJobs.all) {
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
		return leader === this.#settings.name || this.#mesh.isOpen(leader);
	}

	/** Sends an answer of this leader to the entry VM that received the job. */
	#sendAnswer(receiver: string, id: string, answer: PoolAnswer): void {
		if (receiver === this.#settings.name) {
			this.#receiveAnswer(receiver, id, answer);
		} else {
			this.#mesh.send(receiver, {type: 'answer', id, answer});
		}
	}

	/** Passes a leader's answer on to the callers, and cancels the job at another leader that has it now. */
	#receiveAnswer(leader: string, id: string, answer: PoolAnswer): void {
		const sentTo = this.#pendingJobs.get(id)?.sentTo;
		const acceptedAnswer = this.#pendingJobs.filterAnswer(id, leader, answer);
		if (acceptedAnswer === undefined) {
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
			this.#mesh.send(leader, {type: 'cancel', id, reason: 'moved'});
		}
	}

	/** Cancels a job at a leader because no caller waits for it any more. */
	#cancelAtLeader(leader: string, id: string): void {
		if (leader === this.#settings.name) {
			this.#scheduler.cancel(id, 'caller-left', this.#now());
		} else {
			this.#mesh.send(leader, {type: 'cancel', id, reason: 'caller-left'});
		}
	}

	/** Sends a request to the leader; resolves with its reply, or with `undefined` if there is none in time. */
	async #requestFromLeader(
		createMessage: (requestNumber: number) => PoolMessage,
	): Promise<unknown> {
		const requestNumber = this.#nextRequestNumber;
		this.#nextRequestNumber += 1;
		return new Promise((resolve) => {
			this.#replyHandlers.set(requestNumber, resolve);
			setTimeout(() => {
				this.#replyHandlers.delete(requestNumber);
				resolve(undefined);
			}, requestTimeoutMs);
			this.#mesh.send(this.#leader ?? '', createMessage(requestNumber));
		});
	}
}

/** Returns the state of a job as text; for an answered job, the kind of the answer. */
function toStateText(
	state: 'queued' | 'running' | PoolAnswer | undefined,
): string | undefined {
	return typeof state === 'object' ? state.kind : state;
}

/** Whether two lists have the same workers with the same state, incarnation and address, in any order. */
function hasEqualWorkers(
	left: readonly WorkerEntry[],
	right: readonly WorkerEntry[],
): boolean {
	const rightById = new Map(right.map((entry) => [entry.id, entry]));
	return (
		left.length === right.length &&
		left.every(({id, state, bornMs, address}) => {
			const other = rightById.get(id);
			return (
				other?.state === state &&
				other.bornMs === bornMs &&
				other.address === address
			);
		})
	);
}
