/**
 * Measures memory per submission remembered, per catalogue item and per worker listed, at three sizes each:
 * `node --expose-gc testing/dist/measure-memory.js`. Bytes are of the JavaScript heap after a full collection.
 */
import process from 'node:process';
import {
	Catalogue,
	SubmissionStore,
	machineListSchema,
	type CatalogueItem,
	type JobAnswer,
} from '@verbenarouter/core';
import {createEntryItem, createTeamItem} from './catalogue-fixtures.js';

const sizes = [10_000, 40_000, 160_000] as const;
const itemSizes = [100, 400, 1600] as const;
const machineSizes = [100, 400, 1600] as const;
const now = 1_800_000_000_000;

type Row = {
	readonly what: string;
	readonly count: number;
	readonly bytesEach: number;
};

function heapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function measure(what: string, count: number, build: () => unknown): Row {
	const before = heapBytes();
	const held = build();
	const bytes = heapBytes() - before;
	// Kept in use until after the second reading.
	return {
		what: held === undefined ? '' : what,
		count,
		bytesEach: Math.round(bytes / count),
	};
}

function refusedSubmissions(count: number): SubmissionStore {
	return submissions(count, (identifier) => ({
		identifier,
		verdict: 'not-run',
		refusal: {
			code: 'overloaded',
			message: 'The queue is full.',
			retryAfterMs: 500,
		},
	}));
}

function completedSubmissions(count: number): SubmissionStore {
	return submissions(count, (identifier) => ({
		identifier,
		verdict: 'completed',
		outputs: [{value: 'a'.repeat(100)}],
	}));
}

function submissions(
	count: number,
	answerOf: (identifier: string) => JobAnswer,
): SubmissionStore {
	const memory = new SubmissionStore(
		{
			issuer: {zone: 'zone-a', entryVm: 'entry-a-1', nonce: '0123456789ab'},
			secret: 'secret',
		},
		{
			startWindowMs: 600_000,
			retentionMs: 600_000,
			clockSkewMs: 5000,
			answerBytes: 1_000_000_000,
		},
	);
	for (let index = 0; index < count; index += 1) {
		const identifier = memory.issueIdentifier('coastal', now);
		memory.admit(
			identifier,
			'coastal',
			{entry: 'macro-check', taskCount: 1},
			now,
		);
		memory.settle(identifier, 'coastal', answerOf(identifier), now);
	}

	return memory;
}

function catalogueOf(items: readonly CatalogueItem[]): Catalogue {
	let catalogue = new Catalogue();
	for (const [offset, item] of items.entries()) {
		catalogue = catalogue.apply(offset, {
			type: 'edit',
			editId: `edit-${offset}`,
			kind: item.kind,
			name: item.name,
			basedOn: 0,
			item,
			author: 'operator',
			writtenAtMs: now,
		});
	}

	return catalogue;
}

function machineList(count: number): unknown {
	return machineListSchema.parse({
		version: 1,
		machines: Array.from({length: count}, (_, index) => ({
			role: 'target',
			name: `target-zone-a-${index}`,
			zone: 'zone-a',
			rack: `rack-${Math.floor(index / 8)}`,
			state: 'live',
			address: `http://127.0.0.1:${10_000 + index}`,
			slots: 8,
			processors: 64,
			memoryMb: 131_072,
			accelerators: 0,
		})),
	});
}

const rows = [
	...sizes.map((count) =>
		measure('submission refused', count, () => refusedSubmissions(count)),
	),
	...sizes.map((count) =>
		measure('submission completed, one output of 112 bytes', count, () =>
			completedSubmissions(count),
		),
	),
	...itemSizes.map((count) =>
		measure('catalogue team', count, () =>
			catalogueOf(
				Array.from({length: count}, (_, index) => createTeamItem(`team-${index}`)),
			),
		),
	),
	...itemSizes.map((count) =>
		measure('catalogue entry', count, () =>
			catalogueOf(
				Array.from({length: count}, (_, index) => createEntryItem(`entry-${index}`)),
			),
		),
	),
	...machineSizes.map((count) =>
		measure('worker in the list of VMs', count, () => machineList(count)),
	),
];
console.table(rows);
