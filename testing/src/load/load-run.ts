/** Sends one round of arrivals to an installation, at their intended times whatever became of the earlier ones. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type JobAnswer} from '@verbenarouter/core';
import {Agent, type Dispatcher} from 'undici';
import {tokenForTeam, type Installation, type ProcessHandle} from '../installation.js';
import {type PlannedJob} from './mix.js';
import {steadyShare, type ServedJob} from './measurement.js';
import {type Arrival} from './schedule.js';

const reservationSize = 500;
const connectionsPerEntryVm = 256;

/** What a round found about itself. */
export type RoundReport = {
	/** Jobs that were sent to an entry VM which had not issued their identifiers. */
	readonly strayJobs: number;
	/** Greatest delay in milliseconds between an intended arrival and its sending. */
	readonly senderLagMs: number;
	/** Requests that had no readable answer. */
	readonly lostAnswers: number;
};

type CallerRequest = {
	readonly method: 'PUT' | 'POST';
	readonly path: string;
	readonly body: unknown;
};

/** Callers of an installation, behind a balancer that keeps a caller's connection at one entry VM. */
export class LoadCallers {
	readonly #installation: Installation;
	readonly #agent = new Agent({connections: connectionsPerEntryVm});
	readonly #reserved = new Map<string, string[]>();
	/** Every n-th job goes to another entry VM than the one that issued its identifier; 0 for none. */
	readonly #strayEvery: number;
	#turn = 0;

	constructor(installation: Installation, strayEvery: number) {
		this.#installation = installation;
		this.#strayEvery = strayEvery;
	}

	/** Reserves the identifiers of a round ahead of its need, then sends its jobs. */
	async round(
		arrivals: readonly Arrival[],
		durationMs: number,
		served: (job: ServedJob) => void,
	): Promise<RoundReport> {
		const parts = this.#installation.entryVms;
		const issuers = arrivals.map(
			(_, index) => parts[(this.#turn + index) % parts.length]!,
		);
		this.#turn += arrivals.length;
		const identifiers: string[] = [];
		for (const [index, {job}] of arrivals.entries()) {
			// eslint-disable-next-line no-await-in-loop -- one reservation for many jobs
			identifiers.push(await this.#reserve(issuers[index]!, job.team));
		}

		const round = new Round(durationMs, served);
		for (const [index, {atMs, job}] of arrivals.entries()) {
			// eslint-disable-next-line no-await-in-loop -- arrivals come one after the other
			await round.untilDue(atMs);
			const issuer = issuers[index]!;
			const isStray = this.#strayEvery > 0 && index % this.#strayEvery === 0;
			const part = isStray
				? parts[(parts.indexOf(issuer) + 1) % parts.length]!
				: issuer;
			round.sent(
				{atMs, job},
				isStray,
				this.#submit(part, identifiers[index]!, job),
			);
		}

		return round.end();
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #reserve(part: ProcessHandle, team: string): Promise<string> {
		const key = `${part.name}/${team}`;
		const left = this.#reserved.get(key) ?? [];
		if (left.length === 0) {
			const answer = await this.#call(part, team, {
				method: 'POST',
				path: '/v1/identifiers',
				body: {count: reservationSize},
			});
			const {identifiers} = (await answer.body.json()) as {
				readonly identifiers: readonly string[];
			};
			left.push(...identifiers);
		}

		this.#reserved.set(key, left);
		return left.pop() ?? '';
	}

	async #submit(
		part: ProcessHandle,
		identifier: string,
		{team, entry, tasks}: PlannedJob,
	): Promise<JobAnswer | undefined> {
		try {
			const answer = await this.#call(part, team, {
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

	async #call(
		{address}: ProcessHandle,
		team: string,
		{method, path, body}: CallerRequest,
	): Promise<Dispatcher.ResponseData> {
		return this.#agent.request({
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

/** One round on its way. */
class Round {
	readonly #startedAt = performance.now();
	readonly #durationMs: number;
	readonly #served: (job: ServedJob) => void;
	readonly #answers: Array<Promise<void>> = [];
	#strayJobs = 0;
	#senderLagMs = 0;
	#lostAnswers = 0;

	constructor(durationMs: number, served: (job: ServedJob) => void) {
		this.#durationMs = durationMs;
		this.#served = served;
	}

	/** Waits for an intended arrival. */
	async untilDue(atMs: number): Promise<void> {
		const waitMs = atMs - this.#elapsedMs();
		if (waitMs > 0) {
			await sleep(waitMs);
		}

		this.#senderLagMs = Math.max(this.#senderLagMs, this.#elapsedMs() - atMs);
	}

	/** Follows a job that has been sent. */
	sent(
		arrival: Arrival,
		isStray: boolean,
		answer: Promise<JobAnswer | undefined>,
	): void {
		this.#strayJobs += isStray ? 1 : 0;
		this.#answers.push(this.#follow(arrival, answer));
	}

	/** Waits for all answers. */
	async end(): Promise<RoundReport> {
		await Promise.all(this.#answers);
		return {
			strayJobs: this.#strayJobs,
			senderLagMs: Math.round(this.#senderLagMs),
			lostAnswers: this.#lostAnswers,
		};
	}

	async #follow(
		{atMs, job}: Arrival,
		promise: Promise<JobAnswer | undefined>,
	): Promise<void> {
		const answer = await promise;
		if (answer === undefined) {
			this.#lostAnswers += 1;
			return;
		}

		const elapsedMs = this.#elapsedMs();
		this.#served({
			job,
			responseMs: elapsedMs - atMs,
			answer,
			isInWindow:
				elapsedMs <= this.#durationMs &&
				elapsedMs > this.#durationMs * (1 - steadyShare),
		});
	}

	#elapsedMs(): number {
		return performance.now() - this.#startedAt;
	}
}
