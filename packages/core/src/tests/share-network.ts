import {
	ShareLedger,
	type Capacity,
	type LedgerMessage,
	type MemberSet,
} from '../index.js';

type InFlightMessage = {
	readonly from: string;
	readonly to: string;
	readonly message: LedgerMessage;
};

type LedgerNode = {
	readonly name: string;
	readonly zone: string;
	readonly incarnation: string;
	readonly startedAtMs: number;
	readonly ledger: ShareLedger;
	capacity: number;
	readonly receivedHellos: Array<readonly [name: string, incarnation: string]>;
};

/** Name of the resource that the tests divide. */
export const resourceName = 'team/coastal/concurrency';

/** Simulates share ledgers with the platform's list of entry VMs and links that delay, reorder, lose or duplicate messages. */
export class ShareNetwork {
	nowMs = 1000;
	readonly nodes = new Map<string, LedgerNode>();
	inFlight: InFlightMessage[] = [];
	/** The largest capacity since the last {@link recover}; while an edit propagates, an entry VM may still apply it. */
	maxCapacity: number;
	readonly #cutLinks = new Set<string>();
	readonly #zone: string | undefined;
	#memberSet: MemberSet = {version: 0, members: []};
	#startCount = 0;

	constructor(
		names: readonly string[],
		public capacity: number,
		zone?: string,
	) {
		this.maxCapacity = capacity;
		this.#zone = zone;
		this.#publishList(names);
		for (const name of names) {
			this.start(name);
		}
	}

	/** Names of the running entry VMs. */
	get names(): readonly string[] {
		return [...this.nodes.keys()];
	}

	/** Total of the units that running entry VMs hold or still have in use. */
	get totalUnits(): number {
		return [...this.nodes.values()]
			.map(({ledger}) =>
				Math.max(0, ledger.held(resourceName), ledger.inUse(resourceName)),
			)
			.reduce((sum, units) => sum + units, 0);
	}

	/** Names of the entry VMs on the platform's list. */
	get listed(): readonly string[] {
		return this.#memberSet.members.map(({name}) => name);
	}

	findNode(name: string): LedgerNode | undefined {
		return this.nodes.get(name);
	}

