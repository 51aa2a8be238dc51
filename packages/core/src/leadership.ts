/**
 * Which entry VM leads the workers of a zone.
 *
 * Nothing is agreed upon: a leader orders workers under a fencing token, and workers refuse every lower one. A second
 * leader is harmless; whoever hears of a higher token stands down. The rules here only make that rare.
 */

/** What an entry VM says of itself in each heartbeat. */
export type Heartbeat = {
	readonly name: string;
	readonly zone: string;
	/** `host:port` of its peer interface. */
	readonly address: string;
	/** Names one life of the process. */
	readonly incarnation: string;
	/** Milliseconds until the next heartbeat on the same stream. */
	readonly intervalMs: number;
	/** Share of a core that the process may use. */
	readonly processorShare: number;
	readonly isStopping: boolean;
	/** Whether its code for leading has run, and so is compiled; a cold process cannot keep up with a whole region. */
	readonly isWarm: boolean;
	/** Fencing tokens by the zone that it leads. */
	readonly leads: Readonly<Record<string, number>>;
	/** Highest fencing token that it knows of. */
	readonly highestToken: number;
	/** Fencing tokens of the leaders that it hears at present, its own among them, by zone. */
	readonly hears: Readonly<Record<string, number>>;
	/** Zones that it gives up, by the name of the entry VM that is to take them. */
	readonly yields: Readonly<Record<string, string>>;
	/** Names of entry VMs that it hears, with their addresses and zones. */
	readonly members: readonly MemberAddress[];
};

/** Where an entry VM is reached. */
export type MemberAddress = {
	readonly name: string;
	readonly zone: string;
	readonly address: string;
};

/** Over which workers one leader places tasks. */
export type PoolScope = 'region' | 'zone';

/** Settings of leadership. Times are in milliseconds. */
export type LeadershipSettings = {
	/** Heartbeats that may be missing before an entry VM counts as silent; fewer take a busy one for dead. */
	readonly silentIntervals: number;
	/** Time within which the others tell whether they still hear a leader that this entry VM has lost. */
	readonly askMs: number;
	/** Head start of each candidate over the next one. */
	readonly candidateGapMs: number;
	/** Time after the start in which a process only listens for leaders that exist. */
	readonly startGraceMs: number;
	/** The same for a process that has heard nobody yet; others are likely starting too. */
	readonly aloneGraceMs: number;
	/** Extra delay of a process that has lost all of its peers, which is more likely cut off than the last one alive. */
	readonly isolatedGraceMs: number;
	/** Time of leading after which a process counts as warm. While none is, each zone is led on its own. */
	readonly warmMs: number;
	/** Time for which two leaders must hear each other before one yields its zones to the other. */
	readonly mergeAfterMs: number;
};

/** Settings that suit heartbeats every 100 ms. */
export const defaultLeadershipSettings: LeadershipSettings = {
	silentIntervals: 4,
	askMs: 50,
	candidateGapMs: 120,
	startGraceMs: 200,
	aloneGraceMs: 600,
	isolatedGraceMs: 1500,
	warmMs: 3000,
	mergeAfterMs: 1500,
};

/** A change that the owner of this state machine carries out. */
export type LeadershipChange =
	| {readonly kind: 'claimed'; readonly zone: string; readonly token: number}
	| {
			readonly kind: 'dropped';
			readonly zone: string;
			readonly reason:
				'outranked' | 'yielded' | 'stopping' | 'isolated' | 'unreachable';
	  };

/** The entry VM that leads a zone, as far as is known. */
export type ZoneLeader = {readonly name: string; readonly token: number};

type Candidate = Pick<Heartbeat, 'name' | 'zone' | 'processorShare' | 'isWarm'>;

type Peer = {
	readonly heartbeat: Heartbeat;
	readonly heardAtMs: number;
	/** Since when it has been heard without a pause. */
	readonly heardSinceMs: number;
	readonly isBroken: boolean;
};

/** Tokens count steps of time, so that later claims are higher without any agreement. */
const tokenStepMs = 10;
/** Each step has room for one token of each entry VM, so that two never claim with the same one. */
const tokensPerStep = 40_000;
/** Step by which a token is raised after a refusal; clocks may differ by seconds. */
const refusedStepMs = 10_000;

