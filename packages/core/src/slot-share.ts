/** Ways to know which slots of the targets an entry VM may fill. */
import {type EntryVm, type Target} from './member.js';
import {slotsResource} from './limit.js';
import {type ShareLedger} from './share-ledger.js';
import {type SlotAllocator} from './target-tracker.js';

/** The part of a share ledger that slots need. */
export type SlotLedger = Pick<
	ShareLedger,
	'free' | 'held' | 'tryTake' | 'giveBack' | 'wants'
>;

/** The baseline: every slot that this entry VM has not filled itself counts as free, and targets refuse what is too much. */
export class SharedSlots implements SlotAllocator {
	readonly #inUse = new Map<string, number>();

	/** Takes the platform's newest list of entry VMs. */
	update(): void {
		// Other entry VMs make no difference.
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
		const left = (this.#inUse.get(name) ?? 1) - 1;
		if (left > 0) {
			this.#inUse.set(name, left);
		} else {
			this.#inUse.delete(name);
		}
	}

	requestSlots(): void {
		// Nobody is asked.
	}
}

/** An entry VM among which the slots of its zone are divided. */
export type HolderOfSlots = Pick<EntryVm, 'name' | 'zone'>;

/** Fixed shares without lending: each target's slots are divided among the entry VMs of its zone. */
export class FixedSlotShares implements SlotAllocator {
	readonly #self: HolderOfSlots;
	readonly #inUse = new SharedSlots();
	#entryVms: readonly HolderOfSlots[] = [];
	#shares = new Map<string, number>();

	constructor(self: HolderOfSlots) {
		this.#self = self;
	}

	/** Takes the platform's newest list of entry VMs. */
	update(entryVms: readonly EntryVm[]): void {
		const others = entryVms.filter(
			({name, state}) => name !== this.#self.name && state === 'live',
		);
		// Also when it is not listed, or not live: it finishes what it has admitted.
		this.#entryVms = [...others, this.#self];
		this.#shares = new Map();
	}

	free(target: Target): number {
		const inUse = target.slots - this.#inUse.free(target);
		return this.#share(target) - inUse;
	}

	tryTake(target: Target): boolean {
		return this.free(target) > 0 && this.#inUse.tryTake(target);
	}

	release(target: Target): void {
		this.#inUse.release(target);
	}

	requestSlots(): void {
		// Shares do not move.
	}

	#share(target: Target): number {
		const known = this.#shares.get(target.name);
		if (known !== undefined) {
			return known;
		}

		const inZone = this.#entryVms.filter(({zone}) => zone === target.zone);
		const holders = (inZone.length > 0 ? inZone : this.#entryVms)
			.map(({name}) => name)
			.toSorted();
		const position = holders.indexOf(this.#self.name);
		const share =
			position === -1 ? 0 : shareOf(target, position, holders.length);
		this.#shares.set(target.name, share);
		return share;
	}
}

/** Slots as resources of a share ledger, which lends them between entry VMs. */
export class LedgerSlots implements SlotAllocator {
	readonly #ledger: SlotLedger;
	readonly #zone: string;
	readonly #onWant: () => void;
	#targets: readonly Target[] = [];
	#wanted: ReadonlyMap<string, number> = new Map();

	/** `onWant` hears that slots are wanted, so that they can be asked for at once. */
	constructor(ledger: SlotLedger, zone: string, onWant: () => void) {
		this.#ledger = ledger;
		this.#zone = zone;
		this.#onWant = onWant;
	}

	/** Takes the platform's newest list. */
	update(_entryVms: readonly EntryVm[], targets: readonly Target[]): void {
		this.#targets = targets.filter(({state}) => state === 'live');
	}

	free({name}: Target): number {
		return this.#ledger.free(slotsResource(name));
	}

	tryTake({name}: Target, now: number): boolean {
		return this.#ledger.tryTake(slotsResource(name), 1, now);
	}

	release({name}: Target, now: number): void {
		this.#ledger.giveBack(slotsResource(name), 1, now);
	}

	/** Spreads the wish over the targets, those of the own zone first. */
	requestSlots(waitingTasks: number): void {
		if (waitingTasks === 0 && this.#wanted.size === 0) {
			return;
		}

		const wanted = this.#spread(waitingTasks);
		for (const name of this.#wanted.keys()) {
			if (!wanted.has(name)) {
				this.#ledger.wants(slotsResource(name), 0);
			}
		}

		for (const [name, units] of wanted) {
			this.#ledger.wants(slotsResource(name), units);
		}

		this.#wanted = wanted;
		if (wanted.size > 0) {
			this.#onWant();
		}
	}

	#spread(waitingTasks: number): ReadonlyMap<string, number> {
		const wanted = new Map<string, number>();
		let left = waitingTasks;
		for (const isOwn of [true, false]) {
			const targets = this.#targets.filter(
				({zone}) => (zone === this.#zone) === isOwn,
			);
			const each = Math.ceil(left / Math.max(1, targets.length));
			for (const {name, slots} of targets) {
				const held = this.#ledger.held(slotsResource(name));
				const units = Math.min(left, each, Math.max(0, slots - held));
				if (units > 0) {
					wanted.set(name, units);
					left -= units;
				}
			}
		}

		return wanted;
	}
}

/** Equal parts; the odd slots go to other holders for each target. */
function shareOf(
	{name, slots}: Target,
	position: number,
	count: number,
): number {
	const turn = [...name].reduce(
		(sum, letter) => sum + (letter.codePointAt(0) ?? 0),
		0,
	);
	const rank = (position + turn) % count;
	return Math.floor(slots / count) + (rank < slots % count ? 1 : 0);
}
