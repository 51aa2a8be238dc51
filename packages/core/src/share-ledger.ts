/**
 * Divides capacities among entry VMs without a coordinator.
 *
 * Each entry VM holds its base share plus what it borrowed minus what it lent, and uses no more. The sum over all entry
 * VMs never exceeds the capacity, whatever is lost, late, repeated or cut off. Units move to where the demand is while
 * entry VMs reach each other, and stay where they are while they don't.
 */
import {
	EndedLedgerIncarnations,
	formatLedgerIncarnation,
	parseLedgerProcess,
} from './ended-ledger-incarnations.js';
import {ShareLending, type ShareLedgerOptions} from './share-lending.js';
import {ShareMembers, type SharePeer} from './share-members.js';
import {
	type LedgerMessage,
	type LoanRecord,
	type MemberSet,
} from './share-message.js';
import {heldOf, idleOf} from './share-resource.js';

export {type ShareLedgerOptions} from './share-lending.js';

/** A message for one entry VM. It may be lost; {@link ShareLedger.peerSeen} makes up for it. */
export type OutgoingLedgerMessage = {
	readonly to: string;
	readonly message: LedgerMessage;
};

/** One entry VM's shares of all divided capacities. */
export class ShareLedger {
	readonly #self: ShareLedgerOptions['self'];
	readonly #members: ShareMembers;
	readonly #lending: ShareLending;
	readonly #ended = new EndedLedgerIncarnations();
	readonly #endedNotices = new Map<string, string>();
	#generation = 0;

	constructor(options: ShareLedgerOptions) {
		this.#self = options.self;
		this.#members = new ShareMembers(options.self.name);
		this.#lending = new ShareLending(options, this.#members);
	}

	/** Whether this entry VM has base shares; before that it can only borrow. */
	get hasBase(): boolean {
		return this.#members.hasBase;
	}

	/** Whether anything waits to be moved, sent or announced. */
	get isBusy(): boolean {
		return (
			this.#lending.isBusy ||
			this.#endedNotices.size > 0 ||
			this.#members.mustAnnounce
		);
	}

	/** Takes the platform's newest list of entry VMs. A row that is gone is evidence that its process has ended. */
	setMembers(set: MemberSet): void {
		this.#members.noteListRead();
		this.#adopt(set);
	}

	/** Tells that capacities may have changed. */
	capacitiesChanged(): void {
		this.#lending.capacitiesChanged();
	}

	/**
	 * A stream that this entry VM opened came up, or was renewed, and its other end names its incarnation. Another
	 * incarnation on the same address is evidence that the earlier one has ended.
	 */
	peerSeen(name: string, process: string): void {
		if (name === this.#self.name) {
			return;
		}

		const peer = this.#members.peer(name);
		if (peer.process !== process) {
			this.#welcome(name, formatLedgerIncarnation(process, 0));
		}

		if (peer.incarnation === undefined) {
			peer.process = process;
			this.#tellEnded(name, process);
		}

		peer.told = undefined;
		this.#lending.repeatUnconfirmed(name);
	}

	/**
	 * An entry VM that no list names yet opened a stream to this one, for example during an outage of the platform. It has
	 * no base share and may borrow. Of two processes of one name, the one that started later counts.
	 */
	guestSeen(name: string, process: string, startedAtMs: number): void {
		const peer = this.#members.peers.get(name);
		if (
			this.#members.newest?.includes(name) !== false ||
			(peer?.process !== process && (peer?.startedAtMs ?? 0) >= startedAtMs)
		) {
			return;
		}

		this.peerSeen(name, process);
		this.#members.peer(name).startedAtMs = startedAtMs;
	}

	/** There is evidence that no process runs under this name, for example that its address refuses connections. */
	peerGone(name: string): void {
		const peer = this.#members.peers.get(name);
		if (peer === undefined) {
			return;
		}

		if (peer.incarnation !== undefined) {
			this.#ended.add(peer.incarnation);
		}

		this.#lending.dropLoans(name);
		peer.incarnation = undefined;
		peer.isVacant = true;
		peer.isGuest = false;
		peer.wasListed = false;
		peer.told = undefined;
		peer.announced.clear();
	}

