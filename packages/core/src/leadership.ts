import {type ZoneEvacuation} from './zone-evacuations.js';
import {type ReceiverGrant} from './receiver-grants.js';
import {type ServiceWaits} from './zone-wait.js';

/** A heartbeat: the state that an entry VM reports to its peers. */
export type Heartbeat = {
	/** Name of the sender. */
	readonly name: string;
	/** Zone in which the sender runs. */
	readonly zone: string;
	/** `host:port` of the sender's peer interface. */
	readonly address: string;
	/** Identifier of the sender's process, which changes with each restart. */
	readonly incarnation: string;
	/** Milliseconds until the next heartbeat on the same connection. */
	readonly intervalMs: number;
	/** Processor time that the sender may use, as a fraction of one core. */
	readonly processorShare: number;
	/** Whether the sender is shutting down and must not be given zones. */
	readonly isStopping: boolean;
	/**
	 * Whether the sender's scheduling code has run and is JIT-compiled; a cold process is too slow to lead a whole
	 * region.
	 */
	readonly isWarm: boolean;
	/** Zones that the sender leads, with the fencing token of each. */
	readonly leads: Readonly<Record<string, number>>;
	/** Highest fencing token that the sender has used or received. */
	readonly highestToken: number;
	/** Zones whose leader is live for the sender, itself included, with the leader's fencing token. */
	readonly hears: Readonly<Record<string, number>>;
	/** Zones that the sender hands over, with the name of the successor of each. */
	readonly yields: Readonly<Record<string, string>>;
	/**
	 * Scope of leaders that the sender has decided on; absent from the last build, which has one leader for the region
	 * and ignores the zones of jobs.
	 */
	readonly scope?: PoolScope;
	/** Free thousandths of a core of each zone that the sender leads, for jobs that other zones have refused. */
	readonly spareMillis?: Readonly<Record<string, number>>;
	/** Projected waits of new jobs in each zone that the sender leads, by service. */
	readonly waits?: Readonly<Record<string, ServiceWaits>>;
	/** Whether the sender is a candidate of its zone; absent from the last build, whose entry VMs all are. */
	readonly isCandidate?: boolean;
	/** Leaders that are live for the sender, itself included, for peers that are not connected to them; sent by candidates. */
	readonly leaders?: readonly ReportedLeader[];
	/** Zones that the operator has asked to evacuate, and those where the request was withdrawn; absent if there was none. */
	readonly evacuations?: readonly ZoneEvacuation[];
	/** Time of the sender's clock, in milliseconds, at which the heartbeat was sent; absent from the last build. */
	readonly sentAtMs?: number;
	/** Grants of the sender to the leaders that may have its jobs, by name; absent if there are none, and from the last build. */
	readonly grants?: Readonly<Record<string, ReceiverGrant>>;
	/** Entry VMs that appear in heartbeats, without those that only the store lists; empty in most heartbeats. */
	readonly members: readonly MemberAddress[];
};

/** The leader of a zone as another entry VM reports it. */
export type ReportedLeader = {
	/** Zone that the leader leads. */
	readonly zone: string;
	/** Name of the leader. */
	readonly name: string;
	/** `host:port` of the leader's peer interface. */
	readonly address: string;
	/** Fencing token of the leader. */
	readonly token: number;
	/** Free thousandths of a core of the zone, for jobs that other zones have refused; absent if the leader reports none. */
	readonly spareMillis?: number;
	/** Projected waits of new jobs in the zone, by service; absent if the leader reports none. */
	readonly waits?: ServiceWaits;
};

/** The address of an entry VM. */
export type MemberAddress = {
	/** Name of the entry VM. */
	readonly name: string;
	/** Zone in which the entry VM runs. */
	readonly zone: string;
	/** `host:port` of the entry VM's peer interface. */
	readonly address: string;
	/** Processor time that the entry VM may use, as a fraction of one core; absent from the last build. */
	readonly processorShare?: number;
	/** Milliseconds since the entry VM's newest heartbeat to any other; absent from the last build. */
	readonly ageMs?: number;
};

/** Workers that one leader places tasks on: those of the whole region or of a single zone. */
export type PoolScope = 'region' | 'zone';

