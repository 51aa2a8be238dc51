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

async function closed(socket: Socket): Promise<void> {
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

	const open = async (): Promise<Socket> => {
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

	it('passes bytes on, and ends with either end', async () => {
		const socket = await open();
		expect(await exchange(socket, 'one')).toBe('answer to one');
		socket.end();
		await closed(socket);
		expect(proxy.activeConnectionCount).toBe(0);
	});

	it('silences the open connections only', async () => {
		const silent = await open();
		await exchange(silent, 'one');
		const answers: string[] = [];
		silent.on('data', (chunk) => {
			answers.push(chunk.toString());
		});
		proxy.silenceOpenConnections();
		silent.write('two');
		expect(await exchange(await open(), 'three')).toBe('answer to three');
		expect(received).toEqual(['one', 'three']);
		expect(answers).toEqual([]);
		silent.destroy();
	});

	it('resets once after the request has been written', async () => {
		proxy.resetNextRequest({afterBytes: 3, isForwarded: true});
		const socket = await open();
		socket.write('one');
		await closed(socket);
		expect(await exchange(await open(), 'two')).toBe('answer to two');
		expect(received).toEqual(['one', 'two']);
	});

	it('keeps a request that it does not forward to itself', async () => {
		proxy.resetNextRequest({afterBytes: 1, isForwarded: false});
		const socket = await open();
		socket.write('one');
		await closed(socket);
		expect(await exchange(await open(), 'two')).toBe('answer to two');
		expect(received).toEqual(['two']);
	});

	it('refuses connections until it is healed', async () => {
		const socket = await open();
		const isClosed = closed(socket);
		await proxy.refuseConnections();
		await isClosed;
		await expect(open()).rejects.toThrow('ECONNREFUSED');
		await proxy.clearFaults();
		expect(await exchange(await open(), 'one')).toBe('answer to one');
	});

	it('cuts off without telling either end', async () => {
		const socket = await open();
		await exchange(socket, 'one');
		await proxy.isolate();
		socket.write('two');
		await expect(open()).rejects.toThrow('ECONNREFUSED');
		await proxy.clearFaults();
		expect(await exchange(await open(), 'three')).toBe('answer to three');
		expect(socket.destroyed).toBe(false);
		expect(received).toEqual(['one', 'three']);
		socket.destroy();
	});

	it('replaces and exchanges answers', async () => {
		const [first, second] = [await open(), await open()];
		proxy.replacementResponse = 'bad gateway';
		expect(await exchange(first, 'one')).toBe('bad gateway');
		await proxy.clearFaults();
		proxy.swapNextResponses();
		expect(
			await Promise.all([exchange(first, 'two'), exchange(second, 'three')]),
		).toEqual(['answer to three', 'answer to two']);
	});

	it('keeps the order of chunks when the delay changes', async () => {
		const socket = await open();
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
