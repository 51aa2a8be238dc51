/** Writes edits to the platform's log, and finds out what became of them. */
import {
	type Catalogue,
	type Edit,
	type EditOutcome,
	type ItemKey,
	type Withdrawal,
} from '@verbenarouter/core';
import {type PlatformFailure} from '@verbenarouter/platform';
import {type ResultAsync} from 'neverthrow';

/** What an operator asks for. */
export type EditRequest = {
	readonly editId: string;
	/** Whether the identifier was made for this request, so that no earlier attempt can have written under it. */
	readonly isFirstAttempt: boolean;
	readonly key: ItemKey;
	/** Revision that the operator saw; 0 for an item that does not exist. */
	readonly basedOn: number;
	/** The item's new content; `null` deletes it. */
	readonly item: Edit['item'];
	readonly author: string;
};

/**
 * What became of an edit.
 *
 * - `accepted`: its record was read back from the log and holds.
 * - `conflict`: it does not hold and never will, since the item has another revision.
 * - `not-written`: it does not hold and never will, since its record did not reach the log in time or was withdrawn.
 * - `may-have-taken-effect`: nothing is proven; ask again with the edit's identifier.
 */
export type EditVerdict = {readonly editId: string} & (
	| {readonly code: 'accepted'; readonly revision: number}
	| {readonly code: 'conflict'; readonly presentRevision: number}
	| {readonly code: 'not-written'; readonly message: string}
	| {readonly code: 'may-have-taken-effect'; readonly message: string}
);

/** The catalogue's stream, as the editor uses it. */
export type CatalogueLog = {
	/** The catalogue as last read. */
	readonly catalogue: Catalogue;
	/** Reads to the log's end, beginning after the call; `false` when the log cannot be read. */
	follow(): Promise<boolean>;
	append(record: Edit | Withdrawal): ResultAsync<number, PlatformFailure>;
};

/** Parts and settings of the editor. */
export type CatalogueEditorParts = {
	readonly log: CatalogueLog;
	/** Gives the present time in milliseconds since 1970. */
	readonly clock: () => number;
	/** Waits before the next attempt to find out what became of an edit. */
	readonly pause: () => Promise<void>;
	/** Milliseconds after which the attempts to find out what became of an edit end. */
	readonly settleMs: number;
};

/** Writes edits to the platform's log, and finds out what became of them. */
export class CatalogueEditor {
	readonly #parts: CatalogueEditorParts;

	constructor(parts: CatalogueEditorParts) {
		this.#parts = parts;
	}

	/** Writes an edit. An edit that was written before under its identifier is not written again. */
	async write(request: EditRequest): Promise<EditVerdict> {
		const {editId, key} = request;
		const earlier = this.#verdict(editId) ?? (await this.#conflict(request));
		if (earlier !== undefined) {
			return earlier;
		}

		const {catalogue} = this.#parts.log;
		const appended = await this.#parts.log.append({
			type: 'edit',
			editId,
			...key,
			// An item that was deleted keeps its revision, and whoever creates it again has seen that it is gone.
			basedOn:
				request.basedOn === 0
					? catalogue.currentRevision(key)
					: request.basedOn,
			item: request.item,
			author: request.author,
			writtenAtMs: Math.floor(this.#parts.clock()),
		});
		if (appended.isOk() || appended.error.mayHaveTakenEffect) {
			return this.#settle(editId, appended.isErr());
		}

		return request.isFirstAttempt
			? notWritten(editId, appended.error.message)
			: unknown(editId);
	}

	/** What became of an edit that was written before, here or elsewhere; `undefined` when its record is unknown. */
	async verdictOn(editId: string): Promise<EditVerdict | undefined> {
		const known = this.#verdict(editId);
		if (known !== undefined) {
			return known;
		}

		await this.#parts.log.follow();
		return this.#verdict(editId);
	}

	/** The verdict on an edit that cannot hold; the log is read when what is known does not fit the edit. */
	async #conflict(request: EditRequest): Promise<EditVerdict | undefined> {
		if (this.#fits(request)) {
			return undefined;
		}

		const hasRead = await this.#parts.log.follow();
		const verdict = this.#verdict(request.editId);
		if (verdict !== undefined) {
			return verdict;
		}

		const presentRevision = this.#presentRevision(request.key);
		return this.#fits(request) ||
			(!hasRead && presentRevision < request.basedOn)
			? undefined
			: {code: 'conflict', editId: request.editId, presentRevision};
	}

	#fits({key, basedOn}: EditRequest): boolean {
		return this.#presentRevision(key) === basedOn;
	}

	#presentRevision(key: ItemKey): number {
		return this.#parts.log.catalogue.find({...key})?.revision ?? 0;
	}

	/** Reads until the edit's record shows; with `withdraw`, one that does not show is made void. */
	async #settle(editId: string, withdraw: boolean): Promise<EditVerdict> {
		const {log, clock, pause, settleMs} = this.#parts;
		const settleUntilMs = clock() + settleMs;
		do {
			// eslint-disable-next-line no-await-in-loop -- one attempt after the other
			const hasRead = await log.follow();
			const verdict = this.#verdict(editId);
			if (verdict !== undefined) {
				return verdict;
			}

			if (withdraw && hasRead) {
				// Whichever of the two records comes first in the log decides, so the next read settles it.
				// eslint-disable-next-line no-await-in-loop
				await log.append({type: 'withdrawal', editId});
			}

			// eslint-disable-next-line no-await-in-loop
			await pause();
		} while (clock() < settleUntilMs);

		await log.follow();
		return this.#verdict(editId) ?? unknown(editId);
	}

	#verdict(editId: string): EditVerdict | undefined {
		const outcome = this.#parts.log.catalogue.outcome(editId);
		return outcome && verdictOf(editId, outcome);
	}
}

function verdictOf(editId: string, outcome: EditOutcome): EditVerdict {
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
			return notWritten(
				editId,
				'it was withdrawn, since its record did not show in the log',
			);
		}
	}
}

function notWritten(editId: string, reason: string): EditVerdict {
	return {
		code: 'not-written',
		editId,
		message: `The edit did not take effect and never will: ${reason}. Write it again with another identifier.`,
	};
}

function unknown(editId: string): EditVerdict {
	return {
		code: 'may-have-taken-effect',
		editId,
		message:
			'The platform does not answer, and the edit may have reached its log. Ask again with the identifier of the edit.',
	};
}