/** Settings of leader election. */
export type LeadershipSettings = {
	/**
	 * Heartbeat intervals without a heartbeat after which a peer is no longer live; with fewer, a busy peer would count
	 * as dead.
	 */
	readonly maxMissedHeartbeats: number;
	/** Time that peers have to report that a leader which this entry VM has lost is still live for them. */
	readonly leaderCheckMs: number;
	/**
	 * Delay between the claims of successive candidates, so that the better one claims first; also the longest time
	 * before the loss of the leader in which a candidate's last heartbeat may have arrived.
	 */
	readonly candidateStaggerMs: number;
	/** Time after the start in which a process claims nothing and waits for heartbeats of existing leaders. */
	readonly startGraceMs: number;
	/**
	 * Start grace of a process that has received no heartbeat yet, or none of its zone while it connects to the zone's
	 * candidates; other processes are probably starting too, or this one is slow to connect to the leader.
	 */
	readonly noPeersGraceMs: number;
	/**
	 * Additional delay for a process that has lost all of its peers; it is more likely partitioned than the last one
	 * alive.
	 */
	readonly isolatedGraceMs: number;
	/**
	 * Time for which the named successor of a zone that is handed over is waited for, if it is live, and for which the entry VMs
	 * of a zone are waited for before another zone's one claims it.
	 */
	readonly handOverMs: number;
	/** Time as a leader after which a process is warm. While no process is warm, each zone has its own leader. */
	readonly warmUpMs: number;
	/** Time for which another leader must have been live before this one hands its zones over to it. */
	readonly mergeDelayMs: number;
	/**
	 * Longest time in which this process read no messages that is not counted as silence of a peer. The loss of a leader is
	 * noticed that much later by a process that is late.
	 */
	readonly maxExcludedMs: number;
	/**
	 * Time after a refused token was raised in which another refusal shows a contest with a leader that is not heard yet. The
	 * zone is dropped then, and not claimed again for `contestPauseMs`.
	 */
	readonly contestWindowMs: number;
	/** Time for which a contested zone is left to the other leader, whose heartbeats should arrive by then. */
	readonly contestPauseMs: number;
};

/** Default settings, for heartbeats every 100 ms. */
export const defaultLeadershipSettings: LeadershipSettings = {
	maxMissedHeartbeats: 4,
	leaderCheckMs: 50,
	candidateStaggerMs: 120,
	startGraceMs: 200,
	noPeersGraceMs: 600,
	isolatedGraceMs: 1500,
	handOverMs: 400,
	warmUpMs: 3000,
	mergeDelayMs: 1500,
	maxExcludedMs: 1000,
	contestWindowMs: 1000,
	contestPauseMs: 400,
};

/**
 * A change of leadership that the caller of `Leadership` applies. A zone is dropped for one of these reasons:
 *
 * - `outranked`: another leader has a higher fencing token, or a worker refused the token while no entry VM of the
 *   zone is live.
 * - `yielded`: the zone is handed over to a leader that suits it better.
 * - `stopping`: the zone is handed over because this entry VM shuts down.
 * - `isolated`: a worker refused the token while this entry VM had lost all of its peers.
 * - `unreachable`: neither an entry VM nor a worker of the zone is reachable.
 * - `contested`: workers refused the raised token too, so that another leader raises its own one; without a pause the two
 *   would supersede each other until they hear each other, and neither could start anything.
 */
export type LeadershipChange =
	| {readonly kind: 'claimed'; readonly zone: string; readonly token: number}
	| {
			readonly kind: 'dropped';
			readonly zone: string;
			readonly reason:
				| 'outranked'
				| 'yielded'
				| 'stopping'
				| 'isolated'
				| 'unreachable'
				| 'contested';
	  };

/** The entry VM that leads a zone, and its fencing token. */
export type ZoneLeader = {readonly name: string; readonly token: number};

/** An entry VM that may be ranked for a claim. */
type Candidate = Pick<Heartbeat, 'name' | 'zone' | 'processorShare' | 'isWarm'>;

type Peer = {
	readonly heartbeat: Heartbeat;
	/** Time at which the newest heartbeat arrived. */
	readonly lastHeartbeatAtMs: number;
	/** Time since which the peer has been live without interruption or restart. */
	readonly liveSinceMs: number;
	/** Whether the connection has broken since the newest heartbeat. */
	readonly isDisconnected: boolean;
	/** Time since the newest heartbeat in which this process read no messages, so that later ones may be unread. */
	readonly excludedMs: number;
};

/** When a heartbeat was sent, by the sender's clock, and when it arrived here, in milliseconds. */
export type HeartbeatTimes = {
	readonly sentAtMs: number;
	readonly receivedAtMs: number;
};

/** How long nothing was heard of a peer, in milliseconds, and what its liveness is judged by. */
export type PeerSilence = {
	readonly silentMs: number;
	/** Interval that the peer has announced. */
	readonly intervalMs: number;
	/** Part of the silence in which this process read no messages. */
	readonly excludedMs: number;
	/** Whether the connection has broken since the newest heartbeat. */
	readonly isDisconnected: boolean;
};

