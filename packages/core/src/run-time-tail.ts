/** Learned tail of the run times of one queue. */
export type QueueTail = {
	readonly queue: string;
	/** Share of runs that take many times as long as expected. */
	readonly longShare: number;
	/** Largest recent ratio of actual to expected run time. */
	readonly largestRatio: number;
};

/** Ratio of actual to expected run time from which a run counts as long; estimates alone are off by less. */
const longRatio = 3;
/** Share of long runs from which a queue has a tail: a single long run then says little about its worker. */
const tailShare = 0.01;
/** Weight of the newest run in the share. */
const newestRunWeight = 0.005;
/** Number of runs before a queue's tail is known. */
const minCount = 100;
/** Factor by which the largest ratio decays with each run, so that it follows the last few hundred. */
const largestRatioDecay = 0.999;
/** Upper bound of a single ratio. */
const maxRatio = 20;
/** Largest number of queues. */
const maxQueues = 256;

/**
 * Learns which queues have rare runs of many times the expected time. In such a queue a long run is no sign of a slow or
 * hanging worker, and stopping it loses work that would soon be done.
 */
export class RunTimeTails {
	readonly #queues = new Map<
		string,
		{longShare: number; largestRatio: number; count: number}
	>();

	/** Records an ended run by the ratio of its actual to its expected run time. */
	record(queue: string, ratio: number): void {
		const tail = this.#queues.get(queue) ?? {
			longShare: 0,
			largestRatio: 1,
			count: 0,
		};
		if (tail.count === 0 && this.#queues.size >= maxQueues) {
			return;
		}

		tail.count += 1;
		tail.longShare +=
			(Number(ratio >= longRatio) - tail.longShare) *
			Math.max(newestRunWeight, 1 / tail.count);
		tail.largestRatio = Math.min(
			maxRatio,
			Math.max(tail.largestRatio * largestRatioDecay, ratio),
		);
		this.#queues.set(queue, tail);
	}

	/** Whether long runs of a queue are common enough not to count against their workers. */
	hasTail(queue: string): boolean {
		const tail = this.#queues.get(queue);
		return (
			tail !== undefined &&
			tail.count >= minCount &&
			tail.longShare >= tailShare
		);
	}

	/** Returns the largest recent ratio of a queue with a tail; 1 for others. */
	largestRatio(queue: string): number {
		return this.hasTail(queue) ? this.#queues.get(queue)!.largestRatio : 1;
	}

	/** Returns the queues with a tail, for other leaders. */
	export(): readonly QueueTail[] {
		return [...this.#queues.keys()]
			.filter((queue) => this.hasTail(queue))
			.map((queue) => {
				const {longShare, largestRatio} = this.#queues.get(queue)!;
				return {queue, longShare, largestRatio};
			});
	}

	/** Applies what another leader knows of queues that have had few runs here. */
	import(tails: readonly QueueTail[]): void {
		for (const {queue, longShare, largestRatio} of tails.slice(0, maxQueues)) {
			if ((this.#queues.get(queue)?.count ?? 0) < minCount) {
				this.#queues.set(queue, {
					longShare: Math.min(1, longShare),
					largestRatio: Math.min(maxRatio, largestRatio),
					count: minCount,
				});
			}
		}
	}
}
