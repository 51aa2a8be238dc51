/** Interval of lists to a peer that announces no version of its own list, as those of the last build. */
const legacyIntervalMs = 4000;
/** Shortest time between two lists to one peer. */
const minIntervalMs = 300;
/** Time between lists to a peer whose version differs, while the own list has not changed since the last one. */
const repeatMs = 4000;
/** Time between lists to a peer that has the same members: they refresh the ages of the entries. */
const refreshMs = 30_000;

/** The last list that was sent to a peer. */
type SentList = {readonly version: string; readonly atMs: number};

/** Decides which heartbeats include the list of entry VMs: those to peers whose list differs, at a bounded rate for each. */
export class MemberListSchedule {
	readonly #peerVersions = new Map<string, string | undefined>();
	readonly #sent = new Map<string, SentList>();

	/** Records the version that a peer announces, `undefined` if it announces none. */
	recordPeer(address: string, version: string | undefined): void {
		this.#peerVersions.set(address, version);
	}

	/** Whether a peer has announced another version than the own one. */
	hasOtherList(address: string, version: string): boolean {
		const peerVersion = this.#peerVersions.get(address);
		return peerVersion !== undefined && peerVersion !== version;
	}

	/** Returns the recipients of a heartbeat that are sent the list with it, and records it as sent. */
	takeDue(
		recipients: ReadonlySet<string>,
		version: string,
		now: number,
	): ReadonlySet<string> {
		const due = new Set(
			[...recipients].filter((address) => this.#isDue(address, version, now)),
		);
		for (const address of recipients) {
			// The time until the first refresh starts when a peer turns out to have the same list.
			const isFirstEqual =
				!this.#sent.has(address) && this.#peerVersions.get(address) === version;
			if (due.has(address) || isFirstEqual) {
				this.#sent.set(address, {version, atMs: now});
			}
		}

		return due;
	}

	#isDue(address: string, version: string, now: number): boolean {
		// A peer that has sent nothing yet may have the same list.
		if (!this.#peerVersions.has(address)) {
			return false;
		}

		const peerVersion = this.#peerVersions.get(address);
		const sent = this.#sent.get(address);
		const sinceMs = now - (sent?.atMs ?? Number.NEGATIVE_INFINITY);
		if (peerVersion === undefined) {
			return sinceMs >= legacyIntervalMs;
		}

		if (peerVersion === version) {
			return sent !== undefined && sinceMs >= refreshMs;
		}

		return sinceMs >= (sent?.version === version ? repeatMs : minIntervalMs);
	}
}
