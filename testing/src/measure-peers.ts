/**
 * Measures the cost of an idle peer stream between two entry VMs, for installations of three sizes in one process:
 * `node --expose-gc testing/dist/measure-peers.js`. CPU time and heap are those of both ends together. Bytes are those of
 * one stream in both directions, counted by a TCP relay.
 */
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {type EntryVm, type Incarnation} from '@verbenarouter/core';
import {PeerMesh, type Hello} from '@verbenarouter/peer';
import {findFreePorts} from './installation.js';

const entryVmCounts = [4, 8, 16] as const;
const connectWaitMs = 3000;
const measuredMs = 10_000;
const microsecondsPerSecond = 1_000_000;
const linkSettings = {
	pingIntervalMs: 500,
	silenceMs: 2000,
	reconnectMs: 200,
} as const;

/** One row of the printed table. */
type Row = {
	readonly entryVms: number;
	readonly streams: number;
	readonly cpuPercentPerStream: number;
	readonly heapBytesPerStream: number;
};

function createHello(name: string): Hello {
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
		link: linkSettings,
		createHello: () => createHello(name),
		onRequest: async () => ({kind: 'not-owner'}),
		onHello() {
			// Not needed for idle streams.
		},
	});
}

function createMember(name: string, port: number): EntryVm {
	return {
		role: 'entry',
		name,
		zone: 'zone-a',
		state: 'live',
		peerAddress: `127.0.0.1:${port}`,
	};
}

/** Returns the used heap after a full garbage collection. */
function collectedHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

/** Measures a full mesh of entry VMs whose streams are idle. */
async function measureMeshes(entryVms: number): Promise<Row> {
	const ports = await findFreePorts(entryVms);
	const members = ports.map((port, index) =>
		createMember(`entry-${index}`, port),
	);
	const heapBefore = collectedHeapBytes();
	const meshes = ports.map((port, index) => createMesh(`entry-${index}`, port));
	await Promise.all(meshes.map(async (mesh) => mesh.listen()));
	for (const mesh of meshes) {
		mesh.updateMembers(members);
	}

	await sleep(connectWaitMs);
	const streams = entryVms * (entryVms - 1);
	const heapGrowth = collectedHeapBytes() - heapBefore;
	const cpuBefore = process.cpuUsage();
	await sleep(measuredMs);
	const {user, system} = process.cpuUsage(cpuBefore);
	await Promise.all(meshes.map(async (mesh) => mesh.close()));
	const seconds = measuredMs / 1000;
	return {
		entryVms,
		streams,
		cpuPercentPerStream:
			(100 * (user + system)) / microsecondsPerSecond / seconds / streams,
		heapBytesPerStream: Math.round(heapGrowth / streams),
	};
}

/** Creates a TCP relay to a port that counts the bytes of both directions. */
function createCountingRelay(targetPort: number): {
	readonly server: Server;
	bytes: number;
} {
	const relay = {
		bytes: 0,
		server: createServer((socket) => {
			const upstream = connect(targetPort, '127.0.0.1');
			socket.on('data', (chunk) => {
				relay.bytes += chunk.length;
			});
			upstream.on('data', (chunk) => {
				relay.bytes += chunk.length;
			});
			socket.on('error', () => upstream.destroy());
			upstream.on('error', () => socket.destroy());
			socket.pipe(upstream).pipe(socket);
		}),
	};
	return relay;
}

/** Measures the bytes per second of one idle stream, in both directions together. */
async function measureBytesPerSecond(): Promise<number> {
	const [firstPort = 0, secondPort = 0] = await findFreePorts(2);
	const meshes = [
		createMesh('entry-0', firstPort),
		createMesh('entry-1', secondPort),
	] as const;
	const relay = createCountingRelay(secondPort);
	relay.server.listen(0, '127.0.0.1');
	await once(relay.server, 'listening');
	const {port} = relay.server.address() as AddressInfo;
	await Promise.all(meshes.map(async (mesh) => mesh.listen()));
	meshes[0].updateMembers([createMember('entry-1', port)]);
	await sleep(connectWaitMs);
	const bytesBefore = relay.bytes;
	await sleep(measuredMs);
	const bytes = relay.bytes - bytesBefore;
	await Promise.all(meshes.map(async (mesh) => mesh.close()));
	relay.server.close();
	return bytes / (measuredMs / 1000);
}

console.log(
	`idle peer stream, both directions together: ${await measureBytesPerSecond()} bytes per second`,
);
const rows: Row[] = [];
for (const entryVms of entryVmCounts) {
	// eslint-disable-next-line no-await-in-loop -- sizes are measured one at a time
	const row = await measureMeshes(entryVms);
	rows.push(row);
}

console.table(rows);
