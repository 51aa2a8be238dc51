/**
 * Identifiers of submissions. An identifier names the incarnation of the entry VM that issued it, and only that
 * incarnation, or the one that it handed over to, ever starts the submission. No agreement is needed for a start.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

/** Names of entry VMs, availability zones, teams and catalogue entries. */
export const nameSchema = z
	.string()
	.regex(
		/^[a-z][a-z\d\-]{0,62}$/v,
		'must be 1 to 63 lower-case letters, digits and hyphens, and begin with a letter',
	);

/** One life of an entry VM process. */
export type Incarnation = {
	readonly zone: string;
	readonly entryVm: string;
	/** Random, new at each start of the process. */
	readonly nonce: string;
};

/** The parts of a submission identifier. */
export type SubmissionIdentifier = {
	readonly issuer: Incarnation;
	/** Time of issue in milliseconds since 1970, by the issuer's clock. */
	readonly issuedAtMs: number;
	readonly sequence: number;
	/** Proof that the issuer issued this identifier to this team. */
	readonly tag: string;
};

const tagBytes = 12;
const radix = 36;
const identifierPattern =
	/^(?<zone>[a-z][a-z\d\-]{0,62})\.(?<entryVm>[a-z][a-z\d\-]{0,62})\.(?<nonce>[a-z\d]{4,32})\.(?<issuedAt>[a-z\d]{1,10})\.(?<sequence>[a-z\d]{1,10})\.(?<tag>[\w\-]{16})$/v;

/** A key for maps of incarnations: `zone.entryVm.nonce`. */
export function incarnationKey(incarnation: Incarnation): string {
	return `${incarnation.zone}.${incarnation.entryVm}.${incarnation.nonce}`;
}

/** What an identifier is issued for. */
export type IdentifierRequest = {
	readonly issuer: Incarnation;
	/** Known to the issuer, and to whom it hands over, alone. */
	readonly secret: string;
	readonly team: string;
	/** Unique within the incarnation. */
	readonly sequence: number;
};

/** Issues an identifier to a team. */
export function issueIdentifier(
	{issuer, secret, team, sequence}: IdentifierRequest,
	now: number,
): string {
	const issuedAt = Math.floor(now).toString(radix);
	const stem = `${incarnationKey(issuer)}.${issuedAt}.${sequence.toString(radix)}`;
	return `${stem}.${tagOf(secret, team, stem)}`;
}

/** Reads an identifier; `undefined` when the text is not one. It proves nothing about who issued it. */
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

/** Whether the holder of `secret` issued this identifier to this team. */
export function isIssuedTo(
	text: string,
	secret: string,
	team: string,
): boolean {
	const lastDot = text.lastIndexOf('.');
	const expected = Buffer.from(tagOf(secret, team, text.slice(0, lastDot)));
	const actual = Buffer.from(text.slice(lastDot + 1));
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function tagOf(secret: string, team: string, stem: string): string {
	return createHmac('sha256', secret)
		.update(`${team}\n${stem}`)
		.digest()
		.subarray(0, tagBytes)
		.toString('base64url');
}
