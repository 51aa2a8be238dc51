import {type EntryVm, type Target} from './machine.js';
import {buildSlotsResourceName} from './limit-resource.js';
import {type ShareLedger} from './share-ledger.js';
import {type SlotAllocator} from './target-tracker.js';

/** The methods of a {@link ShareLedger} that {@link LedgerSlots} uses. */
export type SlotLedger = Pick<
	ShareLedger,
	'free' | 'held' | 'tryTake' | 'giveBack' | 'wants'
>;

/**
 * Slots without coordination (setting `shared`), as a baseline: each slot that this entry VM has not filled counts as
 * free, and a target refuses tasks beyond its slots.
 */
export class UncoordinatedSlots implements SlotAllocator {
	readonly #inUse = new Map<string, number>();

	/** Ignores the platform's list, because other entry VMs do not affect the free slots. */
	update(): void {
		// Nothing to update.
	}

	free({name, slots}: Target): number {
		return slots - (this.#inUse.get(name) ?? 0);
	}

	tryTake(target: Target): boolean {
		if (this.free(target) <= 0) {
			return false;
		}

		this.#inUse.set(target.name, (this.#inUse.get(target.name) ?? 0) + 1);
		return true;
	}

	release({name}: Target): void {
		const remainingSlots = (this.#inUse.get(name) ?? 1) - 1;
		if (remainingSlots > 0) {
			this.#inUse.set(name, remainingSlots);
		} else {
			this.#inUse.delete(name);
		}
	}

	requestSlots(): void {
		// Slots are not requested from other entry VMs.
	}
}

/** An entry VM that has a share of the slots. */
export type SlotHolder = Pick<EntryVm, 'name' | 'zone'>;

/**
 * Fixed shares without lending (setting `fixed`): each target's slots are divided equally among the live entry VMs of
 * its zone, or of all zones if its zone has none.
 */
export class FixedSlotShares implements SlotAllocator {
	readonly #self: SlotHolder;
	readonly #taken = new UncoordinatedSlots();
	#entryVms: readonly SlotHolder[] = [];
	#shares = new Map<string, number>();

	constructor(self: SlotHolder) {
		this.#self = self;
	}

	/** Applies the platform's newest list of entry VMs. */
	update(entryVms: readonly EntryVm[]): void {
		const others = entryVms.filter(
			({name, state}) => name !== this.#self.name && state === 'live',
		);
		// This entry VM keeps a share even if it is unlisted or leaving, because it has to finish the tasks it has admitted.
		this.#entryVms = [...others, this.#self];
		this.#shares = new Map();
	}

	free(target: Target): number {
		const takenSlots = target.slots - this.#taken.free(target);
		return this.#getShare(target) - takenSlots;
	}

	tryTake(target: Target): boolean {
		return this.free(target) > 0 && this.#taken.tryTake(target);
	}

	release(target: Target): void {
		this.#taken.release(target);
	}

	requestSlots(): void {
		// Fixed shares do not follow demand.
	}

	#getShare(target: Target): number {
		const cachedShare = this.#shares.get(target.name);
		if (cachedShare !== undefined) {
			return cachedShare;
		}

		const inZone = this.#entryVms.filter(({zone}) => zone === target.zone);
		const holders = (inZone.length > 0 ? inZone : this.#entryVms)
			.map(({name}) => name)
			.toSorted();
		const position = holders.indexOf(this.#self.name);
		const share =
			position === -1 ? 0 : computeShare(target, position, holders.length);
		this.#shares.set(target.name, share);
		return share;
	}
}

/** Slots as resources of a {@link ShareLedger}, which lends them between entry VMs (setting `lent`). */
export class LedgerSlots implements SlotAllocator {
	readonly #ledger: SlotLedger;
	readonly #zone: string;
	readonly #onDemand: () => void;
	#targets: readonly Target[] = [];
	#demandByTarget: ReadonlyMap<string, number> = new Map();

	/** Creates the view; it calls `onDemand` when slots are needed, so that the ledger can request them immediately. */
	constructor(ledger: SlotLedger, zone: string, onDemand: () => void) {
		this.#ledger = ledger;
		this.#zone = zone;
		this.#onDemand = onDemand;
	}

	/** Applies the platform's newest list of targets. */
	update(_entryVms: readonly EntryVm[], targets: readonly Target[]): void {
		this.#targets = targets.filter(({state}) => state === 'live');
	}

	free({name}: Target): number {
		return this.#ledger.free(buildSlotsResourceName(name));
	}

	tryTake({name}: Target, nowMs: number): boolean {
		return this.#ledger.tryTake(buildSlotsResourceName(name), 1, nowMs);
	}

	release({name}: Target, nowMs: number): void {
		this.#ledger.giveBack(buildSlotsResourceName(name), 1, nowMs);
	}

	/** Distributes the demand of waiting tasks over the live targets, those in this entry VM's zone first. */
	requestSlots(waitingTasks: number): void {
		if (waitingTasks === 0 && this.#demandByTarget.size === 0) {
			return;
		}

		const demand = this.#distributeDemand(waitingTasks);
		for (const name of this.#demandByTarget.keys()) {
			if (!demand.has(name)) {
				this.#ledger.wants(buildSlotsResourceName(name), 0);
			}
		}

		for (const [name, units] of demand) {
			this.#ledger.wants(buildSlotsResourceName(name), units);
		}

		this.#demandByTarget = demand;
		if (demand.size > 0) {
			this.#onDemand();
		}
	}

	#distributeDemand(waitingTasks: number): ReadonlyMap<string, number> {
		const demand = new Map<string, number>();
		let remainingTasks = waitingTasks;
		for (const isOwnZone of [true, false]) {
			const targets = this.#targets.filter(
				({zone}) => (zone === this.#zone) === isOwnZone,
			);
			const tasksPerTarget = Math.ceil(
				remainingTasks / Math.max(1, targets.length),
			);
			for (const {name, slots} of targets) {
				const held = this.#ledger.held(buildSlotsResourceName(name));
				const units = Math.min(
					remainingTasks,
					tasksPerTarget,
					Math.max(0, slots - held),
				);
				if (units > 0) {
					demand.set(name, units);
					remainingTasks -= units;
				}
			}
		}

		return demand;
	}
}

/** Computes an equal share of a target's slots; the target's name rotates which holders receive the remainder. */
function computeShare(
	{name, slots}: Target,
	position: number,
	count: number,
): number {
	const rotation = [...name].reduce(
		(sum, letter) => sum + (letter.codePointAt(0) ?? 0),
		0,
	);
	const rank = (position + rotation) % count;
	return Math.floor(slots / count) + (rank < slots % count ? 1 : 0);
}
