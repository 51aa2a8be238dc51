import {
	type DesiredState,
	type Heartbeat,
	type WorkerEntry,
} from '@verbenarouter/core';
import {
	type KnowledgeVersions,
	type PoolMessage,
	type StoreKnowledge,
} from '@verbenarouter/peer';
import {KnowledgeSchedule, type DueKnowledge} from './knowledge-schedule.js';

/** Age of the store data, in milliseconds, from which a leader requests it from its peers. */
export const staleStoreDataMs = 700;
/**
 * Delay in milliseconds between successive candidates before they start to read the store for a leader that cannot, so that
 * only one does.
 */
const readerStaggerMs = 150;
/** Interval in milliseconds at which store data is sent to a leader that cannot read the store, while nothing changes. */
const knowledgeResendIntervalMs = 400;
/** Age that is reported for a list of workers that was never read; JSON has no infinite numbers. */
const maxReportedAgeMs = 1e12;

/** What this entry VM knows of the store's data and of its peers at present. */
export type KnowledgeView = {
	readonly isCandidate: boolean;
	/** Zones that this entry VM leads. */
	readonly ledZones: Pick<ReadonlyMap<string, unknown>, 'has' | 'size'>;
	/** Whether this entry VM's own zone has a live leader. */
	readonly hasOwnLeader: boolean;
	/** Newest heartbeats of the live peers. */
	readonly peers: readonly Heartbeat[];
	readonly desiredState: DesiredState | undefined;
	readonly workers: readonly WorkerEntry[];
	/** Milliseconds since the list of workers was read, here or by the peer that sent it; infinite if there is none. */
	readonly workersAgeMs: number;
	/** Milliseconds since this process read the list of workers itself; infinite before the first read. */
	readonly ownWorkersAgeMs: number;
	readonly versions: KnowledgeVersions;
};

/** What a {@link KnowledgeExchange} needs of its entry VM. */
export type KnowledgeExchangeOptions = {
	/** Name of this entry VM. */
	readonly name: string;
	readonly readView: (now: number) => KnowledgeView;
	/** Whether messages can be sent to a peer. */
	readonly isOpen: (name: string) => boolean;
	/** Whether a zone has a live leader. */
	readonly hasLeader: (zone: string, now: number) => boolean;
	/** Sends a copy to peers. */
	readonly send: (names: readonly string[], knowledge: StoreKnowledge) => void;
};

/**
 * Shares copies of the desired state and of the list of workers among entry VMs, and decides who reads the store for a
 * leader that cannot.
 */
export class KnowledgeExchange {
	readonly #options: KnowledgeExchangeOptions;
	readonly #schedule = new KnowledgeSchedule();
	/** Names of the leaders that cannot read the store. */
	readonly #leadersWithoutStore = new Set<string>();
	/** Time since which some leader cannot read the store. */
	#leaderWithoutStoreSinceMs: number | undefined;
	/** Names of the peers that have recently read the store themselves. */
	readonly #storeReaders = new Set<string>();
	/** Time at which store data was last sent to each leader that cannot read the store. */
	readonly #lastSentMs = new Map<string, number>();
	/** Versions that peers announce, by name; without those of peers that announce none. */
	readonly #peerVersions = new Map<string, KnowledgeVersions>();

	constructor(options: KnowledgeExchangeOptions) {
		this.#options = options;
	}

	/** Forgets what was sent to a peer whose stream has opened anew, as it may be lost. */
	handleOpen(name: string): void {
		this.#schedule.handleOpen(name);
	}

