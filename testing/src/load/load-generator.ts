import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type JobAnswer} from '@verbenarouter/core';
import {Agent, type Dispatcher} from 'undici';
import {
	tokenForTeam,
	type Installation,
	type ProcessHandle,
} from '../installation.js';
import {type PlannedJob} from './job-mix.js';
import {steadyStateShare, type AnsweredJob} from './answer-statistics.js';
import {type Arrival} from './arrivals.js';

const identifiersPerReservation = 500;
const connectionsPerEntryVm = 256;

/** Figures of the load generator itself for one round, as they are written to the results file. */
export type RoundReport = {
	/** Jobs that were sent to an entry VM other than the one that issued their identifier. */
	readonly strayJobs: number;
	/** Greatest delay between the intended arrival of a job and its submission. */
	readonly senderLagMs: number;
	/** Submissions that failed or whose answer was not JSON. */
	readonly lostAnswers: number;
};

type CallerRequest = {
	readonly method: 'PUT' | 'POST';
	readonly path: string;
	readonly body: unknown;
};

/**
 * Submits jobs to an installation as an open-loop load: each job is sent at its intended time, whether or not earlier
 * jobs have been answered. Like a load balancer with persistent connections, the generator submits a job to the entry VM
 * that issued its identifier.
 */
export class LoadGenerator {
	readonly #installation: Installation;
	readonly #httpAgent = new Agent({connections: connectionsPerEntryVm});
	readonly #reservedIdentifiers = new Map<string, string[]>();
	/** Every n-th job is sent to an entry VM other than the one that issued its identifier; 0 for none. */
	readonly #misrouteEvery: number;
	#roundRobinOffset = 0;

	constructor(installation: Installation, misrouteEvery: number) {
		this.#installation = installation;
		this.#misrouteEvery = misrouteEvery;
	}

	/** Reserves identifiers for all arrivals, submits each job at its time and waits for all answers. */
	async runRound(
		arrivals: readonly Arrival[],
		durationMs: number,
		onAnswered: (job: AnsweredJob) => void,
	): Promise<RoundReport> {
		const {entryVms} = this.#installation;
		const issuers = arrivals.map(
			(_, index) =>
				entryVms[(this.#roundRobinOffset + index) % entryVms.length]!,
		);
		this.#roundRobinOffset += arrivals.length;
		const identifiers: string[] = [];
		for (const [index, {job}] of arrivals.entries()) {
			// eslint-disable-next-line no-await-in-loop -- jobs of one entry VM and team share a reservation
			identifiers.push(await this.#takeIdentifier(issuers[index]!, job.team));
		}

		const round = new RoundInProgress(durationMs, onAnswered);
		for (const [index, {atMs, job}] of arrivals.entries()) {
			// eslint-disable-next-line no-await-in-loop -- arrivals are in order of time
			await round.waitUntil(atMs);
			const issuer = issuers[index]!;
			const isMisrouted =
				this.#misrouteEvery > 0 && index % this.#misrouteEvery === 0;
			const receiver = isMisrouted
				? entryVms[(entryVms.indexOf(issuer) + 1) % entryVms.length]!
				: issuer;
			round.trackAnswer(
				{atMs, job},
				isMisrouted,
				this.#submit(receiver, identifiers[index]!, job),
			);
		}

		return round.waitForAnswers();
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#httpAgent.destroy();
	}

	/** Returns an identifier that an entry VM issued to a team; reserves more of them when none is left. */
	async #takeIdentifier(entryVm: ProcessHandle, team: string): Promise<string> {
		const key = `${entryVm.name}/${team}`;
		const identifiers = this.#reservedIdentifiers.get(key) ?? [];
		if (identifiers.length === 0) {
			const answer = await this.#request(entryVm, team, {
				method: 'POST',
				path: '/v1/identifiers',
				body: {count: identifiersPerReservation},
			});
			const {identifiers: issued} = (await answer.body.json()) as {
				readonly identifiers: readonly string[];
			};
			identifiers.push(...issued);
		}

		this.#reservedIdentifiers.set(key, identifiers);
		return identifiers.pop() ?? '';
	}

	/** Submits a job and returns its answer, or undefined if there is none that can be read. */
	async #submit(
		entryVm: ProcessHandle,
		identifier: string,
		{team, entry, tasks}: PlannedJob,
	): Promise<JobAnswer | undefined> {
		try {
			const answer = await this.#request(entryVm, team, {
				method: 'PUT',
				path: `/v1/jobs/${identifier}`,
				body: {
					entry,
					tasks: tasks.map(({runMs, expectedMs}) => ({
						input: {runMs},
						...(expectedMs === undefined ? {} : {expectedMs}),
					})),
				},
			});
			return (await answer.body.json()) as JobAnswer;
		} catch {
			return undefined;
		}
	}

	async #request(
		{address}: ProcessHandle,
		team: string,
		{method, path, body}: CallerRequest,
	): Promise<Dispatcher.ResponseData> {
		return this.#httpAgent.request({
			origin: address,
			method,
			path,
			headers: {
				'content-type': 'application/json',
				authorization: `Bearer ${tokenForTeam(team)}`,
			},
			body: JSON.stringify(body),
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}
}

/** Keeps the time of a running round and collects the answers to its jobs. */
class RoundInProgress {
	readonly #startedAtMs = performance.now();
	readonly #durationMs: number;
	readonly #onAnswered: (job: AnsweredJob) => void;
	readonly #answers: Array<Promise<void>> = [];
	#misroutedJobs = 0;
	#senderLagMs = 0;
	#lostAnswers = 0;

	constructor(durationMs: number, onAnswered: (job: AnsweredJob) => void) {
		this.#durationMs = durationMs;
		this.#onAnswered = onAnswered;
	}

	/** Waits until a time in milliseconds from the start of the round. */
	async waitUntil(atMs: number): Promise<void> {
		const waitMs = atMs - this.#elapsedMs();
		if (waitMs > 0) {
			await sleep(waitMs);
		}

		this.#senderLagMs = Math.max(this.#senderLagMs, this.#elapsedMs() - atMs);
	}

	/** Tracks the answer to a job that has been submitted. */
	trackAnswer(
		arrival: Arrival,
		isMisrouted: boolean,
		answer: Promise<JobAnswer | undefined>,
	): void {
		this.#misroutedJobs += isMisrouted ? 1 : 0;
		this.#answers.push(this.#recordAnswer(arrival, answer));
	}

	/** Waits for all answers and returns the report of the round. */
	async waitForAnswers(): Promise<RoundReport> {
		await Promise.all(this.#answers);
		return {
			strayJobs: this.#misroutedJobs,
			senderLagMs: Math.round(this.#senderLagMs),
			lostAnswers: this.#lostAnswers,
		};
	}

	async #recordAnswer(
		{atMs, job}: Arrival,
		pendingAnswer: Promise<JobAnswer | undefined>,
	): Promise<void> {
		const answer = await pendingAnswer;
		if (answer === undefined) {
			this.#lostAnswers += 1;
			return;
		}

		const elapsedMs = this.#elapsedMs();
		this.#onAnswered({
			job,
			responseMs: elapsedMs - atMs,
			answer,
			isInSteadyState:
				elapsedMs <= this.#durationMs &&
				elapsedMs > this.#durationMs * (1 - steadyStateShare),
		});
	}

	#elapsedMs(): number {
		return performance.now() - this.#startedAtMs;
	}
}
