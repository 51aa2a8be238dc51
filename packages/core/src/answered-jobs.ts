import {type PoolAnswer} from './pool-job.js';

/** Time in milliseconds and number for which answers are remembered. */
export type AnswerRetention = {
	/** Time for which answers are retained for copies of a request that arrive late. */
	readonly answerRetentionMs: number;
	/** Largest number of retained answers, and of retained attempts without a result. */
	readonly maxRetainedAnswers: number;
};

/** What a leader remembers of jobs that it has answered or given up, for copies of their requests. */
export class AnsweredJobs {
	readonly #retention: AnswerRetention;
	/** Attempts that were answered `not-run` or `may-have-run`, with the time of the answer. */
	readonly #closedAttempts = new Map<
		string,
		{readonly mayHaveRun: boolean; readonly atMs: number}
	>();

	/** Answers of completed, failed and cancelled jobs by job identifier, with the time of the answer. */
	readonly #answers = new Map<
		string,
		{readonly answer: PoolAnswer; readonly atMs: number}
	>();

	/** Jobs that had runs when they were given up, with the time; the runs may take a while to stop. */
	readonly #stoppedJobs = new Map<string, number>();

	constructor(retention: AnswerRetention) {
		this.#retention = retention;
	}

	/** Returns the answer of a completed, failed or cancelled job. */
	findAnswer(jobId: string): PoolAnswer | undefined {
		return this.#answers.get(jobId)?.answer;
	}

	/** Returns whether a job may have run in an attempt that was answered without a result; `undefined` for other attempts. */
	findClosedAttempt(
		attempt: string,
	): {readonly mayHaveRun: boolean} | undefined {
		return this.#closedAttempts.get(attempt);
	}

	/** Whether runs of a job were stopped when it was given up. */
	hadRuns(jobId: string): boolean {
		return this.#stoppedJobs.has(jobId);
	}

	/** Records the answer of a job; one without a result closes its attempt only, as the caller may try again. */
	recordAnswer(
		jobId: string,
		attempt: string,
		answer: PoolAnswer,
		now: number,
	): void {
		if (answer.kind === 'not-run' || answer.kind === 'may-have-run') {
			this.#closedAttempts.set(attempt, {
				mayHaveRun: answer.kind === 'may-have-run',
				atMs: now,
			});
		} else {
			this.#answers.set(jobId, {answer, atMs: now});
		}
	}

	/** Records that a run of a job is stopped. */
	recordStop(jobId: string, now: number): void {
		this.#stoppedJobs.set(jobId, now);
	}

	/** Forgets what is older than the retention time, and the oldest beyond the largest number. */
	evict(now: number): void {
		const {answerRetentionMs, maxRetainedAnswers} = this.#retention;
		for (const retained of [this.#answers, this.#closedAttempts]) {
			for (const [key, {atMs}] of retained) {
				if (
					now - atMs <= answerRetentionMs &&
					retained.size <= maxRetainedAnswers
				) {
					break;
				}

				retained.delete(key);
			}
		}

		for (const [jobId, atMs] of this.#stoppedJobs) {
			if (now - atMs > answerRetentionMs) {
				this.#stoppedJobs.delete(jobId);
			}
		}
	}
}
