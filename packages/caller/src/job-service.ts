/** What the callers' interface needs from the entry VM behind it. */
import {
	type Job,
	type JobAnswer,
	type Refusal,
	type Team,
} from '@verbenarouter/core';

/** Where a submission stands, with its answer once there is one. */
export type SubmissionStatus = {
	readonly state: 'unknown' | 'running' | 'settled';
	readonly answer?: JobAnswer | undefined;
};

/** The entry VM, as the callers' interface sees it. No method rejects. */
export type JobService = {
	/** The team with this bearer token. */
	authenticate(token: string): Team | undefined;
	/** Issues identifiers for submissions of a team. */
	reserve(team: Team, count: number): readonly string[];
	/** Runs a job, or waits for its answer when the identifier is already known. */
	submit(team: Team, identifier: string, job: Job): Promise<JobAnswer>;
	/** Where a submission stands; for an owner that is out of reach, an answer `may-have-run`. */
	status(team: Team, identifier: string): Promise<SubmissionStatus>;
	/**
	 * Cancels a submission. One that has not started is refused from now on with the reason, and so the
	 * answer `not-run` is true; one that has ended keeps its answer.
	 */
	cancel(team: Team, identifier: string, reason: Refusal): Promise<JobAnswer>;
	/**
	 * Refuses a submission from now on that has not started, because this copy of its request is not valid. One that
	 * runs goes on, and only this copy is refused; one that has ended keeps its answer.
	 */
	decline(team: Team, identifier: string, reason: Refusal): Promise<JobAnswer>;
	/** Whether the balancer is to send callers here. */
	isReady(): boolean;
};
