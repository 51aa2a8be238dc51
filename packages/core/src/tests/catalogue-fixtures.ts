/** Catalogue items and records for tests. */
import {type CatalogueItem, type Edit, type Snapshot} from '../index.js';
import {type Catalogue} from '../catalogue.js';

type EntryItem = Extract<CatalogueItem, {kind: 'entry'}>;

export function entryOf(
	name: string,
	change: Partial<EntryItem> = {},
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
		...change,
	};
}

export function editOf(editId: string, change: Partial<Edit> = {}): Edit {
	const name = change.name ?? 'macro-check';
	return {
		type: 'edit',
		editId,
		kind: 'entry',
		name,
		basedOn: 0,
		item: entryOf(name),
		author: 'operators',
		writtenAtMs: 0,
		...change,
	};
}

export function snapshotOf(catalogue: Catalogue): Snapshot {
	return {
		type: 'snapshot',
		...catalogue.toSnapshot(),
		author: 'entry-a',
		writtenAtMs: 0,
	};
}
