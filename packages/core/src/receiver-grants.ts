/**
 * A receiver's confirmation that a leader has its jobs: a lease on the right to start and to extend their runs. The leader counts
 * the time of the lease from the sending of the heartbeat that is confirmed, so that no delay on the way makes it longer.
 */
export type ReceiverGrant = {
	/** Changes when the receiver moves a job to another leader; jobs that were submitted in an earlier epoch are not renewed. */
	readonly epoch: number;
	/** `sentAtMs` of the newest heartbeat that the receiver has read from the leader: milliseconds by the leader's clock. */
	readonly heartbeatSentAtMs: number;
};

type GrantedEpoch = {readonly epoch: number; readonly confirmedAtMs: number};

/** Number of epochs of a receiver that are kept: jobs of an earlier one are about to be moved or submitted again. */
const maxKeptEpochs = 4;

/** A leader's record of the grants of its receivers. */
export class ReceiverGrants {
	/** Epochs by receiver, the one that was granted last at the end. */
	readonly #epochs = new Map<string, readonly GrantedEpoch[]>();

	/** Records a grant of a receiver; one that confirms a heartbeat of the future, as after a jump of the clock, is ignored. */
	renew(
		receiver: string,
		{epoch, heartbeatSentAtMs}: ReceiverGrant,
		now: number,
	): void {
		if (heartbeatSentAtMs > now) {
			return;
		}

		const epochs = this.#epochs.get(receiver) ?? [];
		const confirmedAtMs = Math.max(
			heartbeatSentAtMs,
			this.confirmedAtMs(receiver, epoch),
		);
		this.#epochs.set(
			receiver,
			[
				...epochs.filter((granted) => granted.epoch !== epoch),
				{epoch, confirmedAtMs},
			].slice(-maxKeptEpochs),
		);
	}

	/** Returns the time at which this leader sent the newest heartbeat that an entry VM has confirmed in any epoch. */
	newestConfirmationMs(receiver: string): number {
		return Math.max(
			...(this.#epochs.get(receiver) ?? []).map(
				({confirmedAtMs}) => confirmedAtMs,
			),
		);
	}

	/**
	 * Returns the time at which this leader sent the newest heartbeat that the receiver has confirmed in an epoch; negative
	 * infinity if there is none.
	 */
	confirmedAtMs(receiver: string, epoch: number): number {
		return (
			this.#epochs.get(receiver)?.find((granted) => granted.epoch === epoch)
				?.confirmedAtMs ?? Number.NEGATIVE_INFINITY
		);
	}
}
