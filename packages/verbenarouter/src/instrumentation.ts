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

/** Wraps {@link TargetClient} and records the number, outcomes and durations of requests to targets. */
export class InstrumentedTargetClient implements TargetClient {
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
		const startedAtMs = this.#clock();
		const outcome = await this.#inner.start(target, task, signal);
		this.#metrics.recordTaskOutcome(
			target.name,
			outcome,
			this.#clock() - startedAtMs,
		);
		return outcome;
	}

	async cancel(target: Target, taskIdentifier: string): Promise<void> {
		this.#metrics.increment('task_cancellations_total', {});
		return this.#inner.cancel(target, taskIdentifier);
	}

	async close(): Promise<void> {
		return this.#inner.close();
	}
}

/** Wraps a {@link JobService} and records the number and durations of callers' requests. */
export class InstrumentedJobService implements JobService {
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
		this.#metrics.increment('reservations_total', {});
		return this.#inner.reserve(team, count);
	}

	async submit(team: Team, identifier: string, job: Job): Promise<JobAnswer> {
		const startedAtMs = this.#clock();
		const answer = await this.#inner.submit(team, identifier, job);
		const code = answer.refusal?.code ?? '';
		this.#metrics.recordJobAnswer(
			// An unknown name comes from the caller and could create any number of label values.
			code === 'entry-unknown' ? '' : job.entry,
			answer.verdict,
			code,
			this.#clock() - startedAtMs,
		);
		return answer;
	}

	async status(team: Team, identifier: string): Promise<SubmissionStatus> {
		this.#metrics.increment('status_requests_total', {});
		return this.#inner.status(team, identifier);
	}

	async decline(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		this.#metrics.increment('declined_total', {code: reason.code});
		return this.#inner.decline(team, identifier, reason);
	}

	async cancel(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		this.#metrics.increment('cancellations_total', {});
		return this.#inner.cancel(team, identifier, reason);
	}

	hasCatalogue(): boolean {
		return this.#inner.hasCatalogue();
	}

	isReady(): boolean {
		return this.#inner.isReady();
	}
}