/** Decides which zones one entry VM leads. */
export class Leadership {
	readonly #self: Pick<Heartbeat, 'name' | 'zone' | 'processorShare'>;
	readonly #zones: readonly string[];
	readonly #settings: LeadershipSettings;
	readonly #peers = new Map<string, Peer>();
	readonly #leads = new Map<string, number>();
	/** Zones that this entry VM has yielded, until their new leader is heard. */
	readonly #yields = new Map<string, string>();
	readonly #leaderlessSince = new Map<string, number>();
	#scope: PoolScope = 'zone';
	#startedAtMs: number | undefined;
	#highestToken = 0;
	#isStopping = false;
	#isWarm = false;
	/** Since when this entry VM has led any zone. */
	#leadsSinceMs: number | undefined;
	/** Whether a refusal has shown that this entry VM is cut off from those that lead; it claims nothing until it hears one. */
	#isBarred = false;
	/** When at least two peers were last heard. */
	#lastCompanyMs = Number.NEGATIVE_INFINITY;

	constructor(
		self: Pick<Heartbeat, 'name' | 'zone' | 'processorShare'>,
		zones: readonly string[],
		settings: LeadershipSettings = defaultLeadershipSettings,
	) {
		this.#self = self;
		this.#zones = zones;
		this.#settings = settings;
	}

	/** Fencing tokens by the zone that this entry VM leads. */
	get leads(): ReadonlyMap<string, number> {
		return this.#leads;
	}

	/** Highest fencing token that is known here. */
	get highestToken(): number {
		return this.#highestToken;
	}

	/** Zones that are yielded, by the entry VM that is to take them. */
	get yields(): ReadonlyMap<string, string> {
		return this.#yields;
	}

	/** Sets whether one leader takes all zones or each zone has its own. */
	setScope(scope: PoolScope): void {
		this.#scope = scope;
	}

	/** Whether a heartbeat tells more than that its sender is still there. */
	isNews(heartbeat: Heartbeat, now: number): boolean {
		const known = this.#peers.get(heartbeat.name);
		return (
			known === undefined ||
			!this.#isLive(known, now) ||
			known.heartbeat.incarnation !== heartbeat.incarnation ||
			known.heartbeat.isStopping !== heartbeat.isStopping ||
			known.heartbeat.isWarm !== heartbeat.isWarm ||
			!isSame(known.heartbeat.leads, heartbeat.leads) ||
			!isSame(known.heartbeat.hears, heartbeat.hears) ||
			!isSame(known.heartbeat.yields, heartbeat.yields)
		);
	}

