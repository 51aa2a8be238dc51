import {type LoanRecord} from './share-message.js';

/** The changes that a record from the peer made. Quantities are in units. */
export type LoanChange = {
	/** Units newly lent by the peer to this entry VM. */
	readonly received: number;
	/** Units newly returned by the peer. */
	readonly regained: number;
	/** Whether the record lacks units that this entry VM has returned, so that its own record must be sent again. */
	readonly isPeerBehind: boolean;
};

/**
 * The loans of one resource between this entry VM and one peer, in both directions, as counters that only grow.
 *
 * The giver counts units as given before the recipient receives the record. A lost record therefore leaves the units
 * unusable until the next record arrives, and never lets both entry VMs use them.
 */
export class Loan {
	#lent = 0;
	#regained = 0;
	#received = 0;
	#returned = 0;
	#confirmedReceived = 0;
	#confirmedRegained = 0;

	/** Units that this entry VM has lent to the peer and not got back. */
	get outstanding(): number {
		return this.#lent - this.#regained;
	}

	/** Units that this entry VM has borrowed from the peer and not returned. */
	get borrowed(): number {
		return this.#received - this.#returned;
	}

	/** Whether the peer has not yet confirmed all units that this entry VM lent or returned to it. */
	get isUnconfirmed(): boolean {
		return (
			this.#confirmedReceived < this.#lent ||
			this.#confirmedRegained < this.#returned
		);
	}

	/** Lends units to the peer. The caller must subtract them from the units that this entry VM may use. */
	lend(units: number): void {
		this.#lent += units;
	}

	/** Returns borrowed units to the peer. The caller must subtract them from the units that this entry VM may use. */
	returnUnits(units: number): void {
		this.#returned += units;
	}

	/** Creates the record to send to the peer, with the units that this entry VM requests. */
	toRecord(resource: string, requestedUnits: number): LoanRecord {
		return [
			resource,
			this.#lent,
			this.#regained,
			this.#received,
			this.#returned,
			requestedUnits,
		];
	}

	/** Merges a record from the peer and returns what it changed. */
	merge([
		,
		lent,
		confirmedRegained,
		confirmedReceived,
		returned,
	]: LoanRecord): LoanChange {
		const received = Math.max(0, lent - this.#received);
		const regained = Math.max(0, returned - this.#regained);
		this.#received += received;
		this.#regained += regained;
		this.#confirmedReceived = Math.max(
			this.#confirmedReceived,
			confirmedReceived,
		);
		this.#confirmedRegained = Math.max(
			this.#confirmedRegained,
			confirmedRegained,
		);
		return {
			received,
			regained,
			isPeerBehind: confirmedRegained < this.#returned,
		};
	}
}
