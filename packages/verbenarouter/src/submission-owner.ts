import {
	createRefusal,
	type Admission,
	type Incarnation,
	type JobAnswer,
	type Refusal,
	type SubmissionStore,
	type Team,
	type Verdict,
} from '@verbenarouter/core';
import {type SubmissionStatus} from '@verbenarouter/caller';
import {withTimeout} from '@verbenarouter/peer';
import {type Clock} from './clock.js';
import {type DispatchRequest} from './active-job.js';
import {type Dispatcher} from './dispatcher.js';
import {type StartLimiter} from './start-limiter.js';

/**
 * The result for a submission that another entry VM must answer for; nothing was done here.
 *
 * - `elsewhere`: the submission runs on the incarnation `at`.
 * - `moved`: a successor may own the submission.
 */
export type Redirect =
	| {readonly kind: 'elsewhere'; readonly at: Incarnation}
	| {readonly kind: 'moved'};

/** The reply of the owner to one copy of a request. */
export type OwnerReply =
	{readonly kind: 'answer'; readonly answer: JobAnswer} | Redirect;

/** The reply of the owner to a request for the state of a submission. */
export type OwnerStatus =
	({readonly kind: 'state'} & SubmissionStatus) | Redirect;

/** Runs the submissions that this entry VM owns, each at most once, and answers every copy of a request alike. */
export class SubmissionOwner {
	readonly #store: SubmissionStore;
	readonly #dispatcher: Dispatcher;
	readonly #clock: Clock;
	readonly #startLimiter: StartLimiter;
	readonly #runningAnswers = new Map<string, Promise<JobAnswer>>();

	constructor(
		store: SubmissionStore,
		dispatcher: Dispatcher,
		clock: Clock,
		startLimiter: StartLimiter,
	) {
		this.#store = store;
		this.#dispatcher = dispatcher;
		this.#clock = clock;
		this.#startLimiter = startLimiter;
	}

	/** Runs a job. A copy of the request of a running job waits for the same answer, at most until its own deadline. */
	async submit(request: DispatchRequest): Promise<OwnerReply> {
		const {identifier, team, job, deadlineAtMs} = request;
		const now = this.#clock();
		const admission = this.#store.admit(
			identifier,
			team.name,
			{entry: job.entry, taskCount: job.tasks.length},
			now,
		);
		if (admission.kind === 'join') {
			return createAnswerReply(
				await this.#waitForRunning(identifier, deadlineAtMs - now),
			);
		}

		if (admission.kind !== 'start') {
			return convertToReply(identifier, admission);
		}

		const reason =
			this.#dispatcher.checkAdmission(request, now) ??
			this.#startLimiter.checkAdmission(request, now);
		if (reason !== undefined) {
			return createAnswerReply(this.#refuse(identifier, team, reason));
		}

		const running = this.#run(request);
		this.#runningAnswers.set(identifier, running);
		return createAnswerReply(await running);
	}

	/** Returns the state of a submission, with its answer if it has one. */
	status(identifier: string, team: Team): OwnerStatus {
		const admission = this.#store.previewAdmission(
			identifier,
			team.name,
			this.#clock(),
		);
		switch (admission.kind) {
			case 'start': {
				return {kind: 'state', state: 'unknown'};
			}

			case 'join': {
				return {kind: 'state', state: 'running'};
			}

			case 'answer': {
				return {kind: 'state', state: 'settled', answer: admission.answer};
			}

			case 'refuse': {
				return {
					kind: 'state',
					state: 'unknown',
					answer: createRefusedAnswer(
						identifier,
						admission.verdict,
						admission.refusal,
					),
				};
			}

			case 'elsewhere':
			case 'moved': {
				return admission;
			}
		}
	}

	/** Cancels a running submission. A submission that has not started is refused from then on. */
	async cancel(
		identifier: string,
		team: Team,
		reason: Refusal,
	): Promise<OwnerReply> {
		const admission = this.#store.previewAdmission(
			identifier,
			team.name,
			this.#clock(),
		);
		if (admission.kind === 'start') {
			return createAnswerReply(this.#refuse(identifier, team, reason));
		}

		if (admission.kind === 'join') {
			this.#dispatcher.cancel(identifier, reason);
			return createAnswerReply(await this.#awaitRunningAnswer(identifier));
		}

		return convertToReply(identifier, admission);
	}

	/** Refuses, from then on, a submission that has not started. A running submission continues; only this copy is refused. */
	decline(identifier: string, team: Team, reason: Refusal): OwnerReply {
		const admission = this.#store.previewAdmission(
			identifier,
			team.name,
			this.#clock(),
		);
		if (admission.kind === 'start') {
			return createAnswerReply(this.#refuse(identifier, team, reason));
		}

		return admission.kind === 'join'
			? createAnswerReply(
					createRefusedAnswer(identifier, 'may-have-run', reason),
				)
			: convertToReply(identifier, admission);
	}

	async #run(request: DispatchRequest): Promise<JobAnswer> {
		this.#startLimiter.recordAdmission(request, this.#clock());
		const answer = await this.#dispatcher.dispatch(request);
		this.#startLimiter.recordSettlement(request, this.#clock());
		const final = this.#addNextIdentifier(answer, request.team);
		this.#settle(request.identifier, request.team, final);
		this.#runningAnswers.delete(request.identifier);
		return final;
	}

	async #waitForRunning(
		identifier: string,
		waitMs: number,
	): Promise<JobAnswer> {
		const answer = await withTimeout(
			this.#awaitRunningAnswer(identifier),
			waitMs,
		);
		return (
			answer ??
			createRefusedAnswer(
				identifier,
				'may-have-run',
				createRefusal(
					'deadline-exceeded',
					'The submission is still running; it did not end before the deadline of this copy of the request.',
				),
			)
		);
	}

	async #awaitRunningAnswer(identifier: string): Promise<JobAnswer> {
		return (
			this.#runningAnswers.get(identifier) ??
			createRefusedAnswer(
				identifier,
				'may-have-run',
				createRefusal('internal', 'The running submission has no answer.'),
			)
		);
	}

	#refuse(identifier: string, team: Team, reason: Refusal): JobAnswer {
		const answer = this.#addNextIdentifier(
			createRefusedAnswer(identifier, 'not-run', reason),
			team,
		);
		this.#settle(identifier, team, answer);
		return answer;
	}

	#settle(identifier: string, team: Team, answer: JobAnswer): void {
		const now = this.#clock();
		this.#store.settle(identifier, team.name, answer, now);
		this.#store.evictExpired(now);
	}

	#addNextIdentifier(answer: JobAnswer, team: Team): JobAnswer {
		return answer.verdict === 'not-run'
			? {
					...answer,
					nextIdentifier: this.#store.issueIdentifier(team.name, this.#clock()),
				}
			: answer;
	}
}

/** Creates an answer without outputs that carries the reason for its verdict. */
export function createRefusedAnswer(
	identifier: string,
	verdict: Verdict,
	reason: Refusal,
): JobAnswer {
	return {identifier, verdict, refusal: reason};
}

function createAnswerReply(answer: JobAnswer): OwnerReply {
	return {kind: 'answer', answer};
}

function convertToReply(
	identifier: string,
	admission: Exclude<Admission, {kind: 'start' | 'join'}>,
): OwnerReply {
	return admission.kind === 'refuse'
		? createAnswerReply(
				createRefusedAnswer(identifier, admission.verdict, admission.refusal),
			)
		: admission;
}