	/** Takes in a heartbeat. */
	heard(heartbeat: Heartbeat, now: number): void {
		const known = this.#peers.get(heartbeat.name);
		const isContinued =
			known !== undefined &&
			this.#isLive(known, now) &&
			known.heartbeat.incarnation === heartbeat.incarnation;
		this.#peers.set(heartbeat.name, {
			heartbeat,
			heardAtMs: now,
			heardSinceMs: isContinued ? known.heardSinceMs : now,
			isBroken: false,
		});
		this.#highestToken = Math.max(this.#highestToken, heartbeat.highestToken);
	}

	/** The connection from a peer broke; until its next heartbeat it counts as gone. */
	lost(name: string): void {
		const known = this.#peers.get(name);
		if (known !== undefined) {
			this.#peers.set(name, {...known, isBroken: true});
		}
	}

	/** Whether a peer is heard at present. */
	isHeard(name: string, now: number): boolean {
		const peer = this.#peers.get(name);
		return peer !== undefined && this.#isLive(peer, now);
	}

	/** Entry VMs that are heard at present, without this one. */
	livePeers(now: number): readonly Heartbeat[] {
		return [...this.#peers.values()]
			.filter((peer) => this.#isLive(peer, now))
			.map(({heartbeat}) => heartbeat);
	}

	/** The live leader of a zone with the highest token. */
	leaderOf(zone: string, now: number): ZoneLeader | undefined {
		const own = this.#leads.get(zone);
		const heard = this.livePeers(now).flatMap(({name, leads}) => {
			const token = leads[zone];
			return token === undefined ? [] : [{name, token}];
		});
		const [highest] = [
			...heard,
			...(own === undefined ? [] : [{name: this.#self.name, token: own}]),
		].toSorted((left, right) => right.token - left.token);
		return highest;
	}

	/** Whether this process can lead a region. */
	get isWarm(): boolean {
		return this.#isWarm;
	}

	/** The code for leading has run in this process. */
	setWarm(): void {
		this.#isWarm = true;
	}

	/** Whether this entry VM once had company and now hears nobody. */
	isIsolated(now: number): boolean {
		return (
			this.#lastCompanyMs !== Number.NEGATIVE_INFINITY &&
			this.livePeers(now).length === 0
		);
	}

	/** A worker of a zone has refused a token since it has seen a higher one. */
	refused(
		zone: string,
		token: number,
		now: number,
	): readonly LeadershipChange[] {
		if (token !== this.#leads.get(zone)) {
			return [];
		}

		if (this.isIsolated(now)) {
			this.#isBarred = true;
			return this.#drop(zone, 'isolated');
		}

		if (this.#isOutranked(zone, now) || !this.#hasMember(zone, now)) {
			return this.#drop(zone, 'outranked');
		}

		this.#highestToken += (refusedStepMs / tokenStepMs) * tokensPerStep;
		return this.#claim(zone, now);
	}

	/** Gives up all zones, each to the best live candidate; none is claimed any more. */
	stop(now: number): readonly LeadershipChange[] {
		this.#isStopping = true;
		return [...this.#leads.keys()].flatMap((zone) => {
			const successor = this.#candidates(zone, now).find(
				({name}) => name !== this.#self.name,
			);
			if (successor === undefined) {
				return [];
			}

			this.#yields.set(zone, successor.name);
			return this.#drop(zone, 'stopping');
		});
	}

	/** Gives up a zone none of whose entry VMs is heard; `hasWorkers` tells whether its workers still answer. */
	release(
		zone: string,
		hasWorkers: boolean,
		now: number,
	): readonly LeadershipChange[] {
		return this.#leads.has(zone) && !hasWorkers && !this.#hasMember(zone, now)
			? this.#drop(zone, 'unreachable')
			: [];
	}

	/** Looks at what has changed with time. */
	tick(now: number): readonly LeadershipChange[] {
		this.#startedAtMs ??= now;
		const peerCount = this.livePeers(now).length;
		this.#isBarred &&= peerCount === 0;
		this.#leadsSinceMs =
			this.#leads.size === 0 ? undefined : (this.#leadsSinceMs ?? now);
		this.#isWarm ||=
			this.#leadsSinceMs !== undefined &&
			now - this.#leadsSinceMs >= this.#settings.warmMs;
		if (peerCount > 1) {
			this.#lastCompanyMs = now;
		}

		return this.#zones.flatMap((zone) => this.#tickZone(zone, now));
	}

	#tickZone(zone: string, now: number): readonly LeadershipChange[] {
		const leader = this.leaderOf(zone, now);
		if (leader === undefined) {
			return this.#tickLeaderless(zone, now);
		}

		this.#leaderlessSince.delete(zone);
		if (leader.name !== this.#self.name) {
			this.#yields.delete(zone);
		}

		if (this.#leads.has(zone) && this.#isOutranked(zone, now)) {
			return this.#drop(zone, 'outranked');
		}

		if (leader.name !== this.#self.name) {
			return [];
		}

		const heir = this.#heirOf(zone, now);
		if (heir === undefined) {
			return [];
		}

		this.#yields.set(zone, heir);
		return this.#drop(zone, 'yielded');
	}

	#tickLeaderless(zone: string, now: number): readonly LeadershipChange[] {
		const since = this.#leaderlessSince.get(zone) ?? now;
		this.#leaderlessSince.set(zone, since);
		if (this.#isStopping || this.#isBarred) {
			return [];
		}

		if (
			this.livePeers(now).some(({yields}) => yields[zone] === this.#self.name)
		) {
			return this.#claim(zone, now);
		}

		const isHeardByOthers = [...this.#peers.values()].some(
			(peer) =>
				this.#isLive(peer, now) &&
				peer.heardAtMs > since &&
				peer.heartbeat.hears[zone] !== undefined,
		);
		if (isHeardByOthers) {
			return [];
		}

		const position = this.#candidates(
			zone,
			now,
			since - this.#settings.candidateGapMs,
		).findIndex(({name}) => name === this.#self.name);
		return position !== -1 &&
			this.#hasMember(zone, now, since - this.#settings.candidateGapMs) &&
			now >= this.#claimAtMs(since, position, now)
			? this.#claim(zone, now)
			: [];
	}

	#claimAtMs(since: number, position: number, now: number): number {
		const {askMs, candidateGapMs, startGraceMs, aloneGraceMs, isolatedGraceMs} =
			this.#settings;
		return Math.max(
			(this.#startedAtMs ?? now) +
				(this.#peers.size === 0 ? aloneGraceMs : startGraceMs),
			since +
				askMs +
				position * candidateGapMs +
				(this.isIsolated(now) ? isolatedGraceMs : 0),
		);
	}

	/** Whether another leader of a zone is heard, or heard of, whose token is higher than the own one. */
	#isOutranked(zone: string, now: number): boolean {
		const own = this.#leads.get(zone) ?? 0;
		return this.livePeers(now).some(
			({leads, hears}) => (leads[zone] ?? 0) > own || (hears[zone] ?? 0) > own,
		);
	}

	/** Whether an entry VM of a zone has been heard since a time. Without one, the zone is more likely cut off than empty. */
	#hasMember(
		zone: string,
		now: number,
		heardSinceMs = Number.NEGATIVE_INFINITY,
	): boolean {
		return (
			this.#self.zone === zone ||
			[...this.#peers.values()].some(
				(peer) =>
					peer.heartbeat.zone === zone &&
					peer.heardAtMs >= heardSinceMs &&
					this.#isLive(peer, now),
			)
		);
	}

	/** Those that may lead a zone and have been heard since a time, the best first. */
	#candidates(
		zone: string,
		now: number,
		heardSinceMs = Number.NEGATIVE_INFINITY,
	): readonly Candidate[] {
		const all: readonly Candidate[] = [
			...(this.#isStopping ? [] : [{...this.#self, isWarm: this.#isWarm}]),
			...[...this.#peers.values()]
				.filter(
					(peer) =>
						this.#isLive(peer, now) &&
						peer.heardAtMs >= heardSinceMs &&
						!peer.heartbeat.isStopping,
				)
				.map(({heartbeat}) => heartbeat),
		];
		const inZone = all.filter((candidate) => candidate.zone === zone);
		const isShared = this.#scope === 'region' && all.some(({isWarm}) => isWarm);
		return (isShared || inZone.length === 0 ? all : inZone).toSorted(
			(left, right) =>
				Number(right.isWarm) - Number(left.isWarm) ||
				Object.keys(this.#leadsOf(right.name)).length -
					Object.keys(this.#leadsOf(left.name)).length ||
				right.processorShare - left.processorShare ||
				compareText(left.name, right.name),
		);
	}

	#leadsOf(name: string): Readonly<Record<string, number>> {
		return name === this.#self.name
			? Object.fromEntries(this.#leads)
			: (this.#peers.get(name)?.heartbeat.leads ?? {});
	}

	/** The leader to which a zone that this entry VM leads should be yielded, if any. */
	#heirOf(zone: string, now: number): string | undefined {
		const others = [...this.#peers.values()].filter(
			(peer) =>
				this.#isLive(peer, now) &&
				!peer.heartbeat.isStopping &&
				now - peer.heardSinceMs >= this.#settings.mergeAfterMs,
		);
		if (this.#scope === 'zone') {
			return this.#self.zone === zone
				? undefined
				: others.find(({heartbeat}) => heartbeat.zone === zone)?.heartbeat.name;
		}

		const ownCount = this.#leads.size;
		return others
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

	#claim(zone: string, now: number): readonly LeadershipChange[] {
		const step = Math.max(
			Math.floor(now / tokenStepMs),
			Math.floor(this.#highestToken / tokensPerStep) + 1,
		);
		const token = step * tokensPerStep + ordinalOf(this.#self.name);
		this.#highestToken = token;
		this.#leads.set(zone, token);
		this.#yields.delete(zone);
		this.#leaderlessSince.delete(zone);
		return [{kind: 'claimed', zone, token}];
	}

	#drop(
		zone: string,
		reason: Extract<LeadershipChange, {kind: 'dropped'}>['reason'],
	): readonly LeadershipChange[] {
		this.#leads.delete(zone);
		return [{kind: 'dropped', zone, reason}];
	}

	#isLive({heardAtMs, isBroken, heartbeat}: Peer, now: number): boolean {
		return (
			!isBroken &&
			now - heardAtMs <= this.#settings.silentIntervals * heartbeat.intervalMs
		);
	}
}

function isSame(
	left: Readonly<Record<string, unknown>>,
	right: Readonly<Record<string, unknown>>,
): boolean {
	const keys = Object.keys(left);
	return (
		keys.length === Object.keys(right).length &&
		keys.every((key) => left[key] === right[key])
	);
}

/** A number below `tokensPerStep` that differs between entry VMs, but for rare collisions. */
function ordinalOf(name: string): number {
	return [...name].reduce(
		(hash, letter) =>
			(hash * 31 + (letter.codePointAt(0) ?? 0)) % tokensPerStep,
		0,
	);
}

function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