	/** Units that this entry VM may have in use now. */
	held(resource: string): number {
		return heldOf(this.#lending.resource(resource));
	}

	/** Units in use. */
	inUse(resource: string): number {
		return this.#lending.resource(resource).inUse;
	}

	/** Units that may be taken now. */
	free(resource: string): number {
		return Math.max(0, idleOf(this.#lending.resource(resource)));
	}

	/** Takes units; returns whether they were free. */
	tryTake(name: string, units: number, now: number): boolean {
		const resource = this.#lending.resource(name);
		if (idleOf(resource) < units) {
			return false;
		}

		this.#lending.use(resource, resource.inUse + units, now);
		return true;
	}

	/** Gives back units that {@link tryTake} took. */
	giveBack(name: string, units: number, now: number): void {
		const resource = this.#lending.resource(name);
		this.#lending.use(resource, Math.max(0, resource.inUse - units), now);
	}

	/** Sets the units in use, for a capacity that is used at a rate; returns the units, which are at most those held. */
	setInUse(name: string, units: number, now: number): number {
		const resource = this.#lending.resource(name);
		const used = Math.max(0, Math.min(units, heldOf(resource)));
		this.#lending.use(resource, used, now);
		return used;
	}

	/** Sets how many units could be used at once beyond those in use. */
	wants(name: string, units: number): void {
		if (units > 0 || this.#lending.has(name)) {
			this.#lending.want(this.#lending.resource(name), units);
		}
	}

	/** Takes in a message; returns whether units may have become free. */
	receive(name: string, message: LedgerMessage, now: number): boolean {
		if (message.kind === 'ended') {
			this.#hearEnded(name, message.to);
			return false;
		}

		if (message.to !== this.#incarnation) {
			return false;
		}

		const peer = this.#members.peers.get(name) ?? this.#returned(name, message);
		if (peer?.process === parseLedgerProcess(message.from)) {
			this.#welcome(name, message.from);
		}

		if (peer?.incarnation !== message.from) {
			if (this.#ended.has(message.from)) {
				this.#endedNotices.set(name, message.from);
			}

			return false;
		}

		if (message.kind === 'left') {
			this.peerGone(name);
			return true;
		}

		if (message.kind === 'member-set') {
			this.#adopt(message.set);
			if (message.heard < (peer.told ?? -1)) {
				// The sender did not know this entry VM yet when it was told.
				peer.told = undefined;
			}

			if (message.set.members.some((member) => member.name === name)) {
				peer.announced.add(message.set.version);
				peer.wasListed = true;
				this.#dropUnlisted(name);
			} else {
				peer.isGuest = true;
			}

			return this.#dropSuperseded();
		}

		if (!this.#members.isKnown(name)) {
			return false;
		}

		const hasGained = message.loans.map((record) =>
			this.#lending.merge(name, record, now),
		);
		return hasGained.includes(true);
	}

	/** Ends this ledger at a planned stop, when nothing is in use any more; gives the messages that tell the peers so. */
	leave(): readonly OutgoingLedgerMessage[] {
		const messages = [...this.#members.peers.values()]
			.filter(({incarnation}) => incarnation !== undefined)
			.map((peer) => ({
				to: peer.name,
				message: {kind: 'left' as const, ...this.#between(peer)},
			}));
		this.#beginAnew();
		this.#members.leave();
		return messages;
	}

	/** Moves units, and gives the messages to send now. */
	tick(now: number): readonly OutgoingLedgerMessage[] {
		const announcements = this.#announce();
		this.#dropSuperseded();
		const records = this.#lending.tick(now);
		return [
			...this.#takeNotices(),
			...announcements,
			...[...records].flatMap(([name, loans]) =>
				this.#loanMessages(name, loans),
			),
		];
	}

	#adopt(set: MemberSet): void {
		const wasListed = this.#members.newest?.includes(this.#self.name) === true;
		if (!this.#members.adopt(set)) {
			return;
		}

		if (wasListed && !set.members.some(({name}) => name === this.#self.name)) {
			this.#beginAnew();
		}

		for (const {name} of set.members) {
			if (name !== this.#self.name) {
				const peer = this.#members.peer(name);
				peer.wasListed ||= peer.isGuest;
			}
		}

		for (const name of this.#members.peers.keys()) {
			this.#dropUnlisted(name);
		}

		this.#lending.sharesChanged();
	}

	/** Takes up with a new incarnation of a peer's ledger; one that has ended is ignored. */
	#welcome(name: string, incarnation: string): void {
		const peer = this.#members.peer(name);
		if (peer.incarnation === incarnation || this.#ended.has(incarnation)) {
			return;
		}

		this.peerGone(name);
		peer.process = parseLedgerProcess(incarnation);
		peer.incarnation = incarnation;
		peer.isVacant = false;
	}

	/**
	 * An entry VM whose row has gone, and that has begun its ledger anew since: it lives, and may borrow although no list
	 * names it.
	 */
	#returned(name: string, {kind, from}: LedgerMessage): SharePeer | undefined {
		const process = parseLedgerProcess(from);
		const isReturned =
			kind === 'member-set' &&
			this.#members.newest?.includes(name) === false &&
			this.#ended.findLatest(process) !== undefined &&
			!this.#ended.has(from);
		if (!isReturned) {
			return undefined;
		}

		const peer = this.#members.peer(name);
		peer.process = process;
		return peer;
	}

	/** A peer takes an incarnation of this ledger for ended, or does not know its successor yet. */
	#hearEnded(name: string, ended: string): void {
		if (ended === this.#incarnation) {
			this.#beginAnew();
		}

		const peer = this.#members.peers.get(name);
		if (peer !== undefined) {
			peer.told = undefined;
		}
	}

	#tellEnded(name: string, process: string): void {
		const ended = this.#ended.findLatest(process);
		if (ended !== undefined) {
			this.#endedNotices.set(name, ended);
		}
	}

	/** Begins anew after others may have taken this ledger for ended; units in use stay counted until they are given back. */
	#beginAnew(): void {
		this.#generation += 1;
		this.#members.reset();
		this.#lending.dropAllLoans();
	}

