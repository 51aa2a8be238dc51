import {type Needs} from './catalogue-item.js';
import {type Target} from './machine.js';
import {
	TargetHealth,
	defaultHealthSettings,
	type HealthSettings,
} from './target-health.js';

/** Allocates the slots of targets that this entry VM may use. */
export type SlotAllocator = {
	/** Returns the number of slots of a target that this entry VM may fill now. */
	free(target: Target): number;
	/** Takes one slot of a target; returns whether one was free. */
	tryTake(target: Target, now: number): boolean;
	/** Returns one slot that {@link SlotAllocator.tryTake} took. */
	release(target: Target, now: number): void;
	/** Requests slots for tasks that are waiting; the number replaces that of the previous request. */
	requestSlots(waitingTasks: number, now: number): void;
};

/** A target with its health and the resources that this entry VM's tasks use on it. */
export type TrackedTarget = {
	target: Target;
	readonly health: TargetHealth;
	/** Number of this entry VM's tasks on the target. */
	inFlight: number;
	processorsInUse: number;
	memoryInUseMb: number;
	acceleratorsInUse: number;
	/** Time at which the target reported that it is leaving; the platform's list, which lags, may still show it as live. */
	reportedLeavingAtMs: number | undefined;
	/** Time until which the target receives no tasks because it refused one. */
	fullUntilMs: number;
};

/** Numbers of targets that cannot take a task, by reason. */
export type PassedOverCounts = {
	/** Leaving, according to the platform's list or to the target itself. */
	leaving: number;
	/** Ejected after failures, or on trial with a task already in flight. */
	setAside: number;
	/** Refused a task recently. */
	full: number;
	/** No slot free for this entry VM. */
	busy: number;
	/** Too few processors, too little memory or too few accelerators free. */
	needs: number;
};

/** Candidates for a task, among which a placement policy chooses, and why other targets were passed over. */
export type CandidateSelection = {
	/** Targets of the most preferred tier that can take the task. */
	readonly candidates: readonly TrackedTarget[];
	readonly passedOver: Readonly<PassedOverCounts>;
	/** Free slots on all targets that can take the task, whatever their tier. */
	readonly freeSlots: number;
};

/** Time after which a target that reported that it is leaving receives tasks again if the list still shows it as live. */
const leavingReportTtlMs = 60_000;

/** Tracks the targets as one entry VM sees them: the platform's list, the entry VM's tasks in flight and their outcomes. */
export class TargetTracker {
	readonly #zone: string;
	readonly #slots: SlotAllocator;
	readonly #settings: HealthSettings;
	readonly #trackedByName = new Map<string, TrackedTarget>();
	#listed: readonly TrackedTarget[] = [];

	constructor(
		zone: string,
		slots: SlotAllocator,
		settings: HealthSettings = defaultHealthSettings,
	) {
		this.#zone = zone;
		this.#slots = slots;
		this.#settings = settings;
	}

	/** Targets on the platform's newest list. */
	get listed(): readonly TrackedTarget[] {
		return this.#listed;
	}

