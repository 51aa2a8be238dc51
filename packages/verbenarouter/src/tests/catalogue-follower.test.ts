import {createHash} from 'node:crypto';
import {CatalogueReplay, type CatalogueItem} from '@verbenarouter/core';
import {type CatalogueReply} from '@verbenarouter/peer';
import {type LogPage, type PlatformFailure} from '@verbenarouter/platform';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {CatalogueEditor} from '@verbenarouter/operator';
import {CatalogueFollower} from '../catalogue-follower.js';
import {CatalogueRelay} from '../catalogue-relay.js';
import {CatalogueService} from '../catalogue-service.js';
import {createLogger} from '../logger.js';
import {MachineListKeeper} from '../machine-list-keeper.js';

function teamOf(name: string, role: 'caller' | 'operator'): CatalogueItem {
	return {
		kind: 'team',
		name,
		role,
		tokenHash: hashOf(`token-of-${name}`),
		quota: {concurrency: 1, startsPerSecond: 1},
	};
}

function hashOf(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

function editOf(item: CatalogueItem) {
	return {
		type: 'edit',
		editId: `edit-${item.name}`,
		kind: item.kind,
		name: item.name,
		basedOn: 0,
		item,
		author: 'operators',
		writtenAtMs: 0,
	};
}

class FakePlatform {
	readonly records: unknown[] = [];
	oldestOffset = 0;
	isDown = false;
	/** Number of the read from which on the platform is down. */
	failsAtRead = 0;
	readonly readOffsets: number[] = [];

	append(_stream: string, record: unknown) {
		this.records.push(record);
		return result<number>(ok(this.records.length - 1));
	}

	read(_stream: string, fromOffset: number, limit: number) {
		this.readOffsets.push(fromOffset);
		this.isDown ||= this.readOffsets.length === this.failsAtRead;
		const from = Math.max(fromOffset, this.oldestOffset);
		return result<LogPage>(
			this.isDown
				? err({code: 'timeout', message: 'down', mayHaveTakenEffect: false})
				: ok({
						records: this.records
							.map((record, offset) => ({offset, record}))
							.slice(from, from + limit) as unknown as LogPage['records'],
						oldestOffset: this.oldestOffset,
						endOffset: this.records.length,
					}),
		);
	}
}

function result<T>(
	value: Result<T, PlatformFailure>,
): ResultAsync<T, PlatformFailure> {
	return new ResultAsync(Promise.resolve(value));
}

function start() {
	const platform = new FakePlatform();
	const clock = {now: 10_000};
	const news: number[] = [];
	const follower: CatalogueFollower = new CatalogueFollower({
		platform,
		clock: () => clock.now,
		onNews() {
			news.push(follower.catalogue.nextOffset);
		},
	});
	return {platform, clock, follower, news};
}

/** What a peer that has read these records replies. */
function replyOf(
	records: readonly unknown[],
	fromOffset: number,
	ageMs?: number,
): CatalogueReply {
	const replay = new CatalogueReplay().applyPage(
		{
			records: records.map((record, offset) => ({offset, record})),
			oldestOffset: 0,
			endOffset: records.length,
		},
		0,
	);
	return {
		kind: 'catalogue',
		nextOffset: records.length,
		update: replay.createPeerUpdate(fromOffset),
		...(ageMs === undefined ? {} : {ageMs}),
	};
}

describe('CatalogueFollower', () => {
	it('keeps what it knows while the log cannot be read, and its age', async () => {
		const {platform, clock, follower, news} = start();
		platform.records.push(editOf(teamOf('coastal', 'caller')));
		expect(await follower.follow()).toBe(true);
		expect(news).toEqual([1]);
		platform.isDown = true;
		clock.now += 5000;
		expect(await follower.follow()).toBe(false);
		expect(follower.status).toMatchObject({
			nextOffset: 1,
			ageMs: 5000,
			source: 'log',
			state: 'log-unreadable',
		});
		expect(follower.team('coastal')).toBeDefined();
	});

	it('reads a log of many pages to its end', async () => {
		const {platform, follower, news} = start();
		platform.records.push(
			...Array.from({length: 1700}, (_, index) =>
				editOf(teamOf(`team-${index}`, 'caller')),
			),
		);
		expect(await follower.follow()).toBe(true);
		expect(follower.catalogue.items).toHaveLength(1700);
		expect(news).toEqual([1700]);
	});

	it('starts from a snapshot near the end of a long log', async () => {
		const {platform, follower} = start();
		platform.records.push(
			...Array.from({length: 3000}, (_, index) =>
				editOf(teamOf(`team-${index}`, 'caller')),
			),
		);
		const known = new CatalogueReplay().applyPeerUpdate(
			replyOf(platform.records, 0, 0).update,
		);
		platform.records.push(
			{
				type: 'snapshot',
				...known.catalogue.toSnapshot(),
				author: 'entry-a',
				writtenAtMs: 0,
			},
			editOf(teamOf('coastal', 'caller')),
		);
		expect(await follower.follow()).toBe(true);
		expect(follower.catalogue.items).toHaveLength(3001);
		expect(platform.readOffsets).toEqual([0, 2402, 2602, 2802]);
		await follower.follow();
		expect(platform.readOffsets.at(-1)).toBe(3002);
	});

	it('reads the whole log when its end has no snapshot, also after an outage in between', async () => {
		const {platform, follower} = start();
		platform.records.push(
			...Array.from({length: 1000}, (_, index) =>
				editOf(teamOf(`team-${index}`, 'caller')),
			),
		);
		platform.failsAtRead = 3;
		expect(await follower.follow()).toBe(false);
		expect([follower.isLoaded, follower.catalogue.nextOffset]).toEqual([
			false,
			0,
		]);
		platform.isDown = false;
		expect(await follower.follow()).toBe(true);
		expect(follower.catalogue.items).toHaveLength(1000);
	});

	it('shows a gap, is not loaded, and goes on once a peer has closed it', async () => {
		const {platform, follower} = start();
		platform.records.push(
			editOf(teamOf('coastal', 'caller')),
			editOf(teamOf('kruidhof', 'caller')),
		);
		platform.oldestOffset = 1;
		expect(await follower.follow()).toBe(false);
		expect(follower.status.state).toBe('gap');
		expect([follower.isLoaded, follower.catalogue.items]).toEqual([false, []]);
		follower.learn(replyOf(platform.records.slice(0, 1), 0, 0), 0);
		expect(follower.catalogue.items).toHaveLength(2);
		expect(await follower.follow()).toBe(true);
		expect(follower.status.state).toBe('current');
	});

	it("takes a peer's age with the round trip, and only for what it has learned", () => {
		const {follower} = start();
		const records = [editOf(teamOf('coastal', 'caller'))];
		follower.learn(replyOf([], 0), 0);
		expect(follower.isLoaded).toBe(false);
		follower.learn({...replyOf(records, 0, 300), update: {records: []}}, 20);
		expect(follower.isLoaded).toBe(false);
		follower.learn(replyOf(records, 0, 300), 20);
		expect(follower.status).toMatchObject({
			nextOffset: 1,
			ageMs: 320,
			source: 'peer',
		});
	});
});

describe('CatalogueService', () => {
	it('takes the bootstrap token only while there is no team of operators', async () => {
		const {platform, follower, clock} = start();
		const list = new MachineListKeeper(() => undefined);
		const service = new CatalogueService({
			follower,
			relay: new CatalogueRelay({
				follower,
				list,
				clock: () => clock.now,
				peers: () => [],
				request: () => () => {
					throw new Error('there is no peer');
				},
			}),
			editor: new CatalogueEditor({
				log: follower,
				clock: () => clock.now,
				pause: async () => undefined,
				verdictTimeoutMs: 0,
			}),
			logger: createLogger({format: 'json', level: 'error'}, 'entry-a'),
			entryVm: {name: 'entry-a', zone: 'zone-a'},
			bootstrapTokenHash: hashOf('bootstrap-token'),
		});
		platform.records.push(editOf(teamOf('coastal', 'caller')));
		await follower.follow();
		expect(service.findOperator('bootstrap-token')).toBe('bootstrap');
		expect(service.findOperator('token-of-coastal')).toBeUndefined();
		platform.records.push(editOf(teamOf('operators', 'operator')));
		await follower.follow();
		expect(service.findOperator('bootstrap-token')).toBeUndefined();
		expect(service.findOperator('token-of-operators')).toBe('operators');
		expect(await service.queryInForce(2)).toMatchObject([
			{entryVm: 'entry-a', inForce: 'yes'},
		]);
	});
});
