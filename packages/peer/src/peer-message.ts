import {
	catalogueUpdateSchema,
	machineListSchema,
	ledgerMessageSchema,
	nameSchema,
	refusalSchema,
	submissionStateSchema,
	type Job,
	type JobAnswer,
} from '@verbenarouter/core';
import {z} from 'zod';

/** Schema of an incarnation, which identifies one run of an entry VM's process. */
export const incarnationSchema = z
	.object({zone: nameSchema, entryVm: nameSchema, nonce: z.string()})
	.readonly();

/** Accepts any object as a job: the sender has validated it, and a second validation costs more than the rest of a forward. */
const uncheckedJobSchema = z.custom<Job>(isObject);

/** Accepts any object as an answer, since the sender has built it itself. */
const uncheckedAnswerSchema = z.custom<JobAnswer>(isObject);

/** Number of times that a request may still be forwarded. It bounds forwarding along a chain of successors. */
const hopsLeftSchema = z.number().int().nonnegative();

/** Fields that all requests about a submission have. */
const submissionFields = {
	identifier: z.string(),
	team: nameSchema,
	hopsLeft: hopsLeftSchema,
};

/** Requests that the owner of an identifier runs a job, or waits for its end if it has been submitted before. */
export const submitRequestSchema = z
	.object({
		kind: z.literal('submit'),
		...submissionFields,
		job: uncheckedJobSchema,
		/** Milliseconds for which the caller still waits. */
		remainingMs: z.number(),
	})
	.readonly();

/** Requests the state of a submission from its owner. */
export const stateRequestSchema = z
	.object({kind: z.literal('state'), ...submissionFields})
	.readonly();

/** Requests that the owner cancels a submission, or refuses it from now on if it has not started. */
export const cancelRequestSchema = z
	.object({
		kind: z.literal('cancel'),
		...submissionFields,
		reason: refusalSchema,
	})
	.readonly();

/** Requests the peer's catalogue records from an offset on, and its list of VMs if it is newer than a version. */
export const catalogueRequestSchema = z
	.object({
		kind: z.literal('catalogue'),
		fromOffset: z.number().int().nonnegative(),
		/** Version of the sender's list of VMs; -1 if it has none. */
		listVersion: z.number().int().min(-1),
	})
	.readonly();

/** Request for updates of the catalogue and of the list of VMs. */
export type CatalogueRequest = z.infer<typeof catalogueRequestSchema>;

/** Schema of {@link CatalogueReply}. */
export const catalogueReplySchema = z
	.object({
		kind: z.literal('catalogue'),
		/** Offset up to which the sender has read the catalogue's records. */
		nextOffset: z.number().int().nonnegative(),
		/** Milliseconds since the sender's catalogue was last known to be current; absent if it never was. */
		ageMs: z.number().nonnegative().optional(),
		update: catalogueUpdateSchema,
		/** The sender's list of VMs, if it is newer than the one of the requesting entry VM. */
		list: machineListSchema.optional(),
	})
	.readonly();

/** Updates of the catalogue and of the list of VMs. */
export type CatalogueReply = z.infer<typeof catalogueReplySchema>;

/** Requests that the owner refuses a submission that has not started; one that has started continues. */
export const declineRequestSchema = z
	.object({
		kind: z.literal('decline'),
		...submissionFields,
		reason: refusalSchema,
	})
	.readonly();

const ownershipSchema = z
	.object({issuer: incarnationSchema, secret: z.string()})
	.readonly();

const shapeSchema = z
	.object({entry: nameSchema, taskCount: z.number().int()})
	.readonly();

const settledSubmissionSchema = z
	.object({
		identifier: z.string(),
		team: nameSchema,
		shape: shapeSchema.optional(),
		answer: uncheckedAnswerSchema,
	})
	.readonly();

/** Replicates settled submissions to the successor, before and after the hand-over. */
export const recordsRequestSchema = z
	.object({
		kind: z.literal('records'),
		settled: z.array(settledSubmissionSchema).readonly(),
	})
	.readonly();

