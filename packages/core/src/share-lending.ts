/** Moves the units of divided capacities between one entry VM and its peers: who is asked, who lends, what goes back. */
import {Loan} from './share-loan.js';
import {type ShareMembers} from './share-members.js';
import {type LoanRecord} from './share-message.js';
import {ShareOutbox} from './share-outbox.js';
import {
	answerAsk,
	emptyResource,
	heldOf,
	idleOf,
	shortageOf,
	type ShareResource,
} from './share-resource.js';
import {type Capacity} from './share-split.js';

/** Settings of a ledger. Durations are in milliseconds. */
export type ShareLedgerOptions = {
	readonly self: {
		readonly name: string;
		readonly zone: string;
		readonly incarnation: string;
	};
	/** The capacity of a resource by the newest catalogue; `undefined` when there is no such resource. */
	readonly capacityOf: (resource: string) => Capacity | undefined;
	/** Whether messages to this entry VM have a chance to arrive. */
	readonly isReachable?: (name: string) => boolean;
	/** Time between two requests for the same resource, doubled while they bring nothing. */
	readonly askIntervalMs?: number;
	readonly longestAskIntervalMs?: number;
	/** How many peers are asked at once. */
	readonly askedPeers?: number;
	/** Borrowed units that were idle all this time are returned. */
	readonly returnAfterMs?: number;
	/** A lender that used the resource within this time keeps an eighth of its base share for itself. */
	readonly reserveAfterUseMs?: number;
	/** Upper bound on loan messages, in bytes per second. */
	readonly bytesPerSecond?: number;
};

const defaults = {
	isReachable: () => true,
	askIntervalMs: 100,
	longestAskIntervalMs: 2000,
	askedPeers: 8,
	returnAfterMs: 500,
	reserveAfterUseMs: 1000,
	bytesPerSecond: 8000,
};

const reserveDivisor = 8;
const wantedIndex = 5;
const noCapacity: Capacity = {units: 0};

/** The resources of one entry VM, and its loans with each peer. */
export class ShareLending {
	readonly #options: Required<ShareLedgerOptions>;
	readonly #members: ShareMembers;
	readonly #outbox: ShareOutbox;
	readonly #resources = new Map<string, ShareResource>();
	readonly #active = new Set<ShareResource>();
	readonly #loans = new Map<string, Map<string, Loan>>();
	#epoch = 0;

	constructor(options: ShareLedgerOptions, members: ShareMembers) {
		this.#options = {...defaults, ...options};
		this.#members = members;
		this.#outbox = new ShareOutbox(this.#options.bytesPerSecond);
	}

	/** Whether anything waits to be moved or sent. */
	get isBusy(): boolean {
		return this.#active.size > 0 || !this.#outbox.isEmpty;
	}

