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
import {HttpTaskTargets, type HttpTaskTargetsOptions} from '../index.js';

type Serve = (request: IncomingMessage, response: ServerResponse) => void;

const open: Array<() => Promise<void>> = [];

afterEach(async () => {
	await Promise.all(open.splice(0).map(async (close) => close()));
});

function clientOf(
	options: Partial<HttpTaskTargetsOptions> = {},
): HttpTaskTargets {
	const targets = new HttpTaskTargets({
		connectionsPerTarget: 4,
		connectTimeoutMs: 1000,
		clock: Date.now,
		...options,
	});
	open.push(async () => targets.close());
	return targets;
}

async function targetOf(serve: Serve): Promise<{
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
	open.push(async () => {
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

const taskOf = (taskIdentifier: string, deadlineMs = 20_000): DispatchedTask => ({
	taskIdentifier,
	entry: 'order',
	team: 'kruidhof',
	input: null,
	deadlineAtMs: Date.now() + deadlineMs,
});
const complete: Serve = (_request, response) => {
	response.end('{"output": "kroketten €"}');
};

const never = (): AbortSignal => new AbortController().signal;
const hang: Serve = () => undefined;

describe('the target client', () => {
	it('says that nothing started when no connection can be opened', async () => {
		const {target, server} = await targetOf(complete);
		server.close();
		await once(server, 'close');
		expect(await clientOf().start(target, taskOf('a'), never())).toMatchObject({
			kind: 'not-started',
			reason: 'unreachable',
		});
	});

	it('never sends again what was written on a reused connection', async () => {
		const {target, requests, sockets} = await targetOf((request, response) => {
			if (request.headers['verbenarouter-task'] === 'a') {
				complete(request, response);
			} else {
				request.socket.resetAndDestroy();
			}
		});
		const client = clientOf();
		expect(await client.start(target, taskOf('a'), never())).toMatchObject({
			kind: 'completed',
			output: 'kroketten €',
		});
		expect(await client.start(target, taskOf('b'), never())).toMatchObject({
			kind: 'unknown',
			reason: 'connection-lost',
		});
		expect(await client.start(target, taskOf('a'), never())).toMatchObject({
			kind: 'completed',
		});
		expect(requests).toEqual(['a', 'b', 'a']);
		expect(sockets.length).toBe(2);
	});

	it('takes a too large answer for lost', async () => {
		const {target} = await targetOf((_request, response) => {
			response.end(JSON.stringify({output: 'x'.repeat(2000)}));
		});
		expect(
			await clientOf({answerBytes: 1000}).start(target, taskOf('a'), never()),
		).toMatchObject({kind: 'unknown', reason: 'bad-answer'});
	});

	it('reads characters that are split between two chunks', async () => {
		const {target} = await targetOf((_request, response) => {
			const bytes = new TextEncoder().encode('{"output": "€"}');
			response.write(bytes.subarray(0, 13));
			setImmediate(() => {
				response.end(bytes.subarray(13));
			});
		});
		expect(await clientOf().start(target, taskOf('a'), never())).toMatchObject({
			output: '€',
		});
	});

	it('knows that a request was withdrawn before it was written', async () => {
		const {target, requests, sockets} = await targetOf((request, response) => {
			if (request.headers['verbenarouter-task'] === 'c') {
				complete(request, response);
			} else if (request.method === 'DELETE') {
				response.end('{}');
				first?.end('{"output": "late"}');
			} else {
				first = response;
			}
		});
		let first: ServerResponse | undefined;
		const client = clientOf({connectionsPerTarget: 2});
		const abort = new AbortController();
		const written = client.start(target, taskOf('a'), abort.signal);
		await expect.poll(() => requests).toContain('a');
		const narrow = clientOf({connectionsPerTarget: 1});
		const hanging = narrow.start(target, taskOf('hanging'), never());
		const queued = narrow.start(target, taskOf('queued'), abort.signal);
		abort.abort();
		expect(await written).toMatchObject({kind: 'unknown', reason: 'cancelled'});
		expect(await queued).toMatchObject({
			kind: 'not-started',
			reason: 'cancelled',
		});
		expect(
			await narrow.start(target, taskOf('late'), abort.signal),
		).toMatchObject({kind: 'not-started', reason: 'cancelled'});
		await client.cancel(target, 'a');
		await client.start(target, taskOf('c'), never());
		await narrow.close();
		await hanging;
		expect(requests).not.toContain('queued');
		expect(requests).not.toContain('late');
		expect(requests).toContain('DELETE /tasks/a');
		expect(sockets.length).toBeLessThanOrEqual(3);
	});

	it('knows that a request which waited for a connection was not written', async () => {
		const {target, requests} = await targetOf(hang);
		const client = clientOf({connectionsPerTarget: 1});
		const hanging = client.start(target, taskOf('a'), never());
		expect(await client.start(target, taskOf('b', 50), never())).toMatchObject({
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

	it('gives a silent answer up at its deadline', async () => {
		const {target} = await targetOf(hang);
		expect(
			await clientOf().start(target, taskOf('a', 50), never()),
		).toMatchObject({kind: 'unknown', reason: 'timeout'});
	});

	it('replaces idle connections that went silent, and leaves those in flight alone', async () => {
		const silent = new Set<Socket>();
		const {target, requests, sockets} = await targetOf((request, response) => {
			const task = request.headers['verbenarouter-task'];
			if (task === 'in-flight') {
				inFlight = response;
			} else if (!silent.has(request.socket)) {
				complete(request, response);
			}
		});
		let inFlight: ServerResponse | undefined;
		const client = clientOf({probeIntervalMs: 20, probeTimeoutMs: 40});
		const waiting = client.start(target, taskOf('in-flight'), never());
		await Promise.all(
			['a', 'b'].map(async (name) =>
				client.start(target, taskOf(name), never()),
			),
		);
		for (const socket of sockets) {
			silent.add(socket);
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
		expect(await client.start(target, taskOf('c'), never())).toMatchObject({
			kind: 'completed',
		});
		expect(sockets.length).toBeGreaterThan(before);
		inFlight?.end('{"output": "still here"}');
		expect(await waiting).toMatchObject({output: 'still here'});
		expect(requests.filter((request) => request === 'c')).toEqual(['c']);
	});

	it('opens no more connections than it may', async () => {
		const {target, sockets} = await targetOf(complete);
		const client = clientOf({connectionsPerTarget: 3});
		const outcomes = await Promise.all(
			Array.from({length: 50}, async (_, index) =>
				client.start(target, taskOf(`task-${index}`), never()),
			),
		);
		expect(outcomes.every(({kind}) => kind === 'completed')).toBe(true);
		expect(sockets.length).toBe(3);
	});

	it('does not wait long for a cancellation', async () => {
		const {target, requests} = await targetOf(hang);
		await clientOf({cancelTimeoutMs: 20}).cancel(target, 'a.0');
		expect(requests).toEqual(['DELETE /tasks/a.0']);
	});
});
