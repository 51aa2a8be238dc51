import {describe, expect, it} from 'vitest';
import {runStopSoak} from '../soak/stop-soak.js';

describe('a soak of planned stops', () => {
	it.each([1, 2])(
		'loses no request and runs no task twice at the same time with seed %i',
		async (seed) => {
			const {failures, stopCount, requestCount} = await runStopSoak({
				seed,
				durationMs: 8000,
				entryVmsPerZone: 2,
				connectionsPerEntryVm: 5,
			});
			expect(failures).toEqual([]);
			expect(stopCount).toBeGreaterThan(1);
			expect(requestCount).toBeGreaterThan(100);
		},
		60_000,
	);
});
