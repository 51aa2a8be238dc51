/** Finds the entry VM that owns an identifier, or says what is known of an owner that cannot be found. */
import {
	incarnationKey,
	type Incarnation,
	type SubmissionIdentifier,
} from './identifier.js';

/** What a connected peer says of itself. */
export type PeerView = {
	readonly incarnation: Incarnation;
	/** Start of the process in milliseconds since 1970 by its own clock. */
	readonly startedAtMs: number;
	/** Keys of the incarnations whose submissions it answers for. */
	readonly holds: readonly string[];
	readonly isLeaving: boolean;
};

/** Connected peers by the names of their entry VMs. */
export type PeerViews = ReadonlyMap<string, PeerView>;

/**
 * - `found`: this peer answers.
 * - `unreachable`: the owner, or a successor of it, may still be there.
 * - `gone`: the owner has ended and every entry VM of the list says that it holds nothing of it.
 */
export type OwnerSearchResult =
	| {readonly kind: 'found'; readonly peer: string}
	| {readonly kind: 'unreachable'}
	| {readonly kind: 'gone'};

/** Settings of the search. */
export type OwnerSearchOptions = {
	readonly self: Incarnation;
	/** Greatest difference in milliseconds between the clocks of two entry VMs. */
	readonly clockSkewMs: number;
};

/** Finds owners among the connected peers. Silence proves nothing; only the list and a newer process do. */
export class OwnerSearch {
	readonly #options: OwnerSearchOptions;
	readonly #departed = new Set<string>();
	readonly #newest = new Map<string, PeerView>();
	readonly #replaced = new Set<string>();
	#listed: ReadonlySet<string> = new Set();

	constructor(options: OwnerSearchOptions) {
		this.#options = options;
	}

	/** Takes the names of the entry VMs on the platform's newest list. */
	updateList(names: readonly string[]): void {
		const listed = new Set(names);
		for (const name of this.#listed) {
			if (!listed.has(name)) {
				this.#departed.add(name);
			}
		}

		for (const name of listed) {
			this.#departed.delete(name);
		}

		this.#listed = listed;
	}

	/** Takes what a peer says of itself: a later process of the same name proves that the earlier one has ended. */
	updatePeer(view: PeerView): void {
		const {entryVm, nonce} = view.incarnation;
		const newest = this.#newest.get(entryVm);
		if (newest !== undefined && newest.startedAtMs > view.startedAtMs) {
			return;
		}

		if (newest !== undefined && newest.incarnation.nonce !== nonce) {
			this.#replaced.add(incarnationKey(newest.incarnation));
		}

		this.#newest.set(entryVm, view);
	}

	/** The peer that may start an identifier's submission. */
	findOwner(
		{issuer, issuedAtMs}: SubmissionIdentifier,
		peers: PeerViews,
	): OwnerSearchResult {
		const key = incarnationKey(issuer);
		const holders = [...peers].filter(([, {holds}]) => holds.includes(key));
		const [name] =
			holders.find(([, {isLeaving}]) => !isLeaving) ?? holders[0] ?? [];
		if (name !== undefined) {
			return {kind: 'found', peer: name};
		}

		const isComplete = [...this.#listed].every(
			(listed) => listed === this.#options.self.entryVm || peers.has(listed),
		);
		return isComplete && this.#hasEnded(issuer, issuedAtMs, peers)
			? {kind: 'gone'}
			: {kind: 'unreachable'};
	}

	/** The peer that is this very process, at which a submission runs that was known at the given time. */
	findProcess(
		process: Incarnation,
		knownAtMs: number,
		peers: PeerViews,
	): OwnerSearchResult {
		const peer = peers.get(process.entryVm);
		if (peer?.incarnation.nonce === process.nonce) {
			return {kind: 'found', peer: process.entryVm};
		}

		return this.#hasEnded(process, knownAtMs, peers)
			? {kind: 'gone'}
			: {kind: 'unreachable'};
	}

	#hasEnded(
		process: Incarnation,
		knownAtMs: number,
		peers: PeerViews,
	): boolean {
		const {self, clockSkewMs} = this.#options;
		const present = peers.get(process.entryVm);
		return (
			process.entryVm === self.entryVm ||
			this.#departed.has(process.entryVm) ||
			this.#replaced.has(incarnationKey(process)) ||
			(present !== undefined &&
				present.incarnation.nonce !== process.nonce &&
				present.startedAtMs > knownAtMs + clockSkewMs)
		);
	}
}
