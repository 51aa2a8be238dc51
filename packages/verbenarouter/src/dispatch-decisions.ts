/** The deciding parts of the dispatcher, as the settings choose them. */
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

/** Settings of placement and order. */
export type PlacementSettings = Settings['placement'];

/** The deciding parts. */
export type Decisions = {
	readonly policy: PlacementPolicy;
	readonly queue: JobQueue<ActiveJob>;
	readonly estimates: RunTimeEstimator;
};

/** Builds the deciding parts; `slots` gives the slots over which a job's work spreads. */
export function decisionsOf(
	settings: PlacementSettings,
	slots: () => number,
): Decisions {
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
		estimates:
			settings.estimates === 'learned'
				? new LearnedTimeEstimator()
				: new DeclaredTimeEstimator(),
	};
}
