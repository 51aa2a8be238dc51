import {type JobAnswer} from '@verbenarouter/core';
import {tokenForTeam} from './catalogue-fixtures.js';
import {requestJson, sendRequest, type HttpResponse} from './http-call.js';
import {type ProcessHandle} from './processes.js';

/** Client of the caller API that authenticates as one team. */
export class Caller {
	readonly #token: string;

	constructor(readonly team: string) {
		this.#token = tokenForTeam(team);
	}

	/** Reserves `count` job identifiers at an entry VM. */
	async reserve(
		{address}: ProcessHandle,
		count = 1,
	): Promise<readonly string[]> {
		const response = await requestJson<{identifiers: string[]}>(
			'POST',
			`${address}/v1/identifiers`,
			{count},
			this.#token,
		);
		return response.body.identifiers;
	}

	/** Submits a job and waits for its answer; aborting `signal` closes the request and rejects. */
	async submit(
		{address}: ProcessHandle,
		identifier: string,
		job: unknown,
		signal?: AbortSignal,
	): Promise<HttpResponse<JobAnswer>> {
		return sendRequest<JobAnswer>({
			method: 'PUT',
			url: `${address}/v1/jobs/${identifier}`,
			body: job,
			token: this.#token,
			signal,
		});
	}

	/** Fetches a submission's state, and its answer once the job has settled. */
	async fetchStatus(
		{address}: ProcessHandle,
		identifier: string,
	): Promise<HttpResponse<{state: string; answer?: JobAnswer}>> {
		return requestJson(
			'GET',
			`${address}/v1/jobs/${identifier}`,
			undefined,
			this.#token,
		);
	}

	/** Cancels a submission and returns its answer. */
	async cancel(
		{address}: ProcessHandle,
		identifier: string,
	): Promise<HttpResponse<JobAnswer>> {
		return requestJson<JobAnswer>(
			'DELETE',
			`${address}/v1/jobs/${identifier}`,
			undefined,
			this.#token,
		);
	}
}
