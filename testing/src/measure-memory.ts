/**
 * Measures the memory per stored submission, per catalogue item and per worker in the list of VMs, at three sizes each:
 * `node --expose-gc testing/dist/measure-memory.js`. Bytes are of the JavaScript heap after a full garbage collection.
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

const submissionCounts = [10_000, 40_000, 160_000] as const;
const catalogueItemCounts = [100, 400, 1600] as const;
const workerCounts = [100, 400, 1600] as const;
const nowMs = 1_800_000_000_000;

/** One row of the printed table. */
type Row = {
	readonly what: string;
	readonly count: number;
	readonly bytesEach: number;
};

/** Returns the used heap after a full garbage collection. */
function collectedHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

/** Builds a structure of `count` items and returns the growth of the heap per item. */
function measureBytesEach(
	what: string,
	count: number,
	build: () => unknown,
): Row {
	const heapBefore = collectedHeapBytes();
	const retained = build();
	const heapGrowth = collectedHeapBytes() - heapBefore;
	// Reading `retained` here keeps it from being collected before the second measurement.
	return {
		what: retained === undefined ? '' : what,
		count,
		bytesEach: Math.round(heapGrowth / count),
	};
}

function createRefusedSubmissions(count: number): SubmissionStore {
	return createSubmissions(count, (identifier) => ({
		identifier,
		verdict: 'not-run',
		refusal: {
			code: 'overloaded',
			message: 'The queue is full.',
			retryAfterMs: 500,
		},
	}));
}

function createCompletedSubmissions(count: number): SubmissionStore {
	return createSubmissions(count, (identifier) => ({
		identifier,
		verdict: 'completed',
		outputs: [{value: 'a'.repeat(100)}],
	}));
}

/** Creates a store with submissions that are settled with the given answers. */
function createSubmissions(
	count: number,
	createAnswer: (identifier: string) => JobAnswer,
): SubmissionStore {
	const store = new SubmissionStore(
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
		const identifier = store.issueIdentifier('coastal', nowMs);
		store.admit(
			identifier,
			'coastal',
			{entry: 'macro-check', taskCount: 1},
			nowMs,
		);
		store.settle(identifier, 'coastal', createAnswer(identifier), nowMs);
	}

	return store;
}

function createCatalogue(items: readonly CatalogueItem[]): Catalogue {
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
			writtenAtMs: nowMs,
		});
	}

	return catalogue;
}

function createMachineList(count: number): unknown {
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
	...submissionCounts.map((count) =>
		measureBytesEach('refused submission', count, () =>
			createRefusedSubmissions(count),
		),
	),
	...submissionCounts.map((count) =>
		measureBytesEach(
			'completed submission, one output of 112 bytes',
			count,
			() => createCompletedSubmissions(count),
		),
	),
	...catalogueItemCounts.map((count) =>
		measureBytesEach('team in the catalogue', count, () =>
			createCatalogue(
				Array.from({length: count}, (_, index) =>
					createTeamItem(`team-${index}`),
				),
			),
		),
	),
	...catalogueItemCounts.map((count) =>
		measureBytesEach('entry in the catalogue', count, () =>
			createCatalogue(
				Array.from({length: count}, (_, index) =>
					createEntryItem(`entry-${index}`),
				),
			),
		),
	),
	...workerCounts.map((count) =>
		measureBytesEach('worker in the list of VMs', count, () =>
			createMachineList(count),
		),
	),
];
console.table(rows);
