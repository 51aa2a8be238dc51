/** Runs the submissions that this entry VM owns, each at most once, and gives every copy the same answer. */
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
import {withinTime} from '@verbenarouter/peer';
import {type Clock} from './clock.js';
import {type Dispatcher, type JobOrder} from './dispatcher.js';
import {type StartLimiter} from './start-limiter.js';

/** The submission is another entry VM's to answer for. Nothing was done here. */
export type Redirect =
	| {readonly kind: 'elsewhere'; readonly at: Incarnation}
	| {readonly kind: 'moved'};

/** What the owner says to one copy of a request. */
export type OwnerReply =
	{readonly kind: 'answer'; readonly answer: JobAnswer} | Redirect;

/** What the owner says about a submission's state. */
export type OwnerStatus =
	({readonly kind: 'state'} & SubmissionStatus) | Redirect;

/** Runs the submissions that this entry VM owns. */
export class SubmissionOwner {
	readonly #memory: SubmissionStore;
	readonly #dispatcher: Dispatcher;
	readonly #clock: Clock;
	readonly #gate: StartLimiter;
	readonly #running = new Map<string, Promise<JobAnswer>>();

	constructor(
		memory: SubmissionStore,
		dispatcher: Dispatcher,
		clock: Clock,
		gate: StartLimiter,
	) {
		this.#memory = memory;
		this.#dispatcher = dispatcher;
		this.#clock = clock;
		this.#gate = gate;
	}

	/** Starts a job, or waits with the other copies of its request until this copy's own deadline. */
	async submit(order: JobOrder): Promise<OwnerReply> {
		const {identifier, team, job, deadlineAtMs} = order;
		const now = this.#clock();
		const admission = this.#memory.admit(
			identifier,
			team.name,
			{entry: job.entry, taskCount: job.tasks.length},
			now,
		);
		if (admission.kind === 'join') {
			return answered(await this.#join(identifier, deadlineAtMs - now));
		}

		if (admission.kind !== 'start') {
			return replyTo(identifier, admission);
		}

		const reason =
			this.#dispatcher.checkAdmission(order, now) ?? this.#gate.checkAdmission(order, now);
		if (reason !== undefined) {
			return answered(this.#refuse(identifier, team, reason));
		}

		const running = this.#run(order);
		this.#running.set(identifier, running);
		return answered(await running);
	}

	/** Where a submission stands. */
	status(identifier: string, team: Team): OwnerStatus {
		const known = this.#memory.previewAdmission(
			identifier,
			team.name,
			this.#clock(),
		);
		switch (known.kind) {
			case 'start': {
				return {kind: 'state', state: 'unknown'};
			}

			case 'join': {
				return {kind: 'state', state: 'running'};
			}

			case 'answer': {
				return {kind: 'state', state: 'settled', answer: known.answer};
			}

			case 'refuse': {
				return {
					kind: 'state',
					state: 'unknown',
					answer: answerWith(identifier, known.verdict, known.refusal),
				};
			}

			case 'elsewhere':
			case 'moved': {
				return known;
			}
		}
	}

	/** Cancels a running submission; one that has not started is refused from now on. */
	async cancel(
		identifier: string,
		team: Team,
		reason: Refusal,
	): Promise<OwnerReply> {
		const known = this.#memory.previewAdmission(
			identifier,
			team.name,
			this.#clock(),
		);
		if (known.kind === 'start') {
			return answered(this.#refuse(identifier, team, reason));
		}

		if (known.kind === 'join') {
			this.#dispatcher.cancel(identifier, reason);
			return answered(await this.#answerOfRunning(identifier));
		}

		return replyTo(identifier, known);
	}

	/** Refuses a submission that has not started from now on. One that runs goes on, and only this copy is refused. */
	decline(identifier: string, team: Team, reason: Refusal): OwnerReply {
		const known = this.#memory.previewAdmission(
			identifier,
			team.name,
			this.#clock(),
		);
		if (known.kind === 'start') {
			return answered(this.#refuse(identifier, team, reason));
		}

		return known.kind === 'join'
			? answered(answerWith(identifier, 'may-have-run', reason))
			: replyTo(identifier, known);
	}

	async #run(order: JobOrder): Promise<JobAnswer> {
		this.#gate.recordAdmission(order, this.#clock());
		const answer = await this.#dispatcher.dispatch(order);
		this.#gate.recordSettlement(order, this.#clock());
		const final = this.#withNextIdentifier(answer, order.team);
		this.#settle(order.identifier, order.team, final);
		this.#running.delete(order.identifier);
		return final;
	}

	async #join(identifier: string, waitMs: number): Promise<JobAnswer> {
		const answer = await withinTime(this.#answerOfRunning(identifier), waitMs);
		return (
			answer ??
			answerWith(
				identifier,
				'may-have-run',
				createRefusal(
					'deadline-exceeded',
					'The submission runs on; it did not end before the deadline of this copy of the request.',
				),
			)
		);
	}

	async #answerOfRunning(identifier: string): Promise<JobAnswer> {
		return (
			this.#running.get(identifier) ??
			answerWith(
				identifier,
				'may-have-run',
				createRefusal('internal', 'The running submission has no answer.'),
			)
		);
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
		this.#memory.evictExpired(now);
	}

	#withNextIdentifier(answer: JobAnswer, team: Team): JobAnswer {
		return answer.verdict === 'not-run'
			? {
					...answer,
					nextIdentifier: this.#memory.issueIdentifier(
						team.name,
						this.#clock(),
					),
				}
			: answer;
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

function answered(answer: JobAnswer): OwnerReply {
	return {kind: 'answer', answer};
}

function replyTo(
	identifier: string,
	known: Exclude<Admission, {kind: 'start' | 'join'}>,
): OwnerReply {
	return known.kind === 'refuse'
		? answered(answerWith(identifier, known.verdict, known.refusal))
		: known;
}
