/** Parts of an entry VM with their requests counted and timed. */
import {type JobService, type SubmissionStatus} from '@verbenarouter/caller';
import {
	type Job,
	type JobAnswer,
	type Refusal,
	type Target,
	type TaskOutcome,
	type DispatchedTask,
	type Team,
} from '@verbenarouter/core';
import {type TargetClient} from '@verbenarouter/target';
import {type Clock} from './clock.js';
import {type Metrics} from './metrics.js';

/** Counts and times the tasks that go to targets. */
export class MeasuredTaskTargets implements TargetClient {
	readonly #inner: TargetClient;
	readonly #metrics: Metrics;
	readonly #clock: Clock;

	constructor(inner: TargetClient, metrics: Metrics, clock: Clock) {
		this.#inner = inner;
		this.#metrics = metrics;
		this.#clock = clock;
	}

	async start(
		target: Target,
		task: DispatchedTask,
		signal: AbortSignal,
	): Promise<TaskOutcome> {
		const startedAt = this.#clock();
		const outcome = await this.#inner.start(target, task, signal);
		this.#metrics.taskEnded(target.name, outcome, this.#clock() - startedAt);
		return outcome;
	}

	async cancel(target: Target, taskIdentifier: string): Promise<void> {
		this.#metrics.count('task_cancellations_total', {});
		return this.#inner.cancel(target, taskIdentifier);
	}

	async close(): Promise<void> {
		return this.#inner.close();
	}
}

/** Counts and times the requests of callers. */
export class MeasuredJobService implements JobService {
	readonly #inner: JobService;
	readonly #metrics: Metrics;
	readonly #clock: Clock;

	constructor(inner: JobService, metrics: Metrics, clock: Clock) {
		this.#inner = inner;
		this.#metrics = metrics;
		this.#clock = clock;
	}

	authenticate(token: string): Team | undefined {
		return this.#inner.authenticate(token);
	}

	reserve(team: Team, count: number): readonly string[] {
		this.#metrics.count('reservations_total', {});
		return this.#inner.reserve(team, count);
	}

	async submit(team: Team, identifier: string, job: Job): Promise<JobAnswer> {
		const startedAt = this.#clock();
		const answer = await this.#inner.submit(team, identifier, job);
		const code = answer.refusal?.code ?? '';
		this.#metrics.jobAnswered(
			// Names that callers invent must not become labels.
			code === 'entry-unknown' ? '' : job.entry,
			answer.verdict,
			code,
			this.#clock() - startedAt,
		);
		return answer;
	}

	async status(team: Team, identifier: string): Promise<SubmissionStatus> {
		this.#metrics.count('status_requests_total', {});
		return this.#inner.status(team, identifier);
	}

	async decline(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		this.#metrics.count('declined_total', {code: reason.code});
		return this.#inner.decline(team, identifier, reason);
	}

	async cancel(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		this.#metrics.count('cancellations_total', {});
		return this.#inner.cancel(team, identifier, reason);
	}

	hasCatalogue(): boolean {
		return this.#inner.hasCatalogue();
	}

	isReady(): boolean {
		return this.#inner.isReady();
	}
}
