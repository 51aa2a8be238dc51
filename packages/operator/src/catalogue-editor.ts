import {
	type Catalogue,
	type Edit,
	type EditOutcome,
	type ItemKey,
	type Withdrawal,
} from '@verbenarouter/core';
import {type PlatformFailure} from '@verbenarouter/platform';
import {type ResultAsync} from 'neverthrow';

/** A request to create, change or delete one item of the catalogue. */
export type EditRequest = {
	/** Identifier of the edit; a retry under the same identifier takes effect at most once. */
	readonly editId: string;
	/** Whether the identifier was generated for this request, so that no earlier attempt can have used it. */
	readonly isFirstAttempt: boolean;
	readonly key: ItemKey;
	/** Revision of the item that the edit is based on; 0 for an item that does not exist. */
	readonly basedOn: number;
	/** New content of the item; `null` deletes the item. */
	readonly item: Edit['item'];
	/** Name of the operator. */
	readonly author: string;
};

/**
 * The verdict on an edit.
 *
 * - `accepted`: its record was read back from the log and is in effect.
 * - `conflict`: it did not take effect and never will, because the item has another revision.
 * - `not-written`: it did not take effect and never will, because its record did not reach the log in time or was
 *   withdrawn.
 * - `may-have-taken-effect`: indeterminate; a later request with the edit's identifier can return the final verdict.
 */
export type EditVerdict = {readonly editId: string} & (
	| {readonly code: 'accepted'; readonly revision: number}
	| {readonly code: 'conflict'; readonly presentRevision: number}
	| {readonly code: 'not-written'; readonly message: string}
	| {readonly code: 'may-have-taken-effect'; readonly message: string}
);

/** The catalogue's log in the platform, with the catalogue that results from the records read so far. */
export type CatalogueLog = {
	/** The catalogue after the last read. */
	readonly catalogue: Catalogue;
	/** Starts a new read and reads to the end of the log. Resolves to `false` if the log cannot be read. */
	catchUp(): Promise<boolean>;
	/** Appends a record and returns its offset. */
	append(record: Edit | Withdrawal): ResultAsync<number, PlatformFailure>;
};

/** Dependencies and settings of a `CatalogueEditor`. */
export type CatalogueEditorOptions = {
	readonly log: CatalogueLog;
	/** Returns the current time in milliseconds since 1970. */
	readonly clock: () => number;
	/** Waits before the log is read again for the verdict on an edit. */
	readonly pause: () => Promise<void>;
	/** Time after which the editor stops reading the log for the verdict on an edit. */
	readonly verdictTimeoutMs: number;
};

/** Writes edits to the catalogue's log and determines the verdict on each of them by reading the log back. */
export class CatalogueEditor {
	readonly #options: CatalogueEditorOptions;

	constructor(options: CatalogueEditorOptions) {
		this.#options = options;
	}

	/** Writes an edit and returns its verdict. An edit whose verdict is already known is not written again. */
	async write(request: EditRequest): Promise<EditVerdict> {
		const {editId, key} = request;
		const knownVerdict =
			this.#findKnownVerdict(editId) ?? (await this.#detectConflict(request));
		if (knownVerdict !== undefined) {
			return knownVerdict;
		}

		const {catalogue} = this.#options.log;
		const appended = await this.#options.log.append({
			type: 'edit',
			editId,
			...key,
			// 0 means that the item does not exist. A deleted item keeps the revision of its deletion, and creating it again
			// is based on that.
			basedOn:
				request.basedOn === 0
					? catalogue.currentRevision(key)
					: request.basedOn,
			item: request.item,
			author: request.author,
			writtenAtMs: Math.floor(this.#options.clock()),
		});
		if (appended.isOk() || appended.error.mayHaveTakenEffect) {
			return this.#awaitVerdict(editId, appended.isErr());
		}

