import {Buffer} from 'node:buffer';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpHostClient} from '../http-exchange.js';

const servers: Server[] = [];
const sockets: Socket[] = [];
const clients: HttpHostClient[] = [];

afterEach(() => {
	for (const client of clients.splice(0)) {
		client.close();
	}

	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}

	for (const server of servers.splice(0)) {
		server.close();
	}
});

/** Starts a server that calls `onRequest` with the socket and the number of requests so far, and a client for it. */
async function clientFixture(
	onRequest: (socket: Socket, count: number) => void,
	maxConnections = 4,
): Promise<{readonly client: HttpHostClient; readonly requests: () => number}> {
	let requestCount = 0;
	const server = createServer((socket) => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			requestCount += 1;
			onRequest(socket, requestCount);
		});
	});
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const client = new HttpHostClient(`127.0.0.1:${port}`, maxConnections);
	clients.push(client);
	return {client, requests: () => requestCount};
}

const request = {
	method: 'POST',
	path: '/',
	body: '{}',
	timeoutMs: 10_000,
} as const;
const shortTimeoutRequest = {...request, timeoutMs: 100};

function sendResponse(socket: Socket): void {
	socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
}

describe('an HTTP exchange', () => {
	it('reads whole responses and reuses the connection', async () => {
		const {client} = await clientFixture(sendResponse);
		const first = await client.exchange(request);
		const second = await client.exchange(request);
		expect([first, second]).toEqual([
			{kind: 'answered', status: 200, body: Buffer.from('ok')},
			{kind: 'answered', status: 200, body: Buffer.from('ok')},
		]);
		expect(sockets).toHaveLength(1);
	});

	it('is silent on a timeout, and its connection is not reused', async () => {
		const {client} = await clientFixture((socket, count) => {
			if (count > 1) {
				sendResponse(socket);
			}
		});
		expect(await client.exchange(shortTimeoutRequest)).toMatchObject({
			kind: 'silent',
		});
		expect(await client.exchange(request)).toMatchObject({kind: 'answered'});
		expect(sockets).toHaveLength(2);
	});

	it('does not count time for which this process was busy before it sent the request', async () => {
		const {client} = await clientFixture((socket, count) => {
			setTimeout(
				() => {
					sendResponse(socket);
				},
				count === 1 ? 0 : 30,
			);
		});
		await client.exchange(request);
		const exchange = client.exchange(shortTimeoutRequest);
		const busyUntilMs = performance.now() + 150;
		while (performance.now() < busyUntilMs) {
			// Busy.
		}

		expect(await exchange).toMatchObject({kind: 'answered'});
	});

	it('is silent if the connection is reset after the request, on a reused and on a new connection', async () => {
		const {client} = await clientFixture((socket, count) => {
			if (count === 1) {
				sendResponse(socket);
			} else {
				socket.resetAndDestroy();
			}
		});
		await client.exchange(request);
		expect(await client.exchange(request)).toMatchObject({kind: 'silent'});
		expect(await client.exchange(request)).toMatchObject({kind: 'silent'});
	});

	it('is silent if the response is incomplete', async () => {
		const {client} = await clientFixture((socket) => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok');
		});
		expect(await client.exchange(request)).toMatchObject({kind: 'silent'});
	});

	it('is refused, and not sent, if no server listens on the port', async () => {
		const {client} = await clientFixture(sendResponse);
		servers[0]!.close();
		expect(await client.exchange(request)).toMatchObject({
			kind: 'not-sent',
			isRefused: true,
		});
	});

	it('is never sent if all connections are in use until its timeout', async () => {
		const {client, requests} = await clientFixture(() => undefined, 1);
		const [first, second] = await Promise.all([
			client.exchange({...shortTimeoutRequest, timeoutMs: 300}),
			client.exchange(shortTimeoutRequest),
		]);
		expect([first.kind, second.kind]).toEqual(['silent', 'not-sent']);
		expect(second).toMatchObject({isRefused: false});
		expect(requests()).toBe(1);
	});

	it.each([
		['on an open connection', true],
		['on a new connection', false],
	])(
		'sends nothing %s if it may not be sent any more',
		async (_case, isOpen) => {
			const {client, requests} = await clientFixture(sendResponse);
			if (isOpen) {
				await client.exchange(request);
			}

			const outcome = await client.exchange({...request, maySend: () => false});
			expect(outcome).toMatchObject({kind: 'not-sent', isOutdated: true});
			expect(await client.exchange(request)).toMatchObject({kind: 'answered'});
			expect(requests()).toBe(isOpen ? 2 : 1);
		},
	);

	// Both come from records that other programs write; the error that Node throws ended the process.
	it.each([
		['a port that no connection can have', '127.0.0.1:99999', {}],
		[
			'a header value that cannot be sent',
			'127.0.0.1:9',
			{'x-expect-instance': 'i-1\n\u0100'},
		],
	])(
		'reports a request with %s as not sent',
		async (_case, address, headers) => {
			const client = new HttpHostClient(address, 1);
			clients.push(client);
			const outcome = await client.exchange({...request, headers});
			expect(outcome.kind).toBe('not-sent');
		},
	);

	it('passes on a response that comes after the timeout, as the request has had its effect', async () => {
		const {client} = await clientFixture((socket) => {
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}');
			}, 200);
		});
		const late = new Promise<number>((resolve) => {
			void (async () => {
				const outcome = await client.exchange({
					...request,
					timeoutMs: 50,
					late: {
						forMs: 2000,
						handleResponse({status}) {
							resolve(status);
						},
					},
				});
				expect(outcome.kind).toBe('silent');
			})();
		});
		expect(await late).toBe(200);
	});
});
