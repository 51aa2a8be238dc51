/** The revision that a change is based on: from `If-Match`, `If-None-Match: *`, or the request itself. */
import {type ValidationIssue} from '@verbenarouter/core';
import {err, ok, type Result} from 'neverthrow';

/** Request headers that matter. */
export type RevisionHeaders = {
	readonly 'if-match'?: string | undefined;
	readonly 'if-none-match'?: string | undefined;
};

const tagPattern = /^"?(?<revision>\d{1,15})"?$/v;

/** Reads the revision that a change is based on; it must be given, and all that is given must agree. */
export function readBasedOn(
	headers: RevisionHeaders,
	given: number | undefined,
): Result<number, ValidationIssue> {
	const ifMatch = headers['if-match'];
	const ifNoneMatch = headers['if-none-match'];
	const tag =
		ifMatch === undefined
			? undefined
			: Number(tagPattern.exec(ifMatch)?.groups?.revision ?? Number.NaN);
	if (Number.isNaN(tag)) {
		return err({path: 'If-Match', message: 'must be one revision in quotes'});
	}

	if (ifNoneMatch !== undefined && ifNoneMatch !== '*') {
		return err({path: 'If-None-Match', message: 'must be *'});
	}

	const values = new Set(
		[given, tag, ifNoneMatch === undefined ? undefined : 0].filter(
			(value) => value !== undefined,
		),
	);
	const [basedOn] = values;
	return basedOn === undefined || values.size > 1
		? err({
				path: 'basedOn',
				message:
					'must be given once: the revision that this change is based on, or 0 for an item that does not exist (or as If-Match or If-None-Match: *)',
			})
		: ok(basedOn);
}
