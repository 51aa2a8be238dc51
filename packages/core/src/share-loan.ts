/** The loans of one resource between this entry VM and one peer, in both directions. */
import {type LoanRecord} from './share-message.js';

/** What a record from the peer changed, in units. */
export type LoanChange = {
	/** Units that the peer has lent to this entry VM. */
	readonly received: number;
	/** Units that the peer has returned. */
	readonly regained: number;
	/** Whether the peer has not seen the newest counters of this entry VM. */
	readonly isPeerBehind: boolean;
};

/**
 * Counters that only grow. The one that gives units away counts them first, and the one that gets them counts them
 * when it hears of it, so that a lost record leaves units unusable until the next one and never doubles them.
 */
export class Loan {
	#lent = 0;
	#regained = 0;
	#received = 0;
	#returned = 0;
	#seenReceived = 0;
	#seenRegained = 0;

	/** Units that the peer has from this entry VM. */
	get outstanding(): number {
		return this.#lent - this.#regained;
	}

	/** Units that this entry VM has from the peer. */
	get borrowed(): number {
		return this.#received - this.#returned;
	}

	/** Whether the peer has yet to confirm units that were given to it. */
	get isUnconfirmed(): boolean {
		return (
			this.#seenReceived < this.#lent || this.#seenRegained < this.#returned
		);
	}

	/** Lends units to the peer; the caller has taken them out of its own use. */
	lend(units: number): void {
		this.#lent += units;
	}

	/** Returns borrowed units; the caller has taken them out of its own use. */
	giveBack(units: number): void {
		this.#returned += units;
	}

	/** The record for the peer, with the units that this entry VM wants. */
	record(resource: string, wanted: number): LoanRecord {
		return [
			resource,
			this.#lent,
			this.#regained,
			this.#received,
			this.#returned,
			wanted,
		];
	}

	/** Takes in the peer's record. */
	merge([
		,
		lent,
		seenRegained,
		seenReceived,
		returned,
	]: LoanRecord): LoanChange {
		const received = Math.max(0, lent - this.#received);
		const regained = Math.max(0, returned - this.#regained);
		this.#received += received;
		this.#regained += regained;
		this.#seenReceived = Math.max(this.#seenReceived, seenReceived);
		this.#seenRegained = Math.max(this.#seenRegained, seenRegained);
		return {received, regained, isPeerBehind: seenRegained < this.#returned};
	}
}
