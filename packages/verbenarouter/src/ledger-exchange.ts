import {
	incarnationKey,
	type Incarnation,
	type LedgerMessage,
	type MachineList,
	type OutgoingLedgerMessage,
	type ShareLedger,
} from '@verbenarouter/core';
import {type Hello, type PeerMesh} from '@verbenarouter/peer';
import {type Clock} from './clock.js';

/** Time between two regular ticks of the share ledger. */
const tickIntervalMs = 50;

/** Collaborators of a {@link LedgerExchange}. */
export type LedgerExchangeOptions = {
	readonly ledger: ShareLedger;
	/** Updates the ledger's demand before each tick; returns whether waiting tasks may be able to start. */
	readonly prepareTick: (now: number) => boolean;
	readonly mesh: () => Pick<PeerMesh, 'notify'>;
	readonly clock: Clock;
	/** Called when waiting tasks may be able to start. */
	readonly onCapacityGained: () => void;
};

/** Runs the ticks of the share ledger and exchanges its messages with peers. */
export class LedgerExchange {
	readonly #options: LedgerExchangeOptions;
	#timer: NodeJS.Timeout | undefined;
	#isTickScheduled = false;
	#isStopped = false;

	constructor(options: LedgerExchangeOptions) {
		this.#options = options;
	}

	/** Starts the regular ticks. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickIntervalMs);
	}

	/** Stops the ticks and notifies the peers that this entry VM has left. */
	stop(): void {
		clearInterval(this.#timer);
		this.#isStopped = true;
		this.#send(this.#options.ledger.leave());
	}

	/** Schedules a tick for the end of the current turn of the event loop, unless one is scheduled already. */
	scheduleTick(): void {
		if (!this.#isTickScheduled && !this.#isStopped) {
			this.#isTickScheduled = true;
			setImmediate(() => {
				this.#isTickScheduled = false;
				this.#tick();
			});
		}
	}

	/** Applies the platform's newest list of VMs to the member set. */
	updateMachines({version, machines}: MachineList): void {
		this.#options.ledger.updateMemberSet({
			version,
			members: machines.flatMap((machine) =>
				machine.role === 'entry'
					? [
							{
								name: machine.name,
								zone: machine.zone,
								isLeaving: machine.state === 'leaving',
							},
						]
					: [],
			),
		});
		this.scheduleTick();
	}

	/** Handles the hello of a peer on a stream that this entry VM opened. */
	handleLinkHello({incarnation}: Hello): void {
		this.#options.ledger.handlePeerConnected(
			incarnation.entryVm,
			incarnationKey(incarnation),
		);
		this.scheduleTick();
	}

	/** Handles the hello of a peer on any stream; it only affects a peer that is not in the newest member set. */
	handleHello({incarnation, startedAtMs}: Hello): void {
		this.#options.ledger.handleUnlistedPeerConnected(
			incarnation.entryVm,
			incarnationKey(incarnation),
			startedAtMs,
		);
		this.scheduleTick();
	}

	/** Applies messages from a peer's ledger. */
	receive(messages: readonly LedgerMessage[]): void {
		const now = this.#options.clock();
		const results = messages.map((message) =>
			this.#options.ledger.receive(parseEntryVm(message.from), message, now),
		);
		if (results.includes(true)) {
			this.#options.onCapacityGained();
		}

		this.scheduleTick();
	}

	#tick(): void {
		if (this.#isStopped) {
			return;
		}

		const now = this.#options.clock();
		const canStartTasks = this.#options.prepareTick(now);
		this.#send(this.#options.ledger.tick(now));
		if (canStartTasks) {
			this.#options.onCapacityGained();
		}
	}

	#send(outgoing: readonly OutgoingLedgerMessage[]): void {
		const messages = new Map<string, LedgerMessage[]>();
		for (const {to, message} of outgoing) {
			messages.set(to, [...(messages.get(to) ?? []), message]);
		}

		for (const [to, batch] of messages) {
			this.#options.mesh().notify(to, batch);
		}
	}
}

/** Returns the entry VM of a ledger incarnation, which begins with {@link incarnationKey}. */
function parseEntryVm(from: string): Incarnation['entryVm'] {
	return from.split('.')[1] ?? '';
}
