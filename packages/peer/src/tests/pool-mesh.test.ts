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
	readonly messageSenders: string[];
	readonly lostPeers: string[];
	readonly lossCauses: string[];
	/** Sender and problem of each message that was dropped. */
	readonly invalidMessages: string[];
	clockMs: number;
	/** Number of streams that the mesh has opened. */
	openCount: number;
	/** The interval that heartbeats announce. */
	intervalMs: number;
	/** Absent as in heartbeats of the last build, unless a test sets it. */
	isCandidate: boolean | undefined;
	/** Sends a heartbeat on all links. */
	sendHeartbeat(): void;
};

function heartbeatFixture(
	name: string,
	address: string,
	intervalMs: number,
): Heartbeat {
	return {
		name,
		zone: 'a',
		address,
		incarnation: '1',
		intervalMs,
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
	const address = `127.0.0.1:${await findFreePort()}`;
	const messageSenders: string[] = [];
	const lostPeers: string[] = [];
	const lossCauses: string[] = [];
	const invalidMessages: string[] = [];
	const fixture: MeshFixture = {
		mesh: new PoolMesh({
			name,
			address,
			now: () => fixture.clockMs,
			random: () => 0.5,
			findProblem(message) {
				return typeof message === 'object' &&
					message !== null &&
					'type' in message &&
					message.type === 'ask'
					? 'no question'
					: undefined;
			},
			onInvalid(from, problem) {
				invalidMessages.push(`${from} ${problem}`);
			},
			onMessage(from) {
				messageSenders.push(from);
			},
			onLost(from, cause) {
				lostPeers.push(from);
				lossCauses.push(cause);
			},
			onOpen() {
				fixture.openCount += 1;
			},
		}),
		address,
		messageSenders,
		lostPeers,
		lossCauses,
		invalidMessages,
		clockMs: 1000,
		openCount: 0,
		intervalMs: 100,
		isCandidate: undefined,
		sendHeartbeat() {
			fixture.mesh.sendHeartbeats(
				{
					type: 'heartbeat',
					heartbeat: {
						...heartbeatFixture(name, address, fixture.intervalMs),
						...(fixture.isCandidate === undefined
							? {}
							: {isCandidate: fixture.isCandidate}),
					},
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

async function findFreePort(): Promise<number> {
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

async function waitUntil(isMet: () => boolean): Promise<void> {
	for (let attempt = 0; attempt < 500 && !isMet(); attempt += 1) {
		// eslint-disable-next-line no-await-in-loop -- polls until the condition is met
		await sleep(10);
	}
}

describe('a stream between entry VMs', () => {
	it('is closed without delivering a message that arrives after a long pause, as it may be out of date', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.mesh.updateLinks([receiver.address]);
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 1);
		receiver.clockMs += 400;
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 2);
		expect([receiver.messageSenders, receiver.lostPeers]).toEqual([
			['sender', 'sender'],
			[],
		]);
		receiver.clockMs += 5000;
		sender.sendHeartbeat();
		await waitUntil(() => receiver.lostPeers.length === 1);
		expect([receiver.messageSenders, receiver.lostPeers]).toEqual([
			['sender', 'sender'],
			['sender'],
		]);
		await waitUntil(() => {
			sender.clockMs += 100;
			sender.sendHeartbeat();
			return receiver.messageSenders.length > 2;
		});
		expect(receiver.messageSenders.slice(0, 3)).toEqual([
			'sender',
			'sender',
			'sender',
		]);
	});

	it('counts by type what could not be sent because it was not open', async () => {
		const {mesh} = await meshFixture('sender');
		const isSent = mesh.send('unknown', {
			type: 'cancel',
			id: 'j1',
			reason: 'moved',
		});
		expect([isSent, [...mesh.traffic.unsentCounts]]).toEqual([
			false,
			[['cancel', 1]],
		]);
	});

	it('delivers messages after a pause that its sender has announced', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.intervalMs = 1000;
		sender.mesh.updateLinks([receiver.address]);
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 1);
		receiver.clockMs += 3900;
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 2);
		expect([receiver.messageSenders.length, receiver.lostPeers]).toEqual([
			2,
			[],
		]);
		receiver.clockMs += 4100;
		sender.sendHeartbeat();
		await waitUntil(() => receiver.lostPeers.length === 1);
		expect(receiver.messageSenders.length).toBe(2);
		expect(receiver.lossCauses).toEqual(['out-of-date']);
	});

	it('is replaced after a silence that doubles, as its receiver may lack processor time', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		const countReplaced = () =>
			sender.mesh.traffic.closedLinks.get('silent') ?? 0;
		/** Sends two heartbeats in one turn, so that no acknowledgement arrives between them. */
		const sendWithSilence = (silenceMs: number) => {
			sender.clockMs += 100;
			sender.sendHeartbeat();
			sender.clockMs += silenceMs;
			sender.sendHeartbeat();
		};

		const reopen = async () => {
			const count = receiver.messageSenders.length;
			await waitUntil(() => {
				sender.clockMs += 50;
				sender.sendHeartbeat();
				return receiver.messageSenders.length > count;
			});
			await waitUntil(() => sender.openCount === countReplaced() + 1);
			await sleep(50);
		};

		// The sender reports that a stream has opened to an entry VM whose name it knows.
		receiver.mesh.updateLinks([sender.address]);
		receiver.sendHeartbeat();
		await waitUntil(() => sender.messageSenders.length > 0);
		sender.mesh.updateLinks([receiver.address]);
		await reopen();
		sendWithSilence(390);
		expect(countReplaced()).toBe(0);
		await reopen();
		sendWithSilence(410);
		expect(countReplaced()).toBe(1);
		await reopen();
		sendWithSilence(790);
		expect(countReplaced()).toBe(1);
		await reopen();
		sendWithSilence(810);
		expect(countReplaced()).toBe(2);
		await reopen();
		sender.clockMs += 3000;
		await reopen();
		sendWithSilence(410);
		expect(countReplaced()).toBe(3);
		await reopen();
		sender.intervalMs = 1000;
		sendWithSilence(3990);
		expect(countReplaced()).toBe(3);
	});

	it('is counted with its messages by type, and its loss by cause', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.mesh.updateLinks([receiver.address]);
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 1);
		const [sent] = sender.mesh.traffic.counts;
		const [received] = receiver.mesh.traffic.counts;
		expect(sent).toMatchObject({
			type: 'heartbeat',
			direction: 'sent',
			messages: 1,
		});
		// The brackets of the batch.
		expect(received).toMatchObject({
			type: 'heartbeat',
			direction: 'received',
			messages: 1,
			bytes: sent!.bytes + 2,
		});
		sender.mesh.updateLinks([]);
		await waitUntil(() => receiver.lostPeers.length === 1);
		expect(receiver.lossCauses).toEqual(['closed']);
		expect([...sender.mesh.traffic.closedLinks]).toEqual([['removed', 1]]);
	});

	it('drops a message with a problem, and delivers those before and after it', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.mesh.updateLinks([receiver.address]);
		receiver.mesh.updateLinks([sender.address]);
		receiver.sendHeartbeat();
		await waitUntil(() => sender.messageSenders.length === 1);
		sender.sendHeartbeat();
		await waitUntil(() => sender.openCount === 1);
		sender.mesh.send('receiver', {type: 'ask'} as never);
		sender.mesh.send('receiver', {
			type: 'reply',
			question: 1,
			value: undefined,
		});
		await waitUntil(() => receiver.messageSenders.length === 2);
		expect(receiver.invalidMessages).toEqual(['sender no question']);
		expect(receiver.lostPeers).toEqual([]);
	});

	it('delivers an answer that is sent while it opens, and drops a submission', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.mesh.setAddress('receiver', receiver.address);
		sender.mesh.updateLinks([receiver.address]);
		const answer = {kind: 'completed'} as const;
		expect(sender.mesh.send('receiver', {type: 'resubmit', id: 'job-1'})).toBe(
			false,
		);
		expect(
			sender.mesh.send('receiver', {type: 'answer', id: 'job-1', answer}),
		).toBe(false);
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 2);
		await sleep(50);
		expect(receiver.messageSenders.length).toBe(2);
	});

	it('carries answers back to an entry VM that no stream leads to, but not to one of the last build', async () => {
		const receiver = await meshFixture('receiver');
		const sender = await meshFixture('sender');
		sender.mesh.setAddress('receiver', receiver.address);
		sender.mesh.updateLinks([receiver.address]);
		const answer = {
			type: 'answer',
			id: 'job-1',
			answer: {kind: 'completed'},
		} as const;
		sender.sendHeartbeat();
		await waitUntil(() => sender.openCount === 1);
		expect(receiver.mesh.send('sender', answer)).toBe(false);
		sender.isCandidate = false;
		sender.sendHeartbeat();
		await waitUntil(() => receiver.messageSenders.length === 2);
		expect(receiver.mesh.send('sender', answer)).toBe(true);
		await waitUntil(() => sender.messageSenders.length === 1);
		expect(sender.messageSenders).toEqual(['receiver']);
	});
});
