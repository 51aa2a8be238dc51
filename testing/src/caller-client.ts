/** A caller of an installation. */
import {type JobAnswer} from '@verbenarouter/core';
import {tokenOf} from './catalogue-fixtures.js';
import {call, send, type HttpAnswer} from './http-call.js';
import {type Part} from './processes.js';

/** A caller of one team. */
export class Caller {
	readonly #token: string;

	constructor(readonly team: string) {
		this.#token = tokenOf(team);
	}

	/** Reserves identifiers at an entry VM. */
	async reserve({address}: Part, count = 1): Promise<readonly string[]> {
		const answer = await call<{identifiers: string[]}>(
			'POST',
			`${address}/v1/identifiers`,
			{count},
			this.#token,
		);
		return answer.body.identifiers;
	}

	/** Submits a job and waits for its answer, or until the signal tells it to go away. */
	async submit(
		{address}: Part,
		identifier: string,
		job: unknown,
		signal?: AbortSignal,
	): Promise<HttpAnswer<JobAnswer>> {
		return send<JobAnswer>({
			method: 'PUT',
			url: `${address}/v1/jobs/${identifier}`,
			body: job,
			token: this.#token,
			signal,
		});
	}

	/** Asks for a submission's state. */
	async status(
		{address}: Part,
		identifier: string,
	): Promise<HttpAnswer<{state: string; answer?: JobAnswer}>> {
		return call(
			'GET',
			`${address}/v1/jobs/${identifier}`,
			undefined,
			this.#token,
		);
	}

	/** Cancels a submission. */
	async cancel(
		{address}: Part,
		identifier: string,
	): Promise<HttpAnswer<JobAnswer>> {
		return call<JobAnswer>(
			'DELETE',
			`${address}/v1/jobs/${identifier}`,
			undefined,
			this.#token,
		);
	}
}
