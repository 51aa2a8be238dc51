import {type Heartbeat, type WorkerEntry} from '@verbenarouter/core';
import {type StoreKnowledge} from '@verbenarouter/peer';
import {describe, expect, it} from 'vitest';
import {
	KnowledgeExchange,
	type KnowledgeView,
} from '../pool/knowledge-exchange.js';

const now = 10_000;

const worker: WorkerEntry = {
	id: 'w1',
	service: 'menu',
	address: '127.0.0.1:1',
	zone: 'a',
	state: 'ready',
	capacity: {processorMillis: 1, memoryMb: 1, accelerators: 0},
	labels: [],
	bornMs: 1,
};

function peerFixture(name: string, change: Partial<Heartbeat> = {}): Heartbeat {
	return {
		name,
		zone: 'a',
		address: `${name}:1`,
		incarnation: '1',
		intervalMs: 100,
		processorShare: 1,
		isStopping: false,
		isWarm: true,
		isCandidate: true,
		leads: {},
		highestToken: 0,
		hears: {},
		yields: {},
		members: [],
		...change,
	};
}

/** The exchange of a candidate that follows the leader `leader`, has read the store, and cannot at present. */
function exchangeFixture(change: Partial<KnowledgeView> = {}): {
	readonly exchange: KnowledgeExchange;
	readonly sent: Array<{
		readonly names: readonly string[];
		readonly knowledge: StoreKnowledge;
	}>;
} {
	const sent: Array<{
		readonly names: readonly string[];
		readonly knowledge: StoreKnowledge;
	}> = [];
	const view: KnowledgeView = {
		isCandidate: true,
		ledZones: new Map(),
		hasOwnLeader: true,
		peers: [peerFixture('leader', {leads: {a: 5}})],
		desiredState: {
			version: 7,
			queues: [],
			services: [],
			limits: {
				bodyBytes: 1,
				headerBytes: 1,
				headerTimeoutMs: 1,
				idleTimeoutMs: 1,
			},
		},
		workers: [worker],
		workersAgeMs: 5000,
		ownWorkersAgeMs: 5000,
		versions: {state: 7, workers: '1-5'},
		...change,
	};
	const exchange = new KnowledgeExchange({
		name: 'entry-2',
		readView: () => view,
		isOpen: () => true,
		hasLeader: () => true,
		send(names, knowledge) {
			sent.push({names, knowledge});
		},
	});
	return {exchange, sent};
}

const ignorantLeader = {
	needsKnowledge: true,
	readsStore: false,
	knows: {state: 0, workers: ''},
};

describe('KnowledgeExchange', () => {
	// The leader of a zone that had restarted while the store was away never got a desired state, and was never ready.
	it('informs a leader that cannot read the store also while it cannot read it itself', () => {
		const {exchange, sent} = exchangeFixture();
		exchange.recordHeartbeat('leader', ignorantLeader, now);
		exchange.sendDue(now);
		expect(sent).toMatchObject([
			{
				names: ['leader'],
				knowledge: {state: {version: 7}, workers: [{id: 'w1'}], ageMs: 5000},
			},
		]);
	});

	it('sends nothing to a leader that has the same versions, and as a follower nothing at all', () => {
		const informed = exchangeFixture();
		informed.exchange.recordHeartbeat(
			'leader',
			{...ignorantLeader, knows: {state: 7, workers: '1-5'}},
			now,
		);
		informed.exchange.sendDue(now);
		const follower = exchangeFixture({isCandidate: false});
		follower.exchange.recordHeartbeat('leader', ignorantLeader, now);
		follower.exchange.sendDue(now);
		expect([informed.sent, follower.sent]).toEqual([[], []]);
	});

	// An empty list from an entry VM that had only read the desired state emptied a new leader's list.
	it('sends no list of workers that it has never read', () => {
		const {exchange, sent} = exchangeFixture({
			workers: [],
			workersAgeMs: Number.POSITIVE_INFINITY,
			ownWorkersAgeMs: Number.POSITIVE_INFINITY,
			versions: {state: 7, workers: ''},
		});
		exchange.recordHeartbeat('leader', ignorantLeader, now);
		exchange.sendDue(now);
		expect(sent.map(({knowledge}) => knowledge.workers)).toEqual([undefined]);
	});

	it('reads the store for a leader that cannot, one candidate after the other', () => {
		const {exchange} = exchangeFixture({
			peers: [
				peerFixture('leader', {leads: {a: 5}}),
				peerFixture('entry-1'),
				peerFixture('entry-3'),
			],
		});
		expect(exchange.shouldReadStore(now)).toBe(false);
		exchange.recordHeartbeat('leader', ignorantLeader, now);
		expect(exchange.shouldReadStore(now)).toBe(false);
		expect(exchange.shouldReadStore(now + 160)).toBe(true);
		exchange.recordHeartbeat(
			'entry-1',
			{needsKnowledge: false, readsStore: true},
			now + 170,
		);
		expect(exchange.shouldReadStore(now + 180)).toBe(false);
	});
});
