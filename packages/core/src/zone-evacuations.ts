/** Whether a zone is evacuated: nothing is started on its workers while it is. */
export type ZoneEvacuation = {
	/** Name of the zone. */
	readonly zone: string;
	readonly isEvacuated: boolean;
	/**
	 * Position of the decision in the store's log. Of two entries of a zone, the one with the higher position is the newer
	 * one.
	 */
	readonly position: number;
};

/** A change of one zone. */
export type EvacuationChange = Pick<ZoneEvacuation, 'zone' | 'isEvacuated'>;

/** What was read of the operator's requests: some records in the order of the log, or all that exist at present. */
export type EvacuationRead = {
	readonly isSnapshot: boolean;
	/** Requests and deletions; a snapshot has no deletions. */
	readonly records: readonly EvacuationChange[];
	/** Offset of the store's log up to which the records are complete. */
	readonly endOffset: number;
	/** Value of `position` when the read began. */
	readonly positionAtStart: number;
};

/**
 * The zones that the operator has asked to evacuate, as far as this entry VM knows: from its own reads of the store, and
 * from copies that other entry VMs send. An older copy never overrides a newer one, so that a withdrawn request
 * does not come back.
 */
export class ZoneEvacuations {
	readonly #knownZones: ReadonlySet<string>;
	readonly #entries = new Map<string, ZoneEvacuation>();
	#evacuatedZones: ReadonlySet<string> = new Set();
	/** Highest position that is known. */
	#position = 0;
	/** Position of the newest complete snapshot that this process has read; zones without an entry had no request then. */
	#completePosition = -1;
	/**
	 * Added to the store's offsets. A store that has lost its history counts from a lower offset, and its later records
	 * must still count as newer than what is known.
	 */
	#offsetBase = 0;

	/** `zones` are all zones of the installation. Entries of other zones are ignored. */
	constructor(zones: readonly string[]) {
		this.#knownZones = new Set(zones);
	}

	/** All entries, also those of zones that are no longer evacuated: they are needed to reject older copies. */
	get entries(): readonly ZoneEvacuation[] {
		return [...this.#entries.values()];
	}

	/** Names of the zones that are evacuated. */
	get evacuatedZones(): ReadonlySet<string> {
		return this.#evacuatedZones;
	}

	/** Position up to which this entry VM knows the requests; 0 before anything is known. */
	get position(): number {
		return this.#position;
	}

	/** Applies what this process has read from the store itself; returns the zones that have changed. */
	applyRead(read: EvacuationRead): readonly EvacuationChange[] {
		const {isSnapshot, records, endOffset, positionAtStart} = read;
		const hasLostHistory =
			isSnapshot && endOffset + this.#offsetBase < positionAtStart;
		if (hasLostHistory) {
			this.#offsetBase = positionAtStart - endOffset;
		}

		const position = endOffset + this.#offsetBase;
		this.#position = Math.max(this.#position, position);
		if (isSnapshot || this.#completePosition >= 0) {
			this.#completePosition = Math.max(this.#completePosition, position);
		}

		// Without a history, the absence of a record does not show that the operator has deleted it.
		const deleted =
			isSnapshot && !hasLostHistory
				? [...this.evacuatedZones]
						.filter((zone) => !records.some((record) => record.zone === zone))
						.map((zone) => ({zone, isEvacuated: false}))
				: [];
		return this.#update(
			[...deleted, ...records]
				.filter(
					({zone}) =>
						this.#knownZones.has(zone) &&
						position >= (this.#entries.get(zone)?.position ?? 0),
				)
				.map(({zone, isEvacuated}) => ({zone, isEvacuated, position})),
		);
	}

	/**
	 * Merges the entries that another entry VM has sent; returns the zones that have changed. A request that is older than
	 * what was read here is answered by an entry with the position of that read, so that the sender learns of it too.
	 */
	merge(entries: readonly ZoneEvacuation[]): readonly EvacuationChange[] {
		const known = entries.filter(({zone}) => this.#knownZones.has(zone));
		return this.#update(
			known.flatMap((entry) => {
				const own = this.#entries.get(entry.zone);
				const ownPosition = Math.max(
					own?.position ?? -1,
					this.#completePosition,
				);
				if (entry.position > ownPosition) {
					return [entry];
				}

				return own?.position === ownPosition
					? []
					: [
							{
								zone: entry.zone,
								isEvacuated: own?.isEvacuated ?? false,
								position: ownPosition,
							},
						];
			}),
		);
	}

	/** Stores entries in their order; returns the zones whose last entry differs from before. */
	#update(entries: readonly ZoneEvacuation[]): readonly EvacuationChange[] {
		const before = this.#evacuatedZones;
		for (const entry of entries) {
			this.#entries.set(entry.zone, entry);
			this.#position = Math.max(this.#position, entry.position);
		}

		const after = new Set(
			this.entries.filter(({isEvacuated}) => isEvacuated).map(({zone}) => zone),
		);
		this.#evacuatedZones = after;
		return [...this.#entries.keys()]
			.filter((zone) => before.has(zone) !== after.has(zone))
			.map((zone) => ({zone, isEvacuated: after.has(zone)}));
	}
}
