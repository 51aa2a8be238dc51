import {setTimeout as sleep} from 'node:timers/promises';
import {deadlineHeader, startedHeader, taskHeader} from '@verbenarouter/target';
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import {z} from 'zod';

/** Schema of a task's input, which selects how the stand-in runs the task. */
export const targetTaskInputSchema = z.object({
	/** Run time of the task in milliseconds. */
	runMs: z.number().nonnegative().default(0),
	/**
	 * - `complete`: runs for `runMs` and responds with an output.
	 * - `fail`: runs for `runMs` and responds with status 500.
	 * - `silent`: starts, and sends no response before twice the deadline has passed.
	 * - `hold`: starts, and runs on only after `POST /control/release`.
	 * - `crossed`: responds with the identifier of another task in the header.
	 */
	behave: z
		.enum(['complete', 'fail', 'silent', 'hold', 'crossed'])
		.default('complete'),
	/** Copied into the output. */
	value: z.json().optional(),
});

type TargetTaskInput = z.infer<typeof targetTaskInputSchema>;

/** Schema of the settings of a target's stand-in, which `PUT /control/options` replaces while it runs. */
export const targetStandInOptionsSchema = z.strictObject({
	/** Tasks that run at a time; more are refused as `full`. */
	slots: z.number().int().positive().default(8),
	/**
	 * - `leaving`, `full`: refuses every task with status 503 and this reason.
	 * - `fail-all`: every task fails without its run time.
	 * - `silent`: every task behaves as `silent`.
	 * - `bad-gateway`: every task runs, and the response is a 502 without the headers of a target, as from a gateway.
	 */
	mode: z
		.enum(['normal', 'leaving', 'full', 'fail-all', 'silent', 'bad-gateway'])
		.default('normal'),
});

/** Settings of a target's stand-in. */
export type TargetStandInOptions = z.infer<typeof targetStandInOptionsSchema>;

/** Records of a target's stand-in since its start. */
export type TargetRecords = {
	/** Identifiers of the started tasks, in the order of their starts; a task that started twice is listed twice. */
	readonly starts: readonly string[];
	/** Requests refused because all slots were busy or the mode was `full`. */
	readonly refusedFull: number;
	/** Requests refused because the mode was `leaving`. */
	readonly refusedLeaving: number;
	/** Identifiers of the started tasks that a cancellation stopped. */
	readonly stopped: readonly string[];
	/** Greatest number of tasks that ran at the same time. */
	readonly mostBusySlots: number;
};

/**
 * Creates a target's stand-in, which runs a task by waiting and records every start; routes under `/control` are for
 * tests. The returned server does not listen yet.
 */
export function createTargetStandIn(
	initial: Partial<TargetStandInOptions> = {},
): FastifyInstance {
	let options = targetStandInOptionsSchema.parse(initial);
	const starts: string[] = [];
	const stopped: string[] = [];
	const runningTasks = new Map<string, AbortController>();
	const heldTaskReleases = new Set<() => void>();
	let refusedFull = 0;
	let refusedLeaving = 0;
	let mostBusySlots = 0;
	const server = fastify({
		bodyLimit: 16_000_000,
		routerOptions: {maxParamLength: 300},
	});

	const runTask = async (
		input: TargetTaskInput,
		deadlineMs: number,
		signal: AbortSignal,
	) => {
		if (input.behave === 'hold') {
			await new Promise<void>((resolve) => {
				heldTaskReleases.add(resolve);
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
		if (
			isLeaving ||
			options.mode === 'full' ||
			runningTasks.size >= options.slots
		) {
			refusedLeaving += isLeaving ? 1 : 0;
			refusedFull += isLeaving ? 0 : 1;
			return refuse(reply, isLeaving ? 'leaving' : 'full');
		}

		starts.push(identifier);
		void reply.header(startedHeader, 'yes');
		const input = targetTaskInputSchema.parse(request.body.input);
		const abortController = new AbortController();
		runningTasks.set(identifier, abortController);
		mostBusySlots = Math.max(mostBusySlots, runningTasks.size);
		try {
			await runTask(
				input,
				Number(request.headers[deadlineHeader]),
				abortController.signal,
			);
		} catch {
			stopped.push(identifier);
			return await reply.code(500).send({message: 'the task was stopped'});
		} finally {
			runningTasks.delete(identifier);
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
			runningTasks.get(request.params.identifier)?.abort();
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
		const released = heldTaskReleases.size;
		for (const release of heldTaskReleases) {
			release();
		}

		heldTaskReleases.clear();
		return {released};
	});

	return server;
}

/** Responds that the task did not start, with the reason. */
async function refuse(
	reply: FastifyReply,
	reason: 'leaving' | 'full',
): Promise<FastifyReply> {
	return reply
		.code(503)
		.header(startedHeader, 'no')
		.send({reason, message: `the worker is ${reason}`, retryAfterMs: 50});
}
