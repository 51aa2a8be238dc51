import {
	EntryFailureRates,
	type TrackedTarget,
	type RunTimeEstimator,
	type TaskOutcome,
} from '@verbenarouter/core';
import {toEstimateInput, type ActiveJob} from './active-job.js';

/** Minimum time for which a target that refused a task receives no others. */
const minFullMs = 20;

/** A task that was sent to a target and has an outcome. */
export type EndedTask = {
	readonly active: ActiveJob;
	/** Index of the task in its job. */
	readonly index: number;
	readonly tracked: TrackedTarget;
};

/** Updates run time estimates, failure rates and the state of targets from the outcomes of tasks. */
export class OutcomeRecorder {
	readonly #estimator: RunTimeEstimator;
	readonly #failureRates = new EntryFailureRates();

	constructor(estimator: RunTimeEstimator) {
		this.#estimator = estimator;
	}

	/** Records an outcome. Returns the milliseconds until the target may receive tasks again if the outcome pauses it. */
	record(
		task: EndedTask,
		outcome: TaskOutcome,
		now: number,
	): number | undefined {
		const {active, index, tracked} = task;
		switch (outcome.kind) {
			case 'completed': {
				this.#failureRates.recordOutcome(active.entry, false);
				tracked.health.recordCompletion(
					outcome.ranMs,
					active.expectedMs[index]!,
				);
				this.#estimator.observe(
					toEstimateInput(active.request, index),
					outcome.ranMs,
				);
				return undefined;
			}

			case 'failed': {
				this.#failureRates.recordOutcome(active.entry, true);
				return this.#failureRates.isFailing(active.entry)
					? undefined
					: recordTargetFailure(task, now);
			}

			case 'unknown': {
				return outcome.reason === 'cancelled'
					? undefined
					: recordTargetFailure(task, now);
			}

			case 'not-started': {
				return recordRefusal(task, outcome, now);
			}
		}
	}
}

function recordRefusal(
	task: EndedTask,
	{reason, retryAfterMs}: Extract<TaskOutcome, {kind: 'not-started'}>,
	now: number,
): number | undefined {
	switch (reason) {
		case 'cancelled': {
			return undefined;
		}

		case 'leaving': {
			task.tracked.reportedLeavingAtMs = now;
			return undefined;
		}

		case 'unreachable': {
			return recordTargetFailure(task, now);
		}

		case 'full':
		case 'refused':
		case 'cannot-fit': {
			const waitMs = Math.max(minFullMs, retryAfterMs);
			task.tracked.fullUntilMs = now + waitMs;
			return waitMs;
		}
	}
}

/** Records a failure of the target. Returns the milliseconds until it may receive tasks again if this ejects it. */
function recordTargetFailure(
	{active, tracked}: EndedTask,
	now: number,
): number | undefined {
	return tracked.health.recordFailure(active.identifier, now)
		? tracked.health.ejectedUntilMs - now
		: undefined;
}
