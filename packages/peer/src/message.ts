/** What entry VMs say to each other. */
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

/** One life of an entry VM process. */
export const incarnationSchema = z
	.object({zone: nameSchema, entryVm: nameSchema, nonce: z.string()})
	.readonly();

/** A job that the sender has checked already; a second check costs more than all the rest of a forward. */
const checkedJobSchema = z.custom<Job>(isObject);

/** An answer that the sender has built itself. */
const checkedAnswerSchema = z.custom<JobAnswer>(isObject);

/** Forwards that a request may still go through. It bounds a chain of successors. */
const hopsLeftSchema = z.number().int().nonnegative();

/** Fields of each request about one submission. */
const aboutSubmission = {
	identifier: z.string(),
	team: nameSchema,
	hopsLeft: hopsLeftSchema,
};

/** Asks the owner of an identifier to run a job, or to wait for it when it is already known. */
export const submitRequestSchema = z
	.object({
		kind: z.literal('submit'),
		...aboutSubmission,
		job: checkedJobSchema,
		/** Milliseconds that the caller still waits. */
		remainingMs: z.number(),
	})
	.readonly();

/** Asks the owner what became of a submission. */
export const stateRequestSchema = z
	.object({kind: z.literal('state'), ...aboutSubmission})
	.readonly();

/** Asks the owner to cancel a submission, or to refuse it from now on when it has not started. */
export const cancelRequestSchema = z
	.object({
		kind: z.literal('cancel'),
		...aboutSubmission,
		reason: refusalSchema,
	})
	.readonly();

/** Asks for what the peer knows of the catalogue beyond an offset, and of the list of VMs beyond a version. */
export const catalogueRequestSchema = z
	.object({
		kind: z.literal('catalogue'),
		fromOffset: z.number().int().nonnegative(),
		/** Version of the list that the asker has; -1 for none. */
		listVersion: z.number().int().min(-1),
	})
	.readonly();

/** Asks for what the peer knows of the catalogue and of the list of VMs. */
export type CatalogueRequest = z.infer<typeof catalogueRequestSchema>;

/** What an entry VM knows of the catalogue and of the list of VMs. */
export const catalogueReplySchema = z
	.object({
		kind: z.literal('catalogue'),
		/** Offset that the sender's catalogue has reached. */
		nextOffset: z.number().int().nonnegative(),
		/** Milliseconds since the sender's catalogue was known to be current; absent when it never was. */
		ageMs: z.number().nonnegative().optional(),
		update: catalogueUpdateSchema,
		/** The sender's list, when it is newer than the asker's. */
		list: machineListSchema.optional(),
	})
	.readonly();

/** What an entry VM knows of the catalogue and of the list of VMs. */
export type CatalogueReply = z.infer<typeof catalogueReplySchema>;

/** Asks the owner to refuse a submission that has not started. One that has started goes on. */
export const declineRequestSchema = z
	.object({
		kind: z.literal('decline'),
		...aboutSubmission,
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
		answer: checkedAnswerSchema,
	})
	.readonly();

/** Settled submissions for the successor, before and after the hand-over. */
export const recordsRequestSchema = z
	.object({
		kind: z.literal('records'),
		settled: z.array(settledSubmissionSchema).readonly(),
	})
	.readonly();

/** Makes one process the successor of the sender. */
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

/** A request about one submission. */
export const submissionRequestSchema = z.discriminatedUnion('kind', [
	submitRequestSchema,
	stateRequestSchema,
	cancelRequestSchema,
	declineRequestSchema,
]);

/** A request about one submission. */
export type SubmissionRequest = z.infer<typeof submissionRequestSchema>;

/** A request from one entry VM to another. */
export const peerRequestSchema = z.discriminatedUnion('kind', [
	...submissionRequestSchema.options,
	recordsRequestSchema,
	handOverRequestSchema,
	catalogueRequestSchema,
]);

/** A request from one entry VM to another. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** The answer to {@link PeerRequest}. */
export const peerReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('answer'), answer: checkedAnswerSchema}).readonly(),
	z
		.object({
			kind: z.literal('state'),
			state: submissionStateSchema,
			answer: checkedAnswerSchema.optional(),
		})
		.readonly(),
	/** The receiver does not hold the identifier's ownership. It did nothing. */
	z.object({kind: z.literal('not-owner')}).readonly(),
	catalogueReplySchema,
	z.object({kind: z.literal('recorded')}).readonly(),
	z.object({kind: z.literal('adopted')}).readonly(),
	/** The receiver has not adopted the hand-over and never will. */
	z.object({kind: z.literal('declined')}).readonly(),
]);

/** The answer to {@link PeerRequest}. */
export type PeerReply = z.infer<typeof peerReplySchema>;

/** What the two ends of a link tell each other first, and again whenever it changes. */
export const helloSchema = z
	.object({
		incarnation: incarnationSchema,
		/** Start of the process in milliseconds since 1970 by its own clock. */
		startedAtMs: z.number(),
		/** Grows with each change of the fields below. */
		version: z.number().int().nonnegative(),
		/** Keys of the incarnations whose submissions this entry VM answers for. */
		holds: z.array(z.string()).readonly(),
		/** Offset that the sender's catalogue has reached. */
		catalogueOffset: z.number().int().nonnegative().optional(),
		/** Whether it stops: it adopts nothing more. */
		isLeaving: z.boolean(),
	})
	.readonly();

/** What the two ends of a link tell each other first, and again whenever it changes. */
export type Hello = z.infer<typeof helloSchema>;

/** One record on a stream between two entry VMs. */
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
	/** Messages between the share ledgers of both ends; they need no reply. */
	z
		.object({
			type: z.literal('shares'),
			messages: z.array(ledgerMessageSchema).readonly(),
		})
		.readonly(),
	z.object({type: z.literal('ping')}).readonly(),
	z.object({type: z.literal('pong')}).readonly(),
]);

/** One record on a stream between two entry VMs. */
export type Frame = z.infer<typeof frameSchema>;

function isObject(value: unknown): boolean {
	return typeof value === 'object' && value !== null;
}
