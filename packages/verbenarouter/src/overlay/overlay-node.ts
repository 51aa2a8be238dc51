import {
	HeartbeatCheck,
	HeartbeatSchedule,
	MemberListSchedule,
	Overlay,
	computeHeartbeatIntervals,
	findMessageProblem,
	selectHeartbeatInterval,
	toMember,
	type EventLoopDelay,
	type Heartbeat,
	type HeartbeatIntervals,
	type Leadership,
	type MemberAddress,
	type ReportedLeader,
	type ServiceWaits,
	type ZoneLeader,
	type ZoneRoom,
} from '@verbenarouter/core';
import {
	PoolMesh,
	type KnowledgeVersions,
	type PeerLossCause,
	type PoolMessage,
	type PoolTraffic,
} from '@verbenarouter/peer';
import {type EntrySettings, type StoreClient} from '@verbenarouter/platform';
import {type LogFields} from '../logger.js';
import {MemberRegistry} from './member-registry.js';

/** Interval at which the selection of connections is updated while nothing changes. */
const updateIntervalMs = 100;
/** Time after the start at which the store's registry is read again: entry VMs that start together record themselves one after the other. */
const registryRereadMs = 1500;
/** Longest time for which the first connections wait for the store's registry, without which the candidates are unknown. */
const registryWaitMs = 300;
/** Longest time after which the recipients of heartbeats and their intervals are selected anew while nothing changes. */
const reselectMs = 100;
/** Time for which a connection to the leader of another zone is kept after its last use. */
const leaderUseMs = 5000;

type HeartbeatMessage = PoolMessage & {readonly type: 'heartbeat'};

/** What a leader reports of a zone. */
type ZoneReport = {
	readonly spareMillis?: number | undefined;
	readonly waits?: ServiceWaits | undefined;
};

/** What an entry VM tells others of itself besides its membership and the zones that it leads. */
export type NodeState = Pick<
	Heartbeat,
	'isStopping' | 'scope' | 'spareMillis' | 'waits' | 'evacuations' | 'grants'
> & {
	readonly needsKnowledge: boolean;
	readonly readsStore: boolean;
	readonly versions: KnowledgeVersions;
};

/** Handlers of {@link OverlayNode}. */
export type OverlayListener = {
	/** Returns the present state of this entry VM for its heartbeats. */
	readonly readState: (now: number) => NodeState;
	/** Handles a message from an entry VM; of a heartbeat, after the members and the leadership have been updated. */
	readonly onMessage: (from: string, message: PoolMessage) => void;
	/** Handles the loss of an entry VM's connection to this one. */
	readonly onLost: (name: string) => void;
	/** Handles that messages can be sent to an entry VM. Those sent before may be lost. */
	readonly onOpen: (name: string) => void;
	/** Handles that the live leaders or their candidates may have changed. */
	readonly onElectionChange: () => void;
	readonly writeLog: (fields: LogFields) => void;
};

/** Dependencies of {@link OverlayNode}. */
export type OverlayNodeOptions = {
	readonly settings: EntrySettings;
	/** Identifier of this process, which changes with each restart. */
	readonly incarnation: string;
	readonly leadership: Leadership;
	readonly eventLoopDelay: EventLoopDelay;
	readonly storeClient: StoreClient;
	readonly listener: OverlayListener;
	/** Returns the time of a monotonic clock, in milliseconds. */
	readonly now: () => number;
};

/**
 * The connections of one entry VM to others: whom it connects to, the heartbeats that it exchanges with them, and the
 * leaders that it has heard of.
 */
export class OverlayNode {
	readonly #self: Pick<
		EntrySettings,
		'name' | 'zone' | 'zones' | 'peerAddress' | 'processorShare'
	>;

