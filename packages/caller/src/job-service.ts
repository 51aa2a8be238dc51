import {
	type Job,
	type JobAnswer,
	type Refusal,
	type Team,
} from '@verbenarouter/core';

/** State of a submission, with the job's answer once there is one. */
export type SubmissionStatus = {
	readonly state: 'unknown' | 'running' | 'settled';
	readonly answer?: JobAnswer | undefined;
};

/** The operations of an entry VM that the callers' interface calls. No method throws or rejects. */
export type JobService = {
	/** Returns the team with this bearer token; `undefined` if there is none. */
	authenticate(token: string): Team | undefined;
	/** Issues identifiers for submissions of a team. */
	reserve(team: Team, count: number): readonly string[];
	/** Runs a job, or waits for the answer of the submission that already has this identifier. */
	submit(team: Team, identifier: string, job: Job): Promise<JobAnswer>;
	/** Returns the state of a submission. If its owner is unreachable, the verdict of the answer is `may-have-run`. */
	status(team: Team, identifier: string): Promise<SubmissionStatus>;
	/**
	 * Refuses a submission whose request is invalid: if it has not started, it never starts. A submission that is running
	 * or has ended is not affected, and its own answer is returned.
	 */
	decline(team: Team, identifier: string, reason: Refusal): Promise<JobAnswer>;
	/**
	 * Cancels a submission. One that has not started is refused with the reason from then on, which makes the verdict
	 * `not-run` final; one that has ended keeps its answer.
	 */
	cancel(team: Team, identifier: string, reason: Refusal): Promise<JobAnswer>;
	/** Whether a catalogue is loaded; without one, no team can be authenticated. */
	hasCatalogue(): boolean;
	/** Whether the load balancer should route callers to this entry VM. */
	isReady(): boolean;
};