	/** Starts a process; a running process of the same name is ended first. */
	start(name: string): void {
		this.crash(name);
		this.#startCount += 1;
		const zone = chooseZone(name);
		const incarnation = `${name}#${this.#startCount}`;
		const ledger = new ShareLedger({
			self: {name, zone, incarnation},
			findCapacity: (): Capacity => ({units: node.capacity, zone: this.#zone}),
			isReachable: (peer) => !this.isCut(name, peer),
		});
		const node: LedgerNode = {
			name,
			zone,
			incarnation,
			startedAtMs: this.#startCount,
			ledger,
			capacity: this.capacity,
			receivedHellos: [],
		};
		this.nodes.set(name, node);
	}

	/** Adds a new name to the platform's list and starts its process. */
	join(name: string): void {
		this.addToList(name);
		this.start(name);
	}

	/** Ends a process without notifying the others. */
	crash(name: string): void {
		this.nodes.delete(name);
	}

	/** Ends a process and removes its name from the platform's list. */
	crashAndUnlist(name: string): void {
		this.crash(name);
		this.#publishList(this.listed.filter((other) => other !== name));
	}

	/** Removes a name from the platform's list while its process keeps running. */
	removeFromList(name: string): void {
		this.#publishList(this.listed.filter((other) => other !== name));
	}

	/** Adds a name to the platform's list. */
	addToList(name: string): void {
		this.#publishList([...new Set([...this.listed, name])]);
	}

	/** Has an entry VM read the current platform's list. */
	readList(name: string): void {
		this.findNode(name)?.ledger.updateMemberSet(this.#memberSet);
	}

	/** Connects a stream that one entry VM has opened to another, unless their link is cut. */
	connect(from: string, to: string): void {
		const [opener, acceptor] = [this.findNode(from), this.findNode(to)];
		if (
			opener !== undefined &&
			acceptor !== undefined &&
			opener !== acceptor &&
			!this.isCut(from, to)
		) {
			if (this.listed.includes(to)) {
				opener.ledger.handlePeerConnected(to, acceptor.incarnation);
				opener.receivedHellos.push([to, acceptor.incarnation]);
			}

			acceptor.ledger.handleUnlistedPeerConnected(
				from,
				opener.incarnation,
				opener.startedAtMs,
			);
		}
	}

	/** Delivers again a hello that an entry VM has received from a process that has since ended. */
	redeliverStaleHello(to: string, index: number): void {
		const node = this.findNode(to);
		const hellos = [...(node?.receivedHellos ?? [])];
		const [name, incarnation] =
			hellos[index % Math.max(1, hellos.length)] ?? [];
		const hasEnded = this.findNode(name ?? '')?.incarnation !== incarnation;
		if (name !== undefined && incarnation !== undefined && hasEnded) {
			node?.ledger.handlePeerConnected(name, incarnation);
		}
	}

	cut(a: string, b: string): void {
		this.#cutLinks.add(formatLink(a, b));
	}

	heal(): void {
		this.#cutLinks.clear();
	}

	isCut(a: string, b: string): boolean {
		return this.#cutLinks.has(formatLink(a, b));
	}

	tick(name: string): void {
		const node = this.findNode(name);
		for (const {to, message} of node?.ledger.tick(this.nowMs) ?? []) {
			this.inFlight.push({from: name, to, message});
		}
	}

	/** Delivers one message in flight; with `isDuplicate` it also stays in flight, to be delivered again. */
	deliver(index: number, isDuplicate = false): void {
		const item = this.inFlight[index];
		if (item === undefined || this.isCut(item.from, item.to)) {
			return;
		}

		if (!isDuplicate) {
			this.inFlight.splice(index, 1);
		}

		this.findNode(item.to)?.ledger.receive(item.from, item.message, this.nowMs);
	}

	/** Delivers each message in flight once, except those whose link is cut. */
	deliverAll(): void {
		const messages = this.inFlight;
		this.inFlight = [];
		const undeliverable = messages.filter(({from, to}) => this.isCut(from, to));
		for (const {from, to, message} of messages) {
			if (!this.isCut(from, to)) {
				this.findNode(to)?.ledger.receive(from, message, this.nowMs);
			}
		}

		this.inFlight.push(...undeliverable);
	}

	dropMessage(index: number): void {
		this.inFlight.splice(index, 1);
	}

	/** Edits the capacity as an operator does; each entry VM applies the edit only at its next {@link readCapacity}. */
	editCapacity(units: number): void {
		this.capacity = units;
		this.maxCapacity = Math.max(this.maxCapacity, units);
	}

	/** Has an entry VM apply the current capacity. */
	readCapacity(name: string): void {
		const node = this.findNode(name);
		if (node !== undefined) {
			node.capacity = this.capacity;
			node.ledger.refreshCapacities();
		}
	}

	/** Ends all faults, restarts listed entry VMs that have ended, and runs until messages have been delivered. */
	recover(rounds = 120): void {
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
		this.maxCapacity = this.capacity;
	}

	/** Runs rounds of 50 ms in which each entry VM ticks and all messages are delivered. */
	run(rounds: number, eachRound?: () => void): void {
		for (let round = 0; round < rounds; round += 1) {
			this.nowMs += 50;
			for (const name of this.names) {
				this.tick(name);
			}

			while (this.inFlight.length > 0) {
				this.deliver(0);
			}

			eachRound?.();
		}
	}

	#publishList(names: readonly string[]): void {
		this.#memberSet = {
			version: this.#memberSet.version + 1,
			members: names.map((name) => ({
				name,
				zone: chooseZone(name),
				isLeaving: false,
			})),
		};
	}
}

function chooseZone(name: string): string {
	return Number(name.split('-')[1]) % 2 === 0 ? 'zone-a' : 'zone-b';
}

function formatLink(a: string, b: string): string {
	return [a, b].toSorted().join('|');
}
