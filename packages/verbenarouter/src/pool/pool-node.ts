/** One entry VM on the platform: receives jobs, and leads the pool of workers when it is its turn. */
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
import {ordersOver} from './worker-orders.js';

/** Milliseconds between two heartbeats from or to a leader. */
const heartbeatMs = 100;
/** Milliseconds between two heartbeats among others, which only have to know who may lead next. */
const slowHeartbeatMs = 400;
/** Milliseconds between two heartbeats that tell whom else there is. */
const introductionMs = 2000;
/** Milliseconds between two looks at leases, stops and deadlines. */
const tickMs = 20;
/** Milliseconds for which a job that no leader has seen waits for one. */
const unsentPatienceMs = 900;
/** The same for a job that a lost leader may have started; a fail-over takes less. */
const resentPatienceMs = 900;
/** Age of what is known of the store, in milliseconds, from which a leader asks the others. */
const staleKnowledgeMs = 700;
/** Head start in milliseconds of each follower over the next one when a leader cannot read the store. */
const readerGapMs = 150;
/** Milliseconds between two reports to a leader that cannot read the store, while nothing changes. */
const tellAgainMs = 400;
/** Milliseconds for which an entry VM that is no longer heard is still dialled. */
const memberKeptMs = 120_000;
/** Milliseconds between two looks for workers that have not registered again in time. */
const directoryLookMs = 500;
/** Milliseconds without a report after which a zone's workers count as out of reach. */
const emptyZoneMs = 1500;
const retryMs = 1000;
/** Milliseconds for which a request waits for the first desired state; a new process reads it in a tenth of that. */
const firstStateMs = 400;
/** Run time in milliseconds of tasks without an estimate. */
const defaultRunMs = 50;
/** Milliseconds for which a question to the leader waits for its reply. */
const questionMs = 800;

/** Settings that take effect without a restart. */
const reloadable: ReadonlySet<keyof EntrySettings> = new Set([
	'peerSeeds',
	'storeAddress',
]);

/** Milliseconds for which an entry VM is dialled of which only the store knows; one that lives answers at once. */
const recordedKeptMs = 3000;

type KnownMember = MemberAddress & {
	/** Until when it is dialled if it is not heard of again. */
	readonly keptUntilMs: number;
	/** Whether only the store knows of it. */
	readonly isRecorded: boolean;
};

/** One entry VM on the platform. */
export class PoolNode implements JobDispatcher {
	#settings: EntrySettings;
	readonly #log: PoolLog;
	readonly #now: () => number;
	readonly #leadership: Leadership;
	readonly #scheduler: PoolScheduler;
	readonly #mesh: PoolMesh;
	readonly #workers: WorkerClient;
	readonly #store: StoreFollower;
	readonly #registry: MemberRegistry;
	readonly #pending = new PendingJobs();
	readonly #members = new Map<string, KnownMember>();
	readonly #questions = new Map<number, (value: unknown) => void>();
	readonly #incarnation: string;
	/** Requests that came before the first desired state. */
	readonly #stateWaiters = new Set<(state: DesiredState) => void>();
	#state: DesiredState | undefined;
	#entries: readonly WorkerEntry[] = [];
	#leader: string | undefined;
	#isStopping = false;
	#nextQuestion = 1;
	#attempts = 0;
	#lastBeatMs = 0;
	#lastSlowBeatMs = 0;
	#lastIntroductionMs = 0;
	#hears: Readonly<Record<string, number>> = {};
	#lastDirectoryMs = 0;
	/** Workers of zones that are cut off whose entries have lapsed; their runs may go on. */
	readonly #cutOffWorkers = new Map<string, WorkerEntry>();
	/** Leaders that cannot read the store. */
	readonly #needy = new Set<string>();
	#needySinceMs: number | undefined;
	/** Entry VMs that have lately read the store themselves. */
	readonly #readers = new Set<string>();
	#lastTellMs = 0;

