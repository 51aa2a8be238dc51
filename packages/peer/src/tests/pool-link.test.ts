import {type Heartbeat} from '@verbenarouter/core';
import {afterEach, describe, expect, it} from 'vitest';
import {ConnectBudget} from '../connect-budget.js';
import {
	EncodedMessage,
	PoolLink,
	defaultPoolLinkSettings,
	type PoolLinkOptions,
} from '../pool-link.js';
import {PoolMesh} from '../pool-mesh.js';
import {type PoolMessage} from '../pool-message.js';
import {PoolTraffic} from '../pool-traffic.js';

/** An address on which nothing listens; no test waits until the connection is refused. */
const address = '127.0.0.1:1';
const {silenceMs, reconnectMs} = defaultPoolLinkSettings;
const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

function heartbeatMessageFixture(): PoolMessage & {
	readonly type: 'heartbeat';
} {
	const heartbeat: Heartbeat = {
		name: 'sender',
		zone: 'a',
		address: '127.0.0.1:2',
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
	return {
		type: 'heartbeat',
		heartbeat,
		needsKnowledge: false,
		readsStore: true,
	};
}

function linkFixture(change: Partial<PoolLinkOptions> = {}): {
	readonly link: PoolLink;
	readonly traffic: PoolTraffic;
} {
	const traffic = new PoolTraffic();
	const link = new PoolLink({
		address,
		onOpen: () => undefined,
		onReplies: () => undefined,
		now: () => 0,
		traffic,
		random: () => 0.5,
		tryTakeConnect: () => true,
		...change,
	});
	closers.push(() => {
		link.close();
	});
	return {link, traffic};
}

function meshFixture(): PoolMesh {
	const mesh = new PoolMesh({
		name: 'sender',
		address: '127.0.0.1:2',
		now: () => 0,
		random: () => 0.5,
		findProblem: () => undefined,
		onInvalid: () => undefined,
		onMessage: () => undefined,
		onLost: () => undefined,
		onOpen: () => undefined,
	});
	closers.push(() => {
		mesh.close();
	});
	return mesh;
}

/** Sends heartbeats every 100 ms from one time to another, in one turn of the event loop. */
function sendHeartbeats(link: PoolLink, fromMs: number, toMs: number): void {
	for (let now = fromMs; now <= toMs; now += 100) {
		link.sendHeartbeat(new EncodedMessage(heartbeatMessageFixture()), 100, now);
	}
}

function countHeartbeats(traffic: PoolTraffic): number {
	return (
		traffic.counts.find(
			({type, direction}) => type === 'heartbeat' && direction === 'sent',
		)?.messages ?? 0
	);
}

describe('a link to an entry VM that opens no stream', () => {
	it('waits longer with each attempt, and sends one heartbeat on each', () => {
		const {link, traffic} = linkFixture();
		sendHeartbeats(link, 1000, 21_000);
		const attempts = countHeartbeats(traffic);
		expect(attempts).toBeLessThanOrEqual(13);
		expect(traffic.closedLinks.get('silent')).toBeGreaterThanOrEqual(
			attempts - 1,
		);
	});

	it('spreads its attempts by the random source', () => {
		const delaysMs = [0, 0.5, 1].map((random) => {
			const {link, traffic} = linkFixture({random: () => random});
			const startMs = 1000;
			sendHeartbeats(link, startMs, startMs + silenceMs + 100);
			expect(traffic.closedLinks.get('silent')).toBe(1);
			let now = startMs + silenceMs + 100;
			while (countHeartbeats(traffic) < 2) {
				now += 1;
				link.sendHeartbeat(
					new EncodedMessage(heartbeatMessageFixture()),
					100,
					now,
				);
			}

			return now - (startMs + silenceMs + 100);
		});
		expect(delaysMs).toEqual([
			reconnectMs / 2,
			reconnectMs,
			(reconnectMs * 3) / 2,
		]);
	});

	it('does not count the time for which this process read no sockets', () => {
		const {link, traffic} = linkFixture();
		sendHeartbeats(link, 1000, 1100);
		link.excludeStall(800, 1900);
		sendHeartbeats(link, 1900, 1900);
		expect(traffic.closedLinks.get('silent')).toBe(undefined);
		sendHeartbeats(link, 2300, 2300);
		expect(traffic.closedLinks.get('silent')).toBe(1);
	});
});

describe('PoolMesh', () => {
	it('encodes a heartbeat once for all links', () => {
		const mesh = meshFixture();
		mesh.updateLinks(['127.0.0.1:3', '127.0.0.1:4', '127.0.0.1:5']);
		let encodingCount = 0;
		const message = {
			...heartbeatMessageFixture(),
			// eslint-disable-next-line @typescript-eslint/naming-convention -- the name that JSON.stringify calls
			toJSON() {
				encodingCount += 1;
				return heartbeatMessageFixture();
			},
		};
		mesh.sendHeartbeats(message, () => true, 1000);
		expect(countHeartbeats(mesh.traffic)).toBe(3);
		expect(encodingCount).toBe(1);
	});

	it('opens a bounded number of streams in a time, however many peers there are', () => {
		const mesh = meshFixture();
		mesh.updateLinks(
			Array.from({length: 40}, (_, index) => `127.0.0.1:${index + 3}`),
		);
		mesh.sendHeartbeats(heartbeatMessageFixture(), () => true, 1000);
		expect(countHeartbeats(mesh.traffic)).toBe(8);
		mesh.sendHeartbeats(heartbeatMessageFixture(), () => true, 1100);
		expect(countHeartbeats(mesh.traffic)).toBe(10);
	});
});

describe('ConnectBudget', () => {
	it('gives a late process no more than a burst', () => {
		const budget = new ConnectBudget();
		const countTaken = (now: number) =>
			Array.from({length: 100}, () => budget.tryTake(now)).filter(Boolean)
				.length;
		expect([1000, 1100, 9000, 9050].map((now) => countTaken(now))).toEqual([
			8, 2, 8, 1,
		]);
	});
});
