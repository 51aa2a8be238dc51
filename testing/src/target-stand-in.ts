/** A small stand-in for a target: it runs tasks by waiting, and records every start. */
import {setTimeout as sleep} from 'node:timers/promises';
import {deadlineHeader, startedHeader, taskHeader} from '@verbenarouter/target';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import {z} from 'zod';

/** What a task's input may tell the stand-in to do. */
export const standInInputSchema = z.object({
	/** Milliseconds that the task takes. */
	runMs: z.number().nonnegative().default(0),
	/**
	 * - `silent`: started, but no answer is ever sent.
	 * - `hold`: started, and goes on only when the test releases it.
	 * - `crossed`: answered in the name of another task.
	 */
	behave: z
		.enum(['complete', 'fail', 'silent', 'hold', 'crossed'])
		.default('complete'),
	value: z.json().optional(),
});

type StandInInput = z.infer<typeof standInInputSchema>;

/** Settings of a target's stand-in, which can be changed while it runs. */
export const targetStandInOptionsSchema = z.strictObject({
	slots: z.number().int().positive().default(8),
	mode: z
		.enum(['normal', 'leaving', 'full', 'fail-all', 'silent', 'bad-gateway'])
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
	/** Requests that were refused because the target was leaving. */
	readonly refusedLeaving: number;
	/** Identifiers of the tasks that were stopped by a cancellation. */
	readonly stopped: readonly string[];
	readonly mostBusySlots: number;
};

/** Builds a target's stand-in; the caller listens and closes. Paths under `/control` are for tests. */
export function createTargetStandIn(
	initial: Partial<TargetStandInOptions> = {},
): FastifyInstance {
	let options = targetStandInOptionsSchema.parse(initial);
	const starts: string[] = [];
	const stopped: string[] = [];
	const running = new Map<string, AbortController>();
	const held = new Set<() => void>();
	let refusedFull = 0;
	let refusedLeaving = 0;
	let mostBusySlots = 0;
	const server = fastify({
		bodyLimit: 16_000_000,
		routerOptions: {maxParamLength: 300},
	});

	const run = async (
		input: StandInInput,
		deadlineMs: number,
		signal: AbortSignal,
	) => {
		if (input.behave === 'hold') {
			await new Promise<void>((resolve) => {
				held.add(resolve);
				signal.addEventListener('abort', () => {
					resolve();
				});
			});
			signal.throwIfAborted();
		}

		if (input.behave === 'silent' || options.mode === 'silent') {
			await sleep(deadlineMs * 2, undefined, {signal});
		}

		const runMs = options.mode === 'fail-all' ? 0 : input.runMs;
		if (runMs > 0) {
			await sleep(runMs, undefined, {signal});
		}
	};

	server.get('/health', async () => ({status: 'alive'}));

	server.post<{Body: {input: unknown}}>('/tasks', async (request, reply) => {
		const identifier = String(request.headers[taskHeader]);
		void reply.header(taskHeader, identifier);
		const isLeaving = options.mode === 'leaving';
		if (isLeaving || options.mode === 'full' || running.size >= options.slots) {
			refusedLeaving += isLeaving ? 1 : 0;
			refusedFull += isLeaving ? 0 : 1;
			return refuse(reply, isLeaving ? 'leaving' : 'full');
		}

		starts.push(identifier);
		void reply.header(startedHeader, 'yes');
		const input = standInInputSchema.parse(request.body.input);
		const stop = new AbortController();
		running.set(identifier, stop);
		mostBusySlots = Math.max(mostBusySlots, running.size);
		try {
			await run(input, Number(request.headers[deadlineHeader]), stop.signal);
		} catch {
			stopped.push(identifier);
			return await reply.code(500).send({message: 'the task was stopped'});
		} finally {
			running.delete(identifier);
		}

		if (options.mode === 'bad-gateway') {
			return reply
				.code(502)
				.removeHeader(taskHeader)
				.removeHeader(startedHeader)
				.send({message: 'bad gateway'});
		}

		if (input.behave === 'crossed') {
			void reply.header(taskHeader, `${identifier}-of-another`);
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

	server.get('/control/records', async (): Promise<TargetRecords> => ({
		starts,
		refusedFull,
		refusedLeaving,
		stopped,
		mostBusySlots,
	}));
	server.put('/control/options', async (request) => {
		options = targetStandInOptionsSchema.parse(request.body);
		return {};
	});
	server.post('/control/release', async () => {
		const released = held.size;
		for (const release of held) {
			release();
		}

		held.clear();
		return {released};
	});

	return server;
}

async function refuse(
	reply: FastifyReply,
	reason: 'leaving' | 'full',
): Promise<FastifyReply> {
	return reply
		.code(503)
		.header(startedHeader, 'no')
		.send({reason, message: `the worker is ${reason}`, retryAfterMs: 50});
}
