/** What one scenario works with: an installation, and jobs that are known by the names in its text. */
import assert from 'node:assert/strict';
import {
	World,
	setDefaultTimeout,
	setWorldConstructor,
} from '@cucumber/cucumber';
import {type JobAnswer} from '@verbenarouter/core';
import {
	Caller,
	Installation,
	createEntryItem,
	createTeamItem,
	waitUntil,
	type HttpResponse,
	type ProcessHandle,
} from '../../installation.js';

const stepTimeoutMs = 60_000;

/** How many parts an installation has. */
export type InstallationSize = {
	readonly zones: number;
	readonly entryVms: number;
	readonly targets: number;
};

/** A job of a scenario. */
export type ScenarioJob = {
	readonly identifier: string;
	readonly request: unknown;
	readonly taskCount: number;
	/** Answers to the copies of its request, in the order in which they were sent. */
	readonly copies: Array<Promise<HttpResponse<JobAnswer> | undefined>>;
};

let shared: {key: string; installation: Installation} | undefined;

/** Ends the installation that scenarios share. */
export async function stopShared(): Promise<void> {
	await shared?.installation.stop();
	shared = undefined;
}

/** What one scenario works with. */
export class Scenario extends World {
	readonly caller = new Caller('coastal');
	readonly jobs = new Map<string, ScenarioJob>();
	#isDamaged = false;

	get installation(): Installation {
		assert.ok(shared, 'the scenario has no installation');
		return shared.installation;
	}

	/** Takes the installation that the scenario before left whole, when it has this size. */
	async useInstallation(size: InstallationSize): Promise<void> {
		const key = JSON.stringify(size);
		if (shared?.key !== key) {
			await stopShared();
			shared = {key, installation: await startInstallation(size)};
			await this.#untilConnected();
		}
	}

	/** The next scenario gets an installation of its own: this one is not whole any more. */
	damage(): void {
		this.#isDamaged = true;
	}

	/** Leaves the installation to the next scenario, or ends it. */
	async leave(): Promise<void> {
		await (this.#isDamaged
			? stopShared()
			: shared?.installation.releaseTasks());
	}

	part(name: string): ProcessHandle {
		const {entryVms, targets} = this.installation;
		const part = [...entryVms, ...targets].find((one) => one.name === name);
		assert.ok(part, `the installation has no ${name}`);
		return part;
	}

	job(name: string): ScenarioJob {
		const job = this.jobs.get(name);
		assert.ok(job, `there is no job "${name}"`);
		return job;
	}

	/** The answers to all copies of a job's request whose callers still wait. */
	async answers(name: string): Promise<readonly JobAnswer[]> {
		const answers = await Promise.all(this.job(name).copies);
		return answers.flatMap((answer) =>
			answer === undefined ? [] : [answer.body],
		);
	}

	/** How often each task of a job has started, in the order of the tasks. */
	async startsOf(name: string): Promise<readonly number[]> {
		const {identifier, taskCount} = this.job(name);
		const {starts} = await this.installation.fetchAllTargetRecords();
		const counts = countOf(starts);
		return Array.from(
			{length: taskCount},
			(_, index) => counts.get(`${identifier}.${index}`) ?? 0,
		);
	}

	/** Waits until so many tasks of a job have started. */
	async untilStarted(name: string, count: number): Promise<void> {
		await waitUntil(async () => {
			const starts = await this.startsOf(name);
			return starts.filter((times) => times > 0).length >= count;
		});
	}

	/** Waits until every entry VM reaches the owner of every other one's identifiers. */
	async #untilConnected(): Promise<void> {
		const {entryVms} = this.installation;
		for (const owner of entryVms) {
			// eslint-disable-next-line no-await-in-loop
			const [identifier = ''] = await this.caller.reserve(owner);
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(async () => {
				const answers = await Promise.all(
					entryVms.map(async (part) => this.caller.fetchStatus(part, identifier)),
				);
				return answers.every(({body}) => body.answer === undefined);
			});
		}
	}
}

/** How often each text stands in a list. */
export function countOf(texts: readonly string[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const text of texts) {
		counts.set(text, (counts.get(text) ?? 0) + 1);
	}

	return counts;
}

async function startInstallation({
	zones,
	entryVms,
	targets,
}: InstallationSize): Promise<Installation> {
	return Installation.start({
		zones: ['zone-a', 'zone-b', 'zone-c'].slice(0, zones),
		entryVmsPerZone: entryVms,
		targetsPerZone: targets,
		isProxied: true,
		items: [createTeamItem('coastal'), createTeamItem('kruidhof'), createEntryItem('order')],
	});
}

setDefaultTimeout(stepTimeoutMs);
setWorldConstructor(Scenario);
