import {describe, expect, it} from 'vitest';
import {EventLoopDelay} from '../event-loop-delay.js';

/** Creates a tracker whose check is scheduled every 50 ms and has run at the given times. */
function createDelay(checkTimesMs: readonly number[]): EventLoopDelay {
	const delay = new EventLoopDelay(50);
	for (const timeMs of checkTimesMs) {
		delay.recordCheck(timeMs);
	}

	return delay;
}

describe('EventLoopDelay', () => {
	it('is 0 before the first check and while checks run in time', () => {
		expect(createDelay([]).largestMs(10_000)).toBe(0);
		expect(createDelay([1000, 1050, 1100]).largestMs(1120)).toBe(0);
	});

	it('returns the largest delay of the last 4 s', () => {
		const delay = createDelay([0, 750, 800, 1150, 1200]);
		expect(delay.largestMs(1200)).toBe(700);
		for (let timeMs = 1250; timeMs <= 4750; timeMs += 50) {
			delay.recordCheck(timeMs);
		}

		expect(delay.largestMs(4750)).toBe(700);
		expect(delay.largestMs(4800)).toBe(300);
	});

	it('returns by how much each check is late', () => {
		const delay = createDelay([1000]);
		expect(delay.recordCheck(1320)).toBe(270);
		expect(delay.recordCheck(1370)).toBe(0);
		expect(delay.recordCheck(1375)).toBe(0);
	});

	it('measures each check by the interval for which it was scheduled', () => {
		const delay = createDelay([1000]);
		expect(delay.recordCheck(1050, 20)).toBe(0);
		expect(delay.recordCheck(1090)).toBe(20);
		expect(delay.recordCheck(1110, 50)).toBe(0);
		expect(delay.recordCheck(1160)).toBe(0);
	});

	it('includes a check that is overdue', () => {
		expect(createDelay([0, 50]).largestMs(1000)).toBe(900);
	});

	it('takes what is handled after a late check for as old as the check before', () => {
		expect(createDelay([0, 50, 900]).earliestArrivalMs(901)).toBe(50);
		expect(createDelay([]).earliestArrivalMs(901)).toBe(901);
	});
});
