/** What one entry VM knows of the targets: the platform's list, its own tasks in flight, their needs and their outcomes. */
import {type Needs} from './catalogue-entry.js';
import {type Target} from './machine.js';
import {
	TargetHealth,
	defaultHealthSettings,
	type HealthSettings,
} from './target-health.js';

/** Slots of targets that this entry VM may fill. */
export type SlotView = {
	/** Slots of a target that may be filled now. */
	free(target: Target): number;
	/** Fills one slot; returns whether it was free. */
	tryTake(target: Target, now: number): boolean;
	/** Frees one slot. */
	release(target: Target, now: number): void;
	/** Tells how many tasks wait for a slot. */
	want(waitingTasks: number, now: number): void;
};

/** One target with what is known of it. */
export type KnownTarget = {
	target: Target;
	readonly health: TargetHealth;
	inFlight: number;
	processorsInUse: number;
	memoryInUseMb: number;
	acceleratorsInUse: number;
	/** The target said itself that it leaves; the platform's list may still call it live. */
	saidLeavingAtMs: number | undefined;
	/** The target said that it is full, and until when. */
	fullUntilMs: number;
};

/** Why targets were passed over, as counts. */
export type PassedOver = {
	leaving: number;
	setAside: number;
	full: number;
	busy: number;
	needs: number;
};

/** Targets among which a policy may choose, and why the others were passed over. */
export type Choice = {
	readonly candidates: readonly KnownTarget[];
	readonly passedOver: Readonly<PassedOver>;
	/** Slots that may be filled now on targets of all kinds. */
	readonly freeSlots: number;
};

/** A target that said itself that it leaves may be tried again after this time, when the list still calls it live. */
const leavingMs = 60_000;

/** What one entry VM knows of the targets. */
export class TargetBoard {
	readonly #zone: string;
	readonly #slots: SlotView;
	readonly #settings: HealthSettings;
	readonly #known = new Map<string, KnownTarget>();
	#listed: readonly KnownTarget[] = [];

	constructor(
		zone: string,
		slots: SlotView,
		settings: HealthSettings = defaultHealthSettings,
	) {
		this.#zone = zone;
		this.#slots = slots;
		this.#settings = settings;
	}

	/** Targets of the platform's newest list. */
	get listed(): readonly KnownTarget[] {
		return this.#listed;
	}

	/** Takes the platform's newest list of targets. A target on another address is another process. */
	update(list: readonly Target[]): void {
		this.#listed = list.map((target) => {
			const known = this.#known.get(target.name);
			if (known?.target.address === target.address) {
				known.target = target;
				return known;
			}

			const fresh = this.#fresh(target);
			this.#known.set(target.name, fresh);
			return fresh;
		});
		const names = new Set(list.map(({name}) => name));
		for (const name of this.#known.keys()) {
			if (!names.has(name)) {
				this.#known.delete(name);
			}
		}
	}

	/** Whether any target takes work. */
	hasLive(now: number): boolean {
		return this.#listed.some((known) => !isLeaving(known, now));
	}

	/** Whether some listed target could hold a task with these needs if it were idle. */
	canEverHold(needs: Needs): boolean {
		return this.#listed.some(
			({target}) =>
				target.processors >= needs.processors &&
				target.memoryMb >= needs.memoryMb &&
				target.accelerators >= needs.accelerators,
		);
	}

	/** Slots of all targets that take work. */
	liveSlots(now: number): number {
		return this.#listed.reduce(
			(sum, known) => sum + (isLeaving(known, now) ? 0 : known.target.slots),
			0,
		);
	}

	/**
	 * The targets that a task with these needs may be given to now: of the best kind only, where the entry VM's own zone
	 * goes before others, and slow targets come last.
	 */
	choice(needs: Needs, now: number): Choice {
		const passedOver: PassedOver = {
			leaving: 0,
			setAside: 0,
			full: 0,
			busy: 0,
			needs: 0,
		};
		const isCapped = this.#isMostlyAside(now);
		let candidates: KnownTarget[] = [];
		let best = worstTier;
		let freeSlots = 0;
		for (const known of this.#listed) {
			const reason = this.#reasonAgainst(known, needs, now, isCapped);
			if (reason !== undefined) {
				passedOver[reason] += 1;
				continue;
			}

			freeSlots += this.#slots.free(known.target);
			const tier = this.#tierOf(known);
			if (tier < best) {
				best = tier;
				candidates = [];
			}

			if (tier === best) {
				candidates.push(known);
			}
		}

		return {candidates, passedOver, freeSlots};
	}

	/** Records that a task is about to be sent; returns whether a slot was free for it. */
	sent(known: KnownTarget, needs: Needs, now: number): boolean {
		if (!this.#slots.tryTake(known.target, now)) {
			return false;
		}

		known.inFlight += 1;
		known.processorsInUse += needs.processors;
		known.memoryInUseMb += needs.memoryMb;
		known.acceleratorsInUse += needs.accelerators;
		return true;
	}

	/** Records that a task has ended in one way or another. */
	ended(known: KnownTarget, needs: Needs, now: number): void {
		this.#slots.release(known.target, now);
		known.inFlight -= 1;
		known.processorsInUse -= needs.processors;
		known.memoryInUseMb -= needs.memoryMb;
		known.acceleratorsInUse -= needs.accelerators;
	}

	/** Slots of a target that may be filled now. */
	free({target}: KnownTarget): number {
		return this.#slots.free(target);
	}

	#reasonAgainst(
		known: KnownTarget,
		needs: Needs,
		now: number,
		isCapped: boolean,
	): keyof PassedOver | undefined {
		if (this.#slots.free(known.target) <= 0) {
			return 'busy';
		}

		if (isLeaving(known, now)) {
			return 'leaving';
		}

		if (now < known.fullUntilMs) {
			return 'full';
		}

		const health = known.health.state(now);
		if (
			(health === 'trial' ? known.inFlight > 0 : health === 'aside') &&
			(health === 'trial' || !isCapped)
		) {
			return 'setAside';
		}

		const {target} = known;
		return target.processors - known.processorsInUse < needs.processors ||
			target.memoryMb - known.memoryInUseMb < needs.memoryMb ||
			target.accelerators - known.acceleratorsInUse < needs.accelerators
			? 'needs'
			: undefined;
	}

	/** When most targets fail, the fault is likely elsewhere, and setting them aside would only add to it. */
	#isMostlyAside(now: number): boolean {
		let aside = 0;
		for (const {health} of this.#listed) {
			aside += health.state(now) === 'taken' ? 0 : 1;
		}

		return 2 * aside > this.#listed.length;
	}

	#tierOf({target, health}: KnownTarget): number {
		return (
			(target.zone === this.#zone ? 0 : 1) + (health.isSlow ? slowTiers : 0)
		);
	}

	#fresh(target: Target): KnownTarget {
		return {
			target,
			health: new TargetHealth(this.#settings),
			inFlight: 0,
			processorsInUse: 0,
			memoryInUseMb: 0,
			acceleratorsInUse: 0,
			saidLeavingAtMs: undefined,
			fullUntilMs: 0,
		};
	}
}

const slowTiers = 2;
const worstTier = 4;

/** Whether a target takes no new work because it is about to end. */
export function isLeaving(
	{target, saidLeavingAtMs}: KnownTarget,
	now: number,
): boolean {
	return (
		target.state === 'leaving' ||
		(saidLeavingAtMs !== undefined && now - saidLeavingAtMs < leavingMs)
	);
}
