/** A catalogue's log in memory, with faults. */
import {
	Catalogue,
	type Edit,
	type Entry,
	type Withdrawal,
} from '@verbenarouter/core';
import {type PlatformFailure} from '@verbenarouter/platform';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {type CatalogueLog} from '../catalogue-editor.js';

/** What happens to an append: its record is kept, lost, or arrives at the next append but one. */
export type AppendFault =
	'none' | 'answer-lost' | 'record-lost' | 'late' | 'refused';

type LogRecord = Edit | Withdrawal;

/** A log of its own for each reader, over shared records. */
export class FakeLog implements CatalogueLog {
	catalogue = new Catalogue();
	/** Faults of the next appends, in order. */
	faults: AppendFault[] = [];
	canRead = true;
	readonly records: LogRecord[];
	#late: LogRecord[] = [];

	constructor(records: LogRecord[] = []) {
		this.records = records;
	}

	async follow(): Promise<boolean> {
		if (this.canRead) {
			this.catalogue = this.catalogue.applyAll(
				this.records.map((record, offset) => ({offset, record})),
			);
		}

		return this.canRead;
	}

	append(record: LogRecord): ResultAsync<number, PlatformFailure> {
		return new ResultAsync(Promise.resolve(this.#append(record)));
	}

	#append(record: LogRecord): Result<number, PlatformFailure> {
		const fault = this.faults.shift() ?? 'none';
		if (fault === 'refused') {
			return failure(false);
		}

		if (fault === 'late') {
			this.#late.push(record);
		} else if (fault !== 'record-lost') {
			this.records.push(record, ...this.#late);
			this.#late = [];
		}

		return fault === 'none' ? ok(this.records.length - 1) : failure(true);
	}
}

function failure(mayHaveTakenEffect: boolean): Result<never, PlatformFailure> {
	return err({code: 'unreachable', message: 'fault', mayHaveTakenEffect});
}

/** An item for tests. */
export function entryOf(name: string, largestJob = 10): Entry {
	return {
		kind: 'entry',
		name,
		owner: 'coastal',
		classOfWork: name,
		idempotent: true,
		needs: {processors: 1, memoryMb: 256, accelerators: 0},
		limits: {
			concurrency: 10,
			startsPerSecond: 10,
			deadlineMs: 1000,
			largestJob,
		},
	};
}
