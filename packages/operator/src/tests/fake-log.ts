import {
	Catalogue,
	type Edit,
	type Entry,
	type Withdrawal,
} from '@verbenarouter/core';
import {type PlatformFailure} from '@verbenarouter/platform';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {type CatalogueLog} from '../catalogue-editor.js';

/**
 * Fault of an append.
 *
 * - `none`: the record is appended and its offset returned.
 * - `answer-lost`: the record is appended, but the append fails.
 * - `record-lost`: the record is lost, and the append fails.
 * - `late`: the append fails, and the record is appended after the next one that reaches the log.
 * - `refused`: the append fails, and the error states that it has had no effect.
 */
export type AppendFault =
	'none' | 'answer-lost' | 'record-lost' | 'late' | 'refused';

type LogRecord = Edit | Withdrawal;

/** In-memory log of the catalogue with injectable faults. Several instances can share records, each with its own catalogue. */
export class FakeCatalogueLog implements CatalogueLog {
	catalogue = new Catalogue();
	/** Faults of the next appends, in order; further appends have none. */
	faults: AppendFault[] = [];
	canRead = true;
	readonly records: LogRecord[];
	#late: LogRecord[] = [];

	constructor(records: LogRecord[] = []) {
		this.records = records;
	}

	async catchUp(): Promise<boolean> {
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
			return createFailure(false);
		}

		if (fault === 'late') {
			this.#late.push(record);
		} else if (fault !== 'record-lost') {
			this.records.push(record, ...this.#late);
			this.#late = [];
		}

		return fault === 'none' ? ok(this.records.length - 1) : createFailure(true);
	}
}

function createFailure(
	mayHaveTakenEffect: boolean,
): Result<never, PlatformFailure> {
	return err({code: 'unreachable', message: 'fault', mayHaveTakenEffect});
}

/** Creates an entry with fixed needs and limits. */
export function createEntry(name: string, largestJob = 10): Entry {
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
