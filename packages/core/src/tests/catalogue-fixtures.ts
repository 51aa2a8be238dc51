import {type CatalogueItem, type Edit, type Snapshot} from '../index.js';
import {type Catalogue} from '../catalogue.js';

type EntryItem = Extract<CatalogueItem, {kind: 'entry'}>;

/** Returns a valid entry item. */
export function entryFixture(
	name: string,
	overrides: Partial<EntryItem> = {},
): EntryItem {
	return {
		kind: 'entry',
		name,
		owner: 'coastal',
		classOfWork: name,
		idempotent: true,
		needs: {processors: 1, memoryMb: 256, accelerators: 0},
		limits: {
			concurrency: 100,
			startsPerSecond: 100,
			deadlineMs: 1000,
			largestJob: 100,
		},
		...overrides,
	};
}

/** Returns an edit that creates the entry `macro-check`, or the entry named by `overrides`. */
export function editFixture(
	editId: string,
	overrides: Partial<Edit> = {},
): Edit {
	const name = overrides.name ?? 'macro-check';
	return {
		type: 'edit',
		editId,
		kind: 'entry',
		name,
		basedOn: 0,
		item: entryFixture(name),
		author: 'operators',
		writtenAtMs: 0,
		...overrides,
	};
}

/** Returns the snapshot record of a catalogue. */
export function snapshotFixture(catalogue: Catalogue): Snapshot {
	return {
		type: 'snapshot',
		...catalogue.toSnapshot(),
		author: 'entry-a',
		writtenAtMs: 0,
	};
}
