import {
	createRefusal,
	type Incarnation,
	type JobAnswer,
	type OwnerSearch,
	type OwnerSearchResult,
	type Refusal,
	type SubmissionIdentifier,
} from '@verbenarouter/core';
import {
	type PeerMesh,
	type PeerReply,
	type SubmissionRequest,
} from '@verbenarouter/peer';
import {type DecisionLog} from './decision-log.js';
import {createRefusedAnswer} from './submission-owner.js';

/** The replies that a request about a submission can get. */
export type SubmissionReply = Extract<
	PeerReply,
	{kind: 'answer' | 'state' | 'not-owner'}
>;

/** Options of {@link PeerForwarder}. */
export type PeerForwarderOptions = {
	readonly mesh: () => PeerMesh;
	readonly search: OwnerSearch;
	readonly log: DecisionLog;
	/** Returns the name of the entry VM to which this one has handed over, if any. */
	readonly successor: () => string | undefined;
};

const ownerRetryAfterMs = 1000;
const controlReplyTimeoutMs = 2000;
/** Time for the reply to arrive after the deadline of a submit request, which the owner enforces. */
const submitReplyMarginMs = 1000;

/** Forwards requests to the owners of their identifiers, and answers those whose owner is unreachable, silent or gone. */
export class PeerForwarder {
	readonly #options: PeerForwarderOptions;

	constructor(options: PeerForwarderOptions) {
		this.#options = options;
	}

	/** Forwards a request to the peer that owns the identifier's submission. */
	async forwardToOwner(
		request: SubmissionRequest,
		identifier: SubmissionIdentifier,
	): Promise<SubmissionReply> {
		const first = this.#findOwner(identifier);
		const reply = await this.#forward(request, first);
		if (reply.kind !== 'not-owner' || first.kind !== 'found') {
			return reply;
		}

		// A peer that replies `not-owner` did nothing: it has handed over since its last hello.
		const second = this.#findOwner(identifier);
		return second.kind === 'found' && second.peer === first.peer
			? reply
			: this.#forward(request, second);
	}

	/** Forwards a request to the incarnation that runs the submission. */
	async forwardToIncarnation(
		request: SubmissionRequest,
		incarnation: Incarnation,
		issuedAtMs: number,
	): Promise<SubmissionReply> {
		const {mesh, search} = this.#options;
		return this.#forward(
			request,
			search.findIncarnation(incarnation, issuedAtMs, mesh().peerHellos),
		);
	}

	#findOwner(identifier: SubmissionIdentifier): OwnerSearchResult {
		const {mesh, search, successor} = this.#options;
		const found = search.findOwner(identifier, mesh().peerHellos);
		const peer = successor();
		return found.kind === 'found' || peer === undefined
			? found
			: {kind: 'found', peer};
	}

	async #forward(
		request: SubmissionRequest,
		owner: OwnerSearchResult,
	): Promise<SubmissionReply> {
		this.#logRouting(request, owner);
		if (request.hopsLeft === 0) {
			return {kind: 'not-owner'};
		}

		if (owner.kind !== 'found') {
			return createRefusedReply(
				request,
				owner.kind === 'gone'
					? createOwnerGoneRefusal()
					: createOwnerUnreachableRefusal(),
			);
		}

		const result = await this.#options
			.mesh()
			.request(
				owner.peer,
				{...request, hopsLeft: request.hopsLeft - 1},
				request.kind === 'submit'
					? request.remainingMs + submitReplyMarginMs
					: controlReplyTimeoutMs,
			);
		if (result.isErr()) {
			return createRefusedReply(
				request,
				result.error.code === 'not-sent'
					? createOwnerUnreachableRefusal()
					: createOwnerSilentRefusal(result.error.message),
			);
		}

		const reply = result.value;
		return reply.kind === 'answer' || reply.kind === 'state'
			? reply
			: {kind: 'not-owner'};
	}

	#logRouting(
		{identifier, team}: SubmissionRequest,
		owner: OwnerSearchResult,
	): void {
		this.#options.log.logRouting({
			identifier,
			team,
			decision: owner.kind === 'found' ? 'forward' : 'refuse',
			reason:
				owner.kind === 'found' ? `owner ${owner.peer}` : `owner ${owner.kind}`,
		});
	}
}

/** Creates the reply to a request that no owner has answered; its verdict is `may-have-run`. */
export function createRefusedReply(
	{kind, identifier}: SubmissionRequest,
	reason: Refusal,
): SubmissionReply {
	const answer: JobAnswer = createRefusedAnswer(
		identifier,
		'may-have-run',
		reason,
	);
	return kind === 'state'
		? {kind: 'state', state: 'unknown', answer}
		: {kind: 'answer', answer};
}

/** Creates the refusal for an owner or successor that is unreachable but may still run. */
export function createOwnerUnreachableRefusal(): Refusal {
	return createRefusal(
		'owner-unreachable',
		'The owner of this identifier is unreachable.',
		ownerRetryAfterMs,
	);
}

/** Creates the refusal for an owner that has ended without a successor, so the outcome is lost for good. */
function createOwnerGoneRefusal(): Refusal {
	return createRefusal(
		'owner-gone',
		'The owner of this identifier has ended without a successor, and the outcome of the submission is lost.',
	);
}

/** Creates the refusal for an owner that may have received the request but has not replied. */
function createOwnerSilentRefusal(message: string): Refusal {
	return createRefusal(
		'owner-silent',
		`The owner did not answer: ${message}.`,
		ownerRetryAfterMs,
	);
}
