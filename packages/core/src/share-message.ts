import {z} from 'zod';
import {nameSchema} from './identifier.js';

/** Schema of a {@link ShareMember}. */
export const shareMemberSchema = z
	.object({
		name: nameSchema,
		zone: nameSchema,
		/** Whether the entry VM is leaving; a leaving member has no base share unless all members are leaving. */
		isLeaving: z.boolean(),
	})
	.readonly();

/** An entry VM in a member set. */
export type ShareMember = z.infer<typeof shareMemberSchema>;

/** Schema of a {@link MemberSet}. */
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
 * Schema of a {@link LoanRecord}: the name of the resource, then
 * 1. the units that the sender has lent to the receiver,
 * 2. the units of these that the receiver has returned and the sender has counted as returned,
 * 3. the units that the sender has borrowed from the receiver,
 * 4. the units of these that the sender has returned,
 * 5. the units that the sender requests now.
 *
 * Counters 1 to 4 are totals since both incarnations started. They only grow, so merging a late or duplicate record
 * has no effect on them.
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

/** The state of the loans of one resource between the sender and the receiver. */
export type LoanRecord = z.infer<typeof loanRecordSchema>;

/** Schema of a {@link LedgerMessage}. */
export const ledgerMessageSchema = z.discriminatedUnion('kind', [
	/**
	 * The sender limits itself to its base shares under this member set and has dropped all loans with earlier
	 * incarnations of the receiver.
	 */
	z
		.object({
			kind: z.literal('member-set'),
			from: z.string(),
			to: z.string(),
			set: memberSetSchema,
			/** The highest version of a set that the sender has received from this incarnation of the receiver; -1 if none. */
			heard: z.number().int().min(-1),
		})
		.readonly(),
	/** Loan records of the sender, at most one per resource. */
	z
		.object({
			kind: z.literal('loans'),
			from: z.string(),
			to: z.string(),
			loans: z.array(loanRecordSchema).readonly(),
		})
		.readonly(),
	/** The sender has shut down this incarnation: it has no units in use and never takes any again. */
	z
		.object({kind: z.literal('left'), from: z.string(), to: z.string()})
		.readonly(),
	/** The sender has treated the incarnation in `to` as ended and dropped its loans. The receiver starts a new generation. */
	z
		.object({kind: z.literal('ended'), from: z.string(), to: z.string()})
		.readonly(),
]);

/** A message between two ledgers. It is valid only between the two incarnations in `from` and `to`. */
export type LedgerMessage = z.infer<typeof ledgerMessageSchema>;
