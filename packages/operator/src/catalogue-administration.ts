/** What the administration interface needs from the entry VM behind it. */
import {type Catalogue} from '@verbenarouter/core';
import {type EditRequest, type EditVerdict} from './catalogue-editor.js';

/** What an entry VM knows of the catalogue, and how fresh that is. */
export type CatalogueStatus = {
	readonly entryVm: string;
	readonly zone: string;
	/** Revisions up to this one are in force here. */
	readonly nextOffset: number;
	/** Milliseconds since the catalogue was known to be current; absent when it never was. */
	readonly ageMs?: number | undefined;
	/** Where the newest knowledge came from. */
	readonly source: 'none' | 'log' | 'peer';
	/**
	 * - `current`: the last read of the log came to its end.
	 * - `log-unreadable`: the platform did not answer; peers may.
	 * - `gap`: the log has dropped records that are needed, and no snapshot covers them.
	 * - `log-behind`: the log ended before records that were read from it.
	 */
	readonly state: 'current' | 'log-unreadable' | 'gap' | 'log-behind';
	/** Offset of the newest snapshot in the log; absent when none was seen. */
	readonly snapshotOffset?: number | undefined;
};

/** Whether an edit is in force at one entry VM. */
export type EntryVmState = {
	readonly entryVm: string;
	readonly zone: string;
	/** `unknown`: the entry VM is out of reach. */
	readonly inForce: 'yes' | 'no' | 'unknown';
	readonly nextOffset?: number | undefined;
	readonly ageMs?: number | undefined;
};

/** The entry VM, as the administration interface sees it. No method rejects. */
export type CatalogueAdministration = {
	/** The newest catalogue; `undefined` until there is one. */
	readonly catalogue: Catalogue | undefined;
	/** The name under which a bearer token may administer; `undefined` when it may not. */
	operatorOf(token: string): string | undefined;
	/** Reads the log to its end, if it can be read. */
	refresh(): Promise<void>;
	write(request: EditRequest): Promise<EditVerdict>;
	/** What became of an edit that was written before. */
	findEdit(editId: string): Promise<EditVerdict | undefined>;
	status(): CatalogueStatus;
	/** Where a revision is in force, by asking each entry VM. */
	inForce(revision: number): Promise<readonly EntryVmState[]>;
};
