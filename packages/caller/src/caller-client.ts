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

/** State of a submission as an entry VM reports it, with the job's answer once there is one. */
export type StatusAnswer = z.infer<typeof statusAnswerSchema>;

/** A request that got no valid answer from an entry VM. */
export type CallerFailure = {
	/** Whether the job may have run despite the failure. */
	readonly verdict: Verdict;
	readonly message: string;
};

/** Options of a `CallerClient`. */
export type CallerClientOptions = {
	/** `http://host:port` of an entry VM or of the load balancer in front of the entry VMs. */
	readonly address: string;
	/** Bearer token of the team. */
	readonly token: string;
	/** Number of identifiers that one request reserves; 20 by default. */
	readonly reservationSize?: number;
	/** Maximum number of connections; 20 by default. */
	readonly connections?: number;
};

const defaultReservationSize = 20;
const defaultConnections = 20;
/** Age at which unused identifiers are discarded, because entry VMs would soon refuse to start a job under them. */
const reservationLifetimeMs = 60_000;

type Reservation = {
	readonly identifiers: string[];
	readonly reservedAtMs: number;
};

/**
 * HTTP client of the callers' interface. It reserves identifiers in batches, and it never submits a job again by
 * itself: the verdict in the answer or the failure shows the application whether a retry is safe.
 */
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

	/** Returns a reserved identifier for one submission. Store it with the job: a retry is safe only under the same identifier. */
	reserve(nowMs: number = Date.now()): ResultAsync<string, CallerFailure> {
		return new ResultAsync(this.#reserve(nowMs));
	}

	/**
	 * Submits a job and waits for its answer. After a failure with the verdict `may-have-run`, submit the job again only
	 * under the same identifier; after `not-run`, another identifier is safe too.
	 */
	submit(identifier: string, job: Job): ResultAsync<JobAnswer, CallerFailure> {
		return this.#request({
			method: 'PUT',
			path: buildJobPath(identifier),
			body: job,
			schema: jobAnswerSchema,
		});
	}

	/** Returns the state of a submission, with its answer once there is one. */
	status(identifier: string): ResultAsync<StatusAnswer, CallerFailure> {
		return this.#request({
			method: 'GET',
			path: buildJobPath(identifier),
			schema: statusAnswerSchema,
		});
	}

	/** Cancels a submission and returns its final answer. */
	cancel(identifier: string): ResultAsync<JobAnswer, CallerFailure> {
		return this.#request({
			method: 'DELETE',
			path: buildJobPath(identifier),
			schema: jobAnswerSchema,
		});
	}

	/** Closes all connections after the open requests have ended. */
	async close(): Promise<void> {
		await this.#pool.close();
	}

	async #reserve(nowMs: number): Promise<Result<string, CallerFailure>> {
		const {identifiers, reservedAtMs} = this.#reservation;
		const reserved =
			nowMs - reservedAtMs < reservationLifetimeMs
				? identifiers.shift()
				: undefined;
		if (reserved !== undefined) {
			return ok(reserved);
		}

		const answer = await this.#request({
			method: 'POST',
			path: '/v1/identifiers',
			body: {count: this.#reservationSize},
			schema: reservationAnswerSchema,
		});
		return answer.andThen(({identifiers: [first, ...others]}) => {
			this.#reservation = {identifiers: others, reservedAtMs: nowMs};
			return first === undefined
				? err(
						createFailure(
							'not-run',
							'The entry VM returned no identifier for the reservation.',
						),
					)
				: ok(first);
		});
	}

	#request<T>(request: ApiRequest<T>): ResultAsync<T, CallerFailure> {
		return new ResultAsync(this.#sendRequest(request));
	}

	async #sendRequest<T>({
		method,
		path,
		body,
		schema,
	}: ApiRequest<T>): Promise<Result<T, CallerFailure>> {
		try {
			const response = await this.#pool.request({
				method,
				path,
				headers: {
					authorization: `Bearer ${this.#token}`,
					...(body === undefined ? {} : {'content-type': 'application/json'}),
				},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
			});
			const responseBody: unknown = await response.body.json();
			const parsed = schema.safeParse(responseBody);
			if (parsed.success) {
				return ok(parsed.data);
			}

			const refusal = refusalAnswerSchema.safeParse(responseBody);
			return err(
				createFailure(
					'may-have-run',
					refusal.success
						? refusal.data.refusal.message
						: `The body of the answer with status ${response.statusCode} is not valid: ${z.prettifyError(parsed.error)}`,
				),
			);
		} catch (error: unknown) {
			return err(toFailure(error));
		}
	}
}

type ApiRequest<T> = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly schema: z.ZodType<T>;
};

function buildJobPath(identifier: string): string {
	return `/v1/jobs/${encodeURIComponent(identifier)}`;
}

function createFailure(verdict: Verdict, message: string): CallerFailure {
	return {verdict, message};
}

// The verdict is `may-have-run` even when no connection could be opened, since an earlier attempt under the same
// identifier may have reached an entry VM.
function toFailure(error: unknown): CallerFailure {
	return createFailure(
		'may-have-run',
		error instanceof Error ? error.message : String(error),
	);
}
