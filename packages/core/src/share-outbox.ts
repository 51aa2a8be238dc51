import {type LoanRecord} from './share-message.js';

const messageOverheadBytes = 90;
const recordOverheadBytes = 24;

/** Queues loan records, at most one per peer and resource, and limits the bytes per second that are sent. */
export class ShareOutbox {
	/** The units to request in each queued record: peer, then resource, to units. */
	readonly #requestedUnitsByPeer = new Map<string, Map<string, number>>();
	readonly #bytesPerSecond: number;
	#budgetBytes: number;
	#refilledAtMs: number | undefined;

	constructor(bytesPerSecond: number) {
		this.#bytesPerSecond = bytesPerSecond;
		this.#budgetBytes = bytesPerSecond;
	}

	/** Whether no record is queued. */
	get isEmpty(): boolean {
		return this.#requestedUnitsByPeer.size === 0;
	}

	/** Whether the byte budget allows another message now. */
	get hasBudget(): boolean {
		return this.#budgetBytes > 0;
	}

	/** Queues the record of a resource for a peer. A record that is already queued keeps the larger request. */
	enqueue(peer: string, resource: string, requestedUnits = 0): void {
		const records =
			this.#requestedUnitsByPeer.get(peer) ?? new Map<string, number>();
		records.set(resource, Math.max(requestedUnits, records.get(resource) ?? 0));
		this.#requestedUnitsByPeer.set(peer, records);
	}

	/** Discards the records queued for a peer. */
	discardPeer(peer: string): void {
		this.#requestedUnitsByPeer.delete(peer);
	}

	/** Discards all queued records. */
	clear(): void {
		this.#requestedUnitsByPeer.clear();
	}

	/** Adds the bytes earned since the last call to the budget, up to one second's worth. */
	refillBudget(nowMs: number): void {
		const elapsedMs = nowMs - (this.#refilledAtMs ?? nowMs);
		this.#refilledAtMs = nowMs;
		this.#budgetBytes = Math.min(
			this.#bytesPerSecond,
			this.#budgetBytes + (elapsedMs * this.#bytesPerSecond) / 1000,
		);
	}

	/** Removes and returns the records that the budget allows, by peer; peers queued first come first. */
	dequeue(
		createRecord: (
			peer: string,
			resource: string,
			requestedUnits: number,
		) => LoanRecord,
	): ReadonlyMap<string, readonly LoanRecord[]> {
		const taken = new Map<string, readonly LoanRecord[]>();
		for (const [peer, records] of this.#requestedUnitsByPeer) {
			if (!this.hasBudget) {
				break;
			}

			this.#requestedUnitsByPeer.delete(peer);
			this.#budgetBytes -=
				messageOverheadBytes +
				[...records.keys()].reduce(
					(bytes, resource) => bytes + resource.length + recordOverheadBytes,
					0,
				);
			taken.set(
				peer,
				[...records].map(([resource, requestedUnits]) =>
					createRecord(peer, resource, requestedUnits),
				),
			);
		}

		return taken;
	}
}
