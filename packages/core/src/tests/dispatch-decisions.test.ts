import {describe, expect, it} from 'vitest';
import {BusySlots} from '../busy-slots.js';
import {refusalAtDoor, type DoorView} from '../door.js';
import {LearnedTimeEstimator} from '../run-time-estimator.js';
import {RetryBudget, defaultRetrySettings} from '../retry-budget.js';
import {seededRandom} from '../seeded-random.js';
import {EntryFailures} from '../target-health.js';

function doorView(change: Partial<DoorView> = {}): DoorView {
	return {
		remainingMs: 5000,
		longestMs: 100,
		leastMs: 50,
		workMs: 100,
		aheadMs: 0,
		busySlots: 10,
		...change,
	};
}

describe('the door', () => {
	it('takes what can be answered in time', () => {
		expect(refusalAtDoor(doorView())).toBeUndefined();
		expect(refusalAtDoor(doorView({aheadMs: 30_000}))).toBeUndefined();
	});

	it('refuses with the time after which the queue has drained enough', () => {
		expect(refusalAtDoor(doorView({aheadMs: 60_000}))).toMatchObject({
			code: 'overloaded',
			retryAfterMs: 2100,
		});
	});

	it('refuses what no worker can do before the deadline', () => {
		expect(refusalAtDoor(doorView({remainingMs: 40}))?.code).toBe(
			'deadline-impossible',
		);
	});
});

describe('the estimates', () => {
	it('learn the mean of a class by the magnitude of what is declared', () => {
		const estimates = new LearnedTimeEstimator();
		const classOfWork = 'plan';
		for (let index = 0; index < 500; index += 1) {
			estimates.observe({classOfWork, declaredMs: 10_000}, 800);
			estimates.observe({classOfWork, declaredMs: 1}, 100);
		}

		expect(
			estimates.expectedMs({classOfWork, declaredMs: 10_000}),
		).toBeGreaterThan(700);
		expect(estimates.expectedMs({classOfWork, declaredMs: 1})).toBeLessThan(
			200,
		);
		expect(estimates.expectedMs({classOfWork})).toBeGreaterThan(300);
	});

	it('learn a time that few tasks stay below', () => {
		const estimates = new LearnedTimeEstimator();
		const random = seededRandom(1);
		for (let index = 0; index < 5000; index += 1) {
			estimates.observe({classOfWork: 'check'}, 50 + random() * 150);
		}

		const leastMs = estimates.lowEstimateMs({classOfWork: 'check'});
		expect(leastMs).toBeGreaterThanOrEqual(45);
		expect(leastMs).toBeLessThan(80);
	});
});

describe('the retry budget', () => {
	it('keeps retries within a share of the starts', () => {
		const budget = new RetryBudget(defaultRetrySettings, seededRandom(1));
		const taken = (): number => {
			const tries = Array.from({length: 100}, () => budget.tryTake(0));
			return tries.filter(Boolean).length;
		};

		expect(taken()).toBe(20);
		for (let index = 0; index < 100; index += 1) {
			budget.started();
		}

		expect(taken()).toBeGreaterThanOrEqual(9);
		expect(taken()).toBe(0);
	});

	it('earns retries with time, so that a task that was refused everywhere gets on', () => {
		const budget = new RetryBudget(
			{...defaultRetrySettings, most: 1},
			seededRandom(1),
		);
		expect(budget.tryTake(0)).toBe(true);
		expect(budget.tryTake(50)).toBe(false);
		expect(budget.tryTake(200)).toBe(true);
	});

	it('doubles the backoff, with jitter', () => {
		const budget = new RetryBudget(defaultRetrySettings, seededRandom(1));
		const delays = [1, 2, 3, 20].map((refusals) => budget.delayMs(refusals));
		const wholes = [10, 20, 40, 1000];
		expect(
			delays.every(
				(delay, index) =>
					delay >= wholes[index]! / 2 && delay <= wholes[index]!,
			),
		).toBe(true);
	});
});

describe('what failures tell', () => {
	it('blames the entry that fails wherever it runs', () => {
		const failures = new EntryFailures();
		failures.observe('poison', true);
		expect(failures.isFailing('poison')).toBe(false);
		for (let index = 0; index < 50; index += 1) {
			failures.observe('poison', true);
		}

		expect(failures.isFailing('poison')).toBe(true);
		expect(failures.isFailing('other')).toBe(false);
	});
});

describe('the busy slots', () => {
	it('follow the present number with the time', () => {
		const busy = new BusySlots();
		busy.change(8, 0);
		expect(busy.mean(0)).toBe(0);
		expect(busy.mean(5000)).toBeGreaterThan(7.9);
		busy.change(-8, 5000);
		expect(busy.mean(10_000)).toBeLessThan(0.1);
	});
});
