/** Takes each submission to the entry VM that owns its identifier. */
import {createHash} from 'node:crypto';
import {type JobService, type SubmissionStatus} from '@verbenarouter/caller';
import {
	parseIdentifier,
	createRefusal,
	type Entry,
	type Job,
	type JobAnswer,
	type Refusal,
	type SubmissionStore,
	type Team,
} from '@verbenarouter/core';
import {
	type CatalogueRequest,
	type PeerReply,
	type PeerRequest,
	type SubmissionRequest,
} from '@verbenarouter/peer';
import {type Clock} from './clock.js';
import {type DecisionLog} from './decision-log.js';
import {type HandOverReceiver, type HandOverSender} from './hand-over.js';
import {
	ownerUnreachable,
	replyWith,
	type PeerForwarder,
	type SubmissionReply,
} from './peer-forwarder.js';
import {
	answerWith,
	type OwnerReply,
	type OwnerStatus,
	type SubmissionOwner,
} from './submission-owner.js';

/** What the catalogue tells the router. */
export type CatalogueView = {
	entry(name: string): Entry | undefined;
	team(name: string): Team | undefined;
	teamByTokenHash(hash: string): Team | undefined;
};

/** The parts that the router connects. */
export type SubmissionRouterParts = {
	readonly memory: SubmissionStore;
	readonly owner: SubmissionOwner;
	readonly forwarder: PeerForwarder;
	readonly sender: HandOverSender;
	readonly receiver: HandOverReceiver;
	readonly catalogue: CatalogueView;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly hasCatalogue: () => boolean;
	readonly isReady: () => boolean;
};

/** Forwards of one request: to the owner, through two successors, and to where the submission runs. */
const maximumHops = 4;
/** Longest time for which a request waits until the successor has confirmed the hand-over. */
const handOverWaitMs = 2000;

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
			this.#parts.memory.issueIdentifier(team.name, now),
		);
	}

	async submit(team: Team, identifier: string, job: Job): Promise<JobAnswer> {
		const entry = this.#parts.catalogue.entry(job.entry);
		const reason = refusalByEntry(entry, team, job);
		if (entry === undefined || reason !== undefined) {
			return this.decline(team, identifier, reason ?? entryUnknown(job));
		}

		return this.#answer(team, {
			kind: 'submit',
			...aboutSubmission(team, identifier),
			job,
			remainingMs: Math.min(
				job.deadlineMs ?? entry.limits.deadlineMs,
				entry.limits.deadlineMs,
			),
		});
	}

	async status(team: Team, identifier: string): Promise<SubmissionStatus> {
		const reply = await this.#handle(team, {
			kind: 'state',
			...aboutSubmission(team, identifier),
		});
		return reply.kind === 'state'
			? {state: reply.state, answer: reply.answer}
			: {state: 'unknown', answer: answerFrom(identifier, reply)};
	}

	async cancel(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		return this.#answer(team, {
			kind: 'cancel',
			...aboutSubmission(team, identifier),
			reason,
		});
	}

	async decline(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		return this.#answer(team, {
			kind: 'decline',
			...aboutSubmission(team, identifier),
			reason,
		});
	}

	/** Answers a peer, also one that has not yet heard of a hand-over. */
	async answerPeer(
		request: Exclude<PeerRequest, CatalogueRequest>,
	): Promise<PeerReply> {
		if (request.kind === 'records' || request.kind === 'hand-over') {
			return this.#parts.receiver.answer(request);
		}

		const team = this.#parts.catalogue.team(request.team);
		return team === undefined
			? {kind: 'not-owner'}
			: this.#handle(team, request);
	}

	async #answer(team: Team, request: SubmissionRequest): Promise<JobAnswer> {
		return answerFrom(request.identifier, await this.#handle(team, request));
	}

	async #handle(
		team: Team,
		request: SubmissionRequest,
	): Promise<SubmissionReply> {
		const parsed = parseIdentifier(request.identifier);
		if (parsed === undefined) {
			return malformedIdentifier(request);
		}

		const {memory, sender, forwarder, clock} = this.#parts;
		if (!memory.hasOwned(parsed.issuer)) {
			return forwarder.toOwner(request, parsed);
		}

		let late = request;
		let reply = await this.#here(team, request);
		if (reply.kind === 'moved') {
			const arrivedAtMs = clock();
			if ((await sender.decided(handOverWaitMs)) === undefined) {
				return replyWith(request, ownerUnreachable());
			}

			late = afterWait(request, clock() - arrivedAtMs);
			reply = await this.#here(team, late);
		}

		switch (reply.kind) {
			case 'elsewhere': {
				return forwarder.toProcess(late, reply.at, parsed.issuedAtMs);
			}

			case 'moved': {
				return forwarder.toOwner(late, parsed);
			}

			case 'answer':
			case 'state': {
				return reply;
			}
		}
	}

	async #here(
		team: Team,
		request: SubmissionRequest,
	): Promise<OwnerReply | OwnerStatus> {
		const {owner} = this.#parts;
		const {identifier} = request;
		switch (request.kind) {
			case 'submit': {
				return this.#submitHere(team, request);
			}

			case 'state': {
				return owner.status(identifier, team);
			}

			case 'cancel': {
				return owner.cancel(identifier, team, request.reason);
			}

			case 'decline': {
				return owner.decline(identifier, team, request.reason);
			}
		}
	}

	async #submitHere(
		team: Team,
		{
			identifier,
			job,
			remainingMs,
		}: Extract<SubmissionRequest, {kind: 'submit'}>,
	): Promise<OwnerReply> {
		const {owner, catalogue, clock, log} = this.#parts;
		const entry = catalogue.entry(job.entry);
		const reason = refusalByEntry(entry, team, job);
		if (entry === undefined || reason !== undefined) {
			return owner.decline(identifier, team, reason ?? entryUnknown(job));
		}

		log.logRouting({
			identifier,
			team: team.name,
			decision: 'run-here',
			reason: 'owner',
		});
		return owner.submit({
			identifier,
			team,
			entry,
			job,
			deadlineAtMs: clock() + Math.min(remainingMs, entry.limits.deadlineMs),
		});
	}
}

