import {describe, expect, it} from 'vitest';
import {BusySlots} from '../busy-slots.js';
import {
	checkDeadlineAdmission,
	type DeadlineAdmissionInput,
} from '../deadline-admission.js';
import {LearnedTimeEstimator} from '../run-time-estimator.js';
import {RetryBudget, defaultRetrySettings} from '../retry-budget.js';
import {seededRandom} from '../seeded-random.js';
import {EntryFailureRates} from '../target-health.js';

function admissionInputFixture(
	overrides: Partial<DeadlineAdmissionInput> = {},
): DeadlineAdmissionInput {
	return {
		remainingMs: 5000,
		expectedTaskMs: 100,
		minTaskMs: 50,
		jobWorkMs: 100,
		backlogMs: 0,
		busySlots: 10,
		...overrides,
	};
}

describe('checkDeadlineAdmission', () => {
	it('admits a job that can be answered before its deadline', () => {
		expect(checkDeadlineAdmission(admissionInputFixture())).toBeUndefined();
		expect(
			checkDeadlineAdmission(admissionInputFixture({backlogMs: 30_000})),
		).toBeUndefined();
	});

	it('refuses with the delay after which the backlog has drained enough', () => {
		expect(
			checkDeadlineAdmission(admissionInputFixture({backlogMs: 60_000})),
		).toMatchObject({
			code: 'overloaded',
			retryAfterMs: 2100,
		});
	});

	it('refuses a job whose shortest run time exceeds the time until its deadline', () => {
		expect(
			checkDeadlineAdmission(admissionInputFixture({remainingMs: 40}))?.code,
		).toBe('deadline-impossible');
	});
});

describe('LearnedTimeEstimator', () => {
	// A leader that had learned from short tasks took runs of 20 s for nearly done, and let jobs wait for them in vain.
	it('takes the declared time of a task that is unlike all that were observed', () => {
		const estimates = new LearnedTimeEstimator();
		const classOfWork = 'plan';
		estimates.observe({classOfWork, declaredMs: 60}, 55);
		expect(estimates.expectedMs({classOfWork, declaredMs: 20_000})).toBe(
			20_000,
		);
		expect(estimates.expectedMs({classOfWork, declaredMs: 90})).toBeCloseTo(55);
	});

	it('learns the mean run time of a class for each order of magnitude of the declared time', () => {
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

	it('learns a run time below which few tasks finish', () => {
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

describe('RetryBudget', () => {
	it('limits retries to a share of the started tasks', () => {
		const budget = new RetryBudget(defaultRetrySettings, seededRandom(1));
		const takeRetries = (): number => {
			const attempts = Array.from({length: 100}, () => budget.tryTake(0));
			return attempts.filter(Boolean).length;
		};

		expect(takeRetries()).toBe(20);
		for (let index = 0; index < 100; index += 1) {
			budget.recordStart();
		}

		expect(takeRetries()).toBeGreaterThanOrEqual(9);
		expect(takeRetries()).toBe(0);
	});

	it('earns retries over time, so that a task that every target has refused is retried eventually', () => {
		const budget = new RetryBudget(
			{...defaultRetrySettings, maxSavedRetries: 1},
			seededRandom(1),
		);
		expect(budget.tryTake(0)).toBe(true);
		expect(budget.tryTake(50)).toBe(false);
		expect(budget.tryTake(200)).toBe(true);
	});

	it('doubles the backoff with each refusal, with jitter', () => {
		const budget = new RetryBudget(defaultRetrySettings, seededRandom(1));
		const delaysMs = [1, 2, 3, 20].map((refusals) =>
			budget.computeDelayMs(refusals),
		);
		const maxDelaysMs = [10, 20, 40, 1000];
		expect(
			delaysMs.every(
				(delayMs, index) =>
					delayMs >= maxDelaysMs[index]! / 2 && delayMs <= maxDelaysMs[index]!,
			),
		).toBe(true);
	});
});

describe('EntryFailureRates', () => {
	it('reports an entry as failing after repeated failures, but not after one, and no other entry', () => {
		const failures = new EntryFailureRates();
		failures.recordOutcome('poison', true);
		expect(failures.isFailing('poison')).toBe(false);
		for (let index = 0; index < 50; index += 1) {
			failures.recordOutcome('poison', true);
		}

		expect(failures.isFailing('poison')).toBe(true);
		expect(failures.isFailing('other')).toBe(false);
	});
});

describe('BusySlots', () => {
	it('has a mean that approaches the current number of busy slots over time', () => {
		const busy = new BusySlots();
		busy.change(8, 0);
		expect(busy.mean(0)).toBe(0);
		expect(busy.mean(5000)).toBeGreaterThan(7.9);
		busy.change(-8, 5000);
		expect(busy.mean(10_000)).toBeLessThan(0.1);
	});
});
