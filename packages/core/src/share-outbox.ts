/** Loan records that wait to be sent, within a bound on bytes per second. */
import {type LoanRecord} from './share-message.js';

const messageBytes = 90;
const recordBytes = 24;

/** Loan records that wait to be sent, one per peer and resource. */
export class ShareOutbox {
	/** Units to ask for, by resource, by peer. */
	readonly #waiting = new Map<string, Map<string, number>>();
	readonly #bytesPerSecond: number;
	#budgetBytes: number;
	#refilledAtMs: number | undefined;

	constructor(bytesPerSecond: number) {
		this.#bytesPerSecond = bytesPerSecond;
		this.#budgetBytes = bytesPerSecond;
	}

	get isEmpty(): boolean {
		return this.#waiting.size === 0;
	}

	/** Whether more may be sent now. */
	get hasBudget(): boolean {
		return this.#budgetBytes > 0;
	}

	/** Lets the record of a resource be sent, with a request for so many units. */
	post(peer: string, resource: string, wanted = 0): void {
		const records = this.#waiting.get(peer) ?? new Map<string, number>();
		records.set(resource, Math.max(wanted, records.get(resource) ?? 0));
		this.#waiting.set(peer, records);
	}

	drop(peer: string): void {
		this.#waiting.delete(peer);
	}

	clear(): void {
		this.#waiting.clear();
	}

	refill(now: number): void {
		const elapsedMs = now - (this.#refilledAtMs ?? now);
		this.#refilledAtMs = now;
		this.#budgetBytes = Math.min(
			this.#bytesPerSecond,
			this.#budgetBytes + (elapsedMs * this.#bytesPerSecond) / 1000,
		);
	}

	/** Takes what may be sent now; the peers that waited longest come first. */
	take(
		recordOf: (peer: string, resource: string, wanted: number) => LoanRecord,
	): ReadonlyMap<string, readonly LoanRecord[]> {
		const taken = new Map<string, readonly LoanRecord[]>();
		for (const [peer, records] of this.#waiting) {
			if (!this.hasBudget) {
				break;
			}

			this.#waiting.delete(peer);
			this.#budgetBytes -=
				messageBytes +
				[...records.keys()].reduce(
					(bytes, resource) => bytes + resource.length + recordBytes,
					0,
				);
			taken.set(
				peer,
				[...records].map(([resource, wanted]) =>
					recordOf(peer, resource, wanted),
				),
			);
		}

		return taken;
	}
}
