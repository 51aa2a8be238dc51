import {ScopeBySize, type WorkerEntry} from '@verbenarouter/core';
import {type KeyedRecord} from '@verbenarouter/platform';
import {err, ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {StoreFollower, type StoreReader} from '../pool/store-follower.js';

const now = 50_000;

function workerFixture(id: string): WorkerEntry {
	return {
		id,
		service: 'menu',
		address: '127.0.0.1:1',
		zone: 'a',
		state: 'ready',
		capacity: {processorMillis: 1, memoryMb: 1, accelerators: 0},
		labels: [],
		bornMs: 1,
	};
}

/** A store in which each topic has these records; reads of later ones never return. */
function storeFixture(
	records: ReadonlyMap<string, readonly KeyedRecord[]> = new Map(),
): StoreReader {
	return {
		readNewest: async (topic) =>
			ok({records: records.get(topic) ?? [], nextOffset: 7, endOffset: 7}),
		read: async () =>
			new Promise(() => {
				// No record follows.
			}),
		close() {
			// There is nothing to close.
		},
	};
}

/** Encodes the entry of a worker as the store has it. */
function encodeWorker(id: string): string {
	const {capacity, bornMs, ...entry} = workerFixture(id);
	return JSON.stringify({
		...entry,
		capacity: {cpu: capacity.processorMillis, memMb: capacity.memoryMb},
		born: bornMs,
	});
}

function followerFixture(
	store: StoreReader,
	readClock: () => number = () => now,
): {
	readonly follower: StoreFollower;
	readonly ignoredKeys: string[];
	readonly evacuatedZones: string[];
} {
	const ignoredKeys: string[] = [];
	const evacuatedZones: string[] = [];
	const follower = new StoreFollower(
		store,
		{
			onStateRead: () => undefined,
			onWorkersRead: () => undefined,
			onReachabilityChange: () => undefined,
			onRecordIgnored(_topic, key) {
				ignoredKeys.push(key);
			},
			onEvacuationsRead({records}) {
				evacuatedZones.push(...records.map(({zone}) => zone));
			},
			evacuationPosition: () => 0,
		},
		['a', 'b'],
		readClock,
	);
	return {follower, ignoredKeys, evacuatedZones};
}

async function readOnce(
	follower: StoreFollower,
	followsWorkers: boolean,
): Promise<void> {
	follower.setActive(true, followsWorkers);
	follower.tick(now);
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}

describe('StoreFollower', () => {
	// A follower that read only the desired state sent an empty list to a new leader, which dropped all of its workers.
	it('has no list of workers after it has read only the desired state', async () => {
		const {follower} = followerFixture(storeFixture());
		await readOnce(follower, false);
		expect(follower.workersAgeMs(now)).toBe(Number.POSITIVE_INFINITY);
		expect(follower.ownWorkersAgeMs(now)).toBe(Number.POSITIVE_INFINITY);
		await readOnce(follower, true);
		expect(follower.ownWorkersAgeMs(now)).toBe(0);
	});

	it('applies the list of a peer only if the peer has one and it is newer', () => {
		const {follower} = followerFixture(storeFixture());
		const ids = () => follower.directory.entries(now).map(({id}) => id);
		const list = [workerFixture('w1'), workerFixture('w2')];
		expect(
			follower.applyPeerWorkers(list, {ageMs: 500, version: '2-1'}, now),
		).toBe('replaced');
		expect(follower.applyPeerWorkers([], {ageMs: 3, version: ''}, now)).toBe(
			'ignored',
		);
		expect(
			follower.applyPeerWorkers([list[0]!], {ageMs: 600, version: '1-1'}, now),
		).toBe('ignored');
		expect(ids()).toEqual(['w1', 'w2']);
		expect(follower.workersAgeMs(now)).toBe(500);
	});

	it('passes on requests to evacuate known zones, and reports one for an unknown zone once', async () => {
		const {follower, ignoredKeys, evacuatedZones} = followerFixture(
			storeFixture(
				new Map([
					[
						'keyed.op',
						[
							{key: 'evacuate/b', value: '{}'},
							{key: 'evacuate/x', value: '{}'},
							{key: 'evacuate/', value: 'no JSON'},
							{key: 'evacuate/x', value: '{}'},
						],
					],
				]),
			),
		);
		await readOnce(follower, false);
		expect(evacuatedZones).toEqual(['b']);
		expect(ignoredKeys).toEqual(['evacuate/x', 'evacuate/']);
	});

	it('leaves leaders of zones in place after hand-overs of the workers of single zones, until a whole list is read', async () => {
		const {follower} = followerFixture(storeFixture());
		const scope = new ScopeBySize();
		const update = (time: number) =>
			scope.update(
				{
					count: follower.directory.entries(time).length,
					ageMs: follower.workersAgeMs(time),
				},
				undefined,
				time,
			);
		for (let worker = 0; worker < 62; worker += 1) {
			const time = now + 50 * worker;
			follower.directory.addUnlisted(workerFixture(`w${worker}`), time);
			expect(update(time)).toBe('zone');
		}

		expect(follower.directory.unlistedCount).toBe(62);
		expect(follower.workersAgeMs(now)).toBe(Number.POSITIVE_INFINITY);
		await readOnce(follower, true);
		expect(follower.workersAgeMs(now)).toBe(0);
	});

	// A process that stands still reads the answer late; workers may have registered since the store gave it.
	it('takes a list of workers as no newer than the request for it', async () => {
		let time = now;
		const {follower} = followerFixture(storeFixture(), () => time);
		follower.setActive(false, true);
		follower.tick(time);
		time += 460;
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
		expect(follower.workersAgeMs(time)).toBe(460);
		expect(follower.ownWorkersAgeMs(time)).toBe(460);
	});

	it('keeps a worker that a peer lists, if its own first list may be from just after an outage in which the entry expired', async () => {
		let time = now;
		const {follower} = followerFixture(storeFixture(), () => time);
		const ids = () => follower.directory.entries(time).map(({id}) => id);
		const peerList = [workerFixture('w1')];
		await readOnce(follower, true);
		time += 500;
		expect(
			follower.applyPeerWorkers(peerList, {ageMs: 3000, version: '1-1'}, time),
		).toBe('merged');
		expect(ids()).toEqual(['w1']);
		time += 2000;
		expect(ids()).toEqual([]);
		expect(
			follower.applyPeerWorkers(peerList, {ageMs: 5000, version: '1-1'}, time),
		).toBe('ignored');
		expect(ids()).toEqual([]);
	});

	// The store cuts a page at its largest size, so that a process which was cut off reads the changes in several pages.
	it('has no current list of workers before it has read the last page of their changes', async () => {
		let time = now;
		const laterIds = ['w1', 'w2'];
		const endOffset = 7 + laterIds.length;
		const {read, ...store} = storeFixture();
		const {follower} = followerFixture(
			{
				...store,
				async read(topic, nextOffset, waitMs) {
					const id = topic === 'keyed.servers' ? laterIds.shift() : undefined;
					return id === undefined
						? read(topic, nextOffset, waitMs)
						: ok({
								records: [{key: id, value: encodeWorker(id)}],
								nextOffset: nextOffset + 1,
								endOffset,
							});
				},
			},
			() => time,
		);
		const ids = () => follower.directory.entries(time).map(({id}) => id);
		await readOnce(follower, true);
		time += 5000;
		const pageAges: Array<readonly [readonly string[], number]> = [];
		follower.setActive(true, true);
		follower.tick(time);
		for (const _page of [1, 2]) {
			// eslint-disable-next-line no-await-in-loop -- one page after the other
			await Promise.resolve();
			pageAges.push([ids(), follower.workersAgeMs(time)]);
		}

		expect(pageAges).toEqual([
			[['w1'], 5000],
			[['w1', 'w2'], 0],
		]);
	});

	it.each([
		['has a whole list once the workers can have registered again', false],
		['keeps its whole list', true],
	] as const)(
		'%s after an outage of the store, at whose end entries of living workers are missing',
		async (_, hadList) => {
			let time = now;
			let isDown = true;
			const {readNewest, ...store} = storeFixture();
			const {follower} = followerFixture(
				{
					...store,
					readNewest: async (topic) =>
						isDown
							? err({code: 'unreachable', message: 'no answer'})
							: readNewest(topic),
				},
				() => time,
			);
			await readOnce(follower, true);
			if (hadList) {
				follower.applyPeerWorkers(
					[workerFixture('w1')],
					{ageMs: 500, version: '1-1'},
					now,
				);
			}

			isDown = false;
			time = now + 1000;
			follower.tick(time);
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
			expect(Number.isFinite(follower.workersAgeMs(time + 100))).toBe(hadList);
			expect(follower.workersAgeMs(time + 2500)).toBe(2500);
		},
	);
});
