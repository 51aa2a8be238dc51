import {
	incarnationKey,
	type Incarnation,
	type SubmissionIdentifier,
} from './identifier.js';

/** The state that a connected peer reports about itself. */
export type PeerView = {
	readonly incarnation: Incarnation;
	/** Start time of the process in milliseconds since 1970, by its own clock. */
	readonly startedAtMs: number;
	/** Keys of the incarnations whose submissions the peer owns. */
	readonly holds: readonly string[];
	readonly isLeaving: boolean;
};

/** Connected peers by entry VM name. */
export type PeerViews = ReadonlyMap<string, PeerView>;

/**
 * The result of a search for an owner or for one incarnation.
 *
 * - `found`: the named peer is connected.
 * - `unreachable`: the process searched for, or a successor, may still run.
 * - `gone`: the process has ended; in a search for an owner, also every listed entry VM is connected and none owns the
 *   issuer's submissions.
 */
export type OwnerSearchResult =
	| {readonly kind: 'found'; readonly peer: string}
	| {readonly kind: 'unreachable'}
	| {readonly kind: 'gone'};

/** Options of {@link OwnerSearch}. */
export type OwnerSearchOptions = {
	readonly self: Incarnation;
	/** Maximum difference in milliseconds between the clocks of two entry VMs. */
	readonly clockSkewMs: number;
};

/**
 * Finds the owner of an identifier among the connected peers.
 *
 * A lost connection does not prove that a process has ended. The removal of its entry VM from the list or a newer
 * process of the same name does.
 */
export class OwnerSearch {
	readonly #options: OwnerSearchOptions;
	readonly #removedNames = new Set<string>();
	readonly #newestByName = new Map<string, PeerView>();
	readonly #replacedKeys = new Set<string>();
	#listedNames: ReadonlySet<string> = new Set();

	constructor(options: OwnerSearchOptions) {
		this.#options = options;
	}

	/** Replaces the platform's list of entry VM names. */
	updateEntryVmList(names: readonly string[]): void {
		const listed = new Set(names);
		for (const name of this.#listedNames) {
			if (!listed.has(name)) {
				this.#removedNames.add(name);
			}
		}

		for (const name of listed) {
			this.#removedNames.delete(name);
		}

		this.#listedNames = listed;
	}

	/** Records the state of a peer. A later process of the same name proves that the earlier one has ended. */
	updatePeer(view: PeerView): void {
		const {entryVm, nonce} = view.incarnation;
		const newest = this.#newestByName.get(entryVm);
		if (newest !== undefined && newest.startedAtMs > view.startedAtMs) {
			return;
		}

		if (newest !== undefined && newest.incarnation.nonce !== nonce) {
			this.#replacedKeys.add(incarnationKey(newest.incarnation));
		}

		this.#newestByName.set(entryVm, view);
	}

	/** Finds the peer that owns an identifier's submission, preferring one that is not leaving. */
	findOwner(
		{issuer, issuedAtMs}: SubmissionIdentifier,
		peers: PeerViews,
	): OwnerSearchResult {
		const key = incarnationKey(issuer);
		const owners = [...peers].filter(([, {holds}]) => holds.includes(key));
		const [name] =
			owners.find(([, {isLeaving}]) => !isLeaving) ?? owners[0] ?? [];
		if (name !== undefined) {
			return {kind: 'found', peer: name};
		}

		const isEveryListedConnected = [...this.#listedNames].every(
			(listed) => listed === this.#options.self.entryVm || peers.has(listed),
		);
		return isEveryListedConnected && this.#hasEnded(issuer, issuedAtMs, peers)
			? {kind: 'gone'}
			: {kind: 'unreachable'};
	}

	/** Finds the peer with exactly this incarnation, which was running at `knownAtMs`. */
	findIncarnation(
		incarnation: Incarnation,
		knownAtMs: number,
		peers: PeerViews,
	): OwnerSearchResult {
		const peer = peers.get(incarnation.entryVm);
		if (peer?.incarnation.nonce === incarnation.nonce) {
			return {kind: 'found', peer: incarnation.entryVm};
		}

		return this.#hasEnded(incarnation, knownAtMs, peers)
			? {kind: 'gone'}
			: {kind: 'unreachable'};
	}

	/** Whether a process has provably ended. A start within the clock skew of `knownAtMs` is no proof. */
	#hasEnded(
		incarnation: Incarnation,
		knownAtMs: number,
		peers: PeerViews,
	): boolean {
		const {self, clockSkewMs} = this.#options;
		const connected = peers.get(incarnation.entryVm);
		return (
			incarnation.entryVm === self.entryVm ||
			this.#removedNames.has(incarnation.entryVm) ||
			this.#replacedKeys.has(incarnationKey(incarnation)) ||
			(connected !== undefined &&
				connected.incarnation.nonce !== incarnation.nonce &&
				connected.startedAtMs > knownAtMs + clockSkewMs)
		);
	}
}
