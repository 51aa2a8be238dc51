/** The callers' HTTP interface under `/v1`. */
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
import {statusOf} from './status-code.js';

const millisecondsPerSecond = 1000;
const maximumIdentifierLength = 300;
const payloadTooLarge = 413;
const retryBeforeReadyMs = 1000;

/** Identifiers that may be reserved at once. */
export const maximumReservation = 1000;

/** How many identifiers to reserve. */
export const reservationSchema = z.strictObject({
	count: z.number().int().min(1).max(maximumReservation).default(1),
});

/** Bounds of the callers' interface. */
export type CallerServerOptions = {
	/** Bytes of one request body at most. */
	readonly bodyLimitBytes: number;
};

type IdentifierRoute = {Params: {identifier: string}};

/** Builds the callers' interface; the caller of this function listens and closes. */
export function createCallerServer(
	service: JobService,
	options: CallerServerOptions,
): FastifyInstance {
	const server = fastify({
		bodyLimit: options.bodyLimitBytes,
		forceCloseConnections: 'idle',
		routerOptions: {maxParamLength: maximumIdentifierLength},
	});
	const teams = new TeamsOfRequests(service);

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

		const reason = teams.authenticate(request);
		if (reason !== undefined) {
			await send(
				reply,
				answerOf(identifierOf(request), 'may-have-run', reason),
			);
		}
	});

	server.post('/v1/identifiers', async (request, reply) => {
		const parsed = reservationSchema.safeParse(request.body ?? {});
		return parsed.success
			? reply.send({
					identifiers: service.reserve(teams.of(request), parsed.data.count),
				})
			: send(reply, answerOf('', 'not-run', badRequest(parsed.error)));
	});

	server.put<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) => {
			const parsed = jobSchema.safeParse(request.body);
			return parsed.success
				? send(
						reply,
						await service.submit(
							teams.of(request),
							request.params.identifier,
							parsed.data,
						),
					)
				: decline(request, reply, badRequest(parsed.error));
		},
	);

	server.get<IdentifierRoute>('/v1/jobs/:identifier', async (request) =>
		service.status(teams.of(request), request.params.identifier),
	);

	server.delete<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) =>
			send(
				reply,
				await service.cancel(
					teams.of(request),
					request.params.identifier,
					createRefusal('cancelled', 'The caller cancelled the job.'),
				),
			),
	);

	server.setErrorHandler(async (error: FastifyError, request, reply) =>
		decline(request, reply, refusalOfError(error)),
	);
	server.setNotFoundHandler(async (request, reply) =>
		reply
			.code(404)
			.send(
				answerOf(
					'',
					'not-run',
					createRefusal(
						'bad-request',
						`There is no ${request.method} ${request.url}.`,
					),
				),
			),
	);

	// The owner records the refusal, so that no other copy runs after this caller was told "not run".
	async function decline(
		request: FastifyRequest,
		reply: FastifyReply,
		reason: Refusal,
	): Promise<FastifyReply> {
		const identifier = identifierOf(request);
		return send(
			reply,
			identifier === '' || request.method === 'GET'
				? answerOf(
						identifier,
						identifier === '' ? 'not-run' : 'may-have-run',
						reason,
					)
				: await service.decline(teams.of(request), identifier, reason),
		);
	}

	return server;
}

/** The authenticated teams of the requests that are being answered. */
class TeamsOfRequests {
	readonly #service: JobService;
	readonly #teams = new WeakMap<FastifyRequest, Team>();

	constructor(service: JobService) {
		this.#service = service;
	}

	/** Finds the request's team; the answer is the reason when there is none. */
	authenticate(request: FastifyRequest): Refusal | undefined {
		if (!this.#service.hasCatalogue()) {
			return createRefusal(
				'not-ready',
				'This entry VM knows no catalogue yet.',
				retryBeforeReadyMs,
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
				'A valid bearer token is needed. This request started nothing; of others with its identifier nothing is said.',
			);
		}

		this.#teams.set(request, team);
		return undefined;
	}

	/** The team of a request that was authenticated. */
	of(request: FastifyRequest): Team {
		const team = this.#teams.get(request);
		if (team === undefined) {
			throw new Error('the request was not authenticated');
		}

		return team;
	}
}

function identifierOf(request: FastifyRequest): string {
	const {identifier} = (request.params ?? {}) as Partial<
		IdentifierRoute['Params']
	>;
	return identifier ?? '';
}

async function send(
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

	return reply.code(statusOf(answer)).send(answer);
}

function answerOf(
	identifier: string,
	verdict: Verdict,
	reason: Refusal,
): JobAnswer {
	return {identifier, verdict, refusal: reason};
}

function badRequest(error: z.ZodError): Refusal {
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

function refusalOfError(error: FastifyError): Refusal {
	const status = error.statusCode ?? 500;
	if (status === payloadTooLarge) {
		return createRefusal(
			'too-large',
			'body: larger than this entry VM accepts.',
		);
	}

	return status < 500
		? createRefusal('bad-request', `body: ${error.message}`)
		: createRefusal('internal', error.message);
}
