/** Ledgers over links that delay, reorder, lose and repeat messages, with a platform's list of entry VMs. */
import {
	ShareLedger,
	type Capacity,
	type LedgerMessage,
	type MemberSet,
} from '../index.js';

type Envelope = {
	readonly from: string;
	readonly to: string;
	readonly message: LedgerMessage;
};

type Node = {
	readonly name: string;
	readonly zone: string;
	readonly incarnation: string;
	readonly startedAtMs: number;
	readonly ledger: ShareLedger;
	capacity: number;
	readonly seen: Array<readonly [name: string, incarnation: string]>;
};

/** The resource that the tests divide. */
export const resource = 'team/coastal/concurrency';

/** Ledgers over faulty links. */
export class ShareNetwork {
	now = 1000;
	readonly nodes = new Map<string, Node>();
	envelopes: Envelope[] = [];
	/** The largest capacity that has been in force anywhere since the last quiet moment. */
	largestCapacity: number;
	readonly #cuts = new Set<string>();
	readonly #zone: string | undefined;
	#set: MemberSet = {version: 0, members: []};
	#starts = 0;

	constructor(
		names: readonly string[],
		public capacity: number,
		zone?: string,
	) {
		this.largestCapacity = capacity;
		this.#zone = zone;
		this.#publish(names);
		for (const name of names) {
			this.start(name);
		}
	}

	get names(): readonly string[] {
		return [...this.nodes.keys()];
	}

	/** Units that live entry VMs hold or still use. */
	get total(): number {
		return [...this.nodes.values()]
			.map(({ledger}) =>
				Math.max(0, ledger.held(resource), ledger.inUse(resource)),
			)
			.reduce((sum, units) => sum + units, 0);
	}

	/** Names on the platform's list. */
	get listed(): readonly string[] {
		return this.#set.members.map(({name}) => name);
	}

	node(name: string): Node | undefined {
		return this.nodes.get(name);
	}

	/** Starts a process, in place of one that has ended when there was one of this name. */
	start(name: string): void {
		this.crash(name);
		this.#starts += 1;
		const zone = zoneOf(name);
		const incarnation = `${name}#${this.#starts}`;
		const ledger = new ShareLedger({
			self: {name, zone, incarnation},
			capacityOf: (): Capacity => ({units: node.capacity, zone: this.#zone}),
			isReachable: (peer) => !this.isCut(name, peer),
		});
		const node: Node = {
			name,
			zone,
			incarnation,
			startedAtMs: this.#starts,
			ledger,
			capacity: this.capacity,
			seen: [],
		};
		this.nodes.set(name, node);
	}

	/** Starts a process of a new name, and puts it into the platform's list. */
	join(name: string): void {
		this.list(name);
		this.start(name);
	}

	/** Ends a process without warning. */
	crash(name: string): void {
		this.nodes.delete(name);
	}

	/** Takes an entry VM whose process has ended out of the platform's list. */
	unlist(name: string): void {
		this.crash(name);
		this.#publish(this.listed.filter((other) => other !== name));
	}

	/** The platform's list loses the row of an entry VM that lives. */
	loseRow(name: string): void {
		this.#publish(this.listed.filter((other) => other !== name));
	}

	/** The row comes back. */
	list(name: string): void {
		this.#publish([...new Set([...this.listed, name])]);
	}

	readList(name: string): void {
		this.node(name)?.ledger.setMembers(this.#set);
	}

	/** The stream that one entry VM opened to another comes up. */
	connect(from: string, to: string): void {
		const [a, b] = [this.node(from), this.node(to)];
		if (
			a !== undefined &&
			b !== undefined &&
			a !== b &&
			!this.isCut(from, to)
		) {
			if (this.listed.includes(to)) {
				a.ledger.peerSeen(to, b.incarnation);
				a.seen.push([to, b.incarnation]);
			}

			b.ledger.guestSeen(from, a.incarnation, a.startedAtMs);
		}
	}

	/** What an ended process once said of itself arrives again. */
	repeatHello(to: string, index: number): void {
		const node = this.node(to);
		const seen = [...(node?.seen ?? [])];
		const [name, incarnation] = seen[index % Math.max(1, seen.length)] ?? [];
		const isEnded = this.node(name ?? '')?.incarnation !== incarnation;
		if (name !== undefined && incarnation !== undefined && isEnded) {
			node?.ledger.peerSeen(name, incarnation);
		}
	}

	cut(a: string, b: string): void {
		this.#cuts.add(pair(a, b));
	}

	heal(): void {
		this.#cuts.clear();
	}

	isCut(a: string, b: string): boolean {
		return this.#cuts.has(pair(a, b));
	}

	tick(name: string): void {
		const node = this.node(name);
		for (const {to, message} of node?.ledger.tick(this.now) ?? []) {
			this.envelopes.push({from: name, to, message});
		}
	}

	deliver(index: number, isRepeated = false): void {
		const envelope = this.envelopes[index];
		if (envelope === undefined || this.isCut(envelope.from, envelope.to)) {
			return;
		}

		if (!isRepeated) {
			this.envelopes.splice(index, 1);
		}

		this.node(envelope.to)?.ledger.receive(
			envelope.from,
			envelope.message,
			this.now,
		);
	}

	/** Delivers each message that is under way now once, as far as its link is not cut. */
	deliverAll(): void {
		const underWay = this.envelopes;
		this.envelopes = [];
		const cut = underWay.filter(({from, to}) => this.isCut(from, to));
		for (const {from, to, message} of underWay) {
			if (!this.isCut(from, to)) {
				this.node(to)?.ledger.receive(from, message, this.now);
			}
		}

		this.envelopes.push(...cut);
	}

	lose(index: number): void {
		this.envelopes.splice(index, 1);
	}

	/** An operator's edit; entry VMs hear of it one by one. */
	editCapacity(units: number): void {
		this.capacity = units;
		this.largestCapacity = Math.max(this.largestCapacity, units);
	}

	readCapacity(name: string): void {
		const node = this.node(name);
		if (node !== undefined) {
			node.capacity = this.capacity;
			node.ledger.capacitiesChanged();
		}
	}

	/** Ends every fault, and lets all that is under way arrive. */
	settle(rounds = 120): void {
		this.heal();
		for (const name of this.listed) {
			if (!this.nodes.has(name)) {
				this.start(name);
			}
		}

		for (const name of this.names) {
			this.readList(name);
			this.readCapacity(name);
		}

		for (const from of this.names) {
			for (const to of this.names) {
				this.connect(from, to);
			}

			this.run(1);
		}

		this.run(rounds);
		this.largestCapacity = this.capacity;
	}

	run(rounds: number, eachRound?: () => void): void {
		for (let round = 0; round < rounds; round += 1) {
			this.now += 50;
			for (const name of this.names) {
				this.tick(name);
			}

			while (this.envelopes.length > 0) {
				this.deliver(0);
			}

			eachRound?.();
		}
	}

	#publish(names: readonly string[]): void {
		this.#set = {
			version: this.#set.version + 1,
			members: names.map((name) => ({
				name,
				zone: zoneOf(name),
				isLeaving: false,
			})),
		};
	}
}

function zoneOf(name: string): string {
	return Number(name.split('-')[1]) % 2 === 0 ? 'zone-a' : 'zone-b';
}

function pair(a: string, b: string): string {
	return [a, b].toSorted().join('|');
}
