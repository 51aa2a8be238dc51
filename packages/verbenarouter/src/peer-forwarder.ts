/** Forwards requests to the entry VMs that own their identifiers, and says what is known when none can be asked. */
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
import {answerWith} from './submission-owner.js';

/** What a request about a submission is answered with. */
export type SubmissionReply = Extract<
	PeerReply,
	{kind: 'answer' | 'state' | 'not-owner'}
>;

/** The parts that the forwarder uses. */
export type PeerForwarderParts = {
	readonly mesh: () => PeerMesh;
	readonly search: OwnerSearch;
	readonly log: DecisionLog;
	/** Name of the entry VM to which this one has handed over. */
	readonly successor: () => string | undefined;
};

const retryAfterUnreachableMs = 1000;
const controlTimeoutMs = 2000;
/** Time for an owner's answer to come back after the deadline that the owner keeps itself. */
const forwardMarginMs = 1000;

/** Forwards requests to the entry VMs that own their identifiers. */
export class PeerForwarder {
	readonly #parts: PeerForwarderParts;

	constructor(parts: PeerForwarderParts) {
		this.#parts = parts;
	}

	/** Asks the peer that may start the identifier's submission. */
	async toOwner(
		request: SubmissionRequest,
		identifier: SubmissionIdentifier,
	): Promise<SubmissionReply> {
		const first = this.#findOwner(identifier);
		const reply = await this.#forward(request, first);
		if (reply.kind !== 'not-owner' || first.kind !== 'found') {
			return reply;
		}

		// The peer did nothing; it has handed over since its last hello.
		const second = this.#findOwner(identifier);
		return second.kind === 'found' && second.peer === first.peer
			? reply
			: this.#forward(request, second);
	}

	/** Asks the very process at which a submission runs. */
	async toProcess(
		request: SubmissionRequest,
		process: Incarnation,
		issuedAtMs: number,
	): Promise<SubmissionReply> {
		const {mesh, search} = this.#parts;
		return this.#forward(
			request,
			search.findIncarnation(process, issuedAtMs, mesh().peers),
		);
	}

	#findOwner(identifier: SubmissionIdentifier): OwnerSearchResult {
		const {mesh, search, successor} = this.#parts;
		const found = search.findOwner(identifier, mesh().peers);
		const peer = successor();
		return found.kind === 'found' || peer === undefined
			? found
			: {kind: 'found', peer};
	}

	async #forward(
		request: SubmissionRequest,
		owner: OwnerSearchResult,
	): Promise<SubmissionReply> {
		this.#log(request, owner);
		if (request.hopsLeft === 0) {
			return {kind: 'not-owner'};
		}

		if (owner.kind !== 'found') {
			return replyWith(
				request,
				owner.kind === 'gone' ? ownerGone() : ownerUnreachable(),
			);
		}

		const result = await this.#parts
			.mesh()
			.request(
				owner.peer,
				{...request, hopsLeft: request.hopsLeft - 1},
				request.kind === 'submit'
					? request.remainingMs + forwardMarginMs
					: controlTimeoutMs,
			);
		if (result.isErr()) {
			return replyWith(
				request,
				result.error.code === 'not-sent'
					? ownerUnreachable()
					: ownerSilent(result.error.message),
			);
		}

		const reply = result.value;
		return reply.kind === 'answer' || reply.kind === 'state'
			? reply
			: {kind: 'not-owner'};
	}

	#log({identifier, team}: SubmissionRequest, owner: OwnerSearchResult): void {
		this.#parts.log.logRouting({
			identifier,
			team,
			decision: owner.kind === 'found' ? 'forward' : 'refuse',
			reason:
				owner.kind === 'found' ? `owner ${owner.peer}` : `owner ${owner.kind}`,
		});
	}
}

/** The reply to a request that nobody could answer. */
export function replyWith(
	{kind, identifier}: SubmissionRequest,
	reason: Refusal,
): SubmissionReply {
	const answer: JobAnswer = answerWith(identifier, 'may-have-run', reason);
	return kind === 'state'
		? {kind: 'state', state: 'unknown', answer}
		: {kind: 'answer', answer};
}

/** The owner, or a successor of it, may come back into reach. */
export function ownerUnreachable(): Refusal {
	return createRefusal(
		'owner-unreachable',
		'The owner of this identifier is out of reach.',
		retryAfterUnreachableMs,
	);
}

/** Nobody will ever know more. */
function ownerGone(): Refusal {
	return createRefusal(
		'owner-gone',
		'The owner of this identifier has ended without a successor, and what became of the submission is lost.',
	);
}

function ownerSilent(message: string): Refusal {
	return createRefusal(
		'owner-silent',
		`The owner did not answer: ${message}.`,
		retryAfterUnreachableMs,
	);
}