	readonly #incarnation: string;
	readonly #leadership: Leadership;
	readonly #eventLoopDelay: EventLoopDelay;
	readonly #listener: OverlayListener;
	readonly #now: () => number;
	readonly #overlay: Overlay;
	readonly #mesh: PoolMesh;
	readonly #registry: MemberRegistry;
	readonly #heartbeatSchedule = new HeartbeatSchedule();
	readonly #memberListSchedule = new MemberListSchedule();
	readonly #heartbeatCheck: HeartbeatCheck;
	#seeds: readonly string[];
	#updatedAtMs = Number.NEGATIVE_INFINITY;
	/** Time until which no connections are opened unless the registry is read before. */
	#waitsUntilMs = 0;
	/** Time of the last round of heartbeats to all that a change has caused. */
	#lastRoundMs = 0;
	/** Time before which no heartbeat is due unless something changes. */
	#nextHeartbeatMs = 0;
	/** Whether a change is to be sent to all once the gap between rounds has passed. */
	#isRoundDue = false;
	/** Fencing token of the live leader of each zone that has one, by zone. */
	#liveLeaderTokens: Readonly<Record<string, number>> = {};
	/** Names of the peers whose version accepts longer intervals among followers. */
	readonly #peersWithSlowIntervals = new Set<string>();
	/** Zones whose leader a peer has lost according to heartbeats since the last check. */
	readonly #zonesLostByPeers = new Set<string>();
	/** Addresses of the leaders of other zones that were used lately, with the time of the last use. */
	readonly #usedLeaders = new Map<string, number>();

