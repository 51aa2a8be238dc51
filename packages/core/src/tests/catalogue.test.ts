import {describe, expect, it} from 'vitest';
import {Catalogue, memoryRecords} from '../index.js';
import {editOf, entryOf, snapshotOf} from './catalogue-fixtures.js';

const key = {kind: 'entry', name: 'macro-check'} as const;

function replay(...records: readonly unknown[]): Catalogue {
	return new Catalogue().applyAll(
		records.map((record, offset) => ({offset, record})),
	);
}

describe('Catalogue', () => {
	it('lets the first of two racing edits hold', () => {
		const catalogue = replay(
			editOf('a'),
			editOf('b', {basedOn: 1, item: entryOf('macro-check', {owner: 'b'})}),
			editOf('c', {basedOn: 1, item: entryOf('macro-check', {owner: 'c'})}),
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

	it('counts a record that was appended twice once, also after a deletion in between', () => {
		const create = editOf('a');
		const catalogue = replay(
			create,
			editOf('b', {basedOn: 1, item: null}),
			create,
		);
		expect(catalogue.find({...key})).toBeUndefined();
		expect(catalogue.outcome('a')?.code).toBe('accepted');
	});

	it('does not let a creation that was written before a deletion undo it', () => {
		const deleted = replay(
			editOf('a'),
			editOf('b', {basedOn: 1, item: null}),
			editOf('late'),
		);
		expect(deleted.find({...key})).toBeUndefined();
		expect(deleted.outcome('late')).toMatchObject({presentRevision: 2});
		const again = deleted.apply(3, editOf('d', {basedOn: 2}));
		expect(again.find({...key})?.revision).toBe(4);
		expect(again.history(key).map(({editId}) => editId)).toEqual([
			'd',
			'b',
			'a',
		]);
	});

	it('keeps a withdrawn edit from holding, unless it stands before the withdrawal', () => {
		const withdrawal = (editId: string) => ({type: 'withdrawal', editId});
		const catalogue = replay(withdrawal('a'), editOf('a'));
		expect(catalogue.find({...key})).toBeUndefined();
		expect(catalogue.outcome('a')?.code).toBe('withdrawn');
		const kept = replay(editOf('a'), withdrawal('a'));
		expect(kept.find({...key})?.revision).toBe(1);
		expect(kept.outcome('a')?.code).toBe('accepted');
	});

	it('refuses an edit whose item has another name or kind', () => {
		const catalogue = replay(editOf('a', {item: entryOf('other')}));
		expect(catalogue.items).toEqual([]);
	});

	it('forgets deleted items and outcomes alike, whether replayed one by one, at once, or from a snapshot', () => {
		const records = [
			editOf('a'),
			editOf('b', {basedOn: 1, item: null}),
			...Array.from({length: memoryRecords + 10}, (_, index) =>
				editOf(`c-${index}`, {
					name: 'other',
					item: entryOf('other'),
					basedOn: index === 0 ? 0 : index + 2,
				}),
			),
			editOf('again'),
		].map((record, offset) => ({offset, record}));
		const atOnce = new Catalogue().applyAll(records);
		const middle = new Catalogue().applyAll(records.slice(0, 1500));
		let oneByOne = Catalogue.fromSnapshot(snapshotOf(middle));
		for (const {offset, record} of records) {
			oneByOne = offset < 1500 ? oneByOne : oneByOne.apply(offset, record);
		}

		expect(oneByOne.toSnapshot()).toEqual(atOnce.toSnapshot());
		expect(atOnce.outcome('a')).toBeUndefined();
		expect(atOnce.outcome('again')?.code).toBe('accepted');
		expect(atOnce.find({kind: 'entry', name: 'other'})?.revision).toBe(
			memoryRecords + 12,
		);
	});
});
