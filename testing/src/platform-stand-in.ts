import {machineListSchema, type MachineList} from '@verbenarouter/core';
import fastify, {
	type FastifyInstance,
	type FastifyReply,
	type FastifyRequest,
} from 'fastify';
import {z} from 'zod';

const querySchema = z.object({
	from: z.coerce.number().int().nonnegative(),
	limit: z.coerce.number().int().positive().max(5000),
});

/** Schema of the faults that `PUT /control/faults` sets. */
export const platformFaultsSchema = z.strictObject({
	/** Closes the connection of every request without a response, except under `/control`. */
	isDown: z.boolean().default(false),
	/** Milliseconds by which every request is delayed before it takes effect, except under `/control`. */
	delayMs: z.number().nonnegative().default(0),
	/** Number of the next appends that take effect and whose connection is closed without a response. */
	loseAppendAnswers: z.number().int().nonnegative().default(0),
	/**
	 * Number of the next appends that take no effect and whose connection is closed without a response. Writers cannot
	 * distinguish this fault from `loseAppendAnswers`.
	 */
	loseAppends: z.number().int().nonnegative().default(0),
});

/** Faults of the platform's stand-in. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Requests received since the start, by kind, including lost appends but not the requests that `isDown` closed. */
export type PlatformRequestCounts = {
	readonly appends: number;
	readonly reads: number;
	readonly machines: number;
	readonly usage: number;
};

/** Records of one stream of the log, without those that were dropped. */
type Stream = {
	/** Offset of the first of `records`. */
	oldestOffset: number;
	readonly records: unknown[];
};

/**
 * Creates the platform's stand-in: a log in memory, a list of VMs, and faults that are set through routes under
 * `/control`. The returned server does not listen yet.
 */
export function createPlatformStandIn(): FastifyInstance {
	const streams = new Map<string, Stream>();
	let faults = platformFaultsSchema.parse({});
	const emptyList: MachineList = {version: 0, machines: []};
	/** Lists by the `Host` header of the requests, so that zones can receive different lists; `""` for all other hosts. */
	const listsByHost = new Map<string, MachineList>();
	const server = fastify({bodyLimit: 64_000_000});

	const getOrCreateStream = (name: string): Stream => {
		const stream = streams.get(name) ?? {oldestOffset: 0, records: []};
		streams.set(name, stream);
		return stream;
	};

	let counts: PlatformRequestCounts = {
		appends: 0,
		reads: 0,
		machines: 0,
		usage: 0,
	};
	const countRequest = (name: keyof PlatformRequestCounts) => {
		counts = {...counts, [name]: counts[name] + 1};
	};

	server.addHook('onRequest', async (request, reply) => {
		if (request.url.startsWith('/control')) {
			return;
		}

		if (faults.isDown) {
			return dropConnection(request, reply);
		}

		if (faults.delayMs > 0) {
			await new Promise((resolve) => {
				setTimeout(resolve, faults.delayMs);
			});
		}
	});

	server.post<{Params: {stream: string}}>(
		'/logs/:stream/records',
		async (request, reply) => {
			countRequest('appends');
			if (request.body === undefined || request.body === null) {
				return reply.code(400).send({message: 'a record is needed'});
			}

			if (faults.loseAppends > 0) {
				faults = {...faults, loseAppends: faults.loseAppends - 1};
				return dropConnection(request, reply);
			}

			const stream = getOrCreateStream(request.params.stream);
			stream.records.push(request.body);
			if (faults.loseAppendAnswers > 0) {
				faults = {...faults, loseAppendAnswers: faults.loseAppendAnswers - 1};
				return dropConnection(request, reply);
			}

			return reply.send({
				offset: stream.oldestOffset + stream.records.length - 1,
			});
		},
	);

	server.get<{Params: {stream: string}}>(
		'/logs/:stream/records',
		async (request, reply) => {
			countRequest('reads');
			const query = querySchema.safeParse(request.query);
			if (!query.success) {
				return reply.code(400).send({message: z.prettifyError(query.error)});
			}

			const {oldestOffset, records} = getOrCreateStream(request.params.stream);
			const from = Math.max(query.data.from, oldestOffset);
			const start = from - oldestOffset;
			return reply.send({
				records: records
					.slice(start, start + query.data.limit)
					.map((record, index) => ({offset: from + index, record})),
				oldestOffset,
				endOffset: oldestOffset + records.length,
			});
		},
	);

	server.get('/machines', async ({headers: {host = ''}}) => {
		countRequest('machines');
		return listsByHost.get(host) ?? listsByHost.get('') ?? emptyList;
	});
	server.get('/usage', async () => {
		countRequest('usage');
		return {workers: []};
	});

	server.get('/control/counts', async () => counts);

	server.put<{Querystring: {host?: string}}>(
		'/control/machines',
		async ({body, query: {host = ''}}) => {
			const list = machineListSchema.parse(body);
			if (list.version >= (listsByHost.get(host)?.version ?? 0)) {
				listsByHost.set(host, list);
			}

			return {};
		},
	);
	server.put('/control/faults', async (request) => {
		faults = platformFaultsSchema.parse(request.body);
		return {};
	});
	server.post<{Params: {stream: string}}>(
		'/control/logs/:stream/drop-before/:offset',
		async (request) => {
			const stream = getOrCreateStream(request.params.stream);
			const offset = Number(
				(request.params as unknown as {offset: string}).offset,
			);
			const droppedCount = Math.min(
				Math.max(0, offset - stream.oldestOffset),
				stream.records.length,
			);
			stream.records.splice(0, droppedCount);
			stream.oldestOffset += droppedCount;
			return {oldestOffset: stream.oldestOffset};
		},
	);

	return server;
}

/** Closes the connection without a response. */
function dropConnection(
	request: FastifyRequest,
	reply: FastifyReply,
): FastifyReply {
	void reply.hijack();
	request.raw.socket.destroy();
	return reply;
}
