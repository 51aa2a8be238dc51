/**
 * Measures what an idle stream between two entry VMs costs, for three sizes of installation in one process:
 * `node --expose-gc testing/dist/measure-peers.js`. CPU and heap are of both ends together; bytes are of one stream in both
 * directions, counted on its connection.
 */
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {type EntryVm, type Incarnation} from '@verbenarouter/core';
import {PeerMesh, type Hello} from '@verbenarouter/peer';
import {findFreePorts} from './installation.js';

const sizes = [4, 8, 16] as const;
const settleMs = 3000;
const windowMs = 10_000;
const microsecondsPerSecond = 1_000_000;
const link = {pingIntervalMs: 500, silenceMs: 2000, reconnectMs: 200} as const;

type Row = {
	readonly entryVms: number;
	readonly streams: number;
	readonly cpuPercentPerStream: number;
	readonly heapBytesPerStream: number;
};

function helloOf(name: string): Hello {
	const incarnation: Incarnation = {
		zone: 'zone-a',
		entryVm: name,
		nonce: '0123456789ab',
	};
	return {
		incarnation,
		startedAtMs: 0,
		version: 1,
		holds: [`zone-a.${name}.0123456789ab`],
		isLeaving: false,
	};
}

function createMesh(name: string, port: number): PeerMesh {
	return new PeerMesh({
		name,
		listenAddress: `127.0.0.1:${port}`,
		link,
		hello: () => helloOf(name),
		onRequest: async () => ({kind: 'not-owner'}),
		onHello() {
			// Nothing depends on it here.
		},
	});
}

function memberOf(name: string, port: number): EntryVm {
	return {
		role: 'entry',
		name,
		zone: 'zone-a',
		state: 'live',
		peerAddress: `127.0.0.1:${port}`,
	};
}

function heapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

async function measureSize(entryVms: number): Promise<Row> {
	const ports = await findFreePorts(entryVms);
	const members = ports.map((port, index) => memberOf(`entry-${index}`, port));
	const before = heapBytes();
	const meshes = ports.map((port, index) => createMesh(`entry-${index}`, port));
	await Promise.all(meshes.map(async (mesh) => mesh.listen()));
	for (const mesh of meshes) {
		mesh.updateMembers(members);
	}

	await sleep(settleMs);
	const streams = entryVms * (entryVms - 1);
	const heap = heapBytes() - before;
	const cpuBefore = process.cpuUsage();
	await sleep(windowMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	await Promise.all(meshes.map(async (mesh) => mesh.close()));
	const seconds = windowMs / 1000;
	return {
		entryVms,
		streams,
		cpuPercentPerStream:
			(100 * (user + system)) / microsecondsPerSecond / seconds / streams,
		heapBytesPerStream: Math.round(heap / streams),
	};
}

/** Relays one port to another and counts the bytes of both directions. */
function createCounter(targetPort: number): {
	readonly server: Server;
	bytes: number;
} {
	const counter = {
		bytes: 0,
		server: createServer((socket) => {
			const upstream = connect(targetPort, '127.0.0.1');
			socket.on('data', (chunk) => {
				counter.bytes += chunk.length;
			});
			upstream.on('data', (chunk) => {
				counter.bytes += chunk.length;
			});
			socket.on('error', () => upstream.destroy());
			upstream.on('error', () => socket.destroy());
			socket.pipe(upstream).pipe(socket);
		}),
	};
	return counter;
}

async function measureBytesPerSecond(): Promise<number> {
	const [first = 0, second = 0] = await findFreePorts(2);
	const meshes = [
		createMesh('entry-0', first),
		createMesh('entry-1', second),
	] as const;
	const counter = createCounter(second);
	counter.server.listen(0, '127.0.0.1');
	await once(counter.server, 'listening');
	const {port} = counter.server.address() as AddressInfo;
	await Promise.all(meshes.map(async (mesh) => mesh.listen()));
	meshes[0].updateMembers([memberOf('entry-1', port)]);
	await sleep(settleMs);
	const before = counter.bytes;
	await sleep(windowMs);
	const bytes = counter.bytes - before;
	await Promise.all(meshes.map(async (mesh) => mesh.close()));
	counter.server.close();
	return bytes / (windowMs / 1000);
}

console.log(
	`idle stream, both directions: ${await measureBytesPerSecond()} bytes per second`,
);
const rows: Row[] = [];
for (const entryVms of sizes) {
	// eslint-disable-next-line no-await-in-loop -- one size after the other
	const row = await measureSize(entryVms);
	rows.push(row);
}

console.table(rows);
