/** Keeps the newest list of VMs, from the platform or from peers. */
import {type MachineList} from '@verbenarouter/core';

/** Keeps the newest list of VMs. */
export class MachineListKeeper {
	readonly #onList: (list: MachineList) => void;
	#newest: MachineList | undefined;

	constructor(onList: (list: MachineList) => void) {
		this.#onList = onList;
	}

	/** The newest list; `undefined` when none was heard of. */
	get newest(): MachineList | undefined {
		return this.#newest;
	}

	/** Takes over the platform's list as it is. */
	read(list: MachineList): void {
		this.#newest = list;
		this.#onList(list);
	}

	/** Takes over a peer's list when it is newer. */
	learn(list: MachineList): void {
		if (this.#newest === undefined || list.version > this.#newest.version) {
			this.read(list);
		}
	}
}