	constructor(settings: EntrySettings, log: PoolLog, now: () => number) {
		this.#settings = settings;
		this.#log = log;
		this.#now = now;
		this.#incarnation = `${settings.name}-${Math.floor(now())}`;
		this.#leadership = new Leadership(settings, settings.zones);
		this.#leadership.setScope('region');
		this.#workers = new WorkerClient(now);
		this.#scheduler = new PoolScheduler({
			commandSender: ordersOver(this.#workers, () => this.#scheduler, now),
			output: {
				sendAnswer: (receiver, id, answer) => {
					this.#deliver(receiver, id, answer);
				},
				sendCompletedTasks: (receiver, id, doneTasks) => {
					if (receiver === settings.name) {
						this.#progressed(id, doneTasks);
					} else {
						this.#mesh.send(receiver, {type: 'progress', id, doneTasks});
					}
				},
				handleFencedZone: (zone, token) => {
					this.#changed(
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
				this.#received(from, message);
			},
			onLost: (name) => {
				this.#leadership.markDisconnected(name);
				this.#scheduler.markReceiverUnreachable(name, now());
				log.write({event: 'peer-lost', peer: name});
				this.#lead();
			},
			onOpen: (name) => {
				log.write({event: 'peer-open', peer: name});
				if (this.#leadership.ledZones.size > 0) {
					this.#tell(name);
				}

				if (name === this.#leader) {
					this.#resubmitAll();
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
				membersRead: (members) => {
					this.#recorded(members);
				},
				failed(message) {
					log.write({event: 'registry-failed', reason: message});
				},
			},
		);
		this.#store = new StoreFollower(
			client,
			{
				stateRead: (state) => {
					this.#takeState(state, 'store');
				},
				workersRead: () => {
					this.#takeWorkers('store');
				},
				recordIgnored(topic, key) {
					log.write({event: 'record-ignored', topic, key});
				},
				reachChanged(isReachable, reason) {
					log.write({event: 'store', isReachable, reason});
				},
			},
			now,
		);
	}

	/** Listens for peers, and joins them. */
	async start(): Promise<void> {
		await this.#mesh.listen();
		this.#link();
		void this.#registry.register();
		setInterval(() => {
			this.#tick();
		}, tickMs);
		this.#tick();
	}

	/** Whether new connections of callers should come here. */
	get isReady(): boolean {
		return (
			!this.#isStopping &&
			this.#state !== undefined &&
			this.#leader !== undefined &&
			this.#canReach(this.#leader)
		);
	}

	/** Jobs without an answer. */
	get pendingCountHere(): number {
		return this.#pending.size;
	}

	/** Values for metrics. */
	get gauges(): Readonly<Record<string, number>> {
		return {
			jobsReceivedWaiting: this.#pending.size,
			jobsScheduled: this.#scheduler.jobCount,
			zonesLed: this.#leadership.ledZones.size,
			workersLed: this.#scheduler.pool.workers.length,
			peersHeard: this.#leadership.livePeers(this.#now()).length,
			desiredStateVersion: this.#state?.version ?? 0,
			storeKnowledgeAgeMs: Math.round(
				Math.min(1e9, this.#store.ageMs(this.#now())),
			),
			logLinesDropped: droppedLines.count,
		};
	}

	/** The code for leading has run in this process, so that it may lead the region. */
	setWarm(): void {
		this.#leadership.setWarm();
	}

	/** Gives up leading; jobs are still received and answered. */
	beginStop(): void {
		this.#isStopping = true;
		this.#changed(this.#leadership.stop(this.#now()), 'stopping');
		this.#beatAll(this.#now());
	}

	/** Answers all jobs that are left at the end of a stop, since a connection that breaks tells their callers less. */
	giveUpAll(): void {
		for (const {job, sentTo} of this.#pending.all) {
			if (sentTo !== undefined) {
				this.#withdraw(sentTo, job.id);
			}

			this.#pending.answer(
				job.id,
				sentTo === undefined
					? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
					: {kind: 'may-have-run', reason: 'stopping'},
			);
		}
	}

	/** Takes over changed settings; returns the names of those that take effect only at the next start. */
	reload(settings: EntrySettings): readonly string[] {
		const names = Object.keys(settings) as ReadonlyArray<keyof EntrySettings>;
		const changed = names.filter(
			(name) =>
				JSON.stringify(settings[name]) !== JSON.stringify(this.#settings[name]),
		);
		this.#settings = {...this.#settings, peerSeeds: settings.peerSeeds};
		this.#link();
		if (changed.includes('storeAddress')) {
			this.#settings = {...this.#settings, storeAddress: settings.storeAddress};
			const client = new StoreClient(settings.storeAddress);
			this.#store.moveTo(client);
			this.#registry.moveTo(client);
		}

		return changed.filter((name) => !reloadable.has(name));
	}

	/** Ends all connections. */
	close(): void {
		this.#mesh.close();
	}

	desiredState(): DesiredState | undefined {
		return this.#state;
	}

	async waitForDesiredState(): Promise<DesiredState | undefined> {
		return new Promise((resolve) => {
			this.#stateWaiters.add(resolve);
			setTimeout(() => {
				this.#stateWaiters.delete(resolve);
				resolve(this.#state);
			}, firstStateMs);
		});
	}

	isStopping(): boolean {
		return this.#isStopping;
	}

	async submit(submitted: Omit<PoolJob, 'attempt'>): Promise<PoolAnswer> {
		return new Promise((resolve) => {
			this.#attempts += 1;
			const job = {
				...submitted,
				attempt: `${this.#incarnation}/${this.#attempts}`,
			};
			const now = this.#now();
			const {pending, isNew} = this.#pending.add(
				job,
				(answer) => {
					this.#log.answered(job, answer, this.#now() - now);
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

	callerDisconnected(id: string, isReset: boolean): void {
		const pending = this.#pending.get(id);
		if (pending === undefined) {
			return;
		}

		this.#log.write({event: 'caller-left', id, isReset});
		if (isReset) {
			// A caller whose connection broke sends the job again, and then gets what has run meanwhile.
			return;
		}

		this.#pending.remove(id);
		if (pending.sentTo !== undefined) {
			this.#withdraw(pending.sentTo, id);
		}
	}

	async cancel(id: string): Promise<boolean> {
		const isKnown =
			this.#leader === this.#settings.name
				? this.#scheduler.cancel(id, 'cancelled', this.#now())
				: await this.#ask((question) => ({
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
				? stateText(this.#scheduler.getJobState(id))
				: await this.#ask((question) => ({
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
				: await this.#ask((question) => ({
						type: 'ask',
						question,
						about: 'pending',
						name: queue,
					}));
		return typeof count === 'number' ? count : undefined;
	}

	requestRejected(id: string, status: number, reason: string): void {
		this.#log.write({event: 'rejected', id, status, reason});
	}

	#tick(): void {
		const now = this.#now();
		this.#lead();
		this.#store.setActive(this.#mayRead(now));
		this.#store.tick(now);
		if (this.#leadership.ledZones.size > 0) {
			for (const {receiver} of this.#silentReceivers(now)) {
				this.#scheduler.markReceiverUnreachable(receiver, now);
			}

			this.#scheduler.tick(now);
		}

		this.#giveUpUnsent(now);
		if (now - this.#lastDirectoryMs >= directoryLookMs) {
			this.#lastDirectoryMs = now;
			this.#takeWorkers('time');
			this.#changed(
				[...this.#leadership.ledZones.keys()].flatMap((zone) =>
					this.#leadership.releaseIfUnreachable(
						zone,
						this.#scheduler.pool.hasReportedSince(zone, now - emptyZoneMs),
						now,
					),
				),
				'tick',
			);
		}

		if (now - this.#lastBeatMs >= heartbeatMs) {
			this.#beat(now);
			this.#workers.closeUnusedConnections();
		}
	}

	/** Entry VMs that are not heard; jobs of theirs start nothing until they are heard again. */
	#silentReceivers(now: number): ReadonlyArray<{readonly receiver: string}> {
		return [...this.#members.keys()]
			.filter((name) => !this.#leadership.isPeerLive(name, now))
			.map((receiver) => ({receiver}));
	}

	/** Whether to read the store: leaders do, and a follower that can while a leader cannot. */
	#mayRead(now: number): boolean {
		if (this.#leadership.ledZones.size > 0 || this.#leader === undefined) {
			return true;
		}

		if (this.#needy.size === 0) {
			this.#needySinceMs = undefined;
			return false;
		}

		this.#needySinceMs ??= now;
		const followers = this.#leadership
			.livePeers(now)
			.filter(({leads}) => Object.keys(leads).length === 0)
			.map(({name}) => name);
		const readers = followers.filter((name) => this.#readers.has(name));
		if (this.#store.ownAgeMs(now) < staleKnowledgeMs) {
			return readers.every((name) => name > this.#settings.name);
		}

		const position = followers.filter(
			(name) => name < this.#settings.name,
		).length;
		return (
			readers.length === 0 && now - this.#needySinceMs >= position * readerGapMs
		);
	}

	#lead(): void {
		const now = this.#now();
		this.#changed(this.#leadership.tick(now), 'tick');
		const hears = Object.fromEntries(
			this.#settings.zones.flatMap((zone) => {
				const heard = this.#leadership.findLeader(zone, now);
				return heard === undefined ? [] : [[zone, heard.token]];
			}),
		);
		const isChanged = JSON.stringify(hears) !== JSON.stringify(this.#hears);
		this.#hears = hears;
		if (isChanged) {
			this.#beatAll(now);
		}

		this.#followLeader(now);
	}

	/** Gives all jobs to the leader of the own zone when it is another one than before. */
	#followLeader(now: number): void {
		const leader = this.#leadership.findLeader(this.#settings.zone, now);
		const key = leader?.name;
		if (key !== this.#leader) {
			this.#leader = key;
			this.#log.write({
				event: 'leader',
				leader: key ?? 'none',
				token: leader?.token ?? 0,
				zone: this.#settings.zone,
			});
			this.#resubmitAll();
		}
	}

	#changed(changes: readonly LeadershipChange[], cause: string): void {
		const now = this.#now();
		for (const change of changes) {
			this.#log.write({event: 'leadership', ...change, cause});
			const heir =
				this.#leadership.successors.get(change.zone) ??
				this.#leadership.findLeader(change.zone, now)?.name;
			if (change.kind === 'dropped' && heir !== undefined) {
				this.#mesh.send(heir, {
					type: 'hand-over',
					workers: this.#entries.filter(({zone}) => zone === change.zone),
				});
			}

			if (change.kind === 'claimed') {
				this.#recallCutOff(change.zone, now);
				this.#scheduler.startLeadingZone(change.zone, change.token, now);
				if (this.#state !== undefined) {
					this.#scheduler.applyDesiredState(this.#state);
				}

				this.#scheduler.updateWorkers(this.#entries, now);
			}
		}

		// All at once: a job is given up only if this entry VM leads on without some of its workers.
		const dropped = changes.filter(({kind}) => kind === 'dropped');
		if (dropped.length > 0) {
			this.#scheduler.stopLeadingZones(
				dropped.map(({zone}) => zone),
				now,
			);
		}

		if (changes.length > 0) {
			this.#followLeader(now);
			this.#beatAll(now);
		}
	}

	#heartbeat(withMembers: boolean, intervalMs: number): Heartbeat {
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
			hears: this.#hears,
			yields: Object.fromEntries(this.#leadership.successors),
			members: withMembers
				? [...this.#members.values()]
						.filter(({isRecorded}) => !isRecorded)
						.map(({name, zone, address}) => ({name, zone, address}))
				: [],
		};
	}

	/** Sends a heartbeat to everybody, whatever their interval. */
	#beatAll(now: number): void {
		this.#lastSlowBeatMs = 0;
		this.#beat(now);
	}

	#beat(now: number): void {
		this.#lastBeatMs = now;
		const leaders = new Set(
			this.#leadership
				.livePeers(now)
				.filter(({leads}) => Object.keys(leads).length > 0)
				.map(({address}) => address),
		);
		const isLeader = this.#leadership.ledZones.size > 0;
		const isElecting =
			Object.keys(this.#hears).length < this.#settings.zones.length;
		const isFast = (address: string) =>
			isLeader || isElecting || leaders.has(address);
		this.#send(isFast, heartbeatMs, now);
		if (now - this.#lastSlowBeatMs >= slowHeartbeatMs) {
			this.#lastSlowBeatMs = now;
			this.#send((address) => !isFast(address), slowHeartbeatMs, now);
		}
	}

	#send(
		isChosen: (address: string) => boolean,
		intervalMs: number,
		now: number,
	): void {
		const withMembers = now - this.#lastIntroductionMs >= introductionMs;
		if (withMembers && intervalMs === slowHeartbeatMs) {
			this.#lastIntroductionMs = now;
		}

		this.#mesh.sendHeartbeats(
			{
				type: 'heartbeat',
				heartbeat: this.#heartbeat(withMembers, intervalMs),
				needsKnowledge:
					this.#leadership.ledZones.size > 0 &&
					this.#store.ownAgeMs(now) > staleKnowledgeMs,
				readsStore: this.#store.ownAgeMs(now) < staleKnowledgeMs,
			},
			isChosen,
			now,
		);
	}

	#received(from: string, message: PoolMessage): void {
		const now = this.#now();
		switch (message.type) {
			case 'heartbeat': {
				this.#heard(message.heartbeat, now);
				this.#heardOfStore(from, message, now);
				break;
			}

			case 'submit': {
				// What a cut has held up comes before the sender is heard again; the sender has given it to another by then.
				if (
					this.#leadership.ledZones.size > 0 &&
					this.#leadership.isPeerLive(from, now)
				) {
					this.#scheduler.submit(message.job, from, message.isResubmitted, now);
				}

				break;
			}

			case 'answer': {
				this.#answered(from, message.id, message.answer);
				break;
			}

			case 'progress': {
				this.#progressed(message.id, message.doneTasks);
				break;
			}

			case 'cancel': {
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
							? stateText(this.#scheduler.getJobState(message.name))
							: this.#scheduler.countPendingJobs(message.name),
				});
				break;
			}

			case 'reply': {
				this.#questions.get(message.question)?.(message.value);
				this.#questions.delete(message.question);
				break;
			}

			case 'knowledge': {
				const {state, workers, ageMs} = message.knowledge;
				if (state !== undefined) {
					this.#takeState(state, from);
				}

				if (ageMs < this.#store.ageMs(now)) {
					this.#store.adopt(workers, ageMs, now);
					this.#takeWorkers(from);
				}

				break;
			}

			case 'hand-over': {
				for (const worker of message.workers) {
					this.#store.directory.addUnlisted(worker, now);
				}

				this.#takeWorkers(from);
				break;
			}
		}
	}

	#heard(heartbeat: Heartbeat, now: number): void {
		const memberCount = this.#members.size;
		const isNews = this.#leadership.hasChanged(heartbeat, now);
		for (const {name, zone, address} of [heartbeat, ...heartbeat.members]) {
			const isFresh =
				name === heartbeat.name ||
				this.#members.get(name)?.isRecorded !== false;
			if (name !== this.#settings.name && isFresh) {
				this.#members.set(name, {
					name,
					zone,
					address,
					keptUntilMs: now + memberKeptMs,
					isRecorded: false,
				});
			}
		}

		this.#leadership.receiveHeartbeat(heartbeat, now);
		if (this.#members.size !== memberCount) {
			// Those who are linked to now are told at once whom else there is.
			this.#lastIntroductionMs = 0;
			this.#link();
		}

		if (isNews) {
			this.#lead();
		}

		const isAsking = this.#settings.zones.some(
			(zone) =>
				heartbeat.hears[zone] === undefined && this.#hears[zone] !== undefined,
		);
		if (isNews && isAsking) {
			// The sender has lost a leader that is heard here; it must know before it takes the leader's place.
			this.#beatAll(now);
		}
	}

	/** Dials entry VMs that the store knows of. */
	#recorded(members: readonly MemberAddress[]): void {
		const now = this.#now();
		for (const member of members) {
			if (!this.#members.has(member.name)) {
				this.#members.set(member.name, {
					...member,
					keptUntilMs: now + recordedKeptMs,
					isRecorded: true,
				});
			}
		}

		this.#log.write({event: 'registry', members: members.length});
		this.#link();
		this.#beatAll(now);
	}

	/** Takes in who can read the store, and tells a leader that cannot what is known here. */
	#heardOfStore(
		from: string,
		{needsKnowledge, readsStore}: PoolMessage & {readonly type: 'heartbeat'},
		now: number,
	): void {
		if (readsStore) {
			this.#readers.add(from);
		} else {
			this.#readers.delete(from);
		}

		if (!needsKnowledge) {
			this.#needy.delete(from);
			return;
		}

		this.#needy.add(from);
		if (
			this.#store.ownAgeMs(now) < staleKnowledgeMs &&
			now - this.#lastTellMs >= tellAgainMs
		) {
			this.#lastTellMs = now;
			this.#tell(from);
		}
	}

	#link(): void {
		const now = this.#now();
		for (const [name, {keptUntilMs}] of this.#members) {
			if (now > keptUntilMs) {
				this.#members.delete(name);
			}
		}

		this.#mesh.updateLinks([
			...this.#settings.peerSeeds,
			...[...this.#members.values()].map(({address}) => address),
		]);
	}

	#tell(name: string): void {
		this.#mesh.send(name, {
			type: 'knowledge',
			knowledge: {
				state: this.#state,
				workers: this.#entries,
				ageMs: this.#store.ageMs(this.#now()),
			},
		});
	}

	#tellAll(): void {
		for (const {name} of this.#leadership.livePeers(this.#now())) {
			this.#tell(name);
		}
	}

	#takeState(state: DesiredState, source: string): void {
		if (this.#state !== undefined && state.version <= this.#state.version) {
			return;
		}

		this.#state = state;
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
			this.#tellAll();
		}
	}

	#takeWorkers(source: string): void {
		const entries = this.#store.directory.entries(this.#now());
		const isChanged = !isSameWorkers(entries, this.#entries);
		this.#rememberCutOff(entries);
		this.#entries = entries;
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
			this.#tellAll();
		}
	}

	/** Remembers workers that lapse while no entry VM of their zone is heard: another leader may keep their runs alive. */
	#rememberCutOff(entries: readonly WorkerEntry[]): void {
		const listed = new Set(entries.map(({id}) => id));
		const heardZones = new Set([
			this.#settings.zone,
			...this.#leadership.livePeers(this.#now()).map(({zone}) => zone),
		]);
		for (const entry of this.#entries) {
			if (!listed.has(entry.id) && !heardZones.has(entry.zone)) {
				this.#cutOffWorkers.set(entry.id, entry);
			}
		}
	}

	/** Takes the workers of a zone that were forgotten during a cut for alive until they must have registered again. */
	#recallCutOff(zone: string, now: number): void {
		for (const [id, entry] of this.#cutOffWorkers) {
			if (entry.zone === zone) {
				this.#store.directory.addUnlisted(entry, now);
				this.#cutOffWorkers.delete(id);
			}
		}

		this.#entries = this.#store.directory.entries(now);
	}

	#progressed(id: string, doneTasks: readonly string[]): void {
		const pending = this.#pending.get(id);
		if (pending !== undefined) {
			pending.doneTasks = [...new Set([...pending.doneTasks, ...doneTasks])];
		}
	}

	#sendToLeader(pending: PendingJob): void {
		const now = this.#now();
		const leader = this.#leader;
		if (leader === undefined || !this.#canReach(leader)) {
			pending.unsentSinceMs ??= now;
			return;
		}

		const isResubmitted = this.#pending.send(pending, leader);
		const {doneTasks} = pending;
		const job = {
			...pending.job,
			waitedMs: now - pending.receivedAtMs,
			...(doneTasks.length > 0 ? {doneTasks} : {}),
		};
		if (leader === this.#settings.name) {
			this.#scheduler.submit(job, leader, isResubmitted, now);
		} else {
			this.#mesh.send(leader, {type: 'submit', job, isResubmitted});
		}
	}

	#resubmitAll(): void {
		const now = this.#now();
		for (const pending of this.#pending.all) {
			pending.unsentSinceMs ??= now;
			this.#sendToLeader(pending);
		}
	}

	#giveUpUnsent(now: number): void {
		for (const pending of this.#pending.all) {
			const {job, sentTo, unsentSinceMs, receivedAtMs} = pending;
			const patienceMs = Math.min(
				sentTo === undefined ? unsentPatienceMs : resentPatienceMs,
				this.#slackMs(job),
			);
			if (unsentSinceMs !== undefined && now - unsentSinceMs > patienceMs) {
				this.#pending.answer(
					job.id,
					sentTo === undefined
						? {kind: 'not-run', reason: 'not-ready', retryAfterMs: retryMs}
						: {kind: 'may-have-run', reason: 'leader-lost'},
				);
			} else if (now - receivedAtMs > job.patienceMs + retryMs) {
				this.#pending.answer(job.id, {
					kind: 'may-have-run',
					reason: 'deadline-exceeded',
				});
			}
		}
	}

	/** Time in milliseconds for which a job may wait for a leader and still be answered, by its caller's own estimates. */
	#slackMs({queue: name, tasks, patienceMs}: PoolJob): number {
		const queue = this.#state?.queues.find((other) => other.name === name);
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

	#deliver(receiver: string, id: string, answer: PoolAnswer): void {
		if (receiver === this.#settings.name) {
			this.#answered(receiver, id, answer);
		} else {
			this.#mesh.send(receiver, {type: 'answer', id, answer});
		}
	}

	/** A leader has answered a job. */
	#answered(leader: string, id: string, answer: PoolAnswer): void {
		const sentTo = this.#pending.get(id)?.sentTo;
		const acceptable = this.#pending.acceptable(id, leader, answer);
		if (acceptable === undefined) {
			return;
		}

		this.#pending.answer(id, acceptable);
		if (sentTo !== undefined && sentTo !== leader) {
			this.#withdraw(sentTo, id);
		}
	}

	/** Tells a leader that nobody waits for a job any more. */
	#withdraw(leader: string, id: string): void {
		if (leader === this.#settings.name) {
			this.#scheduler.cancel(id, 'caller-left', this.#now());
		} else {
			this.#mesh.send(leader, {type: 'cancel', id, reason: 'caller-left'});
		}
	}

	async #ask(message: (question: number) => PoolMessage): Promise<unknown> {
		const question = this.#nextQuestion;
		this.#nextQuestion += 1;
		return new Promise((resolve) => {
			this.#questions.set(question, resolve);
			setTimeout(() => {
				this.#questions.delete(question);
				resolve(undefined);
			}, questionMs);
			this.#mesh.send(this.#leader ?? '', message(question));
		});
	}
}

function stateText(
	state: 'queued' | 'running' | PoolAnswer | undefined,
): string | undefined {
	return typeof state === 'object' ? state.kind : state;
}

function isSameWorkers(
	left: readonly WorkerEntry[],
	right: readonly WorkerEntry[],
): boolean {
	const known = new Map(right.map((entry) => [entry.id, entry]));
	return (
		left.length === right.length &&
		left.every(({id, state, bornMs, address}) => {
			const other = known.get(id);
			return (
				other?.state === state &&
				other.bornMs === bornMs &&
				other.address === address
			);
		})
	);
}
