import {Buffer} from 'node:buffer';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpHost} from '../http-exchange.js';

const servers: Server[] = [];
const sockets: Socket[] = [];
const hosts: HttpHost[] = [];

afterEach(() => {
	for (const host of hosts.splice(0)) {
		host.close();
	}

	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}

	for (const server of servers.splice(0)) {
		server.close();
	}
});

/** A host on a server that does the given with each request that it has read. */
async function hostFixture(
	onRequest: (socket: Socket, count: number) => void,
	connections = 4,
): Promise<{readonly host: HttpHost; readonly requests: () => number}> {
	let count = 0;
	const server = createServer((socket) => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			count += 1;
			onRequest(socket, count);
		});
	});
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const host = new HttpHost(`127.0.0.1:${port}`, connections);
	hosts.push(host);
	return {host, requests: () => count};
}

const request = {
	method: 'POST',
	path: '/',
	body: '{}',
	timeoutMs: 10_000,
} as const;
const hasty = {...request, timeoutMs: 100};

function answer(socket: Socket): void {
	socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
}

describe('an exchange', () => {
	it('reads whole answers, over one connection', async () => {
		const {host} = await hostFixture(answer);
		const first = await host.exchange(request);
		const second = await host.exchange(request);
		expect([first, second]).toEqual([
			{kind: 'answered', status: 200, body: Buffer.from('ok')},
			{kind: 'answered', status: 200, body: Buffer.from('ok')},
		]);
		expect(sockets).toHaveLength(1);
	});

	it('is silent when no answer comes, and its connection is not used again', async () => {
		const {host} = await hostFixture((socket, count) => {
			if (count > 1) {
				answer(socket);
			}
		});
		expect(await host.exchange(hasty)).toMatchObject({kind: 'silent'});
		expect(await host.exchange(request)).toMatchObject({kind: 'answered'});
		expect(sockets).toHaveLength(2);
	});

	it('is silent when the connection breaks after the request, also on a used one', async () => {
		const {host} = await hostFixture((socket, count) => {
			if (count === 1) {
				answer(socket);
			} else {
				socket.resetAndDestroy();
			}
		});
		await host.exchange(request);
		expect(await host.exchange(request)).toMatchObject({kind: 'silent'});
		expect(await host.exchange(request)).toMatchObject({kind: 'silent'});
	});

	it('is silent when the answer breaks off', async () => {
		const {host} = await hostFixture((socket) => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nok');
		});
		expect(await host.exchange(request)).toMatchObject({kind: 'silent'});
	});

	it('is not sent when nobody listens', async () => {
		const {host} = await hostFixture(answer);
		servers[0]!.close();
		expect(await host.exchange(request)).toMatchObject({kind: 'not-sent'});
	});

	it('is not sent, then or later, when all connections are in use until its time is up', async () => {
		const {host, requests} = await hostFixture(() => undefined, 1);
		const [first, second] = await Promise.all([
			host.exchange({...hasty, timeoutMs: 300}),
			host.exchange(hasty),
		]);
		expect([first.kind, second.kind]).toEqual(['silent', 'not-sent']);
		expect(requests()).toBe(1);
	});
});
