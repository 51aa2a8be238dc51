import {
	DeclaredTimeEstimator,
	FairShortestFirstQueue,
	FirstInFirstOutQueue,
	LearnedTimeEstimator,
	createPlacementPolicy,
	type JobQueue,
	type PlacementPolicy,
	type RunTimeEstimator,
} from '@verbenarouter/core';
import {type ActiveJob} from './active-job.js';
import {type Settings} from './settings.js';

/** Settings that select and configure the {@link DispatchStrategies}. */
export type PlacementSettings = Settings['placement'];

/** Exchangeable parts of the dispatcher: target choice, job order and run time estimates. */
export type DispatchStrategies = {
	readonly policy: PlacementPolicy;
	readonly queue: JobQueue<ActiveJob>;
	readonly estimator: RunTimeEstimator;
};

/** Creates the strategies that the settings select; `slots` returns the number of slots over which a job can spread. */
export function createDispatchStrategies(
	settings: PlacementSettings,
	slots: () => number,
): DispatchStrategies {
	return {
		policy: createPlacementPolicy(settings.policy),
		queue:
			settings.order === 'fair-shortest-first'
				? new FairShortestFirstQueue<ActiveJob>({
						slots,
						stretch: settings.stretch,
						fairnessMs: settings.fairnessMs,
					})
				: new FirstInFirstOutQueue<ActiveJob>(),
		estimator:
			settings.estimates === 'learned'
				? new LearnedTimeEstimator()
				: new DeclaredTimeEstimator(),
	};
}
