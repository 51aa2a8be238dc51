import {
	HeartbeatSchedule,
	computeHeartbeatIntervals,
	selectHeartbeatInterval,
} from '../heartbeat-schedule.js';
import {
	Leadership,
	type Heartbeat,
	type ReportedLeader,
} from '../leadership.js';
import {type Member} from '../member-list.js';
import {MemberListSchedule} from '../member-list-schedule.js';
import {Overlay, type ConnectionState} from '../overlay.js';

/** Size of a modelled installation. */
export type OverlayModelOptions = {
	readonly zones: readonly string[];
	readonly entryVmsPerZone: number;
	/** Entry VMs of each zone with twice the processor time of the others. */
	readonly strongPerZone: number;
	/** Whether entry VMs can read the store's registry. */
	readonly hasRegistry?: boolean;
};

const tickMs = 20;
/** Silence after which a connection counts as broken, as in the mesh of entry VMs. */
const silenceMs = 400;
const updateIntervalMs = 100;
const registryRereadMs = 1500;
const strongShare = 1.35;
const weakShare = 0.324;

type Link = {
	state: ConnectionState;
	/** Time of the oldest heartbeat on the link that was not acknowledged. */
	unacknowledgedSinceMs: number | undefined;
};

type Delivery = {
	readonly from: string;
	readonly to: string;
	readonly heartbeat: Heartbeat;
	readonly membersVersion: string;
};

/** One entry VM of the model: the deciding classes, with connections that the model provides. */
class ModelEntryVm {
	readonly overlay: Overlay;
	readonly leadership: Leadership;
	readonly links = new Map<string, Link>();
	/** Numbers of heartbeats that were sent and received, by second. */
	readonly messages = new Map<number, number>();
	frozenUntilMs = 0;
	readonly #schedule = new HeartbeatSchedule();
	readonly #memberListSchedule = new MemberListSchedule();
	readonly #startedAtMs: number;
	#tickedAtMs: number;
	#updatedAtMs = Number.NEGATIVE_INFINITY;
	#hasReread = false;
	#hears: Readonly<Record<string, number>> = {};

	constructor(
		readonly self: Member,
		readonly model: OverlayModel,
		readonly incarnation: string,
	) {
		this.overlay = new Overlay(self);
		this.leadership = new Leadership(self, model.options.zones);
		this.leadership.setScope('zone');
		this.#startedAtMs = model.now;
		this.#tickedAtMs = model.now;
		this.#register();
	}

	/** Returns the leader of the own zone that this entry VM follows. */
	get leader(): string | undefined {
		return this.leadership.findLeader(this.self.zone, this.model.now)?.name;
	}

	receive({from, heartbeat, membersVersion}: Delivery, now: number): void {
		this.#count(now);
		const {members} = this.overlay;
		const isNew = [
			members.hear(
				{
					name: heartbeat.name,
					zone: heartbeat.zone,
					address: heartbeat.address,
					processorShare: heartbeat.processorShare,
				},
				now,
			),
			members.receive(heartbeat.members, now),
		].includes(true);
		const hasChanged = this.leadership.hasChanged(heartbeat, now);
		this.leadership.receiveHeartbeat(heartbeat, now);
		this.#memberListSchedule.recordPeer(from, membersVersion);
		if (isNew || hasChanged) {
			this.#updatedAtMs = Number.NEGATIVE_INFINITY;
		}

		const isLossDisputed =
			hasChanged &&
			(heartbeat.isCandidate === false
				? [heartbeat.zone]
				: this.model.options.zones
			).some(
				(zone) =>
					heartbeat.hears[zone] === undefined &&
					this.#hears[zone] !== undefined,
			);
		if (isLossDisputed) {
			this.#schedule.reset();
		}
	}

