import {type Catalogue} from '@verbenarouter/core';
import {type EditRequest, type EditVerdict} from './catalogue-editor.js';

/** State and age of one entry VM's copy of the catalogue. */
export type CatalogueStatus = {
	/** Name of the entry VM. */
	readonly entryVm: string;
	readonly zone: string;
	/** Log offset of the next record to apply; every revision up to this number is in force on this entry VM. */
	readonly nextOffset: number;
	/** Milliseconds since the copy was last confirmed to be current; absent if it never was. */
	readonly ageMs?: number | undefined;
	/** Source of the latest update: the platform's log, a peer, or `none` before the first update. */
	readonly source: 'none' | 'log' | 'peer';
	/**
	 * - `current`: the last read reached the end of the log.
	 * - `log-unreadable`: the platform did not answer; peers may still supply updates.
	 * - `gap`: the log no longer has records that are needed, and no snapshot covers them.
	 * - `log-behind`: the log ended before records that were read from it earlier.
	 */
	readonly state: 'current' | 'log-unreadable' | 'gap' | 'log-behind';
	/** Offset of the newest snapshot in the log; absent if none was read. */
	readonly snapshotOffset?: number | undefined;
};

/** Whether a revision is in force on one entry VM. */
export type EntryVmState = {
	/** Name of the entry VM. */
	readonly entryVm: string;
	readonly zone: string;
	/** Whether the revision is in force; `unknown` if the entry VM is unreachable. */
	readonly inForce: 'yes' | 'no' | 'unknown';
	/** As in `CatalogueStatus`; absent if the entry VM is unreachable. */
	readonly nextOffset?: number | undefined;
	/** As in `CatalogueStatus`; absent if the entry VM is unreachable. */
	readonly ageMs?: number | undefined;
};

/** The operations of an entry VM that the operators' interface calls. No method throws or rejects. */
export type CatalogueAdministration = {
	/** The newest catalogue; `undefined` until one is loaded. */
	readonly catalogue: Catalogue | undefined;
	/** Returns the name of the operator with this bearer token; `undefined` if the token is not an operator's. */
	findOperator(token: string): string | undefined;
	/** Reads the log to its end if the platform answers. */
	refresh(): Promise<void>;
	/** Writes an edit to the log and waits for its verdict. */
	write(request: EditRequest): Promise<EditVerdict>;
	/** Returns the verdict on an edit that was written earlier; `undefined` if its record is not found. */
	findEdit(editId: string): Promise<EditVerdict | undefined>;
	/** Returns the state and age of this entry VM's copy of the catalogue. */
	status(): CatalogueStatus;
	/** Queries each entry VM whether a revision is in force there. */
	queryInForce(revision: number): Promise<readonly EntryVmState[]>;
};
