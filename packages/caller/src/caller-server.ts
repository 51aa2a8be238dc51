import {
	jobSchema,
	createRefusal,
	type JobAnswer,
	type Refusal,
	type Team,
	type Verdict,
} from '@verbenarouter/core';
import fastify, {
	type FastifyError,
	type FastifyInstance,
	type FastifyReply,
	type FastifyRequest,
} from 'fastify';
import {z} from 'zod';
import {type JobService} from './job-service.js';
import {toHttpStatus} from './status-code.js';

const millisecondsPerSecond = 1000;
const maxIdentifierLength = 300;
const payloadTooLargeStatus = 413;
const notReadyRetryAfterMs = 1000;

/** Maximum number of identifiers that one request can reserve. */
export const maxIdentifiersPerReservation = 1000;

/** Schema of a request that reserves identifiers: `count` is their number. */
export const reservationSchema = z.strictObject({
	count: z.number().int().min(1).max(maxIdentifiersPerReservation).default(1),
});

/** Options of the callers' HTTP interface. */
export type CallerServerOptions = {
	/** Maximum size of a request body. */
	readonly bodyLimitBytes: number;
};

type IdentifierRoute = {Params: {identifier: string}};

/**
 * Creates the HTTP server of the callers' interface: the routes under `/v1`, and `/healthz` and `/readyz` for a load
 * balancer. Listening and closing are left to the code that creates the server.
 */
export function createCallerServer(
	service: JobService,
	options: CallerServerOptions,
): FastifyInstance {
	const server = fastify({
		bodyLimit: options.bodyLimitBytes,
		forceCloseConnections: 'idle',
		routerOptions: {maxParamLength: maxIdentifierLength},
	});
	const authenticator = new RequestAuthenticator(service);

	server.get('/healthz', async () => ({status: 'alive'}));
	server.get('/readyz', async (_request, reply) => {
		const isReady = service.isReady();
		return reply
			.code(isReady ? 200 : 503)
			.send({status: isReady ? 'ready' : 'not-ready'});
	});

	server.addHook('onRequest', async (request, reply) => {
		if (!request.url.startsWith('/v1/')) {
			return;
		}

		const reason = authenticator.authenticate(request);
		if (reason !== undefined) {
			await sendAnswer(
				reply,
				createAnswer(readIdentifier(request), 'may-have-run', reason),
			);
		}
	});

	server.post('/v1/identifiers', async (request, reply) => {
		const parsed = reservationSchema.safeParse(request.body ?? {});
		return parsed.success
			? reply.send({
					identifiers: service.reserve(
						authenticator.getTeam(request),
						parsed.data.count,
					),
				})
			: sendAnswer(
					reply,
					createAnswer('', 'not-run', createBadRequestRefusal(parsed.error)),
				);
	});

	server.put<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) => {
			const parsed = jobSchema.safeParse(request.body);
			return parsed.success
				? sendAnswer(
						reply,
						await service.submit(
							authenticator.getTeam(request),
							request.params.identifier,
							parsed.data,
						),
					)
				: decline(request, reply, createBadRequestRefusal(parsed.error));
		},
	);

	server.get<IdentifierRoute>('/v1/jobs/:identifier', async (request) =>
		service.status(authenticator.getTeam(request), request.params.identifier),
	);

	server.delete<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) =>
			sendAnswer(
				reply,
				await service.cancel(
					authenticator.getTeam(request),
					request.params.identifier,
					createRefusal('cancelled', 'The caller cancelled the job.'),
				),
			),
	);

	server.setErrorHandler(async (error: FastifyError, request, reply) =>
		decline(request, reply, toRefusal(error)),
	);
	server.setNotFoundHandler(async (request, reply) =>
		reply
			.code(404)
			.send(
				createAnswer(
					'',
					'not-run',
					createRefusal(
						'bad-request',
						`There is no route ${request.method} ${request.url}.`,
					),
				),
			),
	);

	// The owner of the identifier records the refusal, so that no other copy of the request runs after this caller
	// has received `not-run`.
	async function decline(
		request: FastifyRequest,
		reply: FastifyReply,
		reason: Refusal,
	): Promise<FastifyReply> {
		const identifier = readIdentifier(request);
		return sendAnswer(
			reply,
			identifier === '' || request.method === 'GET'
				? createAnswer(
						identifier,
						identifier === '' ? 'not-run' : 'may-have-run',
						reason,
					)
				: await service.decline(
						authenticator.getTeam(request),
						identifier,
						reason,
					),
		);
	}

	return server;
}

/** Authenticates requests, and holds the team of each one until its answer is sent. */
class RequestAuthenticator {
	readonly #service: JobService;
	readonly #teams = new WeakMap<FastifyRequest, Team>();

	constructor(service: JobService) {
		this.#service = service;
	}

	/** Authenticates the team of a request. Returns the refusal if there is no team for it, else `undefined`. */
	authenticate(request: FastifyRequest): Refusal | undefined {
		if (!this.#service.hasCatalogue()) {
			return createRefusal(
				'not-ready',
				'This entry VM has not loaded a catalogue yet.',
				notReadyRetryAfterMs,
			);
		}

		const [scheme, token] = request.headers.authorization?.split(' ') ?? [];
		const team =
			scheme?.toLowerCase() === 'bearer' && token !== undefined
				? this.#service.authenticate(token)
				: undefined;
		if (team === undefined) {
			return createRefusal(
				'unauthenticated',
				'A valid bearer token is required. This request started nothing; other requests under the same identifier may have.',
			);
		}

		this.#teams.set(request, team);
		return undefined;
	}

	/** Returns the team of an authenticated request. Throws an `Error` if the request was not authenticated. */
	getTeam(request: FastifyRequest): Team {
		const team = this.#teams.get(request);
		if (team === undefined) {
			throw new Error(
				`no team for ${request.method} ${request.url}: the request was not authenticated`,
			);
		}

		return team;
	}
}

function readIdentifier(request: FastifyRequest): string {
	const {identifier} = (request.params ?? {}) as Partial<
		IdentifierRoute['Params']
	>;
	return identifier ?? '';
}

async function sendAnswer(
	reply: FastifyReply,
	answer: JobAnswer,
): Promise<FastifyReply> {
	const retryAfterMs = answer.refusal?.retryAfterMs;
	if (retryAfterMs !== undefined) {
		void reply.header(
			'retry-after',
			Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond)),
		);
	}

	return reply.code(toHttpStatus(answer)).send(answer);
}

function createAnswer(
	identifier: string,
	verdict: Verdict,
	reason: Refusal,
): JobAnswer {
	return {identifier, verdict, refusal: reason};
}

function createBadRequestRefusal(error: z.ZodError): Refusal {
	return createRefusal(
		'bad-request',
		error.issues
			.map(
				({path, message}) =>
					`${path.length === 0 ? 'body' : path.join('.')}: ${message}`,
			)
			.join('; '),
	);
}

function toRefusal(error: FastifyError): Refusal {
	const status = error.statusCode ?? 500;
	if (status === payloadTooLargeStatus) {
		return createRefusal(
			'too-large',
			'body: larger than the limit of this entry VM.',
		);
	}

	return status < 500
		? createRefusal('bad-request', `body: ${error.message}`)
		: createRefusal('internal', error.message);
}