	tick(now: number): void {
		const stallMs = now - this.#tickedAtMs - tickMs;
		this.#tickedAtMs = now;
		if (stallMs >= 100) {
			this.leadership.excludeStall(stallMs, now);
			this.overlay.excludeStall(stallMs, now);
		}

		if (!this.#hasReread && now - this.#startedAtMs >= registryRereadMs) {
			this.#hasReread = true;
			this.#register();
		}

		if (now - this.#updatedAtMs >= updateIntervalMs) {
			this.#update(now);
		}

		const changes = this.leadership.tick(now);
		const hears = Object.fromEntries(
			this.model.options.zones.flatMap((zone) => {
				const leader = this.leadership.findLeader(zone, now);
				return leader === undefined ? [] : [[zone, leader.token]];
			}),
		);
		const haveLeadersChanged =
			JSON.stringify(hears) !== JSON.stringify(this.#hears);
		this.#hears = hears;
		if (changes.length > 0 || haveLeadersChanged) {
			this.#schedule.reset();
		}

		this.#sendDue(now);
	}

	/** Loses the connection that another entry VM has opened to this one. */
	handleLost(name: string): void {
		this.leadership.markDisconnected(name);
		this.#updatedAtMs = Number.NEGATIVE_INFINITY;
	}

	#register(): void {
		if (this.model.options.hasRegistry !== false) {
			this.overlay.members.addRegistered(
				[...this.model.registry.values()],
				this.model.now,
			);
			this.model.registry.set(this.self.name, this.self);
		}
	}

	#update(now: number): void {
		this.#updatedAtMs = now;
		const peers = this.leadership.livePeers(now);
		const reported = this.leadership.findReportedLeader(this.self.zone, now);
		this.overlay.update(
			{
				connectionState: (address) => this.links.get(address)?.state ?? 'none',
				liveAddresses: peers.map(({address}) => address),
				uninformedAddresses: peers
					.map(({address}) => address)
					.filter((address) =>
						this.#memberListSchedule.hasOtherList(
							address,
							this.overlay.members.version,
						),
					),
				leaderAddresses: reported === undefined ? [] : [reported.address],
				meshAddresses: [],
				seeds: this.model.seeds,
				isLeader: this.leadership.ledZones.size > 0,
			},
			now,
		);
		this.leadership.setCandidacy(
			this.overlay.isCandidate,
			this.overlay.unheardCandidates,
		);
		const addresses = new Set(this.overlay.addresses);
		for (const [address, {state}] of this.links) {
			if (!addresses.has(address)) {
				this.links.delete(address);
				if (state === 'open' && this.model.canReach(this.self, address)) {
					this.model.entryVms.get(address)?.handleLost(this.self.name);
				}
			}
		}

		for (const address of addresses) {
			if (!this.links.has(address)) {
				this.links.set(address, {
					state: 'opening',
					unacknowledgedSinceMs: undefined,
				});
			}
		}
	}

	#sendDue(now: number): void {
		const {zone} = this.self;
		const {zones} = this.model.options;
		const {addresses, members, isCandidate} = this.overlay;
		const peers = new Map(
			this.leadership.livePeers(now).map((peer) => [peer.address, peer]),
		);
		const sender = {
			zone,
			ledZones: this.leadership.ledZones,
			isElecting: (isCandidate ? zones : [zone]).some(
				(other) => this.#hears[other] === undefined,
			),
		};
		const intervals = computeHeartbeatIntervals(
			{peerCount: addresses.length, memberCount: members.all.length - 1},
			0,
		);
		const due = this.#schedule.takeDue(
			new Map(
				addresses.map((address) => {
					const heartbeat = peers.get(address);
					return [
						address,
						selectHeartbeatInterval(
							sender,
							{
								heartbeat,
								zone: heartbeat?.zone ?? members.findZone(address),
								acceptsSlowIntervals: true,
							},
							intervals,
						),
					];
				}),
			),
			now,
		);
		for (const [intervalMs, recipients] of due) {
			const listRecipients = this.#memberListSchedule.takeDue(
				recipients,
				members.version,
				now,
			);
			for (const address of recipients) {
				this.#send(
					address,
					this.#createHeartbeat(
						intervalMs,
						listRecipients.has(address),
						peers.get(address)?.isCandidate === false,
						now,
					),
					now,
				);
			}
		}
	}

	#createHeartbeat(
		intervalMs: number,
		hasMembers: boolean,
		hasLeaders: boolean,
		now: number,
	): Heartbeat {
		const {name, zone, address, processorShare} = this.self;
		return {
			name,
			zone,
			address,
			incarnation: this.incarnation,
			intervalMs,
			processorShare,
			isStopping: false,
			isWarm: this.leadership.isWarm,
			leads: Object.fromEntries(this.leadership.ledZones),
			highestToken: this.leadership.highestToken,
			hears: this.#hears,
			yields: Object.fromEntries(this.leadership.successors),
			scope: 'zone',
			isCandidate: this.overlay.isCandidate,
			...(hasLeaders && this.overlay.isCandidate
				? {leaders: this.#listLeaders(now)}
				: {}),
			members: hasMembers ? this.overlay.members.toAddresses(now) : [],
		};
	}

	#listLeaders(now: number): readonly ReportedLeader[] {
		return this.model.options.zones.flatMap((zone) => {
			const leader = this.leadership.findLeader(zone, now);
			return leader === undefined
				? []
				: [{zone, ...leader, address: `${leader.name}:1`}];
		});
	}

	#send(address: string, heartbeat: Heartbeat, now: number): void {
		const link = this.links.get(address);
		if (link === undefined) {
			return;
		}

		this.#count(now);
		const target = this.model.entryVms.get(address);
		const isReachable = this.model.canReach(this.self, address);
		if (isReachable && target === undefined) {
			link.state = 'failed';
			link.unacknowledgedSinceMs = undefined;
		} else if (isReachable && now >= target!.frozenUntilMs) {
			link.state = 'open';
			link.unacknowledgedSinceMs = undefined;
			this.model.deliveries.push({
				from: this.self.address,
				to: address,
				heartbeat,
				membersVersion: this.overlay.members.version,
			});
		} else {
			link.unacknowledgedSinceMs ??= now;
			const limitMs =
				link.state === 'open' && heartbeat.intervalMs > silenceMs
					? 4 * heartbeat.intervalMs
					: silenceMs;
			if (now - link.unacknowledgedSinceMs > limitMs) {
				link.state = 'failed';
				link.unacknowledgedSinceMs = undefined;
			}
		}
	}

	#count(now: number): void {
		const second = Math.floor(now / 1000);
		this.messages.set(second, (this.messages.get(second) ?? 0) + 1);
	}
}

