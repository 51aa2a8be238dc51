/** A caller of an installation. */
import {type JobAnswer} from '@verbenarouter/core';
import {tokenOf} from './catalogue-fixtures.js';
import {call, type HttpAnswer} from './http-call.js';
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

	/** Submits a job and waits for its answer. */
	async submit(
		{address}: Part,
		identifier: string,
		job: unknown,
	): Promise<HttpAnswer<JobAnswer>> {
		return call<JobAnswer>(
			'PUT',
			`${address}/v1/jobs/${identifier}`,
			job,
			this.#token,
		);
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