	/** Applies the platform's newest list. A target whose address has changed is a new process, so its state is reset. */
	update(list: readonly Target[]): void {
		this.#listed = list.map((target) => {
			const tracked = this.#trackedByName.get(target.name);
			if (tracked?.target.address === target.address) {
				tracked.target = target;
				return tracked;
			}

			const created = this.#createTracked(target);
			this.#trackedByName.set(target.name, created);
			return created;
		});
		const names = new Set(list.map(({name}) => name));
		for (const name of this.#trackedByName.keys()) {
			if (!names.has(name)) {
				this.#trackedByName.delete(name);
			}
		}
	}

	/** Whether any listed target is not leaving. */
	hasLiveTarget(now: number): boolean {
		return this.#listed.some((tracked) => !isLeaving(tracked, now));
	}

	/** Whether any listed target, if idle, has the resources for a task with these needs. */
	canEverFit(needs: Needs): boolean {
		return this.#listed.some(
			({target}) =>
				target.processors >= needs.processors &&
				target.memoryMb >= needs.memoryMb &&
				target.accelerators >= needs.accelerators,
		);
	}

	/** Returns the total number of slots of the listed targets that are not leaving. */
	countLiveSlots(now: number): number {
		return this.#listed.reduce(
			(sum, tracked) =>
				sum + (isLeaving(tracked, now) ? 0 : tracked.target.slots),
			0,
		);
	}

	/**
	 * Selects the targets that can take a task with these needs now, from the most preferred tier that has any. Targets that
	 * are not slow come before slow ones, and within each group those of the entry VM's own zone come first.
	 */
	selectCandidates(needs: Needs, now: number): CandidateSelection {
		const passedOver: PassedOverCounts = {
			leaving: 0,
			setAside: 0,
			full: 0,
			busy: 0,
			needs: 0,
		};
		const isEjectionSuspended = this.#isMajorityUnhealthy(now);
		let candidates: TrackedTarget[] = [];
		let bestTier = tierCount;
		let freeSlots = 0;
		for (const tracked of this.#listed) {
			const reason = this.#findRejection(
				tracked,
				needs,
				now,
				isEjectionSuspended,
			);
			if (reason !== undefined) {
				passedOver[reason] += 1;
				continue;
			}

			freeSlots += this.#slots.free(tracked.target);
			const tier = this.#preferenceTier(tracked);
			if (tier < bestTier) {
				bestTier = tier;
				candidates = [];
			}

			if (tier === bestTier) {
				candidates.push(tracked);
			}
		}

		return {candidates, passedOver, freeSlots};
	}

	/** Reserves a slot and resources for a task that is about to be sent; returns `false` if no slot is free. */
	tryReserve(tracked: TrackedTarget, needs: Needs, now: number): boolean {
		if (!this.#slots.tryTake(tracked.target, now)) {
			return false;
		}

		tracked.inFlight += 1;
		tracked.processorsInUse += needs.processors;
		tracked.memoryInUseMb += needs.memoryMb;
		tracked.acceleratorsInUse += needs.accelerators;
		return true;
	}

	/** Releases the slot and resources of a task that has ended, whatever its outcome. */
	release(tracked: TrackedTarget, needs: Needs, now: number): void {
		this.#slots.release(tracked.target, now);
		tracked.inFlight -= 1;
		tracked.processorsInUse -= needs.processors;
		tracked.memoryInUseMb -= needs.memoryMb;
		tracked.acceleratorsInUse -= needs.accelerators;
	}

	/** Returns the number of slots of a target that this entry VM may fill now. */
	freeSlots({target}: TrackedTarget): number {
		return this.#slots.free(target);
	}

	#findRejection(
		tracked: TrackedTarget,
		needs: Needs,
		now: number,
		isEjectionSuspended: boolean,
	): keyof PassedOverCounts | undefined {
		if (this.#slots.free(tracked.target) <= 0) {
			return 'busy';
		}

		if (isLeaving(tracked, now)) {
			return 'leaving';
		}

		if (now < tracked.fullUntilMs) {
			return 'full';
		}

		const health = tracked.health.getState(now);
		if (
			(health === 'trial' ? tracked.inFlight > 0 : health === 'aside') &&
			(health === 'trial' || !isEjectionSuspended)
		) {
			return 'setAside';
		}

		const {target} = tracked;
		return target.processors - tracked.processorsInUse < needs.processors ||
			target.memoryMb - tracked.memoryInUseMb < needs.memoryMb ||
			target.accelerators - tracked.acceleratorsInUse < needs.accelerators
			? 'needs'
			: undefined;
	}

	/**
	 * Whether most listed targets are ejected or on trial. The cause is then probably not the targets, so ejection is
	 * suspended: it would only reduce the capacity further.
	 */
	#isMajorityUnhealthy(now: number): boolean {
		let unhealthyCount = 0;
		for (const {health} of this.#listed) {
			unhealthyCount += health.getState(now) === 'taken' ? 0 : 1;
		}

		return 2 * unhealthyCount > this.#listed.length;
	}

	#preferenceTier({target, health}: TrackedTarget): number {
		return (
			(target.zone === this.#zone ? 0 : 1) +
			(health.isSlow ? slowTierOffset : 0)
		);
	}

	#createTracked(target: Target): TrackedTarget {
		return {
			target,
			health: new TargetHealth(this.#settings),
			inFlight: 0,
			processorsInUse: 0,
			memoryInUseMb: 0,
			acceleratorsInUse: 0,
			reportedLeavingAtMs: undefined,
			fullUntilMs: 0,
		};
	}
}

/** Tiers 0 and 1 are targets of the own zone and of other zones; slow targets have the same tiers plus this offset. */
const slowTierOffset = 2;
const tierCount = 4;

/** Whether a target takes no new tasks because it is shutting down. */
export function isLeaving(
	{target, reportedLeavingAtMs}: TrackedTarget,
	now: number,
): boolean {
	return (
		target.state === 'leaving' ||
		(reportedLeavingAtMs !== undefined &&
			now - reportedLeavingAtMs < leavingReportTtlMs)
	);
}
