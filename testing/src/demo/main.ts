import process from 'node:process';
import {
	Caller,
	Installation,
	requestJson,
	kill,
	createTeamItem,
	tokenForTeam,
	waitUntil,
	type ProcessHandle,
} from '../installation.js';
import {createCatalogueEntries, createJobMix} from '../load/job-mix.js';
import {
	largestJob,
	summarizeByEntry,
	submitJobsUntil,
	type DemonstratedJob,
} from './demo-load.js';

const callersPerMix = 6;
const steadyLoadMs = 4000;
const loadBeforeStopMs = 1000;
const loadAfterStopMs = 1500;
const operatorTeam = 'operations';

const failedChecks: string[] = [];

/** Prints the result of a check and records a failure. */
function check(isPassed: boolean, description: string): void {
	console.log(`   ${isPassed ? 'pass' : 'FAIL'}  ${description}`);
	if (!isPassed) {
		failedChecks.push(description);
	}
}

/** Selects ready entry VMs by round robin, as a load balancer does. */
class ReadyEntryVms {
	readonly #notReady = new Set<string>();
	#nextIndex = 0;

	constructor(readonly installation: Installation) {}

	/** Selects the next ready entry VM; throws when there is none. */
	next(): ProcessHandle {
		const ready = this.installation.entryVms.filter(
			({name}) => !this.#notReady.has(name),
		);
		this.#nextIndex += 1;
		const entryVm = ready[this.#nextIndex % ready.length];
		if (entryVm === undefined) {
			throw new Error('no entry VM is ready');
		}

		return entryVm;
	}

	/** Excludes an entry VM from selection. */
	markNotReady({name}: ProcessHandle): void {
		this.#notReady.add(name);
	}
}

/** Submits jobs of both users' mixes until `during` has resolved, and returns all jobs with their answers. */
async function runLoad(
	entryVms: ReadyEntryVms,
	during: () => Promise<void>,
): Promise<readonly DemonstratedJob[]> {
	let isStopped = false;
	const jobs = (['coastal', 'kruidhof'] as const).flatMap((mixName, mixIndex) =>
		Array.from({length: callersPerMix}, async (_, index) =>
			submitJobsUntil(
				() => isStopped,
				() => entryVms.next(),
				mixName,
				1 + mixIndex * callersPerMix + index,
			),
		),
	);
	await during();
	isStopped = true;
	const jobsByCaller = await Promise.all(jobs);
	return jobsByCaller.flat();
}

async function pause(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

/** Checks that each task started once, each job completed and each caller received its own outputs. */
async function checkStarts(
	installation: Installation,
	jobs: readonly DemonstratedJob[],
): Promise<void> {
	const {starts, refusedFull} = await installation.fetchAllTargetRecords();
	const taskCount = jobs.reduce((sum, {job}) => sum + job.tasks.length, 0);
	const startedTasks = new Set(starts);
	check(
		startedTasks.size === starts.length,
		`no task started twice (${starts.length} starts)`,
	);
	check(
		jobs.every(({answer}) => answer.verdict === 'completed'),
		`all ${jobs.length} jobs completed`,
	);
	check(
		jobs.every(
			({identifier, answer}) =>
				answer.identifier === identifier &&
				answer.outputs?.every(
					(output, index) =>
						(output as {task: string}).task === `${identifier}.${index}`,
				),
		),
		'every caller received the outputs of its own tasks',
	);
	console.log(
		`   requests to targets per task: ${((starts.length + refusedFull) / Math.max(1, taskCount)).toFixed(3)} (1 is the minimum)`,
	);
}

/** Submits both users' kinds of job and prints their response times. */
async function demonstrateSteadyLoad(
	installation: Installation,
	entryVms: ReadyEntryVms,
): Promise<readonly DemonstratedJob[]> {
	console.log('1. Requests of both users, each submitted to any entry VM');
	const jobs = await runLoad(entryVms, async () => pause(steadyLoadMs));
	console.table(summarizeByEntry(jobs));
	await checkStarts(installation, jobs);
	return jobs;
}

/** Lowers a limit in the catalogue and checks that a job above it is refused once the edit is in force everywhere. */
async function demonstrateCatalogueEdit(
	installation: Installation,
	entryVms: ReadyEntryVms,
): Promise<void> {
	console.log('2. A catalogue edit that limits plan rebuilds to 60 tasks');
	const {operatorAddress} = entryVms.next();
	const url = `${operatorAddress}/v1/catalogue/entry/plan-rebuild`;
	const token = tokenForTeam(operatorTeam);
	const current = await requestJson<{
		revision: number;
		item: {limits: Record<string, unknown>};
	}>('GET', url, undefined, token);
	const {
		kind: _,
		name: __,
		...item
	} = current.body.item as unknown as Record<string, unknown>;
	const startedAt = performance.now();
	const edit = await requestJson<{code: string; revision: number}>(
		'PUT',
		url,
		{
			item: {...item, limits: {...current.body.item.limits, largestJob}},
			basedOn: current.body.revision,
		},
		token,
	);
	const isAccepted = edit.body.code === 'accepted';
	check(isAccepted, `the edit was accepted: ${JSON.stringify(edit.body)}`);
	if (!isAccepted) {
		return;
	}

	await waitUntil(async () => {
		const {body} = await requestJson<{isInForceEverywhere: boolean}>(
			'GET',
			`${operatorAddress}/v1/catalogue/in-force?revision=${edit.body.revision}`,
			undefined,
			token,
		);
		return body.isInForceEverywhere;
	});
	console.log(
		`   in force in all entry VMs after ${Math.round(performance.now() - startedAt)} ms`,
	);

	const caller = new Caller('coastal-kitchens');
	const [identifier = ''] = await caller.reserve(entryVms.next());
	const refused = await caller.submit(entryVms.next(), identifier, {
		entry: 'plan-rebuild',
		tasks: Array.from({length: largestJob + 1}, () => ({input: {runMs: 50}})),
	});
	check(
		refused.status === 413 && refused.body.verdict === 'not-run',
		`a job of 61 tasks is refused: ${refused.body.verdict}, ${refused.body.refusal?.message ?? ''}`,
	);
	const {starts} = await installation.fetchAllTargetRecords();
	check(
		!starts.some((task) => task.startsWith(`${identifier}.`)),
		'none of its tasks started',
	);
}

/** Stops an entry VM under load and checks that no job fails and that a retry receives the answer of an earlier job. */
async function demonstrateGracefulStop(
	installation: Installation,
	entryVms: ReadyEntryVms,
	earlierJobs: readonly DemonstratedJob[],
): Promise<void> {
	console.log('3. A graceful stop (SIGTERM) of one entry VM under load');
	const [stopping] = installation.entryVms;
	if (stopping === undefined) {
		return;
	}

	const answeredJob = earlierJobs.find(({identifier}) =>
		identifier.includes(`.${stopping.name}.`),
	);
	const jobs = await runLoad(entryVms, async () => {
		await pause(loadBeforeStopMs);
		const exited = kill(stopping, 'SIGTERM');
		await waitUntil(async () => {
			const {status} = await requestJson('GET', `${stopping.address}/readyz`);
			return status === 503;
		});
		entryVms.markNotReady(stopping);
		await exited;
		await pause(loadAfterStopMs);
	});
	console.table(summarizeByEntry(jobs));
	check(stopping.process.exitCode === 0, 'the entry VM exited with code 0');
	await checkStarts(installation, [...earlierJobs, ...jobs]);
	if (answeredJob !== undefined) {
		const retry = await new Caller(answeredJob.job.team).submit(
			entryVms.next(),
			answeredJob.identifier,
			{
				entry: answeredJob.job.entry,
				tasks: answeredJob.job.tasks.map(({runMs}) => ({input: {runMs}})),
			},
		);
		check(
			JSON.stringify(retry.body.outputs) ===
				JSON.stringify(answeredJob.answer.outputs),
			'a retry of a job that the stopped entry VM had answered receives the same answer',
		);
	}
}

// Runs the demonstrations in order on one installation of stand-ins. The exit code is 1 when a check failed.
const mixes = [createJobMix('coastal', 1400), createJobMix('kruidhof', 1400)];
const installation = await Installation.start({
	zones: ['zone-a', 'zone-b'],
	entryVmsPerZone: 3,
	targetsPerZone: 4,
	items: [
		createTeamItem(operatorTeam, {role: 'operator'}),
		...mixes.flatMap(({teams}) => teams.map((team) => createTeamItem(team))),
		...mixes.flatMap((mix) =>
			createCatalogueEntries(mix).map((entry) => ({
				...entry,
				owner: mix.teams[0] ?? '',
			})),
		),
	],
	settings: {log: {level: 'error'}},
});
try {
	console.log(
		`Started the stand-in of the platform, ${installation.targets.length} targets and ${installation.entryVms.length} entry VMs in 2 zones.`,
	);
	const entryVms = new ReadyEntryVms(installation);
	const answeredJobs = await demonstrateSteadyLoad(installation, entryVms);
	await demonstrateCatalogueEdit(installation, entryVms);
	await demonstrateGracefulStop(installation, entryVms, answeredJobs);
} finally {
	await installation.stop();
}

console.log(
	failedChecks.length === 0
		? 'All checks passed.'
		: `Failed checks: ${failedChecks.join('; ')}`,
);
process.exitCode = failedChecks.length === 0 ? 0 : 1;