	/** Records what a peer knows and whether it can read the store, and sends current store data to a leader that cannot. */
	recordHeartbeat(
		from: string,
		{
			needsKnowledge,
			readsStore,
			knows,
		}: Pick<
			PoolMessage & {readonly type: 'heartbeat'},
			'needsKnowledge' | 'readsStore' | 'knows'
		>,
		now: number,
	): void {
		if (knows === undefined) {
			this.#peerVersions.delete(from);
		} else {
			this.#peerVersions.set(from, knows);
		}

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
		const view = this.#options.readView(now);
		if (
			view.ownWorkersAgeMs < staleStoreDataMs &&
			now - (this.#lastSentMs.get(from) ?? Number.NEGATIVE_INFINITY) >=
				knowledgeResendIntervalMs
		) {
			this.#lastSentMs.set(from, now);
			this.#send([from], {hasState: true, hasWorkers: true}, view);
		}
	}

	/**
	 * Whether to read the store. Leaders do, and entry VMs without a leader; while a leader cannot, one candidate that can
	 * reads it on the leader's behalf.
	 */
	shouldReadStore(now: number): boolean {
		const {isCandidate, ledZones, hasOwnLeader, peers, ownWorkersAgeMs} =
			this.#options.readView(now);
		if (ledZones.size > 0 || !hasOwnLeader) {
			return true;
		}

		if (!isCandidate || this.#leadersWithoutStore.size === 0) {
			this.#leaderWithoutStoreSinceMs = undefined;
			return false;
		}

		this.#leaderWithoutStoreSinceMs ??= now;
		const followers = peers
			.filter(
				(peer) =>
					peer.isCandidate !== false && Object.keys(peer.leads).length === 0,
			)
			.map(({name}) => name);
		const readers = followers.filter((name) => this.#storeReaders.has(name));
		if (ownWorkersAgeMs < staleStoreDataMs) {
			return readers.every((name) => name > this.#options.name);
		}

		const position = followers.filter(
			(name) => name < this.#options.name,
		).length;
		return (
			readers.length === 0 &&
			now - this.#leaderWithoutStoreSinceMs >= position * readerStaggerMs
		);
	}

	/**
	 * Sends the desired state and the workers to the peers that lack them: as a leader to the followers of its zones and of
	 * zones without a leader, and as a reader of the store or a candidate to leaders that cannot read it. While nobody can, a
	 * process that has restarted and leads knows less than the candidates around it.
	 */
	sendDue(now: number): void {
		const view = this.#options.readView(now);
		const {ledZones, isCandidate, desiredState, workersAgeMs} = view;
		const hasWorkerList = Number.isFinite(workersAgeMs);
		const informsLeaders =
			this.#leadersWithoutStore.size > 0 &&
			(isCandidate || view.ownWorkersAgeMs < staleStoreDataMs);
		if (
			(ledZones.size === 0 && !informsLeaders) ||
			(desiredState === undefined && !hasWorkerList)
		) {
			return;
		}

		const recipients = view.peers
			.filter(
				({name, zone, leads}) =>
					this.#options.isOpen(name) &&
					((this.#informsZone(zone, view, now) &&
						Object.keys(leads).length === 0) ||
						(informsLeaders && this.#leadersWithoutStore.has(name))),
			)
			.map((peer) => ({
				name: peer.name,
				knows: this.#peerVersions.get(peer.name),
				needsWorkers: hasWorkerList && peer.isCandidate !== false,
			}));
		const due = [...this.#schedule.takeDue(recipients, view.versions, now)];
		for (const [hasState, hasWorkers] of [
			[true, true],
			[true, false],
			[false, true],
		] as const) {
			const names = due
				.filter(
					([, knowledge]) =>
						knowledge.hasState === hasState &&
						knowledge.hasWorkers === hasWorkers,
				)
				.map(([name]) => name);
			if (names.length > 0) {
				this.#send(names, {hasState, hasWorkers}, view);
			}
		}
	}

	/** Whether this entry VM informs the entry VMs of a zone: as their leader, or if they have none. */
	#informsZone(zone: string, {ledZones}: KnowledgeView, now: number): boolean {
		return ledZones.has(zone) || !this.#options.hasLeader(zone, now);
	}

	/** Sends the desired state, the workers or both to peers; an entry VM without a list of workers sends none. */
	#send(
		names: readonly string[],
		{hasState, hasWorkers}: DueKnowledge,
		{desiredState, workers, workersAgeMs, versions}: KnowledgeView,
	): void {
		this.#options.send(names, {
			state: hasState ? desiredState : undefined,
			workers:
				hasWorkers && Number.isFinite(workersAgeMs) ? workers : undefined,
			versions,
			ageMs: Math.min(workersAgeMs, maxReportedAgeMs),
		});
	}
}
