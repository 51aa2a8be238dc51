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
import {computeHeldUnits, computeIdleUnits} from './share-resource.js';

export {type ShareLedgerOptions} from './share-lending.js';

/**
 * A message to the entry VM `to`. If it is lost, {@link ShareLedger.handlePeerConnected} causes the announcement and the
 * unconfirmed loans to be sent again.
 */
export type OutgoingLedgerMessage = {
	readonly to: string;
	readonly message: LedgerMessage;
};

/**
 * Divides capacities among entry VMs without a coordinator; this is the account of one entry VM.
 *
 * Each entry VM holds its base share plus the units it has borrowed minus the units it has lent, and uses no more. The
 * units in use over all entry VMs never exceed the capacity, even if messages are lost, delayed or duplicated or the
 * network is partitioned. Entry VMs that reach each other lend units to where the demand is; units do not move between
 * entry VMs that cannot.
 */
export class ShareLedger {
	readonly #self: ShareLedgerOptions['self'];
	readonly #members: ShareMembers;
	readonly #lending: ShareLending;
	readonly #endedIncarnations = new EndedLedgerIncarnations();
	readonly #pendingEndedNotices = new Map<string, string>();
	#generation = 0;

	constructor(options: ShareLedgerOptions) {
		this.#self = options.self;
		this.#members = new ShareMembers(options.self.name);
		this.#lending = new ShareLending(options, this.#members);
	}

	/** Whether this entry VM has base shares. Without them it can only borrow units. */
	get hasBaseShare(): boolean {
		return this.#members.hasBaseShare;
	}

	/** Whether the next {@link tick} may move units or return messages. */
	get hasPendingWork(): boolean {
		return (
			this.#lending.hasPendingWork ||
			this.#pendingEndedNotices.size > 0 ||
			this.#members.hasPendingAnnouncement
		);
	}

	/**
	 * Applies the member set from the platform's newest list of VMs. The removal of an entry VM that was once listed is
	 * evidence that its process has ended.
	 */
	updateMemberSet(set: MemberSet): void {
		this.#members.startAnnouncing();
		this.#applyMemberSet(set);
	}

	/** Computes all shares again; must be called whenever capacities may have changed. */
	refreshCapacities(): void {
		this.#lending.refreshCapacities();
	}

	/**
	 * Handles a new or renewed stream that this entry VM opened to a peer and whose other end has reported its process.
	 * A different process at the same address is evidence that the earlier one has ended.
	 */
	handlePeerConnected(name: string, process: string): void {
		if (name === this.#self.name) {
			return;
		}

		const peer = this.#members.getOrCreatePeer(name);
		if (peer.process !== process) {
			this.#acceptIncarnation(name, formatLedgerIncarnation(process, 0));
		}

		if (peer.incarnation === undefined) {
			peer.process = process;
			this.#queueEndedNotice(name, process);
		}

		peer.lastSentVersion = undefined;
		this.#lending.resendUnconfirmed(name);
	}

	/**
	 * Handles a stream opened by an entry VM that the newest member set does not contain, for example because the
	 * platform is unavailable. Such an entry VM has no base share and may borrow. Of two processes of one name, the one
	 * that started later is used.
	 */
	handleUnlistedPeerConnected(
		name: string,
		process: string,
		startedAtMs: number,
	): void {
		const peer = this.#members.peers.get(name);
		if (
			this.#members.newestSplit?.hasMember(name) !== false ||
			(peer?.process !== process && (peer?.startedAtMs ?? 0) >= startedAtMs)
		) {
			return;
		}

		this.handlePeerConnected(name, process);
		this.#members.getOrCreatePeer(name).startedAtMs = startedAtMs;
	}

	/** Drops a peer's loans, upon evidence that no process runs under its name, such as its removal from the member set. */
	handlePeerEnded(name: string): void {
		const peer = this.#members.peers.get(name);
		if (peer === undefined) {
			return;
		}

		if (peer.incarnation !== undefined) {
			this.#endedIncarnations.add(peer.incarnation);
		}

		this.#lending.dropLoans(name);
		peer.incarnation = undefined;
		peer.hasEnded = true;
		peer.isUnlisted = false;
		peer.wasListed = false;
		peer.lastSentVersion = undefined;
		peer.receivedVersions.clear();
	}

