import {describe, expect, it} from 'vitest';
import {runWorkerSoak} from '../soak/worker-soak.js';

describe('a soak of workers that crash and change their capacity', () => {
	it.each([1, 2])(
		'starts no task too often, overfills no worker and answers truthfully with seed %i',
		async (seed) => {
			const {failures, crashCount, lossCount, requestCount} =
				await runWorkerSoak({
					seed,
					durationMs: 10_000,
					entryVmsPerZone: 2,
					workersPerZone: 5,
					connectionsPerEntryVm: 5,
				});
			expect(failures).toEqual([]);
			expect(crashCount).toBeGreaterThan(1);
			expect(lossCount).toBeGreaterThan(1);
			expect(requestCount).toBeGreaterThan(100);
		},
		60_000,
	);
});
