import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Heartbeat} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {PoolMesh} from '../pool-mesh.js';

const meshes: PoolMesh[] = [];

afterEach(() => {
	for (const mesh of meshes.splice(0)) {
		mesh.close();
	}
});

type MeshFixture = {
	readonly mesh: PoolMesh;
	readonly address: string;
	readonly heard: string[];
	readonly lost: string[];
	clockMs: number;
	/** Sends a heartbeat to all. */
	beat(): void;
};

function heartbeatFixture(name: string, address: string): Heartbeat {
	return {
		name,
		zone: 'a',
		address,
		incarnation: '1',
		intervalMs: 100,
		processorShare: 1,
		isStopping: false,
		isWarm: true,
		leads: {},
		highestToken: 0,
		hears: {},
		yields: {},
		members: [],
	};
}

async function meshFixture(name: string): Promise<MeshFixture> {
	const address = `127.0.0.1:${await freePort()}`;
	const heard: string[] = [];
	const lost: string[] = [];
	const fixture: MeshFixture = {
		mesh: new PoolMesh({
			name,
			address,
			now: () => fixture.clockMs,
			onMessage(from) {
				heard.push(from);
			},
			onLost(from) {
				lost.push(from);
			},
			onOpen: () => undefined,
		}),
		address,
		heard,
		lost,
		clockMs: 1000,
		beat() {
			fixture.mesh.beat(
				{
					type: 'heartbeat',
					heartbeat: heartbeatFixture(name, address),
					needsKnowledge: false,
					readsStore: true,
				},
				() => true,
				fixture.clockMs,
			);
		},
	};
	meshes.push(fixture.mesh);
	await fixture.mesh.listen();
	return fixture;
}

async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

async function until(isMet: () => boolean): Promise<void> {
	for (let look = 0; look < 500 && !isMet(); look += 1) {
		// eslint-disable-next-line no-await-in-loop -- one look after the other
		await sleep(10);
	}
}

describe('a stream between entry VMs', () => {
	it('is given up when a message comes after a long pause, since it may be out of date', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.mesh.linkTo([receiver.address]);
		sender.beat();
		await until(() => receiver.heard.length === 1);
		receiver.clockMs += 400;
		sender.beat();
		await until(() => receiver.heard.length === 2);
		expect([receiver.heard, receiver.lost]).toEqual([['sender', 'sender'], []]);
		receiver.clockMs += 5000;
		sender.beat();
		await until(() => receiver.lost.length === 1);
		expect([receiver.heard, receiver.lost]).toEqual([
			['sender', 'sender'],
			['sender'],
		]);
		await until(() => {
			sender.clockMs += 100;
			sender.beat();
			return receiver.heard.length > 2;
		});
		expect(receiver.heard.slice(0, 3)).toEqual(['sender', 'sender', 'sender']);
	});
});
