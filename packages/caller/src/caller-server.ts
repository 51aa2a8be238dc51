/** The callers' HTTP interface under `/v1`. */
import {
	jobSchema,
	refusal,
	type JobAnswer,
	type Refusal,
	type Team,
	type Verdict,
} from '@verbenarouter/core';
import fastify, {
	type FastifyInstance,
	type FastifyReply,
	type FastifyRequest,
} from 'fastify';
import {z} from 'zod';
import {type JobService} from './job-service.js';
import {statusOf} from './status-code.js';

const millisecondsPerSecond = 1000;

/** Identifiers that may be reserved at once. */
export const maximumReservation = 1000;

const reservationSchema = z.strictObject({
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
		routerOptions: {maxParamLength: 300},
	});

	server.get('/healthz', async () => ({status: 'alive'}));
	server.get('/readyz', async (_request, reply) => {
		const isReady = service.isReady();
		return reply
			.code(isReady ? 200 : 503)
			.send({status: isReady ? 'ready' : 'not-ready'});
	});

	server.post('/v1/identifiers', async (request, reply) => {
		const team = teamOf(service, request);
		if (team === undefined) {
			return sendUnauthenticated(reply);
		}

		const parsed = reservationSchema.safeParse(request.body ?? {});
		return parsed.success
			? reply.send({identifiers: service.reserve(team, parsed.data.count)})
			: send(reply, answerOf('', 'not-run', badRequest(parsed.error)));
	});

	server.put<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) => {
			const {identifier} = request.params;
			const team = teamOf(service, request);
			if (team === undefined) {
				return sendUnauthenticated(reply, identifier);
			}

			const parsed = jobSchema.safeParse(request.body);
			// The owner records the refusal, so that no other copy runs after the caller was told "not run".
			return send(
				reply,
				parsed.success
					? await service.submit(team, identifier, parsed.data)
					: await service.decline(team, identifier, badRequest(parsed.error)),
			);
		},
	);

	server.get<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) => {
			const team = teamOf(service, request);
			return team === undefined
				? sendUnauthenticated(reply, request.params.identifier)
				: reply.send(await service.status(team, request.params.identifier));
		},
	);

	server.delete<IdentifierRoute>(
		'/v1/jobs/:identifier',
		async (request, reply) => {
			const team = teamOf(service, request);
			return team === undefined
				? sendUnauthenticated(reply, request.params.identifier)
				: send(
						reply,
						await service.cancel(
							team,
							request.params.identifier,
							refusal('cancelled', 'The caller cancelled the job.'),
						),
					);
		},
	);

	return server;
}

function teamOf(
	service: JobService,
	request: FastifyRequest,
): Team | undefined {
	const [scheme, token] = request.headers.authorization?.split(' ') ?? [];
	return scheme?.toLowerCase() === 'bearer' && token !== undefined
		? service.authenticate(token)
		: undefined;
}

async function sendUnauthenticated(
	reply: FastifyReply,
	identifier = '',
): Promise<FastifyReply> {
	return send(
		reply,
		answerOf(
			identifier,
			'may-have-run',
			refusal(
				'unauthenticated',
				'A valid bearer token is needed. This request started nothing; of others with its identifier nothing is said.',
			),
		),
	);
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
	return refusal('bad-request', z.prettifyError(error));
}
