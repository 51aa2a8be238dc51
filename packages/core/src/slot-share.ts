/** Ways to know which slots of the targets an entry VM may fill. */
import {type EntryVm, type Target} from './member.js';
import {type SlotView} from './target-board.js';

/** The baseline: every slot that this entry VM has not filled itself counts as free, and targets refuse what is too much. */
export class SharedSlots implements SlotView {
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

	want(): void {
		// Nobody is asked.
	}
}

/** Fixed shares without lending: each target's slots are divided among the entry VMs of its zone. */
export class FixedSlotShares implements SlotView {
	readonly #self: string;
	readonly #inUse = new SharedSlots();
	#entryVms: readonly EntryVm[] = [];
	#shares = new Map<string, number>();

	constructor(self: string) {
		this.#self = self;
	}

	/** Takes the platform's newest list of entry VMs. */
	update(entryVms: readonly EntryVm[]): void {
		this.#entryVms = entryVms.filter(({state}) => state === 'live');
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

	want(): void {
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
		const position = holders.indexOf(this.#self);
		const share =
			position === -1 ? 0 : shareOf(target, position, holders.length);
		this.#shares.set(target.name, share);
		return share;
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
