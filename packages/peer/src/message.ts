/** What entry VMs say to each other. */
import {
	catalogueUpdateSchema,
	jobAnswerSchema,
	jobSchema,
	machineListSchema,
	nameSchema,
	refusalSchema,
	submissionStateSchema,
} from '@verbenarouter/core';
import {z} from 'zod';

/** One life of an entry VM process. */
export const incarnationSchema = z
	.object({zone: nameSchema, entryVm: nameSchema, nonce: z.string()})
	.readonly();

/** Asks the owner of an identifier to run a job, or to wait for it when it is already known. */
export const submitRequestSchema = z
	.object({
		kind: z.literal('submit'),
		identifier: z.string(),
		team: nameSchema,
		job: jobSchema,
		/** Milliseconds that the caller still waits. */
		remainingMs: z.number(),
	})
	.readonly();

/** Asks the owner what became of a submission. */
export const stateRequestSchema = z
	.object({kind: z.literal('state'), identifier: z.string(), team: nameSchema})
	.readonly();

/** Asks the owner to cancel a submission, or to refuse it from now on when it has not started. */
export const cancelRequestSchema = z
	.object({
		kind: z.literal('cancel'),
		identifier: z.string(),
		team: nameSchema,
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

/** A request from one entry VM to another. */
export const peerRequestSchema = z.discriminatedUnion('kind', [
	submitRequestSchema,
	stateRequestSchema,
	cancelRequestSchema,
	catalogueRequestSchema,
]);

/** A request from one entry VM to another. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;

/** A request about one submission. */
export type SubmissionRequest = Exclude<PeerRequest, CatalogueRequest>;

/** The answer to {@link PeerRequest}. */
export const peerReplySchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('answer'), answer: jobAnswerSchema}).readonly(),
	z
		.object({
			kind: z.literal('state'),
			state: submissionStateSchema,
			answer: jobAnswerSchema.optional(),
		})
		.readonly(),
	/** The receiver does not hold the identifier's ownership. It did nothing. */
	z.object({kind: z.literal('not-owner')}).readonly(),
	catalogueReplySchema,
]);

/** The answer to {@link PeerRequest}. */
export type PeerReply = z.infer<typeof peerReplySchema>;

/** What the two ends of a link tell each other first, and again whenever it changes. */
export const helloSchema = z
	.object({
		incarnation: incarnationSchema,
		/** Keys of the incarnations whose submissions this entry VM answers for, its own among them. */
		holds: z.array(z.string()).readonly(),
		/** Offset that the sender's catalogue has reached. */
		catalogueOffset: z.number().int().nonnegative().optional(),
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
	z.object({type: z.literal('ping')}).readonly(),
	z.object({type: z.literal('pong')}).readonly(),
]);

/** One record on a stream between two entry VMs. */
export type Frame = z.infer<typeof frameSchema>;
