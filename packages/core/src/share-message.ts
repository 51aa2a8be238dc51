/** What the share ledgers of two entry VMs tell each other. */
import {z} from 'zod';
import {nameSchema} from './identifier.js';

/** An entry VM as the ledger sees it. */
export const shareMemberSchema = z
	.object({
		name: nameSchema,
		zone: nameSchema,
		/** A leaving member has no base share. */
		isLeaving: z.boolean(),
	})
	.readonly();

/** An entry VM as the ledger sees it. */
export type ShareMember = z.infer<typeof shareMemberSchema>;

/** The entry VMs among which capacities are divided. A later set has a higher version. */
export const memberSetSchema = z
	.object({
		version: z.number().int().nonnegative(),
		members: z.array(shareMemberSchema).readonly(),
	})
	.readonly();

/** The entry VMs among which capacities are divided. A later set has a higher version. */
export type MemberSet = z.infer<typeof memberSetSchema>;

const counterSchema = z.number().int().nonnegative();

/**
 * One resource between the sender and the receiver: the resource's name, then
 * - units that the sender has lent to the receiver since both started,
 * - units of these that the sender has got back,
 * - units that the sender has received from the receiver,
 * - units of these that the sender has returned,
 * - units that the sender would like to have now.
 *
 * The counters only grow, so that a late or repeated record does no harm.
 */
export const loanRecordSchema = z
	.tuple([
		z.string(),
		counterSchema,
		counterSchema,
		counterSchema,
		counterSchema,
		counterSchema,
	])
	.readonly();

/** One resource between the sender and the receiver. */
export type LoanRecord = z.infer<typeof loanRecordSchema>;

/** A message between two ledgers. It counts only between the two incarnations that it names. */
export const ledgerMessageSchema = z.discriminatedUnion('kind', [
	/** The sender keeps within its base shares of this member set, and has dropped all loans with earlier incarnations of the receiver. */
	z
		.object({
			kind: z.literal('member-set'),
			from: z.string(),
			to: z.string(),
			set: memberSetSchema,
			/** Version of the newest set that the sender has heard from the receiver; -1 for none. */
			heard: z.number().int().min(-1),
		})
		.readonly(),
	z
		.object({
			kind: z.literal('loans'),
			from: z.string(),
			to: z.string(),
			loans: z.array(loanRecordSchema).readonly(),
		})
		.readonly(),
	/** The sender has stopped: it uses nothing any more, and will not again under this incarnation. */
	z
		.object({kind: z.literal('left'), from: z.string(), to: z.string()})
		.readonly(),
	/** The sender has taken the receiver for ended, and dropped its loans. The receiver begins anew. */
	z
		.object({kind: z.literal('ended'), from: z.string(), to: z.string()})
		.readonly(),
]);

/** A message between two ledgers. It counts only between the two incarnations that it names. */
export type LedgerMessage = z.infer<typeof ledgerMessageSchema>;