/** Longest time since a heartbeat for which it counts as recent, also from a peer that announces a longer interval. */
const maxRecentMs = 1600;
/** Length of the time steps that fencing tokens count, so that later claims get higher tokens without coordination. */
const tokenStepMs = 10;
/** Number of tokens in each time step; each entry VM uses its own one, so that two do not claim with the same token. */
const tokensPerStep = 40_000;
/** Time by which a token is advanced after a refusal; the clocks of entry VMs may differ by seconds. */
const refusedTokenStepMs = 10_000;

/**
 * The leader election of one entry VM: decides which zones it leads, from heartbeats and time alone.
 *
 * Entry VMs run no consensus protocol, so two may lead a zone at once. That is safe: a leader sends commands under a
 * fencing token, workers refuse a token lower than the highest that they have received, and a leader that receives a
 * higher token from a peer drops the zone. The rules of this class only make such overlaps rare.
 *
 * All zones of one leader have the same token, so of two leaders one has the higher token on every worker that both
 * lead. With a token for each zone, each could be the higher one in some zone, and both could start the same job.
 */
export class Leadership {
	readonly #self: Pick<Heartbeat, 'name' | 'zone' | 'processorShare'>;
	readonly #zones: readonly string[];
	readonly #settings: LeadershipSettings;
	readonly #peers = new Map<string, Peer>();
	readonly #ledZones = new Map<string, number>();
	/** Successors of the zones that this entry VM has handed over, until a heartbeat shows their new leader. */
	readonly #successors = new Map<string, string>();
	readonly #leaderlessSinceMs = new Map<string, number>();
	#scope: PoolScope = 'zone';
	/** Whether this entry VM may claim a zone that no leader hands over to it. */
	#isCandidate = true;
	/** Entry VMs of the own zone that may claim it too, and from which no heartbeat has arrived yet. */
	#unheardCandidates: ReadonlyArray<
		Pick<Heartbeat, 'name' | 'zone' | 'processorShare'>
	> = [];

