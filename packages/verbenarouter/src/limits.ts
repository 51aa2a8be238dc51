/** The parts of an entry VM that keep limits and workers' slots divided among all entry VMs, put together. */
import {
	ShareLedger,
	incarnationKey,
	findLimitCapacity,
	findSlotsCapacity,
	type Capacity,
	type Catalogue,
	type Incarnation,
	type MachineList,
	type Target,
} from '@verbenarouter/core';
import {type PeerMesh} from '@verbenarouter/peer';
import {type Clock} from './clock.js';
import {LedgerExchange} from './ledger-exchange.js';
import {QuotaGate} from './quota-gate.js';

/** What the limits need from the rest of the entry VM. */
export type LimitNeeds = {
	readonly incarnation: Incarnation;
	readonly catalogue: () => Catalogue;
	readonly mesh: () => PeerMesh;
	readonly clock: Clock;
	/** Hears that tasks that waited may start now. */
	readonly onGain: () => void;
};

/** Limits and workers' slots, divided among all entry VMs. */
export class Limits {
	readonly ledger: ShareLedger;
	readonly gate: QuotaGate;
	readonly exchange: LedgerExchange;
	readonly #needs: LimitNeeds;
	#targets: ReadonlyMap<string, Target> = new Map();
	#catalogueOffset = -1;

	constructor(needs: LimitNeeds) {
		const {incarnation, catalogue, mesh, clock, onGain} = needs;
		this.#needs = needs;
		this.ledger = new ShareLedger({
			self: {
				name: incarnation.entryVm,
				zone: incarnation.zone,
				incarnation: incarnationKey(incarnation),
			},
			findCapacity: (resource) => this.#capacityOf(resource),
			isReachable: (name) => mesh().isConnected(name),
		});
		this.exchange = new LedgerExchange({
			ledger: this.ledger,
			beforeTurn: (now) => this.#beforeTurn(now),
			mesh,
			clock,
			onGain,
		});
		this.gate = new QuotaGate(this.ledger, catalogue, () => {
			this.exchange.poke();
		});
	}

	/** Takes the newest list of VMs. */
	updateMachines(list: MachineList): void {
		this.#targets = new Map(
			list.machines.flatMap((machine) =>
				machine.role === 'target' ? [[machine.name, machine] as const] : [],
			),
		);
		this.ledger.refreshCapacities();
		this.exchange.updateMachines(list);
	}

	#capacityOf(resource: string): Capacity | undefined {
		return (
			findSlotsCapacity(this.#targets, resource) ??
			findLimitCapacity(this.#needs.catalogue(), resource)
		);
	}

	#beforeTurn(now: number): boolean {
		const {nextOffset} = this.#needs.catalogue();
		if (nextOffset !== this.#catalogueOffset) {
			this.#catalogueOffset = nextOffset;
			this.ledger.refreshCapacities();
		}

		return this.gate.review(now);
	}
}
