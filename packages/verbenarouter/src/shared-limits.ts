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
import {QuotaStartLimiter} from './quota-start-limiter.js';

/** Collaborators of {@link SharedLimits}. */
export type SharedLimitsOptions = {
	readonly incarnation: Incarnation;
	readonly catalogue: () => Catalogue;
	readonly mesh: () => PeerMesh;
	readonly clock: Clock;
	/** Called when waiting tasks may be able to start. */
	readonly onCapacityGained: () => void;
};

/**
 * Connects the share ledger, which divides limits and the slots of targets among all entry VMs, to its message exchange
 * and to the limiter of task starts.
 */
export class SharedLimits {
	readonly ledger: ShareLedger;
	readonly startLimiter: QuotaStartLimiter;
	readonly exchange: LedgerExchange;
	readonly #options: SharedLimitsOptions;
	#targets: ReadonlyMap<string, Target> = new Map();
	#catalogueOffset = -1;

	constructor(options: SharedLimitsOptions) {
		const {incarnation, catalogue, mesh, clock, onCapacityGained} = options;
		this.#options = options;
		this.ledger = new ShareLedger({
			self: {
				name: incarnation.entryVm,
				zone: incarnation.zone,
				incarnation: incarnationKey(incarnation),
			},
			findCapacity: (resource) => this.#findCapacity(resource),
			isReachable: (name) => mesh().isConnected(name),
		});
		this.exchange = new LedgerExchange({
			ledger: this.ledger,
			prepareTick: (now) => this.#prepareTick(now),
			mesh,
			clock,
			onCapacityGained,
		});
		this.startLimiter = new QuotaStartLimiter(this.ledger, catalogue, () => {
			this.exchange.scheduleTick();
		});
	}

	/** Applies the newest list of VMs. */
	updateMachines(list: MachineList): void {
		this.#targets = new Map(
			list.machines.flatMap((machine) =>
				machine.role === 'target' ? [[machine.name, machine] as const] : [],
			),
		);
		this.ledger.refreshCapacities();
		this.exchange.updateMachines(list);
	}

	#findCapacity(resource: string): Capacity | undefined {
		return (
			findSlotsCapacity(this.#targets, resource) ??
			findLimitCapacity(this.#options.catalogue(), resource)
		);
	}

	#prepareTick(now: number): boolean {
		const {nextOffset} = this.#options.catalogue();
		if (nextOffset !== this.#catalogueOffset) {
			this.#catalogueOffset = nextOffset;
			this.ledger.refreshCapacities();
		}

		return this.startLimiter.updateDemand(now);
	}
}
