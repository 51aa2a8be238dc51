/** A small stand-in for a target: it runs tasks by waiting, and records every start. */
import {setTimeout as sleep} from 'node:timers/promises';
import {deadlineHeader, startedHeader, taskHeader} from '@verbenarouter/target';
import fastify, {type FastifyInstance} from 'fastify';
import {z} from 'zod';

/** What a task's input may tell the stand-in to do. */
export const standInInputSchema = z.object({
	/** Milliseconds that the task takes. */
	runMs: z.number().nonnegative().default(0),
	/** `silent`: started, but no answer is ever sent. */
	behave: z.enum(['complete', 'fail', 'silent']).default('complete'),
	value: z.json().optional(),
});

/** Settings of a target's stand-in, which can be changed while it runs. */
export const targetStandInOptionsSchema = z.strictObject({
	slots: z.number().int().positive().default(8),
	mode: z
		.enum(['normal', 'leaving', 'fail-all', 'silent', 'bad-gateway'])
		.default('normal'),
});

/** Settings of a target's stand-in. */
export type TargetStandInOptions = z.infer<typeof targetStandInOptionsSchema>;

/** What the stand-in has seen. */
export type TargetRecords = {
	/** Identifiers of the tasks that were started, in order; one that started twice stands twice. */
	readonly starts: readonly string[];
	/** Requests that were refused because all slots were busy. */
	readonly refusedFull: number;
	readonly mostBusySlots: number;
};

/** Builds a target's stand-in; the caller listens and closes. Paths under `/control` are for tests. */
export function createTargetStandIn(
	initial: Partial<TargetStandInOptions> = {},
): FastifyInstance {
	let options = targetStandInOptionsSchema.parse(initial);
	const starts: string[] = [];
	const running = new Map<string, AbortController>();
	let refusedFull = 0;
	let mostBusySlots = 0;
	const server = fastify({bodyLimit: 16_000_000});

	server.post<{Body: {input: unknown}}>('/tasks', async (request, reply) => {
		const identifier = String(request.headers[taskHeader]);
		void reply.header(taskHeader, identifier);
		if (options.mode === 'leaving' || running.size >= options.slots) {
			const reason = options.mode === 'leaving' ? 'leaving' : 'full';
			refusedFull += reason === 'full' ? 1 : 0;
			return reply
				.code(503)
				.header(startedHeader, 'no')
				.send({reason, message: `the worker is ${reason}`, retryAfterMs: 50});
		}

		starts.push(identifier);
		void reply.header(startedHeader, 'yes');
		const input = standInInputSchema.parse(request.body.input);
		const stop = new AbortController();
		running.set(identifier, stop);
		mostBusySlots = Math.max(mostBusySlots, running.size);
		try {
			if (input.behave === 'silent' || options.mode === 'silent') {
				await sleep(Number(request.headers[deadlineHeader]) * 2, undefined, {
					signal: stop.signal,
				});
			}

			await sleep(options.mode === 'fail-all' ? 0 : input.runMs, undefined, {
				signal: stop.signal,
			});
		} catch {
			return await reply.code(500).send({message: 'the task was stopped'});
		} finally {
			running.delete(identifier);
		}

		if (options.mode === 'bad-gateway') {
			return reply
				.code(502)
				.removeHeader(startedHeader)
				.send({message: 'bad gateway'});
		}

		return input.behave === 'fail' || options.mode === 'fail-all'
			? reply.code(500).send({message: 'the task failed'})
			: reply.send({output: {task: identifier, value: input.value ?? null}});
	});

	server.delete<{Params: {identifier: string}}>(
		'/tasks/:identifier',
		async (request) => {
			running.get(request.params.identifier)?.abort();
			return {};
		},
	);

	server.get('/control/records', async () => ({
		starts,
		refusedFull,
		mostBusySlots,
	}));
	server.put('/control/options', async (request) => {
		options = targetStandInOptionsSchema.parse(request.body);
		return {};
	});

	return server;
}