		return request.isFirstAttempt
			? createNotWrittenVerdict(editId, appended.error.message)
			: createIndeterminateVerdict(editId);
	}

	/** Returns the verdict on an edit that any entry VM wrote earlier; `undefined` if its record is not found. */
	async findVerdict(editId: string): Promise<EditVerdict | undefined> {
		const known = this.#findKnownVerdict(editId);
		if (known !== undefined) {
			return known;
		}

		await this.#options.log.catchUp();
		return this.#findKnownVerdict(editId);
	}

	/**
	 * Returns `conflict` if the edit is not based on the item's current revision. Before that the log is read, since the
	 * catalogue may lag behind it; if the log cannot be read, an edit based on a newer revision passes. If another
	 * attempt wrote the edit, its verdict is returned.
	 */
	async #detectConflict(
		request: EditRequest,
	): Promise<EditVerdict | undefined> {
		if (this.#isBasedOnKnownRevision(request)) {
			return undefined;
		}

		const hasRead = await this.#options.log.catchUp();
		const verdict = this.#findKnownVerdict(request.editId);
		if (verdict !== undefined) {
			return verdict;
		}

		const presentRevision = this.#findKnownRevision(request.key);
		return this.#isBasedOnKnownRevision(request) ||
			(!hasRead && presentRevision < request.basedOn)
			? undefined
			: {code: 'conflict', editId: request.editId, presentRevision};
	}

	#isBasedOnKnownRevision({key, basedOn}: EditRequest): boolean {
		return this.#findKnownRevision(key) === basedOn;
	}

	#findKnownRevision(key: ItemKey): number {
		return this.#options.log.catalogue.find({...key})?.revision ?? 0;
	}

	/** Reads the log until it has the edit's record or the time is up. With `withdraw`, withdraws an edit without a record. */
	async #awaitVerdict(editId: string, withdraw: boolean): Promise<EditVerdict> {
		const {log, clock, pause, verdictTimeoutMs} = this.#options;
		const giveUpAtMs = clock() + verdictTimeoutMs;
		do {
			// eslint-disable-next-line no-await-in-loop -- one attempt after the other
			const hasRead = await log.catchUp();
			const verdict = this.#findKnownVerdict(editId);
			if (verdict !== undefined) {
				return verdict;
			}

			if (withdraw && hasRead) {
				// The first of the edit's record and its withdrawal in the log decides, so the next read gives the verdict.
				// eslint-disable-next-line no-await-in-loop
				await log.append({type: 'withdrawal', editId});
			}

			// eslint-disable-next-line no-await-in-loop
			await pause();
		} while (clock() < giveUpAtMs);

		await log.catchUp();
		return this.#findKnownVerdict(editId) ?? createIndeterminateVerdict(editId);
	}

	#findKnownVerdict(editId: string): EditVerdict | undefined {
		const outcome = this.#options.log.catalogue.outcome(editId);
		return outcome && toVerdict(editId, outcome);
	}
}

function toVerdict(editId: string, outcome: EditOutcome): EditVerdict {
	switch (outcome.code) {
		case 'accepted': {
			return {code: 'accepted', editId, revision: outcome.revision};
		}

		case 'conflict': {
			return {
				code: 'conflict',
				editId,
				presentRevision: outcome.presentRevision,
			};
		}

		case 'withdrawn': {
			return createNotWrittenVerdict(
				editId,
				'it was withdrawn, because its record was not found in the log',
			);
		}
	}
}

function createNotWrittenVerdict(editId: string, reason: string): EditVerdict {
	return {
		code: 'not-written',
		editId,
		message: `The edit did not take effect and never will: ${reason}. Send it again with another identifier.`,
	};
}

function createIndeterminateVerdict(editId: string): EditVerdict {
	return {
		code: 'may-have-taken-effect',
		editId,
		message:
			'The platform does not answer, and the edit may have reached its log. Request the verdict again with the identifier of the edit.',
	};
}
