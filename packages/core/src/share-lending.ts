import {Loan} from './share-loan.js';
import {type ShareMembers} from './share-members.js';
import {type LoanRecord} from './share-message.js';
import {ShareOutbox} from './share-outbox.js';
import {
	reduceRequest,
	createShareResource,
	computeHeldUnits,
	computeIdleUnits,
	computeShortage,
	type ShareResource,
} from './share-resource.js';
import {type Capacity} from './share-split.js';

/** Settings of a share ledger. */
export type ShareLedgerOptions = {
	/** The entry VM that has the ledger. */
	readonly self: {
		readonly name: string;
		readonly zone: string;
		/** Identifier of the process; unique among all processes of this name. */
		readonly incarnation: string;
	};
	/** Returns the current capacity of a resource; `undefined` if there is no such resource. */
	readonly findCapacity: (resource: string) => Capacity | undefined;
	/** Whether messages to the peer of this name can arrive; only such a peer is chosen as a new lender. */
	readonly isReachable?: (name: string) => boolean;
	/** Time between two requests for the same resource; it doubles after each request that gained no units. */
	readonly requestIntervalMs?: number;
	/** Upper bound on the time between two requests. A lender keeps a request for twice this time. */
	readonly maxRequestIntervalMs?: number;
	/** Maximum number of peers per request, besides those that have borrowed units from this entry VM. */
	readonly maxLendersPerRequest?: number;
	/** Time for which borrowed units must be idle before they are returned without a request. */
	readonly returnAfterIdleMs?: number;
	/** A lender that has taken units of the resource within this time keeps an eighth of its base share in reserve. */
	readonly reserveAfterUseMs?: number;
	/** Upper bound on the bytes of loan messages per second. */
	readonly maxBytesPerSecond?: number;
};

const defaults = {
	isReachable: () => true,
	requestIntervalMs: 100,
	maxRequestIntervalMs: 2000,
	maxLendersPerRequest: 8,
	returnAfterIdleMs: 500,
	reserveAfterUseMs: 1000,
	maxBytesPerSecond: 8000,
};

const reserveDivisor = 8;
const requestedUnitsIndex = 5;
const noCapacity: Capacity = {units: 0};

/** Moves units of divided capacities between one entry VM and its peers: requests, lends and returns them. */
export class ShareLending {
	readonly #options: Required<ShareLedgerOptions>;
	readonly #members: ShareMembers;
	readonly #outbox: ShareOutbox;
	readonly #resources = new Map<string, ShareResource>();
	/** The resources to rebalance at the next tick. */
	readonly #activeResources = new Set<ShareResource>();
	/** Loans by peer, then by resource. */
	readonly #loansByPeer = new Map<string, Map<string, Loan>>();
	/** Increases whenever members or capacities may have changed, so that each base share is computed again. */
	#epoch = 0;

	constructor(options: ShareLedgerOptions, members: ShareMembers) {
		this.#options = {...defaults, ...options};
		this.#members = members;
		this.#outbox = new ShareOutbox(this.#options.maxBytesPerSecond);
	}

	/** Whether a resource has to be rebalanced or a record has to be sent. */
	get hasPendingWork(): boolean {
		return this.#activeResources.size > 0 || !this.#outbox.isEmpty;
	}

