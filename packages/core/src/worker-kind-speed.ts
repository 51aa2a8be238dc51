/** Learned slowdown of one kind of worker. */
export type KindSlowdown = {
	/** Kind and size of the workers, see `kindOf` in worker-kind.ts. */
	readonly kind: string;
	/** Mean logarithm of actual over expected run time. */
	readonly logRatio: number;
	/** Number of runs that the mean is based on, up to a limit. */
	readonly count: number;
};

/** Weight of the newest run once enough are known; the hardware of a kind does not change, so it is small. */
const newestRunWeight = 0.01;
/** Bound of a single logarithm; the estimate of one run may be off by far, and a few runs take many times as long. */
const maxLogRatio = Math.log(3);
/** Number of runs of a kind before its mean is used. */
const minCount = 30;
/** Largest number of runs that values of another entry VM count as, so that own runs soon outweigh them. */
const importedCount = 40;
/** Largest number of kinds; further ones count as unknown. */
const maxKinds = 32;

/**
 * Learns how much slower or faster than expected each kind of worker runs. A worker without recent runs is expected to be
 * as fast as its kind, where hardware differs; with workers of one kind the factors stay near 1.
 */
export class WorkerKindSpeeds {
	readonly #kinds = new Map<string, {logRatio: number; count: number}>();

	/** Records an ended run on a worker of a kind by the ratio of its actual to its expected run time. */
	record(kind: string, ratio: number): void {
		const observed = Math.min(
			maxLogRatio,
			Math.max(-maxLogRatio, Math.log(ratio)),
		);
		const known = this.#kinds.get(kind);
		if (known === undefined) {
			if (this.#kinds.size < maxKinds) {
				this.#kinds.set(kind, {logRatio: observed, count: 1});
			}

			return;
		}

		known.count += 1;
		known.logRatio +=
			(observed - known.logRatio) * Math.max(newestRunWeight, 1 / known.count);
	}

	/** Returns the logarithm of the slowdown factor of a kind; 0 while it is unknown or the only one. */
	logSlowdown(kind: string): number {
		const known = this.#kinds.get(kind);
		return known === undefined ||
			known.count < minCount ||
			this.#kinds.size === 1
			? 0
			: known.logRatio;
	}

	/** Returns what is known, for other leaders. */
	export(): readonly KindSlowdown[] {
		return [...this.#kinds]
			.filter(([, {count}]) => count >= minCount)
			.map(([kind, {logRatio, count}]) => ({
				kind,
				logRatio,
				count: Math.min(count, importedCount),
			}));
	}

	/** Applies what another leader knows of kinds that have had few runs here. */
	import(kinds: readonly KindSlowdown[]): void {
		for (const {kind, logRatio, count} of kinds.slice(0, maxKinds)) {
			const known = this.#kinds.get(kind);
			const hasRoom = known !== undefined || this.#kinds.size < maxKinds;
			if (hasRoom && (known?.count ?? 0) < minCount) {
				this.#kinds.set(kind, {
					logRatio: Math.min(maxLogRatio, Math.max(-maxLogRatio, logRatio)),
					count: Math.min(count, importedCount),
				});
			}
		}
	}
}