	constructor({
		settings,
		incarnation,
		leadership,
		eventLoopDelay,
		storeClient,
		listener,
		now,
	}: OverlayNodeOptions) {
		this.#self = settings;
		this.#incarnation = incarnation;
		this.#seeds = settings.peerSeeds;
		this.#leadership = leadership;
		this.#eventLoopDelay = eventLoopDelay;
		this.#listener = listener;
		this.#now = now;
		const self = toMember({...settings, address: settings.peerAddress});
		this.#overlay = new Overlay(self);
		this.#heartbeatCheck = new HeartbeatCheck(settings.zones);
		this.#mesh = new PoolMesh({
			name: settings.name,
			address: settings.peerAddress,
			now,
			random: Math.random,
			findProblem: (message) => this.#findProblem(message),
			onInvalid(from, problem) {
				listener.writeLog({event: 'message-invalid', peer: from, problem});
			},
			onMessage: (from, message) => {
				if (message.type === 'heartbeat') {
					this.#receiveHeartbeat(message, now());
				}

				listener.onMessage(from, message);
			},
			onLost: (name, cause) => {
				this.#handleLost(name, cause);
			},
			onOpen(name) {
				listener.writeLog({event: 'peer-open', peer: name});
				listener.onOpen(name);
			},
		});
		this.#registry = new MemberRegistry(self, storeClient, {
			onMembersRead: (members) => {
				this.#addRegisteredMembers(members);
			},
			onFailure(message) {
				listener.writeLog({event: 'registry-failed', reason: message});
			},
		});
	}

	/** Listens for other entry VMs and looks for them. Rejects if the peer address cannot be bound. */
	async start(): Promise<void> {
		await this.#mesh.listen();
		this.#waitsUntilMs = this.#now() + registryWaitMs;
		void this.#registry.register();
		setTimeout(() => {
			void this.#registry.register();
		}, registryRereadMs);
	}

	/** Whether this entry VM is one of those that may lead its zone. */
	get isCandidate(): boolean {
		return this.#overlay.isCandidate;
	}

	/** Numbers of the known entry VMs and of the connections to them. */
	get sizes(): {readonly members: number; readonly connections: number} {
		return {
			members: this.#overlay.members.all.length,
			connections: this.#overlay.addresses.length,
		};
	}

	/** Counts of the messages to and from other entry VMs. */
	get traffic(): PoolTraffic {
		return this.#mesh.traffic;
	}

	/** Replaces the addresses at which other entry VMs may be found. */
	setSeeds(seeds: readonly string[]): void {
		this.#seeds = seeds;
		this.#update(this.#now());
	}

	/** Replaces the client of the store that holds the registry. */
	setStoreClient(client: StoreClient): void {
		this.#registry.setClient(client);
	}

	/** Closes all connections. */
	close(): void {
		this.#mesh.close();
	}

	/** Whether messages can be sent to an entry VM. */
	isOpen(name: string): boolean {
		return this.#mesh.isOpen(name);
	}

	/** Sends a message to an entry VM; returns false if there is no working connection. */
	send(name: string, message: PoolMessage): boolean {
		return this.#mesh.send(name, message);
	}

	/** Sends a message to several entry VMs. */
	sendToAll(names: readonly string[], message: PoolMessage): void {
		this.#mesh.sendToAll(names, message);
	}

	/** Excludes a time for which this process did not read its sockets from the silence of others. */
	excludeStall(stallMs: number, now: number): void {
		this.#leadership.excludeStall(stallMs, now);
		this.#overlay.excludeStall(stallMs, now);
		this.#mesh.excludeStall(stallMs, now);
	}

	/** Finds the leader of a zone: one that is live here, or one that a candidate reports. */
	findLeader(zone: string, now: number): ZoneLeader | undefined {
		return (
			this.#leadership.findLeader(zone, now) ??
			this.#leadership.findReportedLeader(zone, now)
		);
	}

	/** Keeps a connection to the leader of a zone for some seconds, and opens one if there is none. */
	useLeader(zone: string, now: number): void {
		const leader = this.#findLeaderAddress(zone, now);
		if (leader === undefined) {
			return;
		}

		this.#mesh.setAddress(leader.name, leader.address);
		const isNew = !this.#usedLeaders.has(leader.address);
		this.#usedLeaders.set(leader.address, now);
		if (isNew) {
			this.#update(now);
			this.sendDueHeartbeats(now);
		}
	}

	/**
	 * Returns the room in the other zones, as their leaders report it here or to a candidate. A leader that is live here but
	 * cannot be sent messages is left out.
	 */
	findZoneRooms(now: number): readonly ZoneRoom[] {
		return this.#self.zones.flatMap((zone) => {
			const leader = this.findLeader(zone, now);
			if (zone === this.#self.zone || leader === undefined) {
				return [];
			}

			const {spareMillis, waits} = this.#findZoneReport(zone, leader.name, now);
			const isUsable =
				!this.#leadership.isPeerLive(leader.name, now) ||
				this.isOpen(leader.name);
			return spareMillis === undefined || !isUsable
				? []
				: [
						{
							zone,
							leader: leader.name,
							spareMillis,
							isConnected: this.isOpen(leader.name),
							...(waits === undefined ? {} : {waits}),
						},
					];
		});
	}

	/** Returns the waits in this entry VM's own zone, as its leader reports them to it; `undefined` if it leads the zone itself. */
	findOwnZoneWaits(now: number): ServiceWaits | undefined {
		const {zone} = this.#self;
		const leader = this.#leadership.findLeader(zone, now);
		return leader === undefined
			? undefined
			: this.#findZoneReport(zone, leader.name, now).waits;
	}

	/** Updates the connections if something has changed or the last update was long ago. */
	update(isChanged: boolean, now: number): void {
		if (isChanged || now - this.#updatedAtMs >= updateIntervalMs) {
			this.#update(now);
		}
	}

	/** Reads the live leaders anew; returns whether they have changed. */
	refreshLeaders(now: number): boolean {
		const tokens = Object.fromEntries(
			this.#self.zones.flatMap((zone) => {
				const leader = this.#leadership.findLeader(zone, now);
				return leader === undefined ? [] : [[zone, leader.token]];
			}),
		);
		const isChanged =
			JSON.stringify(tokens) !== JSON.stringify(this.#liveLeaderTokens);
		this.#liveLeaderTokens = tokens;
		return isChanged;
	}

	/** Whether a zone that this entry VM may have to lead, or its own one, has no live leader. */
	get isElecting(): boolean {
		const {zone, zones} = this.#self;
		return (this.isCandidate ? zones : [zone]).some(
			(other) => this.#liveLeaderTokens[other] === undefined,
		);
	}

	/** Whether a leader that a peer has lost since the last call is live here, so that the peer should be told. */
	takeIsLossDisputed(): boolean {
		const isDisputed = [...this.#zonesLostByPeers].some(
			(zone) => this.#liveLeaderTokens[zone] !== undefined,
		);
		this.#zonesLostByPeers.clear();
		return isDisputed;
	}

	/** Sends a heartbeat to all peers, now or once the gap since the last such round has passed. */
	sendHeartbeatToAll(now: number): void {
		this.#isRoundDue = true;
		this.sendDueHeartbeats(now);
	}

	/** Sends heartbeats to the peers for which one is due. */
	sendDueHeartbeats(now: number): void {
		if (!this.#isRoundDue && now < this.#nextHeartbeatMs) {
			return;
		}

		const {addresses} = this.#overlay;
		const intervals = computeHeartbeatIntervals(
			{
				peerCount: addresses.length,
				memberCount: this.#overlay.members.all.length - 1,
			},
			this.#eventLoopDelay.largestMs(now),
		);
		if (this.#isRoundDue && now - this.#lastRoundMs >= intervals.roundGapMs) {
			this.#isRoundDue = false;
			this.#lastRoundMs = now;
			this.#heartbeatSchedule.reset();
		}

		const due = this.#heartbeatSchedule.takeDue(
			this.#selectIntervals(addresses, intervals, now),
			now,
		);
		for (const [intervalMs, recipients] of due) {
			this.#sendHeartbeat(recipients, intervalMs, now);
		}

		this.#nextHeartbeatMs = Math.min(
			now + reselectMs,
			this.#heartbeatSchedule.nextDueMs,
		);
	}

	#update(now: number): void {
		if (now < this.#waitsUntilMs) {
			return;
		}

		this.#updatedAtMs = now;
		for (const [address, usedAtMs] of this.#usedLeaders) {
			if (now - usedAtMs > leaderUseMs) {
				this.#usedLeaders.delete(address);
			}
		}

		const peers = this.#leadership.livePeers(now);
		const reported = this.#leadership.findReportedLeader(this.#self.zone, now);
		if (reported !== undefined) {
			this.#mesh.setAddress(reported.name, reported.address);
		}

		const isChanged = this.#overlay.update(
			{
				connectionState: (address) => this.#mesh.connectionState(address),
				liveAddresses: peers.map(({address}) => address),
				uninformedAddresses: peers
					.map(({address}) => address)
					.filter((address) =>
						this.#memberListSchedule.hasOtherList(
							address,
							this.#overlay.members.version,
						),
					),
				leaderAddresses: [
					...(reported === undefined ? [] : [reported.address]),
					...this.#usedLeaders.keys(),
				],
				meshAddresses: peers
					.filter(({isCandidate}) => isCandidate === undefined)
					.map(({address}) => address),
				seeds: this.#seeds,
				isLeader: this.#leadership.ledZones.size > 0,
			},
			now,
		);
		this.#leadership.setCandidacy(
			this.#overlay.isCandidate,
			this.#overlay.unheardCandidates,
		);
		if (isChanged) {
			this.#mesh.updateLinks(this.#overlay.addresses);
			this.#nextHeartbeatMs = 0;
		}
	}

	#addRegisteredMembers(members: readonly MemberAddress[]): void {
		const now = this.#now();
		this.#overlay.members.addRegistered(members, now);
		this.#listener.writeLog({event: 'registry', members: members.length});
		this.#waitsUntilMs = 0;
		this.#update(now);
		this.sendHeartbeatToAll(now);
	}

	#findProblem(message: unknown): string | undefined {
		if (
			typeof message !== 'object' ||
			message === null ||
			!('type' in message)
		) {
			return 'a message has no type';
		}

		if (message.type !== 'heartbeat') {
			return findMessageProblem(message);
		}

		const field = this.#heartbeatCheck.findProblem(
			'heartbeat' in message ? message.heartbeat : undefined,
			this.#now(),
		);
		return field === undefined ? undefined : `heartbeat: ${field}`;
	}

	/** Records a heartbeat and the entry VMs that it lists, and has changes that affect an election handled. */
	#receiveHeartbeat(
		{heartbeat, knows, acceptsSlowIntervals}: HeartbeatMessage,
		now: number,
	): void {
		const {name, address, members} = heartbeat;
		const hasChanged = this.#leadership.hasChanged(heartbeat, now);
		const hasNewMembers = [
			this.#overlay.members.hear(toMember(heartbeat), now),
			this.#overlay.members.receive(members, now),
		].includes(true);
		this.#leadership.receiveHeartbeat(heartbeat, now);
		this.#memberListSchedule.recordPeer(address, knows?.members);
		if (acceptsSlowIntervals === true) {
			this.#peersWithSlowIntervals.add(name);
		} else {
			this.#peersWithSlowIntervals.delete(name);
		}

		if (hasNewMembers) {
			this.#update(now);
		}

		if (hasChanged) {
			this.#nextHeartbeatMs = 0;
			const zones =
				heartbeat.isCandidate === false ? [heartbeat.zone] : this.#self.zones;
			for (const zone of zones) {
				if (heartbeat.hears[zone] === undefined) {
					this.#zonesLostByPeers.add(zone);
				}
			}

			this.#listener.onElectionChange();
		}
	}

	#handleLost(name: string, cause: PeerLossCause): void {
		this.#leadership.markDisconnected(name);
		this.#listener.writeLog({event: 'peer-lost', peer: name, cause});
		this.#listener.onLost(name);
		this.#listener.onElectionChange();
	}

	/** Returns what the leader of a zone reports of it, to this entry VM or to a candidate. */
	#findZoneReport(zone: string, leader: string, now: number): ZoneReport {
		const peers = this.#leadership.livePeers(now);
		const direct = peers.find(({name}) => name === leader);
		return direct === undefined
			? (this.#leadership.findReportedLeader(zone, now) ?? {})
			: {
					spareMillis: direct.spareMillis?.[zone],
					waits: direct.waits?.[zone],
				};
	}

	/** Returns the address of the leader of a zone, `undefined` if there is none or it is this entry VM. */
	#findLeaderAddress(
		zone: string,
		now: number,
	): Pick<MemberAddress, 'name' | 'address'> | undefined {
		const live = this.#leadership.findLeader(zone, now);
		return live === undefined
			? this.#leadership.findReportedLeader(zone, now)
			: this.#leadership.livePeers(now).find(({name}) => name === live.name);
	}

	/** Returns the leaders that are live here, for peers that are not connected to them. */
	#listLeaders(now: number): readonly ReportedLeader[] {
		const addresses = new Map(
			this.#leadership.livePeers(now).map(({name, address}) => [name, address]),
		);
		return this.#self.zones.flatMap((zone) => {
			const leader = this.#leadership.findLeader(zone, now);
			const address =
				leader?.name === this.#self.name
					? this.#self.peerAddress
					: addresses.get(leader?.name ?? '');
			if (leader === undefined || address === undefined) {
				return [];
			}

			const {spareMillis, waits} = this.#findZoneReport(zone, leader.name, now);
			return [
				{
					zone,
					...leader,
					address,
					...(spareMillis === undefined ? {} : {spareMillis}),
					...(waits === undefined ? {} : {waits}),
				},
			];
		});
	}

	/** Selects the interval of heartbeats to each address. */
	#selectIntervals(
		addresses: readonly string[],
		intervals: HeartbeatIntervals,
		now: number,
	): ReadonlyMap<string, number> {
		const sender = {
			zone: this.#self.zone,
			ledZones: this.#leadership.ledZones,
			isElecting: this.isElecting,
		};
		const peers = new Map(
			this.#leadership.livePeers(now).map((peer) => [peer.address, peer]),
		);
		return new Map(
			addresses.map((address) => {
				const heartbeat = peers.get(address);
				return [
					address,
					selectHeartbeatInterval(
						sender,
						{
							heartbeat,
							zone: heartbeat?.zone ?? this.#overlay.members.findZone(address),
							acceptsSlowIntervals: this.#peersWithSlowIntervals.has(
								heartbeat?.name ?? '',
							),
						},
						intervals,
					),
				];
			}),
		);
	}

	/** Sends a heartbeat to peers, announcing the interval until the next one. */
	#sendHeartbeat(
		recipients: ReadonlySet<string>,
		intervalMs: number,
		now: number,
	): void {
		const {members} = this.#overlay;
		const {needsKnowledge, readsStore, versions, ...state} =
			this.#listener.readState(now);
		const listRecipients = this.#memberListSchedule.takeDue(
			recipients,
			members.version,
			now,
		);
		const followers = new Set(
			this.#leadership
				.livePeers(now)
				.filter(({isCandidate}) => isCandidate === false)
				.map(({address}) => address),
		);
		const variants = [true, false].flatMap((hasMembers) =>
			[true, false].map((hasLeaders) => ({hasMembers, hasLeaders})),
		);
		for (const {hasMembers, hasLeaders} of variants) {
			const addresses = new Set(
				[...recipients].filter(
					(address) =>
						listRecipients.has(address) === hasMembers &&
						followers.has(address) === hasLeaders,
				),
			);
			if (addresses.size > 0) {
				this.#mesh.sendHeartbeats(
					{
						type: 'heartbeat',
						heartbeat: {
							name: this.#self.name,
							zone: this.#self.zone,
							address: this.#self.peerAddress,
							incarnation: this.#incarnation,
							intervalMs,
							sentAtMs: Math.floor(now),
							processorShare: this.#self.processorShare,
							isWarm: this.#leadership.isWarm,
							leads: Object.fromEntries(this.#leadership.ledZones),
							highestToken: this.#leadership.highestToken,
							hears: this.#liveLeaderTokens,
							yields: Object.fromEntries(this.#leadership.successors),
							...state,
							isCandidate: this.isCandidate,
							...(hasLeaders && this.isCandidate
								? {leaders: this.#listLeaders(now)}
								: {}),
							members: hasMembers ? members.toAddresses(now) : [],
						},
						needsKnowledge,
						readsStore,
						acceptsSlowIntervals: true,
						knows: {...versions, members: members.version},
					},
					(address) => addresses.has(address),
					now,
				);
			}
		}
	}
}
