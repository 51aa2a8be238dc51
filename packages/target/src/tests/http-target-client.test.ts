import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Target, type DispatchedTask} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpTargetClient, type HttpTargetClientOptions} from '../index.js';

type RequestHandler = (
	request: IncomingMessage,
	response: ServerResponse,
) => void;

const closeCallbacks: Array<() => Promise<void>> = [];

afterEach(async () => {
	await Promise.all(closeCallbacks.splice(0).map(async (close) => close()));
});

function createClient(
	options: Partial<HttpTargetClientOptions> = {},
): HttpTargetClient {
	const targets = new HttpTargetClient({
		connectionsPerTarget: 4,
		connectTimeoutMs: 1000,
		clock: Date.now,
		...options,
	});
	closeCallbacks.push(async () => targets.close());
	return targets;
}

async function startTarget(serve: RequestHandler): Promise<{
	readonly target: Target;
	readonly requests: readonly string[];
	readonly sockets: readonly Socket[];
	readonly server: Server;
}> {
	const requests: string[] = [];
	const sockets: Socket[] = [];
	const server = createServer((request, response) => {
		const task = String(request.headers['verbenarouter-task']);
		requests.push(
			request.method === 'POST' ? task : `${request.method} ${request.url}`,
		);
		response.setHeader('verbenarouter-task', task);
		response.setHeader('verbenarouter-started', 'yes');
		request.resume().once('end', () => {
			serve(request, response);
		});
	});
	server.on('connection', (socket) => {
		sockets.push(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	closeCallbacks.push(async () => {
		server.closeAllConnections();
		server.close();
	});
	return {
		target: {
			role: 'target',
			name: 'target-1',
			zone: 'zone-a',
			rack: 'rack-1',
			state: 'live',
			address: `http://127.0.0.1:${port}`,
			slots: 8,
			processors: 1,
			memoryMb: 1,
			accelerators: 0,
		},
		requests,
		sockets,
		server,
	};
}

const createTask = (
	taskIdentifier: string,
	deadlineMs = 20_000,
): DispatchedTask => ({
	taskIdentifier,
	entry: 'order',
	team: 'kruidhof',
	input: null,
	deadlineAtMs: Date.now() + deadlineMs,
});
const complete: RequestHandler = (_request, response) => {
	response.end('{"output": "kroketten €"}');
};

const createUnabortedSignal = (): AbortSignal => new AbortController().signal;
const hang: RequestHandler = () => undefined;

describe('HttpTargetClient', () => {
	it('returns not-started when no connection can be opened', async () => {
		const {target, server} = await startTarget(complete);
		server.close();
		await once(server, 'close');
		expect(
			await createClient().start(
				target,
				createTask('a'),
				createUnabortedSignal(),
			),
		).toMatchObject({
			kind: 'not-started',
			reason: 'unreachable',
		});
	});

	it('does not send a request again after its reused connection was reset', async () => {
		const {target, requests, sockets} = await startTarget(
			(request, response) => {
				if (request.headers['verbenarouter-task'] === 'a') {
					complete(request, response);
				} else {
					request.socket.resetAndDestroy();
				}
			},
		);
		const client = createClient();
		expect(
			await client.start(target, createTask('a'), createUnabortedSignal()),
		).toMatchObject({
			kind: 'completed',
			output: 'kroketten €',
		});
		expect(
			await client.start(target, createTask('b'), createUnabortedSignal()),
		).toMatchObject({
			kind: 'unknown',
			reason: 'connection-lost',
		});
		expect(
			await client.start(target, createTask('a'), createUnabortedSignal()),
		).toMatchObject({
			kind: 'completed',
		});
		expect(requests).toEqual(['a', 'b', 'a']);
		expect(sockets.length).toBe(2);
	});

	it('returns unknown for an answer larger than the limit', async () => {
		const {target} = await startTarget((_request, response) => {
			response.end(JSON.stringify({output: 'x'.repeat(2000)}));
		});
		expect(
			await createClient({answerBytes: 1000}).start(
				target,
				createTask('a'),
				createUnabortedSignal(),
			),
		).toMatchObject({kind: 'unknown', reason: 'bad-answer'});
	});

	it('decodes a character that is split between two chunks', async () => {
		const {target} = await startTarget((_request, response) => {
			const bytes = new TextEncoder().encode('{"output": "€"}');
			response.write(bytes.subarray(0, 13));
			setImmediate(() => {
				response.end(bytes.subarray(13));
			});
		});
		expect(
			await createClient().start(
				target,
				createTask('a'),
				createUnabortedSignal(),
			),
		).toMatchObject({
			output: '€',
		});
	});

	it('returns not-started for a request that was cancelled before it was written, and unknown afterwards', async () => {
		const {target, requests, sockets} = await startTarget(
			(request, response) => {
				if (request.headers['verbenarouter-task'] === 'c') {
					complete(request, response);
				} else if (request.method === 'DELETE') {
					response.end('{}');
					first?.end('{"output": "late"}');
				} else {
					first = response;
				}
			},
		);
		let first: ServerResponse | undefined;
		const client = createClient({connectionsPerTarget: 2});
		const abort = new AbortController();
		const written = client.start(target, createTask('a'), abort.signal);
		await expect.poll(() => requests).toContain('a');
		const singleConnectionClient = createClient({connectionsPerTarget: 1});
		const hanging = singleConnectionClient.start(
			target,
			createTask('hanging'),
			createUnabortedSignal(),
		);
		const queued = singleConnectionClient.start(
			target,
			createTask('queued'),
			abort.signal,
		);
		abort.abort();
		expect(await written).toMatchObject({kind: 'unknown', reason: 'cancelled'});
		expect(await queued).toMatchObject({
			kind: 'not-started',
			reason: 'cancelled',
		});
		expect(
			await singleConnectionClient.start(
				target,
				createTask('late'),
				abort.signal,
			),
		).toMatchObject({kind: 'not-started', reason: 'cancelled'});
		await client.cancel(target, 'a');
		await client.start(target, createTask('c'), createUnabortedSignal());
		await singleConnectionClient.close();
		await hanging;
		expect(requests).not.toContain('queued');
		expect(requests).not.toContain('late');
		expect(requests).toContain('DELETE /tasks/a');
		expect(sockets.length).toBeLessThanOrEqual(3);
	});

	it('returns not-started when the deadline passes while the request is queued', async () => {
		const {target, requests} = await startTarget(hang);
		const client = createClient({connectionsPerTarget: 1});
		const hanging = client.start(
			target,
			createTask('a'),
			createUnabortedSignal(),
		);
		expect(
			await client.start(target, createTask('b', 50), createUnabortedSignal()),
		).toMatchObject({
			kind: 'not-started',
			reason: 'unreachable',
		});
		await client.close();
		expect(await hanging).toMatchObject({
			kind: 'unknown',
			reason: 'connection-lost',
		});
		expect(requests).toEqual(['a']);
	});

	it('returns unknown when no answer arrives before the deadline', async () => {
		const {target} = await startTarget(hang);
		expect(
			await createClient().start(
				target,
				createTask('a', 50),
				createUnabortedSignal(),
			),
		).toMatchObject({kind: 'unknown', reason: 'timeout'});
	});

	it('replaces all idle connections after a probe without an answer, and keeps those in flight', async () => {
		const silentSockets = new Set<Socket>();
		const {target, requests, sockets} = await startTarget(
			(request, response) => {
				const task = request.headers['verbenarouter-task'];
				if (task === 'in-flight') {
					inFlight = response;
				} else if (!silentSockets.has(request.socket)) {
					complete(request, response);
				}
			},
		);
		let inFlight: ServerResponse | undefined;
		const client = createClient({probeIntervalMs: 20, probeTimeoutMs: 40});
		const waiting = client.start(
			target,
			createTask('in-flight'),
			createUnabortedSignal(),
		);
		await Promise.all(
			['a', 'b'].map(async (name) =>
				client.start(target, createTask(name), createUnabortedSignal()),
			),
		);
		for (const socket of sockets) {
			silentSockets.add(socket);
		}

		const before = sockets.length;
		const requestsBefore = requests.length;
		await expect
			.poll(() => sockets.filter(({destroyed}) => destroyed).length, {
				timeout: 10_000,
			})
			.toBe(2);
		const probes = requests
			.slice(requestsBefore)
			.filter((request) => request === 'GET /health');
		expect(probes.length).toBe(1);
		expect(
			await client.start(target, createTask('c'), createUnabortedSignal()),
		).toMatchObject({
			kind: 'completed',
		});
		expect(sockets.length).toBeGreaterThan(before);
		inFlight?.end('{"output": "still here"}');
		expect(await waiting).toMatchObject({output: 'still here'});
		expect(requests.filter((request) => request === 'c')).toEqual(['c']);
	});

	it('opens no more connections than connectionsPerTarget', async () => {
		const {target, sockets} = await startTarget(complete);
		const client = createClient({connectionsPerTarget: 3});
		const outcomes = await Promise.all(
			Array.from({length: 50}, async (_, index) =>
				client.start(
					target,
					createTask(`task-${index}`),
					createUnabortedSignal(),
				),
			),
		);
		expect(outcomes.every(({kind}) => kind === 'completed')).toBe(true);
		expect(sockets.length).toBe(3);
	});

	it('ends a cancellation without an answer after cancelTimeoutMs', async () => {
		const {target, requests} = await startTarget(hang);
		const startedAtMs = performance.now();
		await createClient({cancelTimeoutMs: 1000}).cancel(target, 'a.0');
		expect(performance.now() - startedAtMs).toBeGreaterThan(900);
		expect(requests).toEqual(['DELETE /tasks/a.0']);
	});
});
