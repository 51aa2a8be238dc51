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
	createOwnerUnreachableRefusal,
	createRefusedReply,
	type PeerForwarder,
	type SubmissionReply,
} from './peer-forwarder.js';
import {
	createRefusedAnswer,
	type OwnerReply,
	type OwnerStatus,
	type SubmissionOwner,
} from './submission-owner.js';

/** Lookups in the current catalogue; each returns `undefined` if there is no match. */
export type CatalogueView = {
	entry(name: string): Entry | undefined;
	team(name: string): Team | undefined;
	/** Finds the team by the SHA-256 hash of its bearer token, in hexadecimal. */
	teamByTokenHash(hash: string): Team | undefined;
};

/** Options of {@link SubmissionRouter}. */
export type SubmissionRouterOptions = {
	readonly store: SubmissionStore;
	readonly owner: SubmissionOwner;
	readonly forwarder: PeerForwarder;
	readonly sender: HandOverSender;
	readonly receiver: HandOverReceiver;
	readonly catalogue: CatalogueView;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Whether a catalogue is loaded, without which no team can be authenticated. */
	readonly hasCatalogue: () => boolean;
	/** Whether a load balancer may send callers to this entry VM. */
	readonly isReady: () => boolean;
};

/** Maximum number of forwards of one request: to the owner, to two successors, and to the incarnation that runs the job. */
const maxForwardHops = 4;
/** Maximum time that a request waits for the outcome of a hand-over in progress. */
const handOverDecisionTimeoutMs = 2000;

/** Handles the requests for submissions that this entry VM owns, and forwards the others to their owners. */
export class SubmissionRouter implements JobService {
	readonly #options: SubmissionRouterOptions;

	constructor(options: SubmissionRouterOptions) {
		this.#options = options;
	}

	hasCatalogue(): boolean {
		return this.#options.hasCatalogue();
	}

	isReady(): boolean {
		return this.#options.isReady();
	}

