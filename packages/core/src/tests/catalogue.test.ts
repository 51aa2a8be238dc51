import {describe, expect, it} from 'vitest';
import {Catalogue, retentionRecords} from '../index.js';
import {
	editFixture,
	entryFixture,
	snapshotFixture,
} from './catalogue-fixtures.js';

const key = {kind: 'entry', name: 'macro-check'} as const;

function replayRecords(...records: readonly unknown[]): Catalogue {
	return new Catalogue().applyAll(
		records.map((record, offset) => ({offset, record})),
	);
}

describe('Catalogue', () => {
	it('accepts the first of two concurrent edits and reports a conflict for the second', () => {
		const catalogue = replayRecords(
			editFixture('a'),
			editFixture('b', {
				basedOn: 1,
				item: entryFixture('macro-check', {owner: 'b'}),
			}),
			editFixture('c', {
				basedOn: 1,
				item: entryFixture('macro-check', {owner: 'c'}),
			}),
		);
		expect(catalogue.entry('macro-check')?.owner).toBe('b');
		expect(catalogue.outcome('b')).toEqual({
			code: 'accepted',
			offset: 1,
			revision: 2,
		});
		expect(catalogue.outcome('c')).toEqual({
			code: 'conflict',
			offset: 2,
			presentRevision: 2,
		});
	});

	it('applies a record that was appended twice only once, even with a deletion in between', () => {
		const create = editFixture('a');
		const catalogue = replayRecords(
			create,
			editFixture('b', {basedOn: 1, item: null}),
			create,
		);
		expect(catalogue.find({...key})).toBeUndefined();
		expect(catalogue.outcome('a')?.code).toBe('accepted');
	});

	it('rejects a creation that is not based on the deletion that precedes it, and accepts one that is', () => {
		const deleted = replayRecords(
			editFixture('a'),
			editFixture('b', {basedOn: 1, item: null}),
			editFixture('late'),
		);
		expect(deleted.find({...key})).toBeUndefined();
		expect(deleted.outcome('late')).toMatchObject({presentRevision: 2});
		const again = deleted.apply(3, editFixture('d', {basedOn: 2}));
		expect(again.find({...key})?.revision).toBe(4);
		expect(again.history(key).map(({editId}) => editId)).toEqual([
			'd',
			'b',
			'a',
		]);
	});

	it('does not apply a withdrawn edit, unless it precedes the withdrawal in the log', () => {
		const withdrawal = (editId: string) => ({type: 'withdrawal', editId});
		const catalogue = replayRecords(withdrawal('a'), editFixture('a'));
		expect(catalogue.find({...key})).toBeUndefined();
		expect(catalogue.outcome('a')?.code).toBe('withdrawn');
		const kept = replayRecords(editFixture('a'), withdrawal('a'));
		expect(kept.find({...key})?.revision).toBe(1);
		expect(kept.outcome('a')?.code).toBe('accepted');
	});

	it('ignores an edit whose item has another name or kind', () => {
		const catalogue = replayRecords(
			editFixture('a', {item: entryFixture('other')}),
		);
		expect(catalogue.items).toEqual([]);
	});

	it('expires deletions and outcomes at the same offsets, whether records are applied one by one, at once or after a snapshot', () => {
		const records = [
			editFixture('a'),
			editFixture('b', {basedOn: 1, item: null}),
			...Array.from({length: retentionRecords + 10}, (_, index) =>
				editFixture(`c-${index}`, {
					name: 'other',
					item: entryFixture('other'),
					basedOn: index === 0 ? 0 : index + 2,
				}),
			),
			editFixture('again'),
		].map((record, offset) => ({offset, record}));
		const atOnce = new Catalogue().applyAll(records);
		const middle = new Catalogue().applyAll(records.slice(0, 1500));
		let oneByOne = Catalogue.fromSnapshot(snapshotFixture(middle));
		for (const {offset, record} of records) {
			oneByOne = offset < 1500 ? oneByOne : oneByOne.apply(offset, record);
		}

		expect(oneByOne.toSnapshot()).toEqual(atOnce.toSnapshot());
		expect(atOnce.outcome('a')).toBeUndefined();
		expect(atOnce.outcome('again')?.code).toBe('accepted');
		expect(atOnce.find({kind: 'entry', name: 'other'})?.revision).toBe(
			retentionRecords + 12,
		);
	});
});
