import {type PoolWorker} from './pool-worker.js';
import {type WorkerCandidates, type WorkerGroup} from './worker-selection.js';

/** Range of free processor amounts of one group of workers, in thousandths of a core. */
const groupWidthMillis = 1000;
/** Largest number of groups of a service; the last one has no upper limit, so that a huge capacity costs no memory. */
const maxGroups = 256;

/** Groups the workers of each service by their free processor amount, so that those without room are not examined. */
export class FreeCapacityIndex {
	/** Groups by service; each is sorted by the ordinals of its workers. */
	readonly #groupsByService = new Map<string, PoolWorker[][]>();
	readonly #groupOfWorker = new Map<PoolWorker, PoolWorker[]>();
	/** Lower bound of the slowdown factors of all workers. */
	#leastSlowdownFactor = 1;

	/** Adds a worker, or moves it after a change of its service, capacity, runs or orphans. */
	update(worker: PoolWorker): void {
		const group = this.#findGroup(worker);
		const previousGroup = this.#groupOfWorker.get(worker);
		if (group === previousGroup) {
			return;
		}

		this.remove(worker);
		if (group !== undefined) {
			group.splice(findPosition(group, worker), 0, worker);
			this.#groupOfWorker.set(worker, group);
		}
	}

	/** Removes a worker. */
	remove(worker: PoolWorker): void {
		const group = this.#groupOfWorker.get(worker);
		if (group !== undefined) {
			group.splice(findPosition(group, worker), 1);
			this.#groupOfWorker.delete(worker);
		}
	}

	/** Accounts for a new slowdown factor of one worker, which may be the least. */
	recordSlowdownFactor(factor: number): void {
		this.#leastSlowdownFactor = Math.min(this.#leastSlowdownFactor, factor);
	}

	/**
	 * Replaces the lower bound of the slowdown factors. It may be kept while time passes, as factors approach 1, and 1 is
	 * never below it.
	 */
	resetSlowdownFactors(factors: readonly number[]): void {
		this.#leastSlowdownFactor = Math.min(1, ...factors);
	}

	/** Returns the workers of a service; those that take no tasks at present are among them. */
	candidates(service: string): WorkerCandidates {
		const groups = this.#groupsByService.get(service) ?? [];
		return {
			leastSlowdownFactor: this.#leastSlowdownFactor,
			*groupsFrom(leastFreeMillis: number): Generator<WorkerGroup> {
				for (
					let index = groupIndex(Math.max(0, leastFreeMillis));
					index < groups.length;
					index += 1
				) {
					const workers = groups[index]!;
					if (workers.length > 0) {
						yield {leastFreeMillis: index * groupWidthMillis, workers};
					}
				}
			},
		};
	}

	/**
	 * Returns an amount of free processor time that no available worker of a service exceeds, and that one has except for
	 * the width of a group; -1 if no worker is available.
	 */
	freeMillisLimit(service: string, now: number): number {
		for (const {workers, limitMillis} of this.#groupsDownTo(service, 0)) {
			for (const worker of workers) {
				if (worker.canStartTask(now)) {
					return limitMillis;
				}
			}
		}

		return -1;
	}

	/**
	 * Whether so many tasks, none of which needs more than `mostMillis`, certainly have room on the available workers of a
	 * service that `isEligible` accepts, in whatever order and wherever they are placed.
	 */
	hasRoomForTasks(
		service: string,
		{
			taskCount,
			mostMillis,
		}: {
			readonly taskCount: number;
			readonly mostMillis: number;
		},
		isEligible: (worker: PoolWorker) => boolean,
		now: number,
	): boolean {
		// A task reduces the number of such places by one at most, so that there is one left for each later task.
		let places = 0;
		for (const {workers} of this.#groupsDownTo(service, mostMillis)) {
			for (const worker of workers) {
				if (places >= taskCount) {
					return true;
				}

				places +=
					isEligible(worker) && worker.canStartTask(now)
						? Math.floor(worker.free.processorMillis / Math.max(1, mostMillis))
						: 0;
			}
		}

		return places >= taskCount;
	}

	/** Returns the groups of a service down to that of an amount, those with the most room first. */
	*#groupsDownTo(
		service: string,
		leastFreeMillis: number,
	): Generator<{
		readonly workers: readonly PoolWorker[];
		/** No worker of the group has as much free. */
		readonly limitMillis: number;
	}> {
		const groups = this.#groupsByService.get(service) ?? [];
		const lowestIndex = groupIndex(Math.max(0, leastFreeMillis));
		for (let index = groups.length - 1; index >= lowestIndex; index -= 1) {
			if (groups[index]!.length > 0) {
				yield {
					workers: groups[index]!,
					limitMillis:
						index === maxGroups - 1
							? Number.POSITIVE_INFINITY
							: (index + 1) * groupWidthMillis,
				};
			}
		}
	}

	/** Returns the group that a worker belongs to; `undefined` if more is used than the worker has. */
	#findGroup(worker: PoolWorker): PoolWorker[] | undefined {
		const {service} = worker.entry;
		const {processorMillis} = worker.free;
		if (processorMillis < 0) {
			return undefined;
		}

		const groups = this.#groupsByService.get(service) ?? [];
		this.#groupsByService.set(service, groups);
		const index = groupIndex(processorMillis);
		while (groups.length <= index) {
			groups.push([]);
		}

		return groups[index];
	}
}

function groupIndex(freeMillis: number): number {
	return Math.min(maxGroups - 1, Math.floor(freeMillis / groupWidthMillis));
}

/** Returns the index at which a worker is, or would be inserted, in a group sorted by ordinals. */
function findPosition(
	group: readonly PoolWorker[],
	{ordinal}: PoolWorker,
): number {
	let low = 0;
	let high = group.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (group[middle]!.ordinal < ordinal) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
