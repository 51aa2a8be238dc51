/** Carries the messages of the share ledger over the links to peers, and gives the ledger its turns. */
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

const turnIntervalMs = 50;

/** The parts that the exchange connects. */
export type LedgerExchangeParts = {
	readonly ledger: ShareLedger;
	/** Prepares the ledger's turn; returns whether tasks that waited may start now. */
	readonly beforeTurn: (now: number) => boolean;
	readonly mesh: () => Pick<PeerMesh, 'notify'>;
	readonly clock: Clock;
	/** Hears that tasks that waited may find units now. */
	readonly onGain: () => void;
};

/** Carries the messages of the share ledger over the links to peers. */
export class LedgerExchange {
	readonly #parts: LedgerExchangeParts;
	#timer: NodeJS.Timeout | undefined;
	#isTurnDue = false;
	#isStopped = false;

	constructor(parts: LedgerExchangeParts) {
		this.#parts = parts;
	}

	/** Starts giving the ledger its turns. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#turn();
		}, turnIntervalMs);
	}

	/** Tells the peers that this entry VM uses nothing any more. */
	stop(): void {
		clearInterval(this.#timer);
		this.#isStopped = true;
		this.#send(this.#parts.ledger.leave());
	}

	/** Gives the ledger a turn at the end of this turn of the event loop. */
	poke(): void {
		if (!this.#isTurnDue && !this.#isStopped) {
			this.#isTurnDue = true;
			setImmediate(() => {
				this.#isTurnDue = false;
				this.#turn();
			});
		}
	}

	/** Takes the platform's newest list. */
	updateMachines({version, machines}: MachineList): void {
		this.#parts.ledger.updateMemberSet({
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
		this.poke();
	}

	/** Takes what the other end of an own stream says of itself. */
	linkUp({incarnation}: Hello): void {
		this.#parts.ledger.handlePeerConnected(
			incarnation.entryVm,
			incarnationKey(incarnation),
		);
		this.poke();
	}

	/** Takes what an entry VM says of itself on a stream that it opened; it counts only while no list names it. */
	heard({incarnation, startedAtMs}: Hello): void {
		this.#parts.ledger.handleUnlistedPeerConnected(
			incarnation.entryVm,
			incarnationKey(incarnation),
			startedAtMs,
		);
		this.poke();
	}

	/** Takes messages from a peer's ledger. */
	receive(messages: readonly LedgerMessage[]): void {
		const now = this.#parts.clock();
		const gains = messages.map((message) =>
			this.#parts.ledger.receive(entryVmOf(message.from), message, now),
		);
		if (gains.includes(true)) {
			this.#parts.onGain();
		}

		this.poke();
	}

	#turn(): void {
		if (this.#isStopped) {
			return;
		}

		const now = this.#parts.clock();
		const mayStart = this.#parts.beforeTurn(now);
		this.#send(this.#parts.ledger.tick(now));
		if (mayStart) {
			this.#parts.onGain();
		}
	}

	#send(outgoing: readonly OutgoingLedgerMessage[]): void {
		const messages = new Map<string, LedgerMessage[]>();
		for (const {to, message} of outgoing) {
			messages.set(to, [...(messages.get(to) ?? []), message]);
		}

		for (const [to, batch] of messages) {
			this.#parts.mesh().notify(to, batch);
		}
	}
}

/** The entry VM of a ledger's incarnation, which begins with {@link incarnationKey}. */
function entryVmOf(from: string): Incarnation['entryVm'] {
	return from.split('.')[1] ?? '';
}
