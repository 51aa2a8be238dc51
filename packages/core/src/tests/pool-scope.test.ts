import {describe, expect, it} from 'vitest';
import {
	ScopeBySize,
	defaultScopeSettings,
	type WorkerListView,
} from '../pool-scope.js';

const {maxRegionalWorkers, minZonalWorkers, settleMs} = defaultScopeSettings;

/** A whole list of workers that was read just now, unless an age is given. */
function list(count: number, ageMs = 0): WorkerListView {
	return {count, ageMs};
}

/** Returns the scope after the same number of workers was listed every 100 ms from one time to another. */
function updateUntil(
	scope: ScopeBySize,
	workerCount: number,
	fromMs: number,
	toMs: number,
): string {
	let latest = '';
	for (let now = fromMs; now <= toMs; now += 100) {
		latest = scope.update(list(workerCount), undefined, now);
	}

	return latest;
}

describe('ScopeBySize', () => {
	it('keeps leaders of zones while no list is known', () => {
		expect(updateUntil(new ScopeBySize(), 0, 0, 60_000)).toBe('zone');
	});

	it('keeps leaders of zones for 245 workers, and has one leader of the region for 33', () => {
		expect(updateUntil(new ScopeBySize(), 245, 0, 60_000)).toBe('zone');
		expect(updateUntil(new ScopeBySize(), 33, 0, settleMs)).toBe('region');
	});

	it('does not merge while workers register after a start of all', () => {
		const scope = new ScopeBySize();
		expect(updateUntil(scope, 20, 0, settleMs - 100)).toBe('zone');
		expect(updateUntil(scope, 245, settleMs, settleMs + 5000)).toBe('zone');
	});

	it('keeps the present scope between the bounds and while the list is empty', () => {
		const scope = new ScopeBySize();
		const between = (maxRegionalWorkers + minZonalWorkers) / 2;
		expect(updateUntil(scope, between, 0, 10_000)).toBe('zone');
		expect(updateUntil(scope, maxRegionalWorkers, 10_100, 20_000)).toBe(
			'region',
		);
		expect(updateUntil(scope, between, 20_100, 30_000)).toBe('region');
		expect(updateUntil(scope, 0, 30_100, 40_000)).toBe('region');
		expect(scope.update(list(minZonalWorkers), undefined, 40_100)).toBe('zone');
	});

	it('follows the leader until the number of workers has decided, also after the leader is lost', () => {
		const scope = new ScopeBySize();
		expect(scope.update(list(33), 'region', 0)).toBe('region');
		expect(scope.update(list(33), undefined, 20)).toBe('region');
		expect(scope.update(list(245), 'region', 40)).toBe('zone');
		expect(scope.update(list(245), 'region', 60)).toBe('zone');
	});

	it('takes its bounds from the settings', () => {
		const scope = new ScopeBySize({
			maxRegionalWorkers: 2,
			minZonalWorkers: 4,
			settleMs: 100,
			resettleMs: 1000,
			maxListAgeMs: 0,
		});
		expect(updateUntil(scope, 2, 0, 100)).toBe('region');
		expect(scope.update(list(4), undefined, 200)).toBe('zone');
	});

	// A process with 62 of 245 workers took over the region from leaders of zones, whose jobs it did not know.
	it('keeps leaders of zones while only workers that were handed over are known', () => {
		const scope = new ScopeBySize();
		for (let now = 0; now <= 10_000; now += 100) {
			expect(
				scope.update(list(62, Number.POSITIVE_INFINITY), undefined, now),
			).toBe('zone');
		}
	});

	it('does not decide by a list that was read while workers registered and that is no longer refreshed', () => {
		const scope = new ScopeBySize();
		for (let now = 0; now <= 60_000; now += 100) {
			expect(scope.update(list(45, now), undefined, now)).toBe('zone');
		}
	});

	it('does not merge while the number of listed workers still grows', () => {
		const scope = new ScopeBySize();
		for (let now = 0; now <= 7000; now += 100) {
			expect(scope.update(list(5 + now / 100), undefined, now)).toBe('zone');
		}
	});

	it('keeps leaders of zones while a store has lost records, and merges once few workers have been listed for long', () => {
		const scope = new ScopeBySize();
		expect(scope.update(list(245), undefined, 0)).toBe('zone');
		expect(updateUntil(scope, 20, 100, 10_000)).toBe('zone');
		expect(updateUntil(scope, 245, 10_100, 10_200)).toBe('zone');
		expect(updateUntil(scope, 60, 10_300, 39_900)).toBe('zone');
		expect(updateUntil(scope, 60, 40_000, 45_000)).toBe('region');
	});

	it('follows a leader of zones although few workers are listed here', () => {
		const scope = new ScopeBySize();
		for (let now = 0; now <= 10_000; now += 100) {
			expect(scope.update(list(45), 'zone', now)).toBe('zone');
		}
	});

	it('follows a leader of the region after an installation has shrunk, but not while many workers are known here', () => {
		const scope = new ScopeBySize();
		expect(scope.update(list(245), undefined, 0)).toBe('zone');
		expect(scope.update(list(245, 40_000), 'region', 40_000)).toBe('zone');
		expect(scope.update(list(60, 40_000), 'region', 40_100)).toBe('region');
	});
});
