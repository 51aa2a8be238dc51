/** Takes each submission to the entry VM that owns its identifier. */
import {createHash} from 'node:crypto';
import {type JobService, type SubmissionStatus} from '@verbenarouter/caller';
import {
	incarnationKey,
	parseIdentifier,
	refusal,
	type Entry,
	type Job,
	type JobAnswer,
	type Refusal,
	type SubmissionIdentifier,
	type SubmissionMemory,
	type Team,
} from '@verbenarouter/core';
import {
	type PeerFailure,
	type PeerMesh,
	type PeerReply,
	type SubmissionRequest,
} from '@verbenarouter/peer';
import {type Clock} from './clock.js';
import {type DecisionLog} from './decision-log.js';
import {answerWith, type SubmissionOwner} from './submission-owner.js';

/** What the catalogue tells the router. */
export type CatalogueView = {
	entry(name: string): Entry | undefined;
	team(name: string): Team | undefined;
	teamByTokenHash(hash: string): Team | undefined;
};

/** The parts that the router connects. */
export type SubmissionRouterParts = {
	readonly memory: SubmissionMemory;
	readonly owner: SubmissionOwner;
	readonly mesh: () => PeerMesh;
	readonly catalogue: CatalogueView;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly hasCatalogue: () => boolean;
	readonly isReady: () => boolean;
};

const retryAfterUnreachableMs = 1000;
const stateTimeoutMs = 2000;
/** Time for an owner's answer to come back after the deadline that the owner keeps itself. */
const forwardMarginMs = 1000;

/** Takes each submission to the entry VM that owns its identifier. */
export class SubmissionRouter implements JobService {
	readonly #parts: SubmissionRouterParts;

	constructor(parts: SubmissionRouterParts) {
		this.#parts = parts;
	}

	hasCatalogue(): boolean {
		return this.#parts.hasCatalogue();
	}

	isReady(): boolean {
		return this.#parts.isReady();
	}