	/** Whether no resource is used beyond what is held under all member sets. */
	get keepsWithin(): boolean {
		return [...this.#resources.values()].every((resource) => {
			this.#refresh(resource);
			const keeps = idleOf(resource) >= 0;
			if (!keeps) {
				this.#active.add(resource);
			}

			return keeps;
		});
	}

	/** Finds a resource; its account begins when it is first asked for. */
	resource(name: string): ShareResource {
		const known = this.#resources.get(name);
		if (known !== undefined) {
			this.#refresh(known);
			return known;
		}

		const resource = emptyResource(name);
		this.#resources.set(name, resource);
		this.#refresh(resource);
		return resource;
	}

	/** Whether the account of a resource has begun. */
	has(name: string): boolean {
		return this.#resources.has(name);
	}

	/** Sets the units in use. */
	use(resource: ShareResource, units: number, now: number): void {
		if (units > resource.inUse) {
			resource.usedAtMs = now;
		}

		resource.inUse = units;
		resource.lowestIdle = Math.min(resource.lowestIdle, idleOf(resource));
		if (resource.asks.size > 0) {
			this.#returnRecalled(resource);
			this.#active.add(resource);
		}
	}

	/** Sets the units that could be used at once beyond those in use. */
	want(resource: ShareResource, units: number): void {
		if (resource.wanted === units) {
			return;
		}

		if (resource.wanted === 0) {
			resource.askIntervalMs = this.#options.askIntervalMs;
			resource.nextAskAtMs = 0;
		}

		resource.wanted = units;
		this.#active.add(resource);
	}

	/** Base shares have to be worked out again, as each resource is next used. */
	sharesChanged(): void {
		this.#epoch += 1;
	}

	/** Capacities may have changed. */
	capacitiesChanged(): void {
		this.#epoch += 1;
		for (const resource of this.#resources.values()) {
			this.#refresh(resource);
			this.#active.add(resource);
		}
	}

	/** Drops all loans with a peer whose process has ended. */
	dropLoans(peer: string): void {
		for (const [name, loan] of this.#loansWith(peer)) {
			const resource = this.resource(name);
			resource.lent -= loan.outstanding;
			resource.borrowed -= loan.borrowed;
			resource.asks.delete(peer);
			this.#active.add(resource);
		}

		this.#loans.delete(peer);
		this.#outbox.drop(peer);
	}

	/** Drops all loans; units in use stay counted until they are given back. */
	dropAllLoans(): void {
		this.#loans.clear();
		this.#outbox.clear();
		this.#epoch += 1;
		for (const resource of this.#resources.values()) {
			resource.lent = 0;
			resource.borrowed = 0;
			resource.asks.clear();
			this.#active.add(resource);
		}
	}

	/** Sends again what a peer has not confirmed. */
	repeatUnconfirmed(peer: string): void {
		for (const [resource, loan] of this.#loansWith(peer)) {
			if (loan.isUnconfirmed) {
				this.#outbox.post(peer, resource);
			}
		}
	}

	/** Takes in a record of a peer; returns whether units may have become free. */
	merge(peer: string, record: LoanRecord, now: number): boolean {
		const [name] = record;
		const wanted = record[wantedIndex];
		const resource = this.resource(name);
		const change = this.#loan(peer, name).merge(record);
		resource.borrowed += change.received;
		resource.lent -= change.regained;
		if (change.received > 0) {
			resource.lowestIdle = 0;
			resource.idleSinceMs = now;
		}

		if (change.isPeerBehind) {
			this.#outbox.post(peer, name);
		}

		if (wanted > 0) {
			resource.asks.set(peer, {
				units: wanted,
				untilMs: now + 2 * this.#options.longestAskIntervalMs,
			});
		}

		this.#active.add(resource);
		return change.received + change.regained > 0;
	}

	/** Moves units, and gives the records to send now, by peer. */
	tick(now: number): ReadonlyMap<string, readonly LoanRecord[]> {
		this.#outbox.refill(now);
		for (const resource of this.#active) {
			this.#balance(resource, now);
		}

		return this.#outbox.take((peer, resource, wanted) =>
			this.#loan(peer, resource).record(resource, wanted),
		);
	}

	#refresh(resource: ShareResource): void {
		if (resource.epoch !== this.#epoch) {
			resource.epoch = this.#epoch;
			resource.capacity = this.#options.capacityOf(resource.name) ?? noCapacity;
			resource.base = this.#members.baseOf(resource.name, resource.capacity);
		}
	}

	#loansWith(name: string): Map<string, Loan> {
		return this.#loans.get(name) ?? new Map<string, Loan>();
	}

	#loan(peer: string, resource: string): Loan {
		const loans = this.#loansWith(peer);
		const loan = loans.get(resource) ?? new Loan();
		loans.set(resource, loan);
		this.#loans.set(peer, loans);
		return loan;
	}

	#balance(resource: ShareResource, now: number): void {
		this.#refresh(resource);
		for (const [peer, {untilMs}] of resource.asks) {
			if (untilMs <= now) {
				resource.asks.delete(peer);
			}
		}

		this.#returnRecalled(resource);
		this.#lend(resource, now);
		this.#returnIdle(resource, now);
		this.#askForMore(resource, now);
		if (
			resource.asks.size === 0 &&
			resource.borrowed === 0 &&
			shortageOf(resource) === 0
		) {
			this.#active.delete(resource);
		}
	}

	/** Returns idle units to the peers that lent them and want them back. */
	#returnRecalled(resource: ShareResource): void {
		for (const [peer, ask] of resource.asks) {
			this.#giveBackLoan(resource, peer, ask.units);
		}
	}

	#giveBackLoan(resource: ShareResource, peer: string, wanted: number): void {
		const loan = this.#loansWith(peer).get(resource.name);
		const units = Math.min(wanted, loan?.borrowed ?? 0, idleOf(resource));
		if (loan === undefined || units <= 0) {
			return;
		}

		loan.giveBack(units);
		resource.borrowed -= units;
		answerAsk(resource, peer, units);
		this.#outbox.post(peer, resource.name);
	}

	/** Lends idle units of the own base share to those that asked. */
	#lend(resource: ShareResource, now: number): void {
		const reserve =
			now - resource.usedAtMs < this.#options.reserveAfterUseMs
				? Math.ceil(resource.base / reserveDivisor)
				: 0;
		for (const [peer, ask] of resource.asks) {
			const units = Math.min(
				ask.units,
				idleOf(resource) - resource.wanted - reserve,
				resource.base - resource.lent,
			);
			if (units > 0) {
				this.#loan(peer, resource.name).lend(units);
				resource.lent += units;
				answerAsk(resource, peer, units);
				this.#outbox.post(peer, resource.name);
			}
		}
	}

	#returnIdle(resource: ShareResource, now: number): void {
		if (now - resource.idleSinceMs < this.#options.returnAfterMs) {
			return;
		}

		const surplus = resource.wanted > 0 ? 0 : resource.lowestIdle;
		resource.idleSinceMs = now;
		if (surplus > 0 && resource.borrowed > 0) {
			this.#returnToLenders(resource, surplus);
		}

		resource.lowestIdle = idleOf(resource);
	}

	#returnToLenders(resource: ShareResource, surplus: number): void {
		let left = surplus;
		for (const peer of this.#loans.keys()) {
			const before = resource.borrowed;
			this.#giveBackLoan(resource, peer, left);
			left -= before - resource.borrowed;
		}
	}

	#askForMore(resource: ShareResource, now: number): void {
		const shortage = shortageOf(resource);
		if (
			shortage === 0 ||
			now < resource.nextAskAtMs ||
			!this.#outbox.hasBudget
		) {
			return;
		}

		const asked = this.#peersToAsk(resource);
		if (asked.length === 0) {
			return;
		}

		const hasGained = heldOf(resource) > resource.heldAtAsk;
		resource.askIntervalMs = hasGained
			? this.#options.askIntervalMs
			: Math.min(
					2 * resource.askIntervalMs,
					this.#options.longestAskIntervalMs,
				);
		resource.heldAtAsk = heldOf(resource);
		resource.nextAskAtMs = now + resource.askIntervalMs;
		for (const peer of asked) {
			const {outstanding} = this.#loan(peer, resource.name);
			this.#outbox.post(
				peer,
				resource.name,
				Math.max(
					Math.min(outstanding, shortage),
					Math.ceil(shortage / asked.length),
				),
			);
		}
	}

	/** Peers that owe units first, then some of those that have base shares, those of the own zone first. */
	#peersToAsk(resource: ShareResource): readonly string[] {
		const debtors = [...this.#loans].flatMap(([peer, loans]) =>
			(loans.get(resource.name)?.outstanding ?? 0) > 0 ? [peer] : [],
		);
		const holders = this.#lenders(resource).filter(
			(name) => !debtors.includes(name),
		);
		const count = Math.min(this.#options.askedPeers, holders.length);
		const start = resource.askCursor % Math.max(1, holders.length);
		resource.askCursor = start + count;
		return [
			...debtors,
			...[...holders.slice(start), ...holders.slice(0, start)].slice(0, count),
		];
	}

	#lenders({name: resource, capacity}: ShareResource): readonly string[] {
		const split = this.#members.newest;
		const {zone} = this.#options.self;
		const zones = new Map(
			split?.set.members.map((member) => [member.name, member.zone]),
		);
		return (split?.holders(resource, capacity) ?? [])
			.filter(
				(name) =>
					this.#members.isKnown(name) && this.#options.isReachable(name),
			)
			.toSorted(
				(a, b) => Number(zones.get(b) === zone) - Number(zones.get(a) === zone),
			);
	}
}