	/** Returns the units of a resource that this entry VM may have in use. */
	held(resource: string): number {
		return computeHeldUnits(this.#lending.getOrCreateResource(resource));
	}

	/** Returns the units of a resource in use. */
	inUse(resource: string): number {
		return this.#lending.getOrCreateResource(resource).inUse;
	}

	/** Returns the units of a resource that can be taken now. */
	free(resource: string): number {
		return Math.max(
			0,
			computeIdleUnits(this.#lending.getOrCreateResource(resource)),
		);
	}

	/** Takes units if all of them are free; returns whether it took them. */
	tryTake(name: string, units: number, nowMs: number): boolean {
		const resource = this.#lending.getOrCreateResource(name);
		if (computeIdleUnits(resource) < units) {
			return false;
		}

		this.#lending.setInUse(resource, resource.inUse + units, nowMs);
		return true;
	}

	/** Gives back units that {@link tryTake} took. */
	giveBack(name: string, units: number, nowMs: number): void {
		const resource = this.#lending.getOrCreateResource(name);
		this.#lending.setInUse(
			resource,
			Math.max(0, resource.inUse - units),
			nowMs,
		);
	}

	/** Sets the units in use of a rate limit, at most the units held; returns the units set. */
	setInUse(name: string, units: number, nowMs: number): number {
		const resource = this.#lending.getOrCreateResource(name);
		const used = Math.max(0, Math.min(units, computeHeldUnits(resource)));
		this.#lending.setInUse(resource, used, nowMs);
		return used;
	}

	/** Sets the units that this entry VM could use immediately beyond those in use; missing units are requested from peers. */
	wants(name: string, units: number): void {
		if (units > 0 || this.#lending.hasResource(name)) {
			this.#lending.setDemand(this.#lending.getOrCreateResource(name), units);
		}
	}

	/** Applies a message from a peer; returns whether units may have become free. */
	receive(name: string, message: LedgerMessage, nowMs: number): boolean {
		if (message.kind === 'ended') {
			this.#handleEndedNotice(name, message.to);
			return false;
		}

		if (message.to !== this.#incarnation) {
			return false;
		}

		const peer =
			this.#members.peers.get(name) ?? this.#readmitUnlistedPeer(name, message);
		if (peer?.process === parseLedgerProcess(message.from)) {
			this.#acceptIncarnation(name, message.from);
		}

		if (peer?.incarnation !== message.from) {
			if (this.#endedIncarnations.has(message.from)) {
				this.#pendingEndedNotices.set(name, message.from);
			}

			return false;
		}

		if (message.kind === 'left') {
			this.handlePeerEnded(name);
			return true;
		}

		if (message.kind === 'member-set') {
			this.#applyMemberSet(message.set);
			if (message.heard < (peer.lastSentVersion ?? -1)) {
				// The sender has not applied the last announcement, for example because it had not accepted this incarnation yet.
				peer.lastSentVersion = undefined;
			}

			if (message.set.members.some((member) => member.name === name)) {
				peer.receivedVersions.add(message.set.version);
				peer.wasListed = true;
				this.#dropUnlistedPeer(name);
			} else {
				peer.isUnlisted = true;
			}

			return this.#dropSupersededSets();
		}

		if (!this.#members.hasAnnounced(name)) {
			return false;
		}

		const hasGained = message.loans.map((record) =>
			this.#lending.mergeRecord(name, record, nowMs),
		);
		return hasGained.includes(true);
	}

	/** Ends this incarnation at a planned stop, once no units are in use; returns the messages that notify the peers. */
	leave(): readonly OutgoingLedgerMessage[] {
		const messages = [...this.#members.peers.values()]
			.filter(({incarnation}) => incarnation !== undefined)
			.map((peer) => ({
				to: peer.name,
				message: {kind: 'left' as const, ...this.#addressMessage(peer)},
			}));
		this.#startNewGeneration();
		this.#members.stopAnnouncing();
		return messages;
	}

	/** Moves units between entry VMs and returns the messages to send now. */
	tick(nowMs: number): readonly OutgoingLedgerMessage[] {
		const announcements = this.#createAnnouncements();
		this.#dropSupersededSets();
		const records = this.#lending.tick(nowMs);
		return [
			...this.#takeEndedNotices(),
			...announcements,
			...[...records].flatMap(([name, loans]) =>
				this.#createLoanMessages(name, loans),
			),
		];
	}

	#applyMemberSet(set: MemberSet): void {
		const wasListed =
			this.#members.newestSplit?.hasMember(this.#self.name) === true;
		if (!this.#members.addMemberSet(set)) {
			return;
		}

		if (wasListed && !set.members.some(({name}) => name === this.#self.name)) {
			this.#startNewGeneration();
		}

		for (const {name} of set.members) {
			if (name !== this.#self.name) {
				const peer = this.#members.getOrCreatePeer(name);
				peer.wasListed ||= peer.isUnlisted;
			}
		}

		for (const name of this.#members.peers.keys()) {
			this.#dropUnlistedPeer(name);
		}

		this.#lending.invalidateShares();
	}

	/** Replaces a peer's incarnation by a new one, unless that one is known to have ended. */
	#acceptIncarnation(name: string, incarnation: string): void {
		const peer = this.#members.getOrCreatePeer(name);
		if (
			peer.incarnation === incarnation ||
			this.#endedIncarnations.has(incarnation)
		) {
			return;
		}

		this.handlePeerEnded(name);
		peer.process = parseLedgerProcess(incarnation);
		peer.incarnation = incarnation;
		peer.hasEnded = false;
	}

	/**
	 * Adds a peer again that was dropped from the member set while its process was still running. It announces itself
	 * under a new generation, and may borrow without being in the set.
	 */
	#readmitUnlistedPeer(
		name: string,
		{kind, from}: LedgerMessage,
	): SharePeer | undefined {
		const process = parseLedgerProcess(from);
		const isReadmissible =
			kind === 'member-set' &&
			this.#members.newestSplit?.hasMember(name) === false &&
			this.#endedIncarnations.findLatest(process) !== undefined &&
			!this.#endedIncarnations.has(from);
		if (!isReadmissible) {
			return undefined;
		}

		const peer = this.#members.getOrCreatePeer(name);
		peer.process = process;
		return peer;
	}

	/**
	 * Handles a peer's notice that it has treated an incarnation of this ledger as ended. If that incarnation is an
	 * earlier one, the peer has not accepted its successor yet, and the member set is announced to it again.
	 */
	#handleEndedNotice(name: string, ended: string): void {
		if (ended === this.#incarnation) {
			this.#startNewGeneration();
		}

		const peer = this.#members.peers.get(name);
		if (peer !== undefined) {
			peer.lastSentVersion = undefined;
		}
	}

