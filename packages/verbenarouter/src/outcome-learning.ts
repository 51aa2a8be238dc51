/** What the dispatcher learns of run times and of targets from the outcomes of tasks. */
import {
	EntryFailureRates,
	type TrackedTarget,
	type RunTimeEstimator,
	type TaskOutcome,
} from '@verbenarouter/core';
import {taskKind, type ActiveJob} from './active-job.js';

const shortestFullMs = 20;

/** One task that was at a target. */
export type EndedTask = {
	readonly active: ActiveJob;
	readonly index: number;
	readonly known: TrackedTarget;
};

/** Learns from the outcomes of tasks. */
export class OutcomeLearning {
	readonly #estimates: RunTimeEstimator;
	readonly #failures = new EntryFailureRates();

	constructor(estimates: RunTimeEstimator) {
		this.#estimates = estimates;
	}

	/** Takes in an outcome; returns the milliseconds after which the target may be tried again, when it is left alone now. */
	learn(
		task: EndedTask,
		outcome: TaskOutcome,
		now: number,
	): number | undefined {
		const {active, index, known} = task;
		switch (outcome.kind) {
			case 'completed': {
				this.#failures.observe(active.entry, false);
				known.health.recordCompletion(outcome.ranMs, active.expectedMs[index]!);
				this.#estimates.observe(taskKind(active.order, index), outcome.ranMs);
				return undefined;
			}

			case 'failed': {
				this.#failures.observe(active.entry, true);
				return this.#failures.isFailing(active.entry)
					? undefined
					: blame(task, now);
			}

			case 'unknown': {
				return outcome.reason === 'cancelled' ? undefined : blame(task, now);
			}

			case 'not-started': {
				return learnRefusal(task, outcome, now);
			}
		}
	}
}

function learnRefusal(
	task: EndedTask,
	{reason, retryAfterMs}: Extract<TaskOutcome, {kind: 'not-started'}>,
	now: number,
): number | undefined {
	switch (reason) {
		case 'cancelled': {
			return undefined;
		}

		case 'leaving': {
			task.known.reportedLeavingAtMs = now;
			return undefined;
		}

		case 'unreachable': {
			return blame(task, now);
		}

		case 'full':
		case 'refused':
		case 'cannot-fit': {
			const waitMs = Math.max(shortestFullMs, retryAfterMs);
			task.known.fullUntilMs = now + waitMs;
			return waitMs;
		}
	}
}

function blame({active, known}: EndedTask, now: number): number | undefined {
	return known.health.recordFailure(active.identifier, now)
		? known.health.ejectedUntilMs - now
		: undefined;
}
