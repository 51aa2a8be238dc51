import {once} from 'node:events';
import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {TcpProxy} from '../tcp-proxy.js';

async function waitUntilClosed(socket: Socket): Promise<void> {
	await new Promise<void>((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
}

describe('the fault-injecting proxy', () => {
	let upstream: Server;
	let proxy: TcpProxy;
	let received: string[];

	beforeEach(async () => {
		received = [];
		upstream = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.on('data', (chunk) => {
				received.push(chunk.toString());
				socket.write(`answer to ${chunk.toString()}`);
			});
		});
		upstream.listen(0, '127.0.0.1');
		await once(upstream, 'listening');
		proxy = await TcpProxy.listen((upstream.address() as AddressInfo).port);
	});

	afterEach(async () => {
		await proxy.close();
		upstream.close();
	});

	const openConnection = async (): Promise<Socket> => {
		const socket = connect(proxy.port, '127.0.0.1');
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return socket;
	};

	const exchange = async (socket: Socket, text: string): Promise<string> => {
		socket.write(text);
		const [chunk] = (await once(socket, 'data')) as unknown[];
		return String(chunk);
	};

	it('forwards bytes in both directions, and closes a connection that the client ends', async () => {
		const socket = await openConnection();
		expect(await exchange(socket, 'one')).toBe('answer to one');
		socket.end();
		await waitUntilClosed(socket);
		expect(proxy.activeConnectionCount).toBe(0);
	});

	it('stops forwarding on open connections and continues on new ones', async () => {
		const silencedSocket = await openConnection();
		await exchange(silencedSocket, 'one');
		const answers: string[] = [];
		silencedSocket.on('data', (chunk) => {
			answers.push(chunk.toString());
		});
		proxy.silenceOpenConnections();
		silencedSocket.write('two');
		expect(await exchange(await openConnection(), 'three')).toBe(
			'answer to three',
		);
		expect(received).toEqual(['one', 'three']);
		expect(answers).toEqual([]);
		silencedSocket.destroy();
	});

	it('resets one connection after forwarding its request', async () => {
		proxy.resetNextRequest({afterBytes: 3, isForwarded: true});
		const socket = await openConnection();
		socket.write('one');
		await waitUntilClosed(socket);
		expect(await exchange(await openConnection(), 'two')).toBe('answer to two');
		expect(received).toEqual(['one', 'two']);
	});

	it('resets one connection without forwarding its request', async () => {
		proxy.resetNextRequest({afterBytes: 1, isForwarded: false});
		const socket = await openConnection();
		socket.write('one');
		await waitUntilClosed(socket);
		expect(await exchange(await openConnection(), 'two')).toBe('answer to two');
		expect(received).toEqual(['two']);
	});

	it('refuses connections until its faults are cleared', async () => {
		const socket = await openConnection();
		const closed = waitUntilClosed(socket);
		await proxy.refuseConnections();
		await closed;
		await expect(openConnection()).rejects.toThrow('ECONNREFUSED');
		await proxy.clearFaults();
		expect(await exchange(await openConnection(), 'one')).toBe('answer to one');
	});

	it('stops forwarding and refuses new connections without closing the open ones', async () => {
		const socket = await openConnection();
		await exchange(socket, 'one');
		await proxy.isolate();
		socket.write('two');
		await expect(openConnection()).rejects.toThrow('ECONNREFUSED');
		await proxy.clearFaults();
		expect(await exchange(await openConnection(), 'three')).toBe(
			'answer to three',
		);
		expect(socket.destroyed).toBe(false);
		expect(received).toEqual(['one', 'three']);
		socket.destroy();
	});

	it('replaces answers, and swaps the answers of two connections', async () => {
		const [first, second] = [await openConnection(), await openConnection()];
		proxy.replacementResponse = 'bad gateway';
		expect(await exchange(first, 'one')).toBe('bad gateway');
		await proxy.clearFaults();
		proxy.swapNextResponses();
		expect(
			await Promise.all([exchange(first, 'two'), exchange(second, 'three')]),
		).toEqual(['answer to three', 'answer to two']);
	});

	it('keeps the order of chunks when the delay changes', async () => {
		const socket = await openConnection();
		let answers = '';
		socket.on('data', (chunk) => {
			answers += chunk.toString();
		});
		proxy.delayMs = 30;
		socket.write('one');
		await sleep(5);
		proxy.delayMs = 0;
		socket.write('two');
		await expect
			.poll(() => answers, {timeout: 5000})
			.toMatch(/answer to one.*two/v);
		expect(received.join('')).toBe('onetwo');
	});
});