	/** Drops a peer that was once listed and is not in the newest list. */
	#dropUnlisted(name: string): void {
		if (
			this.#members.newest?.includes(name) === false &&
			this.#members.peers.get(name)?.wasListed === true
		) {
			this.peerGone(name);
			this.#members.remove(name);
		}
	}

	#dropSuperseded(): boolean {
		const hasGrown = this.#members.dropSuperseded();
		if (hasGrown) {
			this.#lending.sharesChanged();
		}

		return hasGrown;
	}

	#announce(): readonly OutgoingLedgerMessage[] {
		const set = this.#members.newest?.set;
		if (
			set === undefined ||
			!this.#members.mustAnnounce ||
			!this.#lending.keepsWithin
		) {
			return [];
		}

		return this.#members.settle().map((peer) => ({
			to: peer.name,
			message: {
				kind: 'member-set',
				...this.#between(peer),
				set,
				heard: Math.max(-1, ...peer.announced),
			},
		}));
	}

	get #incarnation(): string {
		return formatLedgerIncarnation(this.#self.incarnation, this.#generation);
	}

	#between(peer: SharePeer): {readonly from: string; readonly to: string} {
		return {
			from: this.#incarnation,
			to: peer.incarnation ?? '',
		};
	}

	#loanMessages(
		name: string,
		loans: readonly LoanRecord[],
	): readonly OutgoingLedgerMessage[] {
		const peer = this.#members.peers.get(name);
		return peer?.incarnation === undefined
			? []
			: [{to: name, message: {kind: 'loans', ...this.#between(peer), loans}}];
	}

	#takeNotices(): readonly OutgoingLedgerMessage[] {
		const notices = [...this.#endedNotices].map(([name, to]) => ({
			to: name,
			message: {kind: 'ended' as const, from: this.#incarnation, to},
		}));
		this.#endedNotices.clear();
		return notices;
	}
}