	/** Whether no resource has more units in use than this entry VM holds under all its member sets. */
	get isWithinShares(): boolean {
		return [...this.#resources.values()].every((resource) => {
			this.#refreshShare(resource);
			const isWithinShare = computeIdleUnits(resource) >= 0;
			if (!isWithinShare) {
				this.#activeResources.add(resource);
			}

			return isWithinShare;
		});
	}

	/** Returns the up-to-date account of a resource, and creates it if there is none. */
	getOrCreateResource(name: string): ShareResource {
		const existing = this.#resources.get(name);
		if (existing !== undefined) {
			this.#refreshShare(existing);
			return existing;
		}

		const resource = createShareResource(name);
		this.#resources.set(name, resource);
		this.#refreshShare(resource);
		return resource;
	}

	/** Whether there is an account of the resource. */
	hasResource(name: string): boolean {
		return this.#resources.has(name);
	}

	/** Sets the units of a resource in use, and returns idle units to lenders that have requested them. */
	setInUse(resource: ShareResource, units: number, nowMs: number): void {
		if (units > resource.inUse) {
			resource.lastUsedAtMs = nowMs;
		}

		resource.inUse = units;
		resource.lowestIdleUnits = Math.min(
			resource.lowestIdleUnits,
			computeIdleUnits(resource),
		);
		if (resource.requests.size > 0) {
			this.#returnRequested(resource);
			this.#activeResources.add(resource);
		}
	}

	/** Sets the units of a resource that this entry VM could use immediately beyond those in use. */
	setDemand(resource: ShareResource, units: number): void {
		if (resource.demand === units) {
			return;
		}

		if (resource.demand === 0) {
			resource.requestIntervalMs = this.#options.requestIntervalMs;
			resource.nextRequestAtMs = 0;
		}

		resource.demand = units;
		this.#activeResources.add(resource);
	}

	/** Marks all base shares as outdated; each is computed again when its resource is next accessed. */
	invalidateShares(): void {
		this.#epoch += 1;
	}

	/** Computes the capacities and base shares of all resources again. */
	refreshCapacities(): void {
		this.#epoch += 1;
		for (const resource of this.#resources.values()) {
			this.#refreshShare(resource);
			this.#activeResources.add(resource);
		}
	}

	/** Drops all loans with a peer whose process has ended. */
	dropLoans(peer: string): void {
		for (const [name, loan] of this.#findLoans(peer)) {
			const resource = this.getOrCreateResource(name);
			resource.lent -= loan.outstanding;
			resource.borrowed -= loan.borrowed;
			resource.requests.delete(peer);
			this.#activeResources.add(resource);
		}

		this.#loansByPeer.delete(peer);
		this.#outbox.discardPeer(peer);
	}

	/** Drops the loans with all peers. Units in use stay in use until they are given back. */
	dropAllLoans(): void {
		this.#loansByPeer.clear();
		this.#outbox.clear();
		this.#epoch += 1;
		for (const resource of this.#resources.values()) {
			resource.lent = 0;
			resource.borrowed = 0;
			resource.requests.clear();
			this.#activeResources.add(resource);
		}
	}

	/** Queues again the records that a peer has not confirmed. */
	resendUnconfirmed(peer: string): void {
		for (const [resource, loan] of this.#findLoans(peer)) {
			if (loan.isUnconfirmed) {
				this.#outbox.enqueue(peer, resource);
			}
		}
	}

	/** Merges a loan record from a peer; returns whether units may have become free. */
	mergeRecord(peer: string, record: LoanRecord, nowMs: number): boolean {
		const [name] = record;
		const requestedUnits = record[requestedUnitsIndex];
		const resource = this.getOrCreateResource(name);
		const change = this.#getOrCreateLoan(peer, name).merge(record);
		resource.borrowed += change.received;
		resource.lent -= change.regained;
		if (change.received > 0) {
			resource.lowestIdleUnits = 0;
			resource.idleWindowStartedAtMs = nowMs;
		}

		if (change.isPeerBehind) {
			this.#outbox.enqueue(peer, name);
		}

		if (requestedUnits > 0) {
			resource.requests.set(peer, {
				units: requestedUnits,
				expiresAtMs: nowMs + 2 * this.#options.maxRequestIntervalMs,
			});
		}

		this.#activeResources.add(resource);
		return change.received + change.regained > 0;
	}

	/** Rebalances the resources that need it; returns the records to send now, by peer. */
	tick(nowMs: number): ReadonlyMap<string, readonly LoanRecord[]> {
		this.#outbox.refillBudget(nowMs);
		for (const resource of this.#activeResources) {
			this.#rebalance(resource, nowMs);
		}

		return this.#outbox.dequeue((peer, resource, requestedUnits) =>
			this.#getOrCreateLoan(peer, resource).toRecord(resource, requestedUnits),
		);
	}

	#refreshShare(resource: ShareResource): void {
		if (resource.epoch !== this.#epoch) {
			resource.epoch = this.#epoch;
			resource.capacity =
				this.#options.findCapacity(resource.name) ?? noCapacity;
			resource.baseShare = this.#members.computeBaseShare(
				resource.name,
				resource.capacity,
			);
		}
	}

	#findLoans(peer: string): Map<string, Loan> {
		return this.#loansByPeer.get(peer) ?? new Map<string, Loan>();
	}

	#getOrCreateLoan(peer: string, resource: string): Loan {
		const loans = this.#findLoans(peer);
		const loan = loans.get(resource) ?? new Loan();
		loans.set(resource, loan);
		this.#loansByPeer.set(peer, loans);
		return loan;
	}

	#rebalance(resource: ShareResource, nowMs: number): void {
		this.#refreshShare(resource);
		for (const [peer, {expiresAtMs}] of resource.requests) {
			if (expiresAtMs <= nowMs) {
				resource.requests.delete(peer);
			}
		}

		this.#returnRequested(resource);
		this.#lendRequested(resource, nowMs);
		this.#returnIdle(resource, nowMs);
		this.#requestMore(resource, nowMs);
		if (
			resource.requests.size === 0 &&
			resource.borrowed === 0 &&
			computeShortage(resource) === 0
		) {
			this.#activeResources.delete(resource);
		}
	}

	/** Returns idle borrowed units to the lenders that have requested them. */
	#returnRequested(resource: ShareResource): void {
		for (const [peer, request] of resource.requests) {
			this.#returnToLender(resource, peer, request.units);
		}
	}

	/** Returns idle units to one lender, at most `maxUnits`. */
	#returnToLender(
		resource: ShareResource,
		peer: string,
		maxUnits: number,
	): void {
		const loan = this.#findLoans(peer).get(resource.name);
		const units = Math.min(
			maxUnits,
			loan?.borrowed ?? 0,
			computeIdleUnits(resource),
		);
		if (loan === undefined || units <= 0) {
			return;
		}

		loan.returnUnits(units);
		resource.borrowed -= units;
		reduceRequest(resource, peer, units);
		this.#outbox.enqueue(peer, resource.name);
	}

	/** Lends idle units of this entry VM's base share to the peers that have requested units. */
	#lendRequested(resource: ShareResource, nowMs: number): void {
		const reserve =
			nowMs - resource.lastUsedAtMs < this.#options.reserveAfterUseMs
				? Math.ceil(resource.baseShare / reserveDivisor)
				: 0;
		for (const [peer, request] of resource.requests) {
			const units = Math.min(
				request.units,
				computeIdleUnits(resource) - resource.demand - reserve,
				resource.baseShare - resource.lent,
			);
			if (units > 0) {
				this.#getOrCreateLoan(peer, resource.name).lend(units);
				resource.lent += units;
				reduceRequest(resource, peer, units);
				this.#outbox.enqueue(peer, resource.name);
			}
		}
	}

	/** Returns the borrowed units that were idle throughout the last window, unless there is demand for more. */
	#returnIdle(resource: ShareResource, nowMs: number): void {
		if (
			nowMs - resource.idleWindowStartedAtMs <
			this.#options.returnAfterIdleMs
		) {
			return;
		}

		const surplus = resource.demand > 0 ? 0 : resource.lowestIdleUnits;
		resource.idleWindowStartedAtMs = nowMs;
		if (surplus > 0 && resource.borrowed > 0) {
			this.#returnToLenders(resource, surplus);
		}

		resource.lowestIdleUnits = computeIdleUnits(resource);
	}

	#returnToLenders(resource: ShareResource, surplus: number): void {
		let remaining = surplus;
		for (const peer of this.#loansByPeer.keys()) {
			const borrowedBefore = resource.borrowed;
			this.#returnToLender(resource, peer, remaining);
			remaining -= borrowedBefore - resource.borrowed;
		}
	}

	/** Requests an equal part of the shortage from each chosen peer, and from a borrower at least what it owes of the shortage. */
	#requestMore(resource: ShareResource, nowMs: number): void {
		const shortage = computeShortage(resource);
		if (
			shortage === 0 ||
			nowMs < resource.nextRequestAtMs ||
			!this.#outbox.hasBudget
		) {
			return;
		}

		const peers = this.#choosePeersToRequest(resource);
		if (peers.length === 0) {
			return;
		}

		const hasGained = computeHeldUnits(resource) > resource.heldAtLastRequest;
		resource.requestIntervalMs = hasGained
			? this.#options.requestIntervalMs
			: Math.min(
					2 * resource.requestIntervalMs,
					this.#options.maxRequestIntervalMs,
				);
		resource.heldAtLastRequest = computeHeldUnits(resource);
		resource.nextRequestAtMs = nowMs + resource.requestIntervalMs;
		for (const peer of peers) {
			const {outstanding} = this.#getOrCreateLoan(peer, resource.name);
			this.#outbox.enqueue(
				peer,
				resource.name,
				Math.max(
					Math.min(outstanding, shortage),
					Math.ceil(shortage / peers.length),
				),
			);
		}
	}

	/** Chooses all peers that have borrowed units from this entry VM, then the next possible lenders in turn. */
	#choosePeersToRequest(resource: ShareResource): readonly string[] {
		const borrowers = [...this.#loansByPeer].flatMap(([peer, loans]) =>
			(loans.get(resource.name)?.outstanding ?? 0) > 0 ? [peer] : [],
		);
		const lenders = this.#listLenders(resource).filter(
			(name) => !borrowers.includes(name),
		);
		const count = Math.min(this.#options.maxLendersPerRequest, lenders.length);
		const start = resource.lenderCursor % Math.max(1, lenders.length);
		resource.lenderCursor = start + count;
		return [
			...borrowers,
			...[...lenders.slice(start), ...lenders.slice(0, start)].slice(0, count),
		];
	}

	/** Lists the reachable peers that have a base share of the resource, those in this entry VM's zone first. */
	#listLenders({name: resource, capacity}: ShareResource): readonly string[] {
		const split = this.#members.newestSplit;
		const {zone} = this.#options.self;
		const zoneByName = new Map(
			split?.memberSet.members.map((member) => [member.name, member.zone]),
		);
		return (split?.listHolders(resource, capacity) ?? [])
			.filter(
				(name) =>
					this.#members.hasAnnounced(name) && this.#options.isReachable(name),
			)
			.toSorted(
				(a, b) =>
					Number(zoneByName.get(b) === zone) -
					Number(zoneByName.get(a) === zone),
			);
	}
}
