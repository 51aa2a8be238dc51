/** A small client for callers. It never sends a job again by itself: its caller decides, with the verdict at hand. */
import {
	jobAnswerSchema,
	submissionStateSchema,
	type Job,
	type JobAnswer,
	type Verdict,
} from '@verbenarouter/core';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';

const reservationAnswerSchema = z.object({
	identifiers: z.array(z.string()).readonly(),
});
const statusAnswerSchema = z.object({
	state: submissionStateSchema,
	answer: jobAnswerSchema.optional(),
});
const refusalAnswerSchema = z.object({
	refusal: z.object({message: z.string()}),
});

/** Where a submission stands, as an entry VM told it. */
export type StatusAnswer = z.infer<typeof statusAnswerSchema>;

/** Why a request has no answer from an entry VM, and whether the job may have run all the same. */
export type CallerFailure = {
	readonly verdict: Verdict;
	readonly message: string;
};

/** Settings of a client. */
export type CallerClientOptions = {
	/** `http://host:port` of an entry VM or of the balancer before them. */
	readonly address: string;
	readonly token: string;
	/** Identifiers that are reserved in one request. */
	readonly reservationSize?: number;
	readonly connections?: number;
};

const defaultReservationSize = 20;
const defaultConnections = 20;
/** Reserved identifiers that are older are left unused: they would soon be too old to start. */
const reservationLifetimeMs = 60_000;

type Reservation = {
	readonly identifiers: string[];
	readonly reservedAtMs: number;
};

/** A small client for callers. Identifiers are reserved in batches, ahead of need. */
export class CallerClient {
	readonly #pool: Pool;
	readonly #token: string;
	readonly #reservationSize: number;
	#reservation: Reservation = {identifiers: [], reservedAtMs: 0};

	constructor({
		address,
		token,
		reservationSize,
		connections,
	}: CallerClientOptions) {
		this.#pool = new Pool(address, {
			connections: connections ?? defaultConnections,
		});
		this.#token = token;
		this.#reservationSize = reservationSize ?? defaultReservationSize;
	}

	/** An identifier for one submission. Keep it with the job: it is what makes a second attempt safe. */
	reserve(now: number = Date.now()): ResultAsync<string, CallerFailure> {
		return new ResultAsync(this.#reserve(now));
	}

	/**
	 * Submits a job and waits for its answer. After a failure with the verdict `may-have-run`, submit again under the
	 * same identifier; under another one only after `not-run`.
	 */
	submit(identifier: string, job: Job): ResultAsync<JobAnswer, CallerFailure> {
		return this.#call({
			method: 'PUT',
			path: jobPath(identifier),
			body: job,
			schema: jobAnswerSchema,
		});
	}

	/** Asks what became of a submission. */
	status(identifier: string): ResultAsync<StatusAnswer, CallerFailure> {
		return this.#call({
			method: 'GET',
			path: jobPath(identifier),
			schema: statusAnswerSchema,
		});
	}

	/** Cancels a submission; the answer is final. */
	cancel(identifier: string): ResultAsync<JobAnswer, CallerFailure> {
		return this.#call({
			method: 'DELETE',
			path: jobPath(identifier),
			schema: jobAnswerSchema,
		});
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.close();
	}

	async #reserve(now: number): Promise<Result<string, CallerFailure>> {
		const {identifiers, reservedAtMs} = this.#reservation;
		const kept =
			now - reservedAtMs < reservationLifetimeMs
				? identifiers.shift()
				: undefined;
		if (kept !== undefined) {
			return ok(kept);
		}

		const answer = await this.#call({
			method: 'POST',
			path: '/v1/identifiers',
			body: {count: this.#reservationSize},
			schema: reservationAnswerSchema,
		});
		return answer.andThen(({identifiers: [first, ...others]}) => {
			this.#reservation = {identifiers: others, reservedAtMs: now};
			return first === undefined
				? err(failure('not-run', 'The entry VM reserved no identifier.'))
				: ok(first);
		});
	}

	#call<T>(call: Call<T>): ResultAsync<T, CallerFailure> {
		return new ResultAsync(this.#request(call));
	}

	async #request<T>({
		method,
		path,
		body,
		schema,
	}: Call<T>): Promise<Result<T, CallerFailure>> {
		try {
			const answer = await this.#pool.request({
				method,
				path,
				headers: {
					authorization: `Bearer ${this.#token}`,
					...(body === undefined ? {} : {'content-type': 'application/json'}),
				},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
			});
			const answered: unknown = await answer.body.json();
			const parsed = schema.safeParse(answered);
			if (parsed.success) {
				return ok(parsed.data);
			}

			const refused = refusalAnswerSchema.safeParse(answered);
			return err(
				failure(
					'may-have-run',
					refused.success
						? refused.data.refusal.message
						: `The answer with status ${answer.statusCode} cannot be read: ${z.prettifyError(parsed.error)}`,
				),
			);
		} catch (error: unknown) {
			return err(failureOf(error));
		}
	}
}

type Call<T> = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly schema: z.ZodType<T>;
};

function jobPath(identifier: string): string {
	return `/v1/jobs/${encodeURIComponent(identifier)}`;
}

function failure(verdict: Verdict, message: string): CallerFailure {
	return {verdict, message};
}

// A second attempt may have met a connection that a first one did not, so even "cannot connect" proves nothing.
function failureOf(error: unknown): CallerFailure {
	return failure(
		'may-have-run',
		error instanceof Error ? error.message : String(error),
	);
}
