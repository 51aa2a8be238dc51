/** What one seed of a soak has shown. */
export type SoakResult = {
	readonly seed: number;
	readonly requestCount: number;
	/** Number of requests by HTTP status; 0 is a connection that ended without an answer. */
	readonly statuses: Readonly<Record<string, number>>;
	readonly failures: readonly string[];
	/** Log lines of the entry VMs, kept if there are failures. */
	readonly lines: readonly string[];
};

/** Returns the value at a share of a range. */
export function between(
	{min, max}: {readonly min: number; readonly max: number},
	share: number,
): number {
	return min + (max - min) * share;
}

/** Groups values by a key, in their order. */
export function groupBy<T, Key>(
	values: readonly T[],
	keyOf: (value: T) => Key,
): ReadonlyMap<Key, readonly T[]> {
	const groups = new Map<Key, T[]>();
	for (const value of values) {
		const key = keyOf(value);
		const group = groups.get(key) ?? [];
		group.push(value);
		groups.set(key, group);
	}

	return groups;
}