	authenticate(token: string): Team | undefined {
		return this.#options.catalogue.teamByTokenHash(
			createHash('sha256').update(token).digest('hex'),
		);
	}

	reserve(team: Team, count: number): readonly string[] {
		const now = this.#options.clock();
		return Array.from({length: count}, () =>
			this.#options.store.issueIdentifier(team.name, now),
		);
	}

	async submit(team: Team, identifier: string, job: Job): Promise<JobAnswer> {
		const entry = this.#options.catalogue.entry(job.entry);
		const reason = findEntryRefusal(entry, team, job);
		if (entry === undefined || reason !== undefined) {
			return this.decline(
				team,
				identifier,
				reason ?? createUnknownEntryRefusal(job),
			);
		}

		return this.#requestAnswer(team, {
			kind: 'submit',
			...createRequestFields(team, identifier),
			job,
			remainingMs: Math.min(
				job.deadlineMs ?? entry.limits.deadlineMs,
				entry.limits.deadlineMs,
			),
		});
	}

	async status(team: Team, identifier: string): Promise<SubmissionStatus> {
		const reply = await this.#route(team, {
			kind: 'state',
			...createRequestFields(team, identifier),
		});
		return reply.kind === 'state'
			? {state: reply.state, answer: reply.answer}
			: {state: 'unknown', answer: extractAnswer(identifier, reply)};
	}

	async cancel(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		return this.#requestAnswer(team, {
			kind: 'cancel',
			...createRequestFields(team, identifier),
			reason,
		});
	}

	async decline(
		team: Team,
		identifier: string,
		reason: Refusal,
	): Promise<JobAnswer> {
		return this.#requestAnswer(team, {
			kind: 'decline',
			...createRequestFields(team, identifier),
			reason,
		});
	}

	/** Answers a request of a peer. One that arrives after a hand-over is forwarded to the successor. */
	async answerPeer(
		request: Exclude<PeerRequest, CatalogueRequest>,
	): Promise<PeerReply> {
		if (request.kind === 'records' || request.kind === 'hand-over') {
			return this.#options.receiver.answer(request);
		}

		const team = this.#options.catalogue.team(request.team);
		return team === undefined
			? {kind: 'not-owner'}
			: this.#route(team, request);
	}

	async #requestAnswer(
		team: Team,
		request: SubmissionRequest,
	): Promise<JobAnswer> {
		return extractAnswer(request.identifier, await this.#route(team, request));
	}

	async #route(
		team: Team,
		request: SubmissionRequest,
	): Promise<SubmissionReply> {
		const parsed = parseIdentifier(request.identifier);
		if (parsed === undefined) {
			return refuseMalformedIdentifier(request);
		}

		const {store, sender, forwarder, clock} = this.#options;
		if (!store.hasOwned(parsed.issuer)) {
			return forwarder.forwardToOwner(request, parsed);
		}

		let delayedRequest = request;
		let reply = await this.#handleLocally(team, request);
		if (reply.kind === 'moved') {
			const arrivedAtMs = clock();
			if (
				(await sender.waitForDecision(handOverDecisionTimeoutMs)) === undefined
			) {
				return createRefusedReply(request, createOwnerUnreachableRefusal());
			}

			delayedRequest = deductWait(request, clock() - arrivedAtMs);
			reply = await this.#handleLocally(team, delayedRequest);
		}

		switch (reply.kind) {
			case 'elsewhere': {
				return forwarder.forwardToIncarnation(
					delayedRequest,
					reply.at,
					parsed.issuedAtMs,
				);
			}

			case 'moved': {
				return forwarder.forwardToOwner(delayedRequest, parsed);
			}

			case 'answer':
			case 'state': {
				return reply;
			}
		}
	}

	async #handleLocally(
		team: Team,
		request: SubmissionRequest,
	): Promise<OwnerReply | OwnerStatus> {
		const {owner} = this.#options;
		const {identifier} = request;
		switch (request.kind) {
			case 'submit': {
				return this.#submitLocally(team, request);
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

	async #submitLocally(
		team: Team,
		{
			identifier,
			job,
			remainingMs,
		}: Extract<SubmissionRequest, {kind: 'submit'}>,
	): Promise<OwnerReply> {
		const {owner, catalogue, clock, log} = this.#options;
		const entry = catalogue.entry(job.entry);
		const reason = findEntryRefusal(entry, team, job);
		if (entry === undefined || reason !== undefined) {
			return owner.decline(
				identifier,
				team,
				reason ?? createUnknownEntryRefusal(job),
			);
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

function createRequestFields(team: Team, identifier: string) {
	return {identifier, team: team.name, hopsLeft: maxForwardHops};
}

function deductWait(
	request: SubmissionRequest,
	waitedMs: number,
): SubmissionRequest {
	return request.kind === 'submit'
		? {...request, remainingMs: request.remainingMs - waitedMs}
		: request;
}

function extractAnswer(identifier: string, reply: SubmissionReply): JobAnswer {
	return reply.kind === 'answer'
		? reply.answer
		: createRefusedAnswer(
				identifier,
				'may-have-run',
				createOwnerUnreachableRefusal(),
			);
}

function refuseMalformedIdentifier({
	kind,
	identifier,
}: SubmissionRequest): SubmissionReply {
	const answer = createRefusedAnswer(
		identifier,
		'not-run',
		createRefusal(
			'identifier-unknown',
			'identifier: not a valid submission identifier; reserve one first.',
		),
	);
	return kind === 'state'
		? {kind: 'state', state: 'unknown', answer}
		: {kind: 'answer', answer};
}

function createUnknownEntryRefusal({entry}: Job): Refusal {
	return createRefusal(
		'entry-unknown',
		`entry: the catalogue has no entry "${entry}".`,
	);
}

function findEntryRefusal(
	entry: Entry | undefined,
	team: Team,
	job: Job,
): Refusal | undefined {
	if (entry === undefined) {
		return createUnknownEntryRefusal(job);
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
