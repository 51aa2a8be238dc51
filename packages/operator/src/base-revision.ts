import {type ValidationIssue} from '@verbenarouter/core';
import {err, ok, type Result} from 'neverthrow';

/** Request headers that can give the revision that a change is based on. */
export type RevisionHeaders = {
	readonly 'if-match'?: string | undefined;
	readonly 'if-none-match'?: string | undefined;
};

const entityTagPattern = /^"?(?<revision>\d{1,15})"?$/v;

/**
 * Determines the revision that a change is based on from `If-Match`, `If-None-Match: *` (revision 0) and the `basedOn`
 * field of the request. At least one of them is required, and all that are present must agree.
 */
export function readBaseRevision(
	headers: RevisionHeaders,
	requestRevision: number | undefined,
): Result<number, ValidationIssue> {
	const ifMatch = headers['if-match'];
	const ifNoneMatch = headers['if-none-match'];
	const ifMatchRevision =
		ifMatch === undefined
			? undefined
			: Number(entityTagPattern.exec(ifMatch)?.groups?.revision ?? Number.NaN);
	if (Number.isNaN(ifMatchRevision)) {
		return err({
			path: 'If-Match',
			message: 'must be one revision number in quotes',
		});
	}

	if (ifNoneMatch !== undefined && ifNoneMatch !== '*') {
		return err({path: 'If-None-Match', message: 'must be *'});
	}

	const revisions = new Set(
		[
			requestRevision,
			ifMatchRevision,
			ifNoneMatch === undefined ? undefined : 0,
		].filter((value) => value !== undefined),
	);
	const [basedOn] = revisions;
	return basedOn === undefined || revisions.size > 1
		? err({
				path: 'basedOn',
				message:
					'exactly one revision is required: the one that this change is based on, or 0 for an item that does not exist (as basedOn, If-Match or If-None-Match: *)',
			})
		: ok(basedOn);
}
