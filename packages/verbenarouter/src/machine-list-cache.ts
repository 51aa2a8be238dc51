import {type MachineList} from '@verbenarouter/core';

/** Holds the newest list of VMs, received from the platform or from a peer. */
export class MachineListCache {
	readonly #onReplaced: (list: MachineList) => void;
	#newest: MachineList | undefined;

	/** `onReplaced` is called with each new list, the first included. */
	constructor(onReplaced: (list: MachineList) => void) {
		this.#onReplaced = onReplaced;
	}

	/** The newest list; `undefined` until one is received. */
	get newest(): MachineList | undefined {
		return this.#newest;
	}

	/** Replaces the list with the platform's, whatever its version. */
	replace(list: MachineList): void {
		this.#newest = list;
		this.#onReplaced(list);
	}

	/** Replaces the list with a peer's if that has a higher version. */
	replaceIfNewer(list: MachineList): void {
		if (this.#newest === undefined || list.version > this.#newest.version) {
			this.replace(list);
		}
	}
}
