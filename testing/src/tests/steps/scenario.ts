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

/** The number of zones of an installation, and of entry VMs and targets in each zone. */
export type InstallationSize = {
	readonly zones: number;
	readonly entryVms: number;
	readonly targets: number;
};

/** A job that a scenario reserves an identifier for, and the answers to its requests. */
export type ScenarioJob = {
	readonly identifier: string;
	readonly request: unknown;
	readonly taskCount: number;
	/** Answers to the copies of its request, in the order in which the copies were sent. */
	readonly pendingAnswers: Array<Promise<HttpResponse<JobAnswer> | undefined>>;
};

/** The running installation and the key of its size. The next scenario reuses it if it needs the same size and no fault was injected. */
let sharedInstallation: {key: string; installation: Installation} | undefined;

/** Stops the installation that scenarios share. */
export async function stopSharedInstallation(): Promise<void> {
	await sharedInstallation?.installation.stop();
	sharedInstallation = undefined;
}

/** The state of one scenario: the installation, a caller, and the jobs by their names in the feature file. */
export class Scenario extends World {
	readonly caller = new Caller('coastal');
	readonly jobs = new Map<string, ScenarioJob>();
	#isReusePrevented = false;

	get installation(): Installation {
		assert.ok(sharedInstallation, 'the scenario has no installation');
		return sharedInstallation.installation;
	}

	/** Reuses the installation of the previous scenario if it has this size, and otherwise starts a new one. */
	async useInstallation(size: InstallationSize): Promise<void> {
		const key = JSON.stringify(size);
		if (sharedInstallation?.key !== key) {
			await stopSharedInstallation();
			sharedInstallation = {key, installation: await startInstallation(size)};
			await this.#waitUntilConnected();
		}
	}

	/** Prevents the next scenario from reusing this installation, because a fault was injected into it. */
	preventReuse(): void {
		this.#isReusePrevented = true;
	}

	/** Stops the installation if a fault was injected, and otherwise releases its held tasks so that the next scenario can reuse it. */
	async releaseInstallation(): Promise<void> {
		await (this.#isReusePrevented
			? stopSharedInstallation()
			: sharedInstallation?.installation.releaseTasks());
	}

	/** Finds the process of an entry VM or a target by its name. */
	findProcess(name: string): ProcessHandle {
		const {entryVms, targets} = this.installation;
		const found = [...entryVms, ...targets].find((part) => part.name === name);
		assert.ok(found, `the installation has no entry VM or target "${name}"`);
		return found;
	}

	/** Finds a job by its name in the feature file. */
	findJob(name: string): ScenarioJob {
		const job = this.jobs.get(name);
		assert.ok(job, `the scenario has no job "${name}"`);
		return job;
	}

	/** Waits for the answers to the copies of a job's request, except copies whose caller disconnected. */
	async collectAnswers(name: string): Promise<readonly JobAnswer[]> {
		const answers = await Promise.all(this.findJob(name).pendingAnswers);
		return answers.flatMap((answer) =>
			answer === undefined ? [] : [answer.body],
		);
	}

	/** Counts the starts of each task of a job at the targets, in task order. */
	async countStarts(name: string): Promise<readonly number[]> {
		const {identifier, taskCount} = this.findJob(name);
		const {starts} = await this.installation.fetchAllTargetRecords();
		const counts = countOccurrences(starts);
		return Array.from(
			{length: taskCount},
			(_, index) => counts.get(`${identifier}.${index}`) ?? 0,
		);
	}

	/** Waits until at least `count` tasks of a job have started. */
	async waitUntilStarted(name: string, count: number): Promise<void> {
		await waitUntil(async () => {
			const starts = await this.countStarts(name);
			return starts.filter((times) => times > 0).length >= count;
		});
	}

	/** Waits until every entry VM can reach every other one as an owner of identifiers. */
	async #waitUntilConnected(): Promise<void> {
		const {entryVms} = this.installation;
		for (const owner of entryVms) {
			// eslint-disable-next-line no-await-in-loop
			const [identifier = ''] = await this.caller.reserve(owner);
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(async () => {
				const answers = await Promise.all(
					entryVms.map(async (part) =>
						this.caller.fetchStatus(part, identifier),
					),
				);
				return answers.every(({body}) => body.answer === undefined);
			});
		}
	}
}

/** Counts the occurrences of each text. */
export function countOccurrences(
	texts: readonly string[],
): ReadonlyMap<string, number> {
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
		items: [
			createTeamItem('coastal'),
			createTeamItem('kruidhof'),
			createEntryItem('order'),
		],
	});
}

setDefaultTimeout(stepTimeoutMs);
setWorldConstructor(Scenario);
