import {type HeartbeatTimes, type ReceiverGrant} from '@verbenarouter/core';

/**
 * A receiver's grants to the leaders of its jobs. A grant tells a leader which of its heartbeats has been read, and that no job of
 * the present epoch had been moved to another leader by then. It takes the heartbeats from a function, and reads no clock.
 */
export class LeaderGrants {
	readonly #firstEpoch: number;
	readonly #findHeartbeatTimes: (leader: string) => HeartbeatTimes | undefined;
	readonly #epochs = new Map<string, number>();

	constructor(
		firstEpoch: number,
		findHeartbeatTimes: (leader: string) => HeartbeatTimes | undefined,
	) {
		this.#firstEpoch = firstEpoch;
		this.#findHeartbeatTimes = findHeartbeatTimes;
	}

	/** Returns the present epoch of the grants to a leader. */
	epochOf(leader: string): number {
		return this.#epochs.get(leader) ?? this.#firstEpoch;
	}

	/** Ends the grants of an epoch, as a job that was submitted in it is moved away from the leader; later epochs stay. */
	end(leader: string, epoch: number): void {
		if (epoch === this.epochOf(leader)) {
			this.#epochs.set(leader, epoch + 1);
		}
	}

	/** Returns the grant to a leader; `undefined` if none of its heartbeats tells when it was sent. */
	grantTo(leader: string): ReceiverGrant | undefined {
		const times = this.#findHeartbeatTimes(leader);
		return (
			times && {
				epoch: this.epochOf(leader),
				heartbeatSentAtMs: times.sentAtMs,
			}
		);
	}

	/**
	 * Returns when the newest heartbeat arrived that can have been confirmed to a leader, in milliseconds by the receiver's clock;
	 * `undefined` if it is unknown.
	 */
	latestConfirmationMs(leader: string): number | undefined {
		return this.#findHeartbeatTimes(leader)?.receivedAtMs;
	}
}
