/** Runs the submissions that this entry VM owns, each at most once, and gives every copy the same answer. */
import {
	refusal,
	type Admission,
	type JobAnswer,
	type Refusal,
	type SubmissionMemory,
	type Team,
	type Verdict,
} from '@verbenarouter/core';
import {type SubmissionStatus} from '@verbenarouter/caller';
import {type Clock} from './clock.js';
import {type Dispatcher, type JobOrder} from './dispatcher.js';

/** Runs the submissions that this entry VM owns. */
export class SubmissionOwner {
	readonly #memory: SubmissionMemory;
	readonly #dispatcher: Dispatcher;
	readonly #clock: Clock;
	readonly #running = new Map<string, Promise<JobAnswer>>();

	constructor(memory: SubmissionMemory, dispatcher: Dispatcher, clock: Clock) {
		this.#memory = memory;
		this.#dispatcher = dispatcher;
		this.#clock = clock;
	}

	/** Starts a job, or waits with the other copies of its request. */
	async submit(order: JobOrder): Promise<JobAnswer> {
		const {identifier, team, job} = order;
		const now = this.#clock();
		const admission = this.#memory.admit(
			identifier,
			team.name,
			{entry: job.entry, taskCount: job.tasks.length},
			now,
		);
		if (admission.kind !== 'start') {
			return this.#answerOf(identifier, admission);
		}

		const reason = this.#dispatcher.refusalFor(order, now);
		if (reason !== undefined) {
			return this.#refuse(identifier, team, reason);
		}

		const running = this.#run(order);
		this.#running.set(identifier, running);
		return running;
	}

	/** Where a submission stands. */
	status(identifier: string, team: Team): SubmissionStatus {
		const known = this.#memory.lookUp(identifier, team.name, this.#clock());
		switch (known.kind) {
			case 'start': {
				return {state: 'unknown'};
			}

			case 'join': {
				return {state: 'running'};
			}

			case 'answer': {
				return {state: 'settled', answer: known.answer};
			}

			case 'refuse': {
				return {
					state: 'unknown',
					answer: answerWith(identifier, known.verdict, known.refusal),
				};
			}
		}
	}

	/** Cancels a running submission; one that has not started is refused from now on. */
	async cancel(
		identifier: string,
		team: Team,
		reason: Refusal,
	): Promise<JobAnswer> {
		const known = this.#memory.lookUp(identifier, team.name, this.#clock());
		if (known.kind === 'start') {
			return this.#refuse(identifier, team, reason);
		}

		if (known.kind === 'join') {
			this.#dispatcher.cancel(identifier, reason);
		}

		return this.#answerOf(identifier, known);
	}

	async #run(order: JobOrder): Promise<JobAnswer> {
		const answer = await this.#dispatcher.dispatch(order);
		const final = this.#withNextIdentifier(answer, order.team);
		this.#settle(order.identifier, order.team, final);
		this.#running.delete(order.identifier);
		return final;
	}

	#refuse(identifier: string, team: Team, reason: Refusal): JobAnswer {
		const answer = this.#withNextIdentifier(
			answerWith(identifier, 'not-run', reason),
			team,
		);
		this.#settle(identifier, team, answer);
		return answer;
	}

	#settle(identifier: string, team: Team, answer: JobAnswer): void {
		const now = this.#clock();
		this.#memory.settle(identifier, team.name, answer, now);
		this.#memory.forget(now);
	}

	#withNextIdentifier(answer: JobAnswer, team: Team): JobAnswer {
		return answer.verdict === 'not-run'
			? {
					...answer,
					nextIdentifier: this.#memory.issue(team.name, this.#clock()),
				}
			: answer;
	}

	async #answerOf(
		identifier: string,
		admission: Exclude<Admission, {kind: 'start'}>,
	): Promise<JobAnswer> {
		switch (admission.kind) {
			case 'answer': {
				return admission.answer;
			}

			case 'refuse': {
				return answerWith(identifier, admission.verdict, admission.refusal);
			}

			case 'join': {
				return (
					this.#running.get(identifier) ??
					answerWith(
						identifier,
						'may-have-run',
						refusal('internal', 'The running submission has no answer.'),
					)
				);
			}
		}
	}
}

/** An answer without outputs. */
export function answerWith(
	identifier: string,
	verdict: Verdict,
	reason: Refusal,
): JobAnswer {
	return {identifier, verdict, refusal: reason};
}