/** An installation of entry VMs that exchange heartbeats with injected time, and the faults that a test plays. */
export class OverlayModel {
	now = 100_000;
	readonly registry = new Map<string, Member>();
	/** The running entry VMs by address. */
	readonly entryVms = new Map<string, ModelEntryVm>();
	readonly deliveries: Delivery[] = [];
	readonly members: readonly Member[];
	/** Zones that are cut off from the others. */
	readonly cutZones = new Set<string>();
	/** Names of entry VMs that have lost power: connections to them stay silent. */
	readonly #withoutPower = new Set<string>();
	readonly #membersByAddress: ReadonlyMap<string, Member>;
	#startCount = 0;

	constructor(readonly options: OverlayModelOptions) {
		this.members = options.zones.flatMap((zone) =>
			Array.from({length: options.entryVmsPerZone}, (_, index) => {
				const name = `${zone}-${String(index).padStart(3, '0')}`;
				return {
					name,
					zone,
					address: `${name}:1`,
					processorShare:
						index >= options.entryVmsPerZone - options.strongPerZone
							? strongShare
							: weakShare,
				};
			}),
		);
		this.#membersByAddress = new Map(
			this.members.map((member) => [member.address, member]),
		);
	}

	/** Addresses that the settings of all entry VMs list: the first of the first three zones. */
	get seeds(): readonly string[] {
		return this.options.zones.slice(0, 3).map((zone) => `${zone}-000:1`);
	}

	/** Starts all entry VMs, 3 ms after each other. */
	startAll(): void {
		for (const member of this.members) {
			this.now += 3;
			this.start(member.name);
		}

		this.now = Math.ceil(this.now / tickMs) * tickMs;
	}

	start(name: string): void {
		const member = this.members.find((other) => other.name === name)!;
		this.#startCount += 1;
		this.#withoutPower.delete(name);
		this.entryVms.set(
			member.address,
			new ModelEntryVm(member, this, String(this.#startCount)),
		);
	}

	/** Ends the process of an entry VM, which breaks its connections, or takes its power, which leaves them silent. */
	kill(name: string, hasPower = true): void {
		const address = `${name}:1`;
		this.entryVms.delete(address);
		if (!hasPower) {
			this.#withoutPower.add(name);
			return;
		}

		for (const other of this.entryVms.values()) {
			if (this.canReach(other.self, address)) {
				other.handleLost(name);
				const link = other.links.get(address);
				if (link !== undefined) {
					link.state = 'failed';
				}
			}
		}
	}

	canReach(from: Member, address: string): boolean {
		const to = this.#membersByAddress.get(address);
		return (
			to !== undefined &&
			!this.#withoutPower.has(to.name) &&
			(from.zone === to.zone ||
				(!this.cutZones.has(from.zone) && !this.cutZones.has(to.zone)))
		);
	}

	run(durationMs: number): void {
		const endMs = this.now + durationMs;
		while (this.now < endMs) {
			this.now += tickMs;
			for (const delivery of this.deliveries.splice(0)) {
				const target = this.entryVms.get(delivery.to);
				if (target !== undefined && this.now >= target.frozenUntilMs) {
					target.receive(delivery, this.now);
				}
			}

			for (const entryVm of this.entryVms.values()) {
				if (this.now >= entryVm.frozenUntilMs) {
					entryVm.tick(this.now);
				}
			}
		}
	}

	/** Runs until all running entry VMs follow a leader, at most for a time; returns how long it took. */
	runUntilLed(maxMs: number): number {
		const startedAtMs = this.now;
		do {
			this.run(tickMs);
		} while (this.findUnled().length > 0 && this.now - startedAtMs < maxMs);

		return this.now - startedAtMs;
	}

	/** Returns the running entry VMs that follow no running leader of their zone, or another one than the rest of the zone. */
	findUnled(): readonly string[] {
		const leaders = new Map(
			this.options.zones.map((zone) => [zone, this.findLeaders(zone)[0]]),
		);
		return [...this.entryVms.values()]
			.filter(
				({self, leader}) =>
					leader === undefined || leaders.get(self.zone) !== leader,
			)
			.map(({self}) => self.name);
	}

	/** Returns the running entry VMs that lead a zone, the one with the highest token first. */
	findLeaders(zone: string): readonly string[] {
		return [...this.entryVms.values()]
			.filter(({leadership}) => leadership.ledZones.has(zone))
			.toSorted(
				(left, right) =>
					right.leadership.ledZones.get(zone)! -
					left.leadership.ledZones.get(zone)!,
			)
			.map(({self}) => self.name);
	}

	/** Returns the running candidates of a zone. */
	findCandidates(zone: string): readonly string[] {
		return [...this.entryVms.values()]
			.filter(({self, overlay}) => self.zone === zone && overlay.isCandidate)
			.map(({self}) => self.name);
	}

	/** Returns the largest number of messages a second since a time, of followers and of candidates. */
	largestMessageRates(sinceMs: number): {
		readonly follower: number;
		readonly candidate: number;
	} {
		const largest = (isCandidate: boolean) =>
			Math.max(
				0,
				...[...this.entryVms.values()]
					.filter(({overlay}) => overlay.isCandidate === isCandidate)
					.flatMap(({messages}) =>
						[...messages]
							.filter(([second]) => second * 1000 >= sinceMs)
							.map(([, count]) => count),
					),
			);
		return {follower: largest(false), candidate: largest(true)};
	}
}