	authenticate(token: string): Team | undefined {
		return this.#parts.catalogue.teamByTokenHash(
			createHash('sha256').update(token).digest('hex'),
		);
	}

	reserve(team: Team, count: number): readonly string[] {
		const now = this.#parts.clock();
		return Array.from({length: count}, () =>
			this.#parts.memory.issue(team.name, now),
		);
	}

	async submit(team: Team, identifier: string, job: Job): Promise<JobAnswer> {
		const entry = this.#parts.catalogue.entry(job.entry);
		const reason = refusalByEntry(entry, team, job);
		if (entry === undefined || reason !== undefined) {
			return this.cancel(
				team,
				identifier,
				reason ?? refusal('entry-unknown', 'The entry is unknown.'),
			);
		}

		const waitMs = Math.min(
			job.deadlineMs ?? entry.limits.deadlineMs,
			entry.limits.deadlineMs,
		);
		const parsed = this.#parse(identifier);
		if (parsed === undefined) {
			return malformedIdentifier(identifier);
		}

		if (this.#parts.memory.owns(parsed.issuer)) {
			this.#parts.log.routed({
				identifier,
				team: team.name,
				decision: 'run-here',
				reason: 'owner',
			});
			return this.#parts.owner.submit({
				identifier,
				team,
				entry,
				job,
				deadlineAtMs: this.#parts.clock() + waitMs,
			});
		}

		const reply = await this.#forward(
			parsed,
			{kind: 'submit', identifier, team: team.name, job, remainingMs: waitMs},
			waitMs + forwardMarginMs,
		);
		return this.#answerOf(identifier, reply);
	}

	async status(team: Team, identifier: string): Promise<SubmissionStatus> {
		const parsed = this.#parse(identifier);
		if (parsed === undefined) {
			return {state: 'unknown', answer: malformedIdentifier(identifier)};
		}

		if (this.#parts.memory.owns(parsed.issuer)) {
			return this.#parts.owner.status(identifier, team);
		}

		const reply = await this.#forward(
			parsed,
			{kind: 'state', identifier, team: team.name},
			stateTimeoutMs,
		);
		return 'kind' in reply && reply.kind === 'state'
			? {state: reply.state, answer: reply.answer}
			: {state: 'unknown', answer: this.#answerOf(identifier, reply)};
	}

	async decline(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		return this.cancel(team, identifier, reason);
	}

	async cancel(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		const parsed = this.#parse(identifier);
		if (parsed === undefined) {
			return malformedIdentifier(identifier);
		}

		if (this.#parts.memory.owns(parsed.issuer)) {
			return this.#parts.owner.cancel(identifier, team, reason);
		}

		const reply = await this.#forward(
			parsed,
			{kind: 'cancel', identifier, team: team.name, reason},
			stateTimeoutMs,
		);
		return this.#answerOf(identifier, reply);
	}

	/** Answers a peer. It never forwards again: a peer that asks the wrong entry VM hears so. */
	async answerPeer(request: SubmissionRequest): Promise<PeerReply> {
		const parsed = parseIdentifier(request.identifier);
		const team = this.#parts.catalogue.team(request.team);
		if (
			parsed === undefined ||
			team === undefined ||
			!this.#parts.memory.owns(parsed.issuer)
		) {
			return {kind: 'not-owner'};
		}

		switch (request.kind) {
			case 'submit': {
				return {
					kind: 'answer',
					answer: await this.#submitForPeer(team, request),
				};
			}

			case 'state': {
				return {
					kind: 'state',
					...this.#parts.owner.status(request.identifier, team),
				};
			}

			case 'cancel': {
				return {
					kind: 'answer',
					answer: await this.#parts.owner.cancel(
						request.identifier,
						team,
						request.reason,
					),
				};
			}
		}
	}

	async #submitForPeer(
		team: Team,
		request: Extract<SubmissionRequest, {kind: 'submit'}>,
	): Promise<JobAnswer> {
		const {identifier, job, remainingMs} = request;
		const entry = this.#parts.catalogue.entry(job.entry);
		const reason = refusalByEntry(entry, team, job);
		return entry === undefined || reason !== undefined
			? this.#parts.owner.cancel(
					identifier,
					team,
					reason ?? refusal('entry-unknown', 'The entry is unknown.'),
				)
			: this.#parts.owner.submit({
					identifier,
					team,
					entry,
					job,
					deadlineAtMs: this.#parts.clock() + remainingMs,
				});
	}

	#parse(identifier: string): SubmissionIdentifier | undefined {
		return parseIdentifier(identifier);
	}

	async #forward(
		{issuer}: SubmissionIdentifier,
		request: SubmissionRequest,
		timeoutMs: number,
	): Promise<PeerReply | PeerFailure> {
		const key = incarnationKey(issuer);
		const holder = [...this.#parts.mesh().peers].find(([, hello]) =>
			hello.holds.includes(key),
		)?.[0];
		this.#parts.log.routed({
			identifier: request.identifier,
			team: request.team,
			decision: holder === undefined ? 'refuse' : 'forward',
			reason:
				holder === undefined
					? 'no peer holds the identifier'
					: `owner ${holder}`,
		});
		if (holder === undefined) {
			return {
				code: 'not-sent',
				message: 'no entry VM within reach holds this identifier',
			};
		}

		const result = await this.#parts.mesh().request(holder, request, timeoutMs);
		return result.isOk() ? result.value : result.error;
	}

	#answerOf(identifier: string, reply: PeerReply | PeerFailure): JobAnswer {
		if ('code' in reply) {
			return reply.code === 'not-sent'
				? answerWith(
						identifier,
						'may-have-run',
						refusal(
							'owner-unreachable',
							`The owner of this identifier is out of reach: ${reply.message}.`,
							retryAfterUnreachableMs,
						),
					)
				: answerWith(
						identifier,
						'may-have-run',
						refusal(
							'owner-silent',
							`The owner did not answer: ${reply.message}.`,
							retryAfterUnreachableMs,
						),
					);
		}

		if (reply.kind === 'answer') {
			return reply.answer;
		}

		return answerWith(
			identifier,
			'may-have-run',
			refusal(
				'owner-unreachable',
				'The owner of this identifier has moved; ask again.',
				retryAfterUnreachableMs,
			),
		);
	}
}

function malformedIdentifier(identifier: string): JobAnswer {
	return answerWith(
		identifier,
		'not-run',
		refusal(
			'identifier-unknown',
			'identifier: this is not a submission identifier; reserve one first.',
		),
	);
}

function refusalByEntry(
	entry: Entry | undefined,
	team: Team,
	job: Job,
): Refusal | undefined {
	if (entry === undefined) {
		return refusal(
			'entry-unknown',
			`entry: the catalogue has no entry "${job.entry}".`,
		);
	}

	if (entry.teams !== undefined && !entry.teams.includes(team.name)) {
		return refusal(
			'forbidden',
			`entry: the team "${team.name}" may not submit to "${entry.name}".`,
		);
	}

	return job.tasks.length > entry.limits.largestJob
		? refusal(
				'too-large',
				`tasks: the entry takes at most ${entry.limits.largestJob} tasks in one job.`,
			)
		: undefined;
}
