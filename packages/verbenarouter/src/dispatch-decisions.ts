/** The deciding parts of the dispatcher, as the settings choose them. */
import {
	DeclaredEstimates,
	FairShortestFirst,
	FirstInFirstOut,
	LearnedEstimates,
	placementPolicy,
	type JobQueue,
	type PlacementPolicy,
	type RunTimeEstimates,
} from '@verbenarouter/core';
import {type ActiveJob, type JobOrder} from './active-job.js';
import {type Settings} from './settings.js';

/** Settings of placement and order. */
export type PlacementSettings = Settings['placement'];

/** Limits on starts that hold over all entry VMs. */
export type StartLimits = {
	/** Takes the right to start one task now; returns whether there was one. */
	tryStart(order: JobOrder, now: number): boolean;
	/** Gives the right back when the task has ended. */
	ended(order: JobOrder, now: number): void;
};

/** No limits. */
export const unlimited: StartLimits = {
	tryStart: () => true,
	ended() {
		// Nothing was taken.
	},
};

/** The deciding parts. */
export type Decisions = {
	readonly policy: PlacementPolicy;
	readonly queue: JobQueue<ActiveJob>;
	readonly estimates: RunTimeEstimates;
};

/** Builds the deciding parts; `slots` gives the slots over which a job's work spreads. */
export function decisionsOf(
	settings: PlacementSettings,
	slots: () => number,
): Decisions {
	return {
		policy: placementPolicy(settings.policy),
		queue:
			settings.order === 'fair-shortest-first'
				? new FairShortestFirst<ActiveJob>({
						slots,
						stretch: settings.stretch,
						fairnessMs: settings.fairnessMs,
					})
				: new FirstInFirstOut<ActiveJob>(),
		estimates:
			settings.estimates === 'learned'
				? new LearnedEstimates()
				: new DeclaredEstimates(),
	};
}
