import {describe, expect, it} from 'vitest';
import {StopPlan, type StopNotice} from '../stop-plan.js';

/** Creates a plan for a signal that was sent and handled at 10 s. */
function createPlan(overrides: Partial<StopNotice> = {}): StopPlan {
	return new StopPlan({
		sentAtMs: 10_000,
		handledAtMs: 10_000,
		graceMs: 6000,
		...overrides,
	});
}

/** Returns the phases of a plan after the given times since the signal was sent. */
function phasesAt(
	plan: StopPlan,
	timesMs: readonly number[],
	delayMs = 0,
): readonly string[] {
	return timesMs.map((timeMs) =>
		plan.decidePhase({now: 10_000 + timeMs, delayMs}),
	);
}

describe('StopPlan', () => {
	it('drains until the load balancer has noticed, and gives the last answers 0.6 s before the end', () => {
		expect(
			phasesAt(createPlan(), [0, 2599, 2600, 5399, 5400, 5949, 5950]),
		).toEqual([
			'draining',
			'draining',
			'closing',
			'closing',
			'answering',
			'answering',
			'over',
		]);
	});

	it('gives the last answers two delays of the event loop earlier, but not before the drain ends', () => {
		expect(phasesAt(createPlan(), [3999, 4000], 700)).toEqual([
			'closing',
			'answering',
		]);
		expect(phasesAt(createPlan(), [2599, 2600], 3000)).toEqual([
			'draining',
			'answering',
		]);
	});

	it('counts the grace period from when the signal can have been sent, and the drain from when it was handled', () => {
		const plan = createPlan({handledAtMs: 10_900});
		expect(phasesAt(plan, [3499, 3500, 5400, 5950])).toEqual([
			'draining',
			'closing',
			'answering',
			'over',
		]);
	});

	it('accepts requests for 3 s, after the drain too', () => {
		const accepts = (timeMs: number) =>
			createPlan().acceptsRequest(100, {now: 10_000 + timeMs, delayMs: 0});
		expect([0, 2999, 3000, 5600].map((timeMs) => accepts(timeMs))).toEqual([
			true,
			true,
			false,
			false,
		]);
	});

	it('refuses a request that cannot be answered before the last answers, with the delay of the event loop', () => {
		const accepts = (needsMs: number, delayMs: number) =>
			createPlan().acceptsRequest(needsMs, {now: 11_000, delayMs});
		expect([accepts(4399, 0), accepts(4400, 0)]).toEqual([true, false]);
		expect([accepts(2299, 700), accepts(2300, 700)]).toEqual([true, false]);
	});

	it('keeps the order of phases with a short grace period', () => {
		expect(phasesAt(createPlan({graceMs: 1000}), [0, 499, 500, 950])).toEqual([
			'draining',
			'draining',
			'answering',
			'over',
		]);
	});
});