	#queueEndedNotice(name: string, process: string): void {
		const ended = this.#endedIncarnations.findLatest(process);
		if (ended !== undefined) {
			this.#pendingEndedNotices.set(name, ended);
		}
	}

	/**
	 * Starts a new incarnation without shares and loans, because peers may have treated the current one as ended. Units
	 * in use stay in use until they are given back.
	 */
	#startNewGeneration(): void {
		this.#generation += 1;
		this.#members.reset();
		this.#lending.dropAllLoans();
	}

	/** Drops a peer that was in a member set and is not in the newest one. */
	#dropUnlistedPeer(name: string): void {
		if (
			this.#members.newestSplit?.hasMember(name) === false &&
			this.#members.peers.get(name)?.wasListed === true
		) {
			this.handlePeerEnded(name);
			this.#members.removePeer(name);
		}
	}

	#dropSupersededSets(): boolean {
		const hasGrown = this.#members.dropSupersededSets();
		if (hasGrown) {
			this.#lending.invalidateShares();
		}

		return hasGrown;
	}

	#createAnnouncements(): readonly OutgoingLedgerMessage[] {
		const set = this.#members.newestSplit?.memberSet;
		if (
			set === undefined ||
			!this.#members.hasPendingAnnouncement ||
			!this.#lending.isWithinShares
		) {
			return [];
		}

		return this.#members.markAnnounced().map((peer) => ({
			to: peer.name,
			message: {
				kind: 'member-set',
				...this.#addressMessage(peer),
				set,
				heard: Math.max(-1, ...peer.receivedVersions),
			},
		}));
	}

	get #incarnation(): string {
		return formatLedgerIncarnation(this.#self.incarnation, this.#generation);
	}

	#addressMessage(peer: SharePeer): {
		readonly from: string;
		readonly to: string;
	} {
		return {
			from: this.#incarnation,
			to: peer.incarnation ?? '',
		};
	}

	#createLoanMessages(
		name: string,
		loans: readonly LoanRecord[],
	): readonly OutgoingLedgerMessage[] {
		const peer = this.#members.peers.get(name);
		return peer?.incarnation === undefined
			? []
			: [
					{
						to: name,
						message: {kind: 'loans', ...this.#addressMessage(peer), loans},
					},
				];
	}

	#takeEndedNotices(): readonly OutgoingLedgerMessage[] {
		const notices = [...this.#pendingEndedNotices].map(([name, to]) => ({
			to: name,
			message: {kind: 'ended' as const, from: this.#incarnation, to},
		}));
		this.#pendingEndedNotices.clear();
		return notices;
	}
}
