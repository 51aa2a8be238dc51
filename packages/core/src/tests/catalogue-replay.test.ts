import {describe, expect, it} from 'vitest';
import {
	Catalogue,
	CatalogueReplay,
	SnapshotSchedule,
	type CataloguePage,
} from '../index.js';
import {editOf, snapshotOf} from './catalogue-fixtures.js';

const names = ['one', 'two', 'three', 'four', 'five'] as const;
const edits = names.map((name) =>
	editOf(name, {name, item: {...editOf(name, {name}).item!, name}}),
);

function pageOf(
	records: readonly unknown[],
	oldestOffset = 0,
	limit = 100,
	from = oldestOffset,
): CataloguePage {
	return {
		records: records
			.map((record, offset) => ({offset, record}))
			.slice(Math.max(from, oldestOffset))
			.slice(0, limit),
		oldestOffset,
		endOffset: records.length,
	};
}

function replayed(records: readonly unknown[]): Catalogue {
	return new Catalogue().applyAll(
		records.map((record, offset) => ({offset, record})),
	);
}

/** Four edits, a snapshot that covers the first two, and one more edit. */
const log = [
	...edits.slice(0, 4),
	snapshotOf(replayed(edits.slice(0, 2))),
	...edits.slice(4),
];

describe('CatalogueReplay', () => {
	it('bridges a gap with a snapshot, and applies the edits beyond it that stand before the snapshot', () => {
		const replay = new CatalogueReplay().read(pageOf(log, 2), 0);
		expect(replay.hasGap).toBe(false);
		expect(replay.catalogue.toSnapshot()).toEqual(replayed(log).toSnapshot());
	});

	it('bridges a gap over several pages', () => {
		const first = new CatalogueReplay().read(pageOf(log, 2, 1), 0);
		expect([first.hasGap, first.readFrom]).toEqual([true, 3]);
		const second = first.read(pageOf(log, 2, 100, 3), 3);
		expect(second.isAtEnd).toBe(true);
		expect(second.catalogue.toSnapshot()).toEqual(replayed(log).toSnapshot());
	});

	it('shows a gap that no snapshot bridges, and applies nothing beyond it', () => {
		const replay = new CatalogueReplay().read(pageOf(log, 3), 0);
		expect([replay.hasGap, replay.isAtEnd]).toEqual([true, false]);
		expect(replay.catalogue.items).toEqual([]);
	});

	it('closes a gap with what a peer knows, and goes on with the records that it kept', () => {
		const behind = new CatalogueReplay().read(pageOf(log, 3), 0);
		const peer = new CatalogueReplay().read(pageOf(log.slice(0, 4)), 0);
		const replay = behind.learn({
			records: [],
			snapshot: peer.catalogue.toSnapshot(),
		});
		expect(replay.isAtEnd).toBe(true);
		expect(replay.catalogue.toSnapshot()).toEqual(replayed(log).toSnapshot());
	});

	it('is not moved back by a snapshot or by a peer', () => {
		const replay = new CatalogueReplay().read(pageOf(edits), 0);
		const old = replayed(edits.slice(0, 1));
		const late = [...edits, snapshotOf(old)];
		const after = replay
			.read(pageOf(late, 0, 100, 5), 5)
			.learn({records: [], snapshot: old.toSnapshot()});
		expect(after.catalogue.items).toHaveLength(5);
		expect(after.catalogue.nextOffset).toBe(6);
	});

	it('takes a peer the records that it lacks, or everything', () => {
		const replay = new CatalogueReplay().read(pageOf(edits), 0);
		const behind = new CatalogueReplay().read(pageOf(edits.slice(0, 3)), 0);
		expect(replay.updateFor(3).records).toHaveLength(2);
		expect(behind.learn(replay.updateFor(3)).catalogue.items).toHaveLength(5);
		const adopted = behind.learn({
			records: [],
			snapshot: replay.catalogue.toSnapshot(),
		});
		expect(adopted.updateFor(0).snapshot).toBeDefined();
		expect(behind.learn({records: replay.updateFor(4).records})).toMatchObject({
			readFrom: 3,
		});
	});

	it('says so when the log has lost records', () => {
		const replay = new CatalogueReplay().read(pageOf(edits), 0);
		const after = replay.read(pageOf(edits.slice(0, 2), 0, 100, 5), 5);
		expect(after.isLogBehind).toBe(true);
		expect(after.catalogue.items).toHaveLength(5);
	});
});

describe('SnapshotSchedule', () => {
	const limits = {everyRecords: 3, everyMs: 1000, jitterMs: 100};

	it('waits at random, and not at all for a snapshot that another wrote meanwhile', () => {
		const schedule = new SnapshotSchedule(limits, () => 0.5);
		const replay = new CatalogueReplay().read(pageOf(edits), 0);
		expect(schedule.due(replay, 0)).toBeUndefined();
		expect(schedule.due(replay, 50)).toBe('none-kept');
		const written = replay.read(pageOf([...edits, log[4]], 0, 100, 5), 5);
		expect(schedule.due(written, 51)).toBeUndefined();
		expect(schedule.due(written, 101)).toBe('records');
		const fresh = replay.read(
			pageOf([...edits, snapshotOf(replay.catalogue)], 0, 100, 5),
			5,
		);
		expect(schedule.due(fresh, 999)).toBeUndefined();
		expect(schedule.due(fresh, 1000)).toBeUndefined();
		expect(schedule.due(fresh, 1050)).toBe('age');
	});

	it('writes again when the log no longer keeps all records after the newest snapshot', () => {
		const schedule = new SnapshotSchedule(limits, () => 0);
		const replay = new CatalogueReplay().read(pageOf(log), 0);
		expect(schedule.due(replay, 0)).toBe('records');
		const dropped = replay.read(pageOf(log, 3, 100, 6), 6);
		expect(schedule.due(dropped, 0)).toBe('none-kept');
	});
});