function aboutSubmission(team: Team, identifier: string) {
	return {identifier, team: team.name, hopsLeft: maximumHops};
}

function afterWait(
	request: SubmissionRequest,
	waitedMs: number,
): SubmissionRequest {
	return request.kind === 'submit'
		? {...request, remainingMs: request.remainingMs - waitedMs}
		: request;
}

function answerFrom(identifier: string, reply: SubmissionReply): JobAnswer {
	return reply.kind === 'answer'
		? reply.answer
		: answerWith(identifier, 'may-have-run', ownerUnreachable());
}

function malformedIdentifier({
	kind,
	identifier,
}: SubmissionRequest): SubmissionReply {
	const answer = answerWith(
		identifier,
		'not-run',
		createRefusal(
			'identifier-unknown',
			'identifier: this is not a submission identifier; reserve one first.',
		),
	);
	return kind === 'state'
		? {kind: 'state', state: 'unknown', answer}
		: {kind: 'answer', answer};
}

function entryUnknown({entry}: Job): Refusal {
	return createRefusal(
		'entry-unknown',
		`entry: the catalogue has no entry "${entry}".`,
	);
}

function refusalByEntry(
	entry: Entry | undefined,
	team: Team,
	job: Job,
): Refusal | undefined {
	if (entry === undefined) {
		return entryUnknown(job);
	}

	if (entry.teams !== undefined && !entry.teams.includes(team.name)) {
		return createRefusal(
			'forbidden',
			`entry: the team "${team.name}" may not submit to "${entry.name}".`,
		);
	}

	return job.tasks.length > entry.limits.largestJob
		? createRefusal(
				'too-large',
				`tasks: the entry takes at most ${entry.limits.largestJob} tasks in one job.`,
			)
		: undefined;
}
