/** A small stand-in for the platform: a log in memory, a list of VMs, and faults on request. */
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

/** Faults that the stand-in can be told to have. */
export const platformFaultsSchema = z.strictObject({
	/** Every call is refused by cutting the connection. */
	isDown: z.boolean().default(false),
	/** Milliseconds by which every answer is delayed. */
	delayMs: z.number().nonnegative().default(0),
	/** This many appends take effect and then lose their answers. */
	loseAppendAnswers: z.number().int().nonnegative().default(0),
	/** This many appends are lost before they take effect, which looks the same to their writers. */
	loseAppends: z.number().int().nonnegative().default(0),
});

/** Faults that the stand-in can be told to have. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Calls that the stand-in has answered or cut since it started. */
export type PlatformCounts = {
	readonly appends: number;
	readonly reads: number;
	readonly machines: number;
	readonly usage: number;
};

type Stream = {
	oldestOffset: number;
	readonly records: unknown[];
};

/** Builds the platform's stand-in; the caller listens and closes. Paths under `/control` are for tests. */
export function createPlatformStandIn(): FastifyInstance {
	const streams = new Map<string, Stream>();
	let faults = platformFaultsSchema.parse({});
	const emptyList: MachineList = {version: 0, machines: []};
	/** Lists by the `Host` that they are asked for under; `""` for all others. */
	const lists = new Map<string, MachineList>();
	const server = fastify({bodyLimit: 64_000_000});

	const streamOf = (name: string): Stream => {
		const stream = streams.get(name) ?? {oldestOffset: 0, records: []};
		streams.set(name, stream);
		return stream;
	};

	let counts: PlatformCounts = {appends: 0, reads: 0, machines: 0, usage: 0};
	const count = (name: keyof PlatformCounts) => {
		counts = {...counts, [name]: counts[name] + 1};
	};

	server.addHook('onRequest', async (request, reply) => {
		if (request.url.startsWith('/control')) {
			return;
		}

		if (faults.isDown) {
			return cut(request, reply);
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
			count('appends');
			if (request.body === undefined || request.body === null) {
				return reply.code(400).send({message: 'a record is needed'});
			}

			if (faults.loseAppends > 0) {
				faults = {...faults, loseAppends: faults.loseAppends - 1};
				return cut(request, reply);
			}

			const stream = streamOf(request.params.stream);
			stream.records.push(request.body);
			if (faults.loseAppendAnswers > 0) {
				faults = {...faults, loseAppendAnswers: faults.loseAppendAnswers - 1};
				return cut(request, reply);
			}

			return reply.send({
				offset: stream.oldestOffset + stream.records.length - 1,
			});
		},
	);

	server.get<{Params: {stream: string}}>(
		'/logs/:stream/records',
		async (request, reply) => {
			count('reads');
			const query = querySchema.safeParse(request.query);
			if (!query.success) {
				return reply.code(400).send({message: z.prettifyError(query.error)});
			}

			const {oldestOffset, records} = streamOf(request.params.stream);
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
		count('machines');
		return lists.get(host) ?? lists.get('') ?? emptyList;
	});
	server.get('/usage', async () => {
		count('usage');
		return {workers: []};
	});

	server.get('/control/counts', async () => counts);

	server.put<{Querystring: {host?: string}}>(
		'/control/machines',
		async ({body, query: {host = ''}}) => {
			const list = machineListSchema.parse(body);
			if (list.version >= (lists.get(host)?.version ?? 0)) {
				lists.set(host, list);
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
			const stream = streamOf(request.params.stream);
			const offset = Number(
				(request.params as unknown as {offset: string}).offset,
			);
			const dropped = Math.min(
				Math.max(0, offset - stream.oldestOffset),
				stream.records.length,
			);
			stream.records.splice(0, dropped);
			stream.oldestOffset += dropped;
			return {oldestOffset: stream.oldestOffset};
		},
	);

	return server;
}

/** Cuts the connection without an answer. */
function cut(request: FastifyRequest, reply: FastifyReply): FastifyReply {
	void reply.hijack();
	request.raw.socket.destroy();
	return reply;
}
