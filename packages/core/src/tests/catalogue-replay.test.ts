import {describe, expect, it} from 'vitest';
import {
	Catalogue,
	CatalogueReplay,
	SnapshotSchedule,
	type CatalogueLogPage,
} from '../index.js';
import {editFixture, snapshotFixture} from './catalogue-fixtures.js';

const names = ['one', 'two', 'three', 'four', 'five'] as const;
const edits = names.map((name) =>
	editFixture(name, {name, item: {...editFixture(name, {name}).item!, name}}),
);

function pageFixture(
	records: readonly unknown[],
	oldestOffset = 0,
	limit = 100,
	from = oldestOffset,
): CatalogueLogPage {
	return {
		records: records
			.map((record, offset) => ({offset, record}))
			.slice(Math.max(from, oldestOffset))
			.slice(0, limit),
		oldestOffset,
		endOffset: records.length,
	};
}

function replayRecords(records: readonly unknown[]): Catalogue {
	return new Catalogue().applyAll(
		records.map((record, offset) => ({offset, record})),
	);
}

/** A log of four edits, a snapshot that covers the first two, and a fifth edit. */
const log = [
	...edits.slice(0, 4),
	snapshotFixture(replayRecords(edits.slice(0, 2))),
	...edits.slice(4),
];

describe('CatalogueReplay', () => {
	it('closes a gap with a snapshot, and applies the retained edits that the snapshot does not cover', () => {
		const replay = new CatalogueReplay().applyPage(pageFixture(log, 2), 0);
		expect(replay.hasGap).toBe(false);
		expect(replay.catalogue.toSnapshot()).toEqual(
			replayRecords(log).toSnapshot(),
		);
	});

	it('closes a gap with a snapshot on a later page', () => {
		const first = new CatalogueReplay().applyPage(pageFixture(log, 2, 1), 0);
		expect([first.hasGap, first.nextReadOffset]).toEqual([true, 3]);
		const second = first.applyPage(pageFixture(log, 2, 100, 3), 3);
		expect(second.isAtLogEnd).toBe(true);
		expect(second.catalogue.toSnapshot()).toEqual(
			replayRecords(log).toSnapshot(),
		);
	});

	it('reports a gap that no snapshot covers, and applies no record after it', () => {
		const replay = new CatalogueReplay().applyPage(pageFixture(log, 3), 0);
		expect([replay.hasGap, replay.isAtLogEnd]).toEqual([true, false]);
		expect(replay.catalogue.items).toEqual([]);
	});

	it('closes a gap with the snapshot of a peer, and then applies the records kept after the gap', () => {
		const behind = new CatalogueReplay().applyPage(pageFixture(log, 3), 0);
		const peer = new CatalogueReplay().applyPage(
			pageFixture(log.slice(0, 4)),
			0,
		);
		const replay = behind.applyPeerUpdate({
			records: [],
			snapshot: peer.catalogue.toSnapshot(),
		});
		expect(replay.isAtLogEnd).toBe(true);
		expect(replay.catalogue.toSnapshot()).toEqual(
			replayRecords(log).toSnapshot(),
		);
	});

	it('ignores an older snapshot, whether from the log or from a peer', () => {
		const replay = new CatalogueReplay().applyPage(pageFixture(edits), 0);
		const old = replayRecords(edits.slice(0, 1));
		const late = [...edits, snapshotFixture(old)];
		const after = replay
			.applyPage(pageFixture(late, 0, 100, 5), 5)
			.applyPeerUpdate({records: [], snapshot: old.toSnapshot()});
		expect(after.catalogue.items).toHaveLength(5);
		expect(after.catalogue.nextOffset).toBe(6);
	});

	it('sends a peer the records that it lacks, or a snapshot of the whole catalogue', () => {
		const replay = new CatalogueReplay().applyPage(pageFixture(edits), 0);
		const behind = new CatalogueReplay().applyPage(
			pageFixture(edits.slice(0, 3)),
			0,
		);
		expect(replay.createPeerUpdate(3).records).toHaveLength(2);
		expect(
			behind.applyPeerUpdate(replay.createPeerUpdate(3)).catalogue.items,
		).toHaveLength(5);
		const adopted = behind.applyPeerUpdate({
			records: [],
			snapshot: replay.catalogue.toSnapshot(),
		});
		expect(adopted.createPeerUpdate(0).snapshot).toBeDefined();
		expect(
			behind.applyPeerUpdate({records: replay.createPeerUpdate(4).records}),
		).toMatchObject({
			nextReadOffset: 3,
		});
	});

	it('reports that the log has lost records when it ends before the requested offset', () => {
		const replay = new CatalogueReplay().applyPage(pageFixture(edits), 0);
		const after = replay.applyPage(
			pageFixture(edits.slice(0, 2), 0, 100, 5),
			5,
		);
		expect(after.isLogBehind).toBe(true);
		expect(after.catalogue.items).toHaveLength(5);
	});
});

describe('SnapshotSchedule', () => {
	const settings = {intervalRecords: 3, intervalMs: 1000, maxJitterMs: 100};

	it('waits for the jitter, and writes no snapshot that another entry VM has written in the meantime', () => {
		const schedule = new SnapshotSchedule(settings, () => 0.5);
		const replay = new CatalogueReplay().applyPage(pageFixture(edits), 0);
		expect(schedule.checkDue(replay, 0)).toBeUndefined();
		expect(schedule.checkDue(replay, 50)).toBe('none-kept');
		const written = replay.applyPage(
			pageFixture([...edits, log[4]], 0, 100, 5),
			5,
		);
		expect(schedule.checkDue(written, 51)).toBeUndefined();
		expect(schedule.checkDue(written, 101)).toBe('records');
		const fresh = replay.applyPage(
			pageFixture([...edits, snapshotFixture(replay.catalogue)], 0, 100, 5),
			5,
		);
		expect(schedule.checkDue(fresh, 999)).toBeUndefined();
		expect(schedule.checkDue(fresh, 1000)).toBeUndefined();
		expect(schedule.checkDue(fresh, 1050)).toBe('age');
	});

	it('is due again when the log no longer retains all records after the newest snapshot', () => {
		const schedule = new SnapshotSchedule(settings, () => 0);
		const replay = new CatalogueReplay().applyPage(pageFixture(log), 0);
		expect(schedule.checkDue(replay, 0)).toBe('records');
		const dropped = replay.applyPage(pageFixture(log, 3, 100, 6), 6);
		expect(schedule.checkDue(dropped, 0)).toBe('none-kept');
	});
});