/** Hands the sender's submissions over to the process `to`, which becomes its successor. */
export const handOverRequestSchema = z
	.object({
		kind: z.literal('hand-over'),
		to: incarnationSchema,
		handOver: z
			.object({
				from: incarnationSchema,
				sentAtMs: z.number(),
				ownerships: z.array(ownershipSchema).readonly(),
				running: z
					.array(
						z
							.object({
								identifier: z.string(),
								team: nameSchema,
								shape: shapeSchema,
								at: incarnationSchema,
							})
							.readonly(),
					)
					.readonly(),
				settled: z.array(settledSubmissionSchema).readonly(),
			})
			.readonly(),
	})
	.readonly();

/** Schema of {@link SubmissionRequest}. */
export const submissionRequestSchema = z.discriminatedUnion('kind', [
	submitRequestSchema,
	stateRequestSchema,
	cancelRequestSchema,
	declineRequestSchema,
]);

/** A request about a submission. */
export type SubmissionRequest = z.infer<typeof submissionRequestSchema>;

/** Schema of {@link PeerRequest}. */
export const peerRequestSchema = z.discriminatedUnion('kind', [
	...submissionRequestSchema.options,
	recordsRequestSchema,
	handOverRequestSchema,
	catalogueRequestSchema,
]);

/** A request from one entry VM to another. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** Schema of {@link PeerReply}. */
export const peerReplySchema = z.discriminatedUnion('kind', [
	z
		.object({kind: z.literal('answer'), answer: uncheckedAnswerSchema})
		.readonly(),
	z
		.object({
			kind: z.literal('state'),
			state: submissionStateSchema,
			answer: uncheckedAnswerSchema.optional(),
		})
		.readonly(),
	/** The receiver does not hold the ownership of the identifier and has ignored the request. */
	z.object({kind: z.literal('not-owner')}).readonly(),
	catalogueReplySchema,
	z.object({kind: z.literal('recorded')}).readonly(),
	z.object({kind: z.literal('adopted')}).readonly(),
	/** The receiver has refused the hand-over for good. */
	z.object({kind: z.literal('declined')}).readonly(),
]);

/** The reply to a {@link PeerRequest}. */
export type PeerReply = z.infer<typeof peerReplySchema>;

/** Schema of {@link Hello}. */
export const helloSchema = z
	.object({
		incarnation: incarnationSchema,
		/** Start of the process, in milliseconds since the Unix epoch by its own clock. */
		startedAtMs: z.number(),
		/** Increases with each change of the fields below. */
		version: z.number().int().nonnegative(),
		/** Keys of the incarnations whose submissions the sender owns. */
		holds: z.array(z.string()).readonly(),
		/** Offset up to which the sender has read the catalogue's records. */
		catalogueOffset: z.number().int().nonnegative().optional(),
		/** Whether the sender is shutting down and adopts no further submissions. */
		isLeaving: z.boolean(),
	})
	.readonly();

/** State of an entry VM that both ends of a stream exchange when it opens and after each change. */
export type Hello = z.infer<typeof helloSchema>;

/** Schema of {@link Frame}. */
export const frameSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('hello'), hello: helloSchema}).readonly(),
	z
		.object({
			type: z.literal('request'),
			id: z.number().int(),
			request: peerRequestSchema,
		})
		.readonly(),
	z
		.object({
			type: z.literal('reply'),
			id: z.number().int(),
			reply: peerReplySchema,
		})
		.readonly(),
	/** Messages between the share ledgers of both ends, without a reply. */
	z
		.object({
			type: z.literal('shares'),
			messages: z.array(ledgerMessageSchema).readonly(),
		})
		.readonly(),
	z.object({type: z.literal('ping')}).readonly(),
	z.object({type: z.literal('pong')}).readonly(),
]);

/** A frame on a stream between two entry VMs; one gRPC message holds several. */
export type Frame = z.infer<typeof frameSchema>;

function isObject(value: unknown): boolean {
	return typeof value === 'object' && value !== null;
}
