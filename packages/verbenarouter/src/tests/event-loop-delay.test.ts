import {describe, expect, it} from 'vitest';
import {EventLoopDelay} from '../pool/event-loop-delay.js';

describe('EventLoopDelay', () => {
	it('reports the longest delay for at least a second, and no delay after two', () => {
		const delay = new EventLoopDelay(20);
		expect(delay.recordRun(1000)).toBe(0);
		expect(delay.recordRun(1320)).toBe(300);
		expect(delay.recordRun(1345)).toBe(5);
		expect(delay.delayMs(1345)).toBe(300);
		for (let now = 1360; now <= 2300; now += 20) {
			delay.recordRun(now);
		}

		expect(delay.delayMs(2300)).toBe(300);
		for (let now = 2320; now <= 3500; now += 20) {
			delay.recordRun(now);
		}

		expect(delay.delayMs(3500)).toBe(0);
	});

	it('includes a run that is overdue', () => {
		const delay = new EventLoopDelay(20);
		delay.recordRun(1000);
		expect(delay.delayMs(1500)).toBe(480);
	});
});
