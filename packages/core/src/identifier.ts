import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

/** Validates the name of an entry VM, availability zone, team or catalogue entry. */
export const nameSchema = z
	.string()
	.regex(
		/^[a-z][a-z\d\-]{0,62}$/v,
		'must be 1 to 63 lower-case letters, digits and hyphens, and begin with a letter',
	);

/** One run of an entry VM process, from its start to its exit. */
export type Incarnation = {
	readonly zone: string;
	readonly entryVm: string;
	/** Random text, generated at each start of the process. */
	readonly nonce: string;
};

/**
 * The parsed parts of a submission identifier.
 *
 * Only the issuing incarnation, or the successor that it handed over to, starts the submission, so a start needs no
 * consensus between entry VMs.
 */
export type SubmissionIdentifier = {
	readonly issuer: Incarnation;
	/** Time of issue in milliseconds since 1970, by the issuer's clock. */
	readonly issuedAtMs: number;
	/** Number of the identifier within the incarnation. */
	readonly sequence: number;
	/** Truncated HMAC over the team and the rest of the identifier, which proves that the issuer issued it to the team. */
	readonly tag: string;
};

const tagBytes = 12;
const radix = 36;
const identifierPattern =
	/^(?<zone>[a-z][a-z\d\-]{0,62})\.(?<entryVm>[a-z][a-z\d\-]{0,62})\.(?<nonce>[a-z\d]{4,32})\.(?<issuedAt>[a-z\d]{1,10})\.(?<sequence>[a-z\d]{1,10})\.(?<tag>[\w\-]{16})$/v;

/** Formats an incarnation as the map key `zone.entryVm.nonce`. */
export function incarnationKey(incarnation: Incarnation): string {
	return `${incarnation.zone}.${incarnation.entryVm}.${incarnation.nonce}`;
}

/** Parameters of {@link issueIdentifier}. */
export type IssueIdentifierOptions = {
	readonly issuer: Incarnation;
	/** The signing key, shared only between the issuer and its successors. */
	readonly secret: string;
	readonly team: string;
	/** Unique within the incarnation. */
	readonly sequence: number;
};

/** Issues a signed identifier to a team; `now` is in milliseconds since 1970. */
export function issueIdentifier(
	{issuer, secret, team, sequence}: IssueIdentifierOptions,
	now: number,
): string {
	const issuedAt = Math.floor(now).toString(radix);
	const signedPart = `${incarnationKey(issuer)}.${issuedAt}.${sequence.toString(radix)}`;
	return `${signedPart}.${computeTag(secret, team, signedPart)}`;
}

/** Parses an identifier without verifying its tag; returns `undefined` if the text is malformed. */
export function parseIdentifier(
	text: string,
): SubmissionIdentifier | undefined {
	const groups = identifierPattern.exec(text)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	const {
		zone = '',
		entryVm = '',
		nonce = '',
		issuedAt = '',
		sequence = '',
		tag = '',
	} = groups;
	return {
		issuer: {zone, entryVm, nonce},
		issuedAtMs: Number.parseInt(issuedAt, radix),
		sequence: Number.parseInt(sequence, radix),
		tag,
	};
}

/** Verifies in constant time that the identifier's tag was made with `secret` for this team. */
export function isIssuedTo(
	text: string,
	secret: string,
	team: string,
): boolean {
	const lastDot = text.lastIndexOf('.');
	const expected = Buffer.from(
		computeTag(secret, team, text.slice(0, lastDot)),
	);
	const actual = Buffer.from(text.slice(lastDot + 1));
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function computeTag(secret: string, team: string, signedPart: string): string {
	return createHmac('sha256', secret)
		.update(`${team}\n${signedPart}`)
		.digest()
		.subarray(0, tagBytes)
		.toString('base64url');
}
