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
import {MachineListCache} from '../machine-list-cache.js';

function createTeam(name: string, role: 'caller' | 'operator'): CatalogueItem {
	return {
		kind: 'team',
		name,
		role,
		tokenHash: hashToken(`token-of-${name}`),
		quota: {concurrency: 1, startsPerSecond: 1},
	};
}

function hashToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

function createEdit(item: CatalogueItem) {
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
	/** Ordinal of the read at which the platform goes down, counted from 1; 0 for never. */
	firstFailingRead = 0;
	readonly readOffsets: number[] = [];

	append(_stream: string, record: unknown) {
		this.records.push(record);
		return createResult<number>(ok(this.records.length - 1));
	}

	read(_stream: string, fromOffset: number, limit: number) {
		this.readOffsets.push(fromOffset);
		this.isDown ||= this.readOffsets.length === this.firstFailingRead;
		const from = Math.max(fromOffset, this.oldestOffset);
		return createResult<LogPage>(
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

function createResult<T>(
	value: Result<T, PlatformFailure>,
): ResultAsync<T, PlatformFailure> {
	return new ResultAsync(Promise.resolve(value));
}

function createFollower() {
	const platform = new FakePlatform();
	const clock = {now: 10_000};
	const announcedOffsets: number[] = [];
	const follower: CatalogueFollower = new CatalogueFollower({
		platform,
		clock: () => clock.now,
		onNewRecords() {
			announcedOffsets.push(follower.catalogue.nextOffset);
		},
	});
	return {platform, clock, follower, announcedOffsets};
}

/** Creates the reply of a peer that has read the given records. */
function createReply(
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
	it('keeps the catalogue and increases its age while the log cannot be read', async () => {
		const {platform, clock, follower, announcedOffsets} = createFollower();
		platform.records.push(createEdit(createTeam('coastal', 'caller')));
		expect(await follower.catchUp()).toBe(true);
		expect(announcedOffsets).toEqual([1]);
		platform.isDown = true;
		clock.now += 5000;
		expect(await follower.catchUp()).toBe(false);
		expect(follower.status).toMatchObject({
			nextOffset: 1,
			ageMs: 5000,
			source: 'log',
			state: 'log-unreadable',
		});
		expect(follower.team('coastal')).toBeDefined();
	});

	it('reads a log of several pages to its end', async () => {
		const {platform, follower, announcedOffsets} = createFollower();
		platform.records.push(
			...Array.from({length: 1700}, (_, index) =>
				createEdit(createTeam(`team-${index}`, 'caller')),
			),
		);
		expect(await follower.catchUp()).toBe(true);
		expect(follower.catalogue.items).toHaveLength(1700);
		expect(announcedOffsets).toEqual([1700]);
	});

	it('starts from a snapshot near the end of a long log', async () => {
		const {platform, follower} = createFollower();
		platform.records.push(
			...Array.from({length: 3000}, (_, index) =>
				createEdit(createTeam(`team-${index}`, 'caller')),
			),
		);
		const replay = new CatalogueReplay().applyPeerUpdate(
			createReply(platform.records, 0, 0).update,
		);
		platform.records.push(
			{
				type: 'snapshot',
				...replay.catalogue.toSnapshot(),
				author: 'entry-a',
				writtenAtMs: 0,
			},
			createEdit(createTeam('coastal', 'caller')),
		);
		expect(await follower.catchUp()).toBe(true);
		expect(follower.catalogue.items).toHaveLength(3001);
		expect(platform.readOffsets).toEqual([0, 2402, 2602, 2802]);
		await follower.catchUp();
		expect(platform.readOffsets.at(-1)).toBe(3002);
	});

	it('reads the whole log if there is no snapshot near its end, even if the platform goes down during the read', async () => {
		const {platform, follower} = createFollower();
		platform.records.push(
			...Array.from({length: 1000}, (_, index) =>
				createEdit(createTeam(`team-${index}`, 'caller')),
			),
		);
		platform.firstFailingRead = 3;
		expect(await follower.catchUp()).toBe(false);
		expect([follower.isLoaded, follower.catalogue.nextOffset]).toEqual([
			false,
			0,
		]);
		platform.isDown = false;
		expect(await follower.catchUp()).toBe(true);
		expect(follower.catalogue.items).toHaveLength(1000);
	});

	it("reports a gap and is not loaded until a peer's update closes the gap", async () => {
		const {platform, follower} = createFollower();
		platform.records.push(
			createEdit(createTeam('coastal', 'caller')),
			createEdit(createTeam('kruidhof', 'caller')),
		);
		platform.oldestOffset = 1;
		expect(await follower.catchUp()).toBe(false);
		expect(follower.status.state).toBe('gap');
		expect([follower.isLoaded, follower.catalogue.items]).toEqual([false, []]);
		follower.applyPeerReply(createReply(platform.records.slice(0, 1), 0, 0), 0);
		expect(follower.catalogue.items).toHaveLength(2);
		expect(await follower.catchUp()).toBe(true);
		expect(follower.status.state).toBe('current');
	});

	it("adds the round trip to a peer's age, and ignores the age if its catalogue has not reached the peer's offset", () => {
		const {follower} = createFollower();
		const records = [createEdit(createTeam('coastal', 'caller'))];
		follower.applyPeerReply(createReply([], 0), 0);
		expect(follower.isLoaded).toBe(false);
		follower.applyPeerReply(
			{...createReply(records, 0, 300), update: {records: []}},
			20,
		);
		expect(follower.isLoaded).toBe(false);
		follower.applyPeerReply(createReply(records, 0, 300), 20);
		expect(follower.status).toMatchObject({
			nextOffset: 1,
			ageMs: 320,
			source: 'peer',
		});
	});
});

describe('CatalogueService', () => {
	it('accepts the bootstrap token only while the catalogue has no team of operators', async () => {
		const {platform, follower, clock} = createFollower();
		const machineList = new MachineListCache(() => undefined);
		const service = new CatalogueService({
			follower,
			relay: new CatalogueRelay({
				follower,
				machineList,
				clock: () => clock.now,
				listConnectedPeers: () => [],
				createSendRequest: () => () => {
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
			bootstrapTokenHash: hashToken('bootstrap-token'),
		});
		platform.records.push(createEdit(createTeam('coastal', 'caller')));
		await follower.catchUp();
		expect(service.findOperator('bootstrap-token')).toBe('bootstrap');
		expect(service.findOperator('token-of-coastal')).toBeUndefined();
		platform.records.push(createEdit(createTeam('operators', 'operator')));
		await follower.catchUp();
		expect(service.findOperator('bootstrap-token')).toBeUndefined();
		expect(service.findOperator('token-of-operators')).toBe('operators');
		expect(await service.queryInForce(2)).toMatchObject([
			{entryVm: 'entry-a', inForce: 'yes'},
		]);
	});
});