	#startedAtMs: number | undefined;
	#highestToken = 0;
	#isStopping = false;
	#isWarm = false;
	/** Time since which this entry VM has led at least one zone. */
	#leadingSinceMs: number | undefined;
	/**
	 * Whether a refusal has shown that this entry VM is partitioned from the leaders; it claims nothing until a peer is
	 * live.
	 */
	#isClaimingBlocked = false;
	/** Token and time of the newest claim. */
	#newestClaim: {readonly token: number; readonly atMs: number} | undefined;
	/** Time at which a refusal last caused a claim. */
	#raisedAtMs = Number.NEGATIVE_INFINITY;
	/** Time by which that claim was ahead of the tokens that were known. */
	#raisedByMs = refusedTokenStepMs;
	/** Time until which zones that were contested are not claimed. */
	#claimPauseEndsAtMs = Number.NEGATIVE_INFINITY;
	/** Last time at which at least two peers were live. */
	#lastTwoPeersAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		self: Pick<Heartbeat, 'name' | 'zone' | 'processorShare'>,
		zones: readonly string[],
		settings: LeadershipSettings = defaultLeadershipSettings,
	) {
		this.#self = self;
		this.#zones = zones;
		this.#settings = settings;
	}

	/** Zones that this entry VM leads, with the fencing token of each. */
	get ledZones(): ReadonlyMap<string, number> {
		return this.#ledZones;
	}

	/** Highest fencing token that this entry VM has used or received. */
	get highestToken(): number {
		return this.#highestToken;
	}

	/** Zones that this entry VM has handed over, with the name of the successor of each. */
	get successors(): ReadonlyMap<string, string> {
		return this.#successors;
	}

	/** Sets whether one leader leads all zones or each zone has its own leader. */
	setScope(scope: PoolScope): void {
		this.#scope = scope;
	}

	/**
	 * Sets whether this entry VM is a candidate of its zone, and the other candidates of the zone from which nothing has been
	 * heard yet; a better one of them is waited for as if it were live.
	 */
	setCandidacy(
		isCandidate: boolean,
		unheardCandidates: ReadonlyArray<
			Pick<Heartbeat, 'name' | 'zone' | 'processorShare'>
		>,
	): void {
		this.#isCandidate = isCandidate;
		this.#unheardCandidates = unheardCandidates;
	}

	/** Whether a heartbeat changes any state of its sender that an election depends on. */
	hasChanged(heartbeat: Heartbeat, now: number): boolean {
		const peer = this.#peers.get(heartbeat.name);
		return (
			peer === undefined ||
			!this.#isLive(peer, now) ||
			peer.heartbeat.incarnation !== heartbeat.incarnation ||
			peer.heartbeat.isStopping !== heartbeat.isStopping ||
			peer.heartbeat.isWarm !== heartbeat.isWarm ||
			peer.heartbeat.isCandidate !== heartbeat.isCandidate ||
			!isShallowEqual(peer.heartbeat.leads, heartbeat.leads) ||
			!isShallowEqual(peer.heartbeat.hears, heartbeat.hears) ||
			!isShallowEqual(peer.heartbeat.yields, heartbeat.yields)
		);
	}

	/** Records a heartbeat of a peer. */
	receiveHeartbeat(heartbeat: Heartbeat, now: number): void {
		const peer = this.#peers.get(heartbeat.name);
		const isUninterrupted =
			peer !== undefined &&
			this.#isLive(peer, now) &&
			peer.heartbeat.incarnation === heartbeat.incarnation;
		this.#peers.set(heartbeat.name, {
			heartbeat,
			lastHeartbeatAtMs: now,
			liveSinceMs: isUninterrupted ? peer.liveSinceMs : now,
			isDisconnected: false,
			excludedMs: 0,
		});
		this.#highestToken = Math.max(this.#highestToken, heartbeat.highestToken);
	}

	/**
	 * Excludes a time in which this process read no messages, and which ends now, from the silence of the peers that were
	 * live at its start. Call it before the other methods after such a time.
	 */
	excludeStall(stallMs: number, now: number): void {
		for (const [name, peer] of this.#peers) {
			if (this.#isLive(peer, now - stallMs)) {
				const unreadMs = Math.min(stallMs, now - peer.lastHeartbeatAtMs);
				this.#peers.set(name, {
					...peer,
					excludedMs: Math.min(
						peer.excludedMs + unreadMs,
						this.#settings.maxExcludedMs,
					),
				});
			}
		}
	}

	/** Marks a peer as not live until its next heartbeat, after its connection broke. */
	markDisconnected(name: string): void {
		const peer = this.#peers.get(name);
		if (peer !== undefined) {
			this.#peers.set(name, {...peer, isDisconnected: true});
		}
	}

	/** Returns the zone of an entry VM that has sent a heartbeat; `undefined` for any other. */
	findZone(name: string): string | undefined {
		return this.#peers.get(name)?.heartbeat.zone;
	}

	/** Whether a peer's heartbeats arrive at present. */
	isPeerLive(name: string, now: number): boolean {
		const peer = this.#peers.get(name);
		return peer !== undefined && this.#isLive(peer, now);
	}

	/**
	 * Whether a peer's heartbeats have arrived without a gap, with no allowance for a time in which this process read no
	 * messages: what it sent before such a time may be out of date.
	 */
	hasRecentHeartbeat(name: string, now: number): boolean {
		const peer = this.#peers.get(name);
		return (
			peer !== undefined &&
			now - peer.lastHeartbeatAtMs <= maxRecentMs &&
			this.#isLive({...peer, excludedMs: 0}, now)
		);
	}

	/** Returns when the newest heartbeat of a peer was sent, by its clock, and when it arrived; `undefined` if it does not tell. */
	findHeartbeatTimes(name: string): HeartbeatTimes | undefined {
		const peer = this.#peers.get(name);
		const sentAtMs = peer?.heartbeat.sentAtMs;
		return peer === undefined || sentAtMs === undefined
			? undefined
			: {sentAtMs, receivedAtMs: peer.lastHeartbeatAtMs};
	}

	/** Returns how long nothing was heard of a peer, and what its liveness is judged by; `undefined` for one that is unknown. */
	describeSilence(name: string, now: number): PeerSilence | undefined {
		const peer = this.#peers.get(name);
		return (
			peer && {
				silentMs: now - peer.lastHeartbeatAtMs,
				intervalMs: peer.heartbeat.intervalMs,
				excludedMs: peer.excludedMs,
				isDisconnected: peer.isDisconnected,
			}
		);
	}

	/** Returns the newest heartbeats of the live peers. */
	livePeers(now: number): readonly Heartbeat[] {
		return [...this.#peers.values()]
			.filter((peer) => this.#isLive(peer, now))
			.map(({heartbeat}) => heartbeat);
	}

	/** Finds the live leader of a zone; of several, the one with the highest fencing token. */
	findLeader(zone: string, now: number): ZoneLeader | undefined {
		let leader: ZoneLeader | undefined;
		for (const peer of this.#peers.values()) {
			const token = peer.heartbeat.leads[zone];
			if (
				token !== undefined &&
				token > (leader?.token ?? Number.NEGATIVE_INFINITY) &&
				this.#isLive(peer, now)
			) {
				leader = {name: peer.heartbeat.name, token};
			}
		}

		const ownToken = this.#ledZones.get(zone);
		return ownToken !== undefined &&
			ownToken > (leader?.token ?? Number.NEGATIVE_INFINITY)
			? {name: this.#self.name, token: ownToken}
			: leader;
	}

	/**
	 * Finds the live leader of each zone that another entry VM leads; `undefined` for a zone without one, and for a led zone of
	 * which no live entry VM confirms the heartbeats of this one: it may have got another leader behind a partition. `isConfirming`
	 * is not asked for entry VMs of the last build, which confirm none.
	 */
	findOtherLeaders(
		isConfirming: (name: string) => boolean,
		now: number,
	): ReadonlyArray<ZoneLeader | undefined> {
		const isOwn = (zone: string) =>
			this.#ledZones.has(zone) &&
			(zone === this.#self.zone ||
				this.livePeers(now).some(
					(peer) =>
						peer.zone === zone &&
						(peer.sentAtMs === undefined || isConfirming(peer.name)),
				));
		return this.#zones
			.filter((zone) => !isOwn(zone))
			.map((zone) =>
				this.#ledZones.has(zone) ? undefined : this.findLeader(zone, now),
			);
	}

	/** Finds the leader of a zone that is live for a peer, if none is live here; of several, the one with the highest token. */
	findReportedLeader(zone: string, now: number): ReportedLeader | undefined {
		return this.livePeers(now)
			.flatMap(({leaders = []}) => leaders)
			.filter(
				(leader) => leader.zone === zone && leader.name !== this.#self.name,
			)
			.toSorted((left, right) => right.token - left.token)[0];
	}

	/** Whether this process is warm, and so fast enough to lead a whole region. */
	get isWarm(): boolean {
		return this.#isWarm;
	}

	/** Marks this process as warm, once its scheduling code has run. */
	setWarm(): void {
		this.#isWarm = true;
	}

	/**
	 * Whether this process should run its warm-up: a weaker machine leads its zone, which it can take over once it is warm,
	 * and no other machine of the zone suits better.
	 */
	isWarmUpDue(now: number): boolean {
		const {zone, processorShare} = this.#self;
		if (this.#scope === 'region' || this.#isWarm || this.#isStopping) {
			return false;
		}

		const zonePeers = this.livePeers(now).filter((peer) => peer.zone === zone);
		const leader = this.findLeader(zone, now);
		return (
			zonePeers.some(
				(peer) =>
					peer.name === leader?.name && peer.processorShare < processorShare,
			) &&
			zonePeers.every(
				(peer) =>
					peer.isStopping ||
					compareCandidates(
						{...this.#self, isWarm: true},
						{...peer, isWarm: true},
					) < 0,
			)
		);
	}

	/**
	 * Whether this entry VM has had at least two live peers and now has none that has sent a recent heartbeat. A process
	 * that continues after a freeze is isolated until it receives one, as others may lead its zones by then.
	 */
	isIsolated(now: number): boolean {
		return (
			this.#lastTwoPeersAtMs !== Number.NEGATIVE_INFINITY &&
			[...this.#peers.keys()].every(
				(name) => !this.hasRecentHeartbeat(name, now),
			)
		);
	}

	/**
	 * Handles the refusal of a fencing token by a worker of a zone: drops the zone, or claims all zones that this entry VM
	 * leads again with a higher token. `isAcceptedElsewhere` is whether another worker of the zone has obeyed the token: then
	 * the refusing one has got a higher one since, and not from a leader of long ago.
	 */
	handleTokenRefusal(
		zone: string,
		token: number,
		isAcceptedElsewhere: boolean,
		now: number,
	): readonly LeadershipChange[] {
		if (token !== this.#ledZones.get(zone)) {
			return [];
		}

		if (this.isIsolated(now)) {
			this.#isClaimingBlocked = true;
			return this.#drop(zone, 'isolated');
		}

		if (this.#isOutranked(zone, now) || !this.#hasLiveEntryVm(zone, now)) {
			return this.#drop(zone, 'outranked');
		}

		const {contestWindowMs, contestPauseMs} = this.#settings;
		const isRaisedLately = now - this.#raisedAtMs < contestWindowMs;
		if (isRaisedLately && isAcceptedElsewhere) {
			this.#claimPauseEndsAtMs = now + contestPauseMs;
			return [...this.#ledZones.keys()].flatMap((ledZone) =>
				this.#drop(ledZone, 'contested'),
			);
		}

		// Tokens of a leader of long ago may be far ahead, so each refusal in a row raises the token by more.
		this.#raisedByMs = isRaisedLately
			? 2 * this.#raisedByMs
			: refusedTokenStepMs;
		this.#raisedAtMs = now;
		this.#highestToken += (this.#raisedByMs / tokenStepMs) * tokensPerStep;
		return this.#claim(zone, now);
	}

	/**
	 * Hands each zone over to the best live candidate, and stops claiming zones; a zone without a candidate is kept until
	 * there is one.
	 */
	stop(now: number): readonly LeadershipChange[] {
		this.#isStopping = true;
		return [...this.#ledZones.keys()].flatMap((zone) =>
			this.#handOver(zone, now),
		);
	}

	/**
	 * Drops a zone that has no live entry VM; a zone whose workers still report is
	 * kept.
	 */
	releaseIfUnreachable(
		zone: string,
		hasReportingWorkers: boolean,
		now: number,
	): readonly LeadershipChange[] {
		return this.#ledZones.has(zone) &&
			!hasReportingWorkers &&
			!this.#hasLiveEntryVm(zone, now)
			? this.#drop(zone, 'unreachable')
			: [];
	}

	/** Evaluates the election at the present time, and returns the resulting changes. */
	tick(now: number): readonly LeadershipChange[] {
		this.#startedAtMs ??= now;
		const peerCount = this.livePeers(now).length;
		this.#isClaimingBlocked &&= peerCount === 0;
		this.#leadingSinceMs =
			this.#ledZones.size === 0 ? undefined : (this.#leadingSinceMs ?? now);
		this.#isWarm ||=
			this.#leadingSinceMs !== undefined &&
			now - this.#leadingSinceMs >= this.#settings.warmUpMs;
		if (peerCount > 1) {
			this.#lastTwoPeersAtMs = now;
		}

		return this.#zones.flatMap((zone) => this.#tickZone(zone, now));
	}

	#tickZone(zone: string, now: number): readonly LeadershipChange[] {
		const leader = this.findLeader(zone, now);
		if (leader === undefined) {
			return this.#tickLeaderless(zone, now);
		}

		this.#leaderlessSinceMs.delete(zone);
		if (leader.name !== this.#self.name) {
			this.#successors.delete(zone);
		}

		if (this.#ledZones.has(zone) && this.#isOutranked(zone, now)) {
			return this.#drop(zone, 'outranked');
		}

		if (leader.name !== this.#self.name) {
			return [];
		}

		if (this.#isStopping) {
			return this.#handOver(zone, now);
		}

		const successor = this.#findSuccessor(zone, now);
		if (successor === undefined) {
			return [];
		}

		this.#successors.set(zone, successor);
		return this.#drop(zone, 'yielded');
	}

	/** Hands a zone over to the best live candidate, if there is one, because this process shuts down. */
	#handOver(zone: string, now: number): readonly LeadershipChange[] {
		const successor = this.#rankCandidates(zone, now).find(
			({name}) => name !== this.#self.name,
		);
		if (successor === undefined) {
			return [];
		}

		this.#successors.set(zone, successor.name);
		return this.#drop(zone, 'stopping');
	}

	#tickLeaderless(zone: string, now: number): readonly LeadershipChange[] {
		const leaderlessSinceMs = this.#leaderlessSinceMs.get(zone) ?? now;
		this.#leaderlessSinceMs.set(zone, leaderlessSinceMs);
		if (
			this.#isStopping ||
			this.#isClaimingBlocked ||
			now < this.#claimPauseEndsAtMs
		) {
			return [];
		}

		if (
			this.livePeers(now).some(({yields}) => yields[zone] === this.#self.name)
		) {
			return this.#claim(zone, now);
		}

		if (!this.#isCandidate) {
			return [];
		}

		// Only heartbeats at the fast interval show the loss of a leader soon: other peers hear one for longer.
		const isLeaderLiveElsewhere = [...this.#peers.values()].some(
			(peer) =>
				this.#isLive(peer, now) &&
				(this.#scope === 'region' ||
					peer.heartbeat.scope === 'region' ||
					peer.heartbeat.zone === zone ||
					Object.keys(peer.heartbeat.leads).length > 0) &&
				peer.lastHeartbeatAtMs > leaderlessSinceMs &&
				peer.heartbeat.hears[zone] !== undefined,
		);
		if (isLeaderLiveElsewhere) {
			return [];
		}

		// The entry VMs of a zone send heartbeats to other zones rarely, so a live one that has sent none lately may claim it.
		// A leader of the region leaves it to them too if they have leaders of zones, whose jobs it does not know.
		if (
			this.#self.zone !== zone &&
			this.livePeers(now).some(
				(peer) =>
					peer.zone === zone &&
					!peer.isStopping &&
					(this.#scope === 'zone' ||
						(peer.scope === 'zone' && peer.isCandidate !== false)),
			)
		) {
			return [];
		}

		const position = this.#rankCandidates(
			zone,
			now,
			leaderlessSinceMs - this.#settings.candidateStaggerMs,
		).findIndex(({name}) => name === this.#self.name);
		return position !== -1 &&
			this.#hasLiveEntryVm(
				zone,
				now,
				leaderlessSinceMs - this.#settings.candidateStaggerMs,
			) &&
			now >= this.#earliestClaimMs(zone, leaderlessSinceMs, position, now)
			? this.#claim(zone, now)
			: [];
	}

	#earliestClaimMs(
		zone: string,
		leaderlessSinceMs: number,
		position: number,
		now: number,
	): number {
		const {
			leaderCheckMs,
			candidateStaggerMs,
			startGraceMs,
			noPeersGraceMs,
			isolatedGraceMs,
			handOverMs,
		} = this.#settings;
		const hasLiveSuccessor = this.livePeers(now).some(({yields}) => {
			const successor = yields[zone];
			return successor !== undefined && this.isPeerLive(successor, now);
		});
		// While the zone's own entry VMs are being connected to, heartbeats of other zones do not show whether it has a leader.
		const mayHaveUnheardLeader =
			this.#peers.size === 0 ||
			(zone === this.#self.zone &&
				this.#unheardCandidates.length > 0 &&
				![...this.#peers.values()].some(
					({heartbeat}) => heartbeat.zone === zone,
				));
		// Candidates that have started together are staggered too, or each would claim when its start grace ends.
		return (
			Math.max(
				this.#earliestForeignClaimMs(zone, leaderlessSinceMs, now),
				(this.#startedAtMs ?? now) +
					(mayHaveUnheardLeader ? noPeersGraceMs : startGraceMs),
				leaderlessSinceMs +
					leaderCheckMs +
					(hasLiveSuccessor ? handOverMs : 0) +
					(this.isIsolated(now) ? isolatedGraceMs : 0),
			) +
			position * candidateStaggerMs
		);
	}

	/**
	 * Returns the time until which a zone is left to its own entry VMs under leaders of zones. One that has just connected to the
	 * zone may have heard only the entry VM that stops, and not the one that claims.
	 */
	#earliestForeignClaimMs(
		zone: string,
		leaderlessSinceMs: number,
		now: number,
	): number {
		if (this.#scope === 'region' || zone === this.#self.zone) {
			return Number.NEGATIVE_INFINITY;
		}

		const heardSinceMs = [...this.#peers.values()]
			.filter((peer) => peer.heartbeat.zone === zone && this.#isLive(peer, now))
			.map(({liveSinceMs}) => liveSinceMs);
		return (
			Math.max(leaderlessSinceMs, Math.min(...heardSinceMs)) +
			this.#settings.handOverMs
		);
	}

	/**
	 * Whether a live peer leads a zone, or reports a leader of it, with a higher fencing token than this entry VM's.
	 */
	#isOutranked(zone: string, now: number): boolean {
		const ownToken = this.#ledZones.get(zone) ?? 0;
		return this.livePeers(now).some(
			({leads, hears}) =>
				(leads[zone] ?? 0) > ownToken || (hears[zone] ?? 0) > ownToken,
		);
	}

	/**
	 * Whether a zone has an entry VM that is live and has sent a heartbeat since a time; otherwise the zone is probably
	 * partitioned.
	 */
	#hasLiveEntryVm(
		zone: string,
		now: number,
		heartbeatSinceMs = Number.NEGATIVE_INFINITY,
	): boolean {
		return (
			this.#self.zone === zone ||
			[...this.#peers.values()].some(
				(peer) =>
					peer.heartbeat.zone === zone &&
					peer.lastHeartbeatAtMs >= heartbeatSinceMs &&
					this.#isLive(peer, now),
			)
		);
	}

	/** Returns the entry VMs that may lead a zone and have sent a heartbeat since a time, the best first. */
	#rankCandidates(
		zone: string,
		now: number,
		heartbeatSinceMs = Number.NEGATIVE_INFINITY,
	): readonly Candidate[] {
		const unheard = this.#unheardCandidates
			.filter(({name}) => !this.isPeerLive(name, now))
			.map((candidate) => ({...candidate, isWarm: this.#isWarm}));
		const allCandidates: readonly Candidate[] = [
			...(this.#isStopping
				? []
				: [{...this.#self, isWarm: this.#isWarm}, ...unheard]),
			...[...this.#peers.values()]
				.filter(
					(peer) =>
						this.#isLive(peer, now) &&
						peer.lastHeartbeatAtMs >= heartbeatSinceMs &&
						peer.heartbeat.isCandidate !== false &&
						!peer.heartbeat.isStopping,
				)
				.map(({heartbeat}) => heartbeat),
		];
		const inZone = allCandidates.filter((candidate) => candidate.zone === zone);
		const isRegional =
			this.#scope === 'region' && allCandidates.some(({isWarm}) => isWarm);
		if (this.#scope === 'zone' && inZone.length > 0) {
			return inZone.toSorted((left, right) => compareCandidates(left, right));
		}

		// One leader should lead the whole region, while leaders of zones should share the zones without entry VMs.
		const direction = this.#scope === 'region' ? 1 : -1;
		return (
			isRegional || inZone.length === 0 ? allCandidates : inZone
		).toSorted(
			(left, right) =>
				Number(right.isWarm) - Number(left.isWarm) ||
				direction *
					(Object.keys(this.#tokensLedBy(right.name)).length -
						Object.keys(this.#tokensLedBy(left.name)).length) ||
				compareCandidates(left, right),
		);
	}

	#tokensLedBy(name: string): Readonly<Record<string, number>> {
		return name === this.#self.name
			? Object.fromEntries(this.#ledZones)
			: (this.#peers.get(name)?.heartbeat.leads ?? {});
	}

	/**
	 * Finds the entry VM to which a zone that this one leads should be handed over, if any. One with the other scope, as all
	 * of the last build, would hand it back.
	 */
	#findSuccessor(zone: string, now: number): string | undefined {
		const eligiblePeers = [...this.#peers.values()].filter(
			(peer) =>
				this.#isLive(peer, now) &&
				!peer.heartbeat.isStopping &&
				peer.heartbeat.isCandidate !== false &&
				now - peer.liveSinceMs >= this.#settings.mergeDelayMs &&
				(peer.heartbeat.scope ?? 'region') === this.#scope,
		);
		if (this.#scope === 'zone') {
			const [best] = eligiblePeers
				.map(({heartbeat}) => heartbeat)
				.filter((heartbeat) => heartbeat.zone === zone)
				.toSorted((left, right) => compareCandidates(left, right));
			// A zone returns to its own entry VMs. Within the zone it moves only to a stronger machine that is warm: both
			// are lasting properties, so that it never moves back.
			const isBetter =
				this.#self.zone !== zone ||
				(best?.isWarm === true &&
					best.processorShare > this.#self.processorShare);
			return isBetter ? best?.name : undefined;
		}

		const ownCount = this.#ledZones.size;
		return eligiblePeers
			.map(({heartbeat}) => heartbeat)
			.filter(({isWarm}) => isWarm)
			.find(({name, leads, processorShare}) => {
				const count = Object.keys(leads).length;
				return (
					count > ownCount ||
					(count === ownCount &&
						(processorShare > this.#self.processorShare ||
							(processorShare === this.#self.processorShare &&
								name < this.#self.name)))
				);
			})?.name;
	}

	/** Claims a zone, and claims the zones that this entry VM leads already again, all with the same new token. */
	#claim(zone: string, now: number): readonly LeadershipChange[] {
		this.#successors.delete(zone);
		this.#leaderlessSinceMs.delete(zone);
		const newest = this.#newestClaim;
		if (newest?.atMs === now && newest.token === this.#highestToken) {
			this.#ledZones.set(zone, newest.token);
			return [{kind: 'claimed', zone, token: newest.token}];
		}

		const step = Math.max(
			Math.floor(now / tokenStepMs),
			Math.floor(this.#highestToken / tokensPerStep) + 1,
		);
		const token = step * tokensPerStep + hashName(this.#self.name);
		this.#highestToken = token;
		this.#newestClaim = {token, atMs: now};
		const claimedZones = [...new Set([...this.#ledZones.keys(), zone])];
		for (const claimed of claimedZones) {
			this.#ledZones.set(claimed, token);
		}

		return claimedZones.map((claimed) => ({
			kind: 'claimed',
			zone: claimed,
			token,
		}));
	}

	#drop(
		zone: string,
		reason: Extract<LeadershipChange, {kind: 'dropped'}>['reason'],
	): readonly LeadershipChange[] {
		this.#ledZones.delete(zone);
		return [{kind: 'dropped', zone, reason}];
	}

	#isLive(
		{lastHeartbeatAtMs, isDisconnected, excludedMs, heartbeat}: Peer,
		now: number,
	): boolean {
		return (
			!isDisconnected &&
			now - lastHeartbeatAtMs - excludedMs <=
				this.#settings.maxMissedHeartbeats * heartbeat.intervalMs
		);
	}
}

function isShallowEqual(
	left: Readonly<Record<string, unknown>>,
	right: Readonly<Record<string, unknown>>,
): boolean {
	const keys = Object.keys(left);
	return (
		keys.length === Object.keys(right).length &&
		keys.every((key) => left[key] === right[key])
	);
}

/** Hashes the name of an entry VM to a number below `tokensPerStep`; collisions are rare. */
function hashName(name: string): number {
	return [...name].reduce(
		(hash, letter) =>
			(hash * 31 + (letter.codePointAt(0) ?? 0)) % tokensPerStep,
		0,
	);
}

/** Orders candidates for a zone: the warm first, then the strongest machine, then by name. */
function compareCandidates(left: Candidate, right: Candidate): number {
	return (
		Number(right.isWarm) - Number(left.isWarm) ||
		right.processorShare - left.processorShare ||
		compareStrings(left.name, right.name)
	);
}

function compareStrings(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
