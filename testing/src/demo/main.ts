/**
 * The demonstration: starts an installation on stand-ins, submits both users' kinds of request, changes a limit in the
 * catalogue, and stops an entry VM under load. It ends by itself; exit code 1 means that a check failed.
 */
import process from 'node:process';
import {
	Caller,
	Installation,
	call,
	kill,
	teamItem,
	tokenOf,
	until,
	type Part,
} from '../installation.js';
import {createCatalogueEntries, createJobMix} from '../load/job-mix.js';
import {
	largestJob,
	rowsOf,
	submitUntil,
	type DemonstratedJob,
} from './demo-load.js';

const callersPerMix = 6;
const calmMs = 4000;
const loadBeforeStopMs = 1000;
const loadAfterStopMs = 1500;
const operator = 'operations';

const failures: string[] = [];

function check(isMet: boolean, what: string): void {
	console.log(`   ${isMet ? 'yes' : 'NO '}  ${what}`);
	if (!isMet) {
		failures.push(what);
	}
}

/** Names ready entry VMs in turn, as a balancer does. */
class ReadyEntryVms {
	readonly #notReady = new Set<string>();
	#turn = 0;

	constructor(readonly installation: Installation) {}

	take(): Part {
		const ready = this.installation.entryVms.filter(
			({name}) => !this.#notReady.has(name),
		);
		this.#turn += 1;
		const part = ready[this.#turn % ready.length];
		if (part === undefined) {
			throw new Error('no entry VM is ready');
		}

		return part;
	}

	leave({name}: Part): void {
		this.#notReady.add(name);
	}
}

async function runLoad(
	entryVms: ReadyEntryVms,
	during: () => Promise<void>,
): Promise<readonly DemonstratedJob[]> {
	let isOver = false;
	const jobs = (['coastal', 'kruidhof'] as const).flatMap((mixName, mixIndex) =>
		Array.from({length: callersPerMix}, async (_, index) =>
			submitUntil(
				() => isOver,
				() => entryVms.take(),
				mixName,
				1 + mixIndex * callersPerMix + index,
			),
		),
	);
	await during();
	isOver = true;
	const all = await Promise.all(jobs);
	return all.flat();
}

async function pause(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

async function checkStarts(
	installation: Installation,
	jobs: readonly DemonstratedJob[],
): Promise<void> {
	const {starts, refusedFull} = await installation.records();
	const tasks = jobs.reduce((sum, {job}) => sum + job.tasks.length, 0);
	const startedOnce = new Set(starts);
	check(
		startedOnce.size === starts.length,
		`no task started twice (${starts.length} starts)`,
	);
	check(
		jobs.every(({answer}) => answer.verdict === 'completed'),
		`every one of ${jobs.length} jobs completed`,
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
		'every caller got the outputs of its own tasks',
	);
	console.log(
		`   messages to targets per task: ${((starts.length + refusedFull) / Math.max(1, tasks)).toFixed(3)} (1 is the least)`,
	);
}

async function demonstrateCalm(
	installation: Installation,
	entryVms: ReadyEntryVms,
): Promise<readonly DemonstratedJob[]> {
	console.log('1. Both users’ requests, through any entry VM');
	const jobs = await runLoad(entryVms, async () => pause(calmMs));
	console.table(rowsOf(jobs));
	await checkStarts(installation, jobs);
	return jobs;
}

async function demonstrateEdit(
	installation: Installation,
	entryVms: ReadyEntryVms,
): Promise<void> {
	console.log(
		'2. An edit of the catalogue: plan rebuilds may have at most 60 tasks',
	);
	const {operatorAddress} = entryVms.take();
	const url = `${operatorAddress}/v1/catalogue/entry/plan-rebuild`;
	const token = tokenOf(operator);
	const before = await call<{
		revision: number;
		item: {limits: Record<string, unknown>};
	}>('GET', url, undefined, token);
	const {
		kind: _,
		name: __,
		...item
	} = before.body.item as unknown as Record<string, unknown>;
	const startedAt = performance.now();
	const edit = await call<{code: string; revision: number}>(
		'PUT',
		url,
		{
			item: {...item, limits: {...before.body.item.limits, largestJob}},
			basedOn: before.body.revision,
		},
		token,
	);
	const isAccepted = edit.body.code === 'accepted';
	check(isAccepted, `the edit was accepted: ${JSON.stringify(edit.body)}`);
	if (!isAccepted) {
		return;
	}

	await until(async () => {
		const {body} = await call<{isInForceEverywhere: boolean}>(
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
	const [identifier = ''] = await caller.reserve(entryVms.take());
	const refused = await caller.submit(entryVms.take(), identifier, {
		entry: 'plan-rebuild',
		tasks: Array.from({length: largestJob + 1}, () => ({input: {runMs: 50}})),
	});
	check(
		refused.status === 413 && refused.body.verdict === 'not-run',
		`61 tasks are refused: ${refused.body.verdict}, ${refused.body.refusal?.message ?? ''}`,
	);
	const {starts} = await installation.records();
	check(
		!starts.some((task) => task.startsWith(`${identifier}.`)),
		'none of them started',
	);
}

async function demonstrateStop(
	installation: Installation,
	entryVms: ReadyEntryVms,
	earlier: readonly DemonstratedJob[],
): Promise<void> {
	console.log('3. A planned stop of one entry VM (SIGTERM) under load');
	const [leaving] = installation.entryVms;
	if (leaving === undefined) {
		return;
	}

	const kept = earlier.find(({identifier}) =>
		identifier.includes(`.${leaving.name}.`),
	);
	const jobs = await runLoad(entryVms, async () => {
		await pause(loadBeforeStopMs);
		const gone = kill(leaving, 'SIGTERM');
		await until(async () => {
			const {status} = await call('GET', `${leaving.address}/readyz`);
			return status === 503;
		});
		entryVms.leave(leaving);
		await gone;
		await pause(loadAfterStopMs);
	});
	console.table(rowsOf(jobs));
	check(leaving.process.exitCode === 0, 'the entry VM ended with exit code 0');
	await checkStarts(installation, [...earlier, ...jobs]);
	if (kept !== undefined) {
		const again = await new Caller(kept.job.team).submit(
			entryVms.take(),
			kept.identifier,
			{
				entry: kept.job.entry,
				tasks: kept.job.tasks.map(({runMs}) => ({input: {runMs}})),
			},
		);
		check(
			JSON.stringify(again.body.outputs) ===
				JSON.stringify(kept.answer.outputs),
			'a copy of a request that the stopped entry VM had answered gets the same answer',
		);
	}
}

const mixes = [createJobMix('coastal', 1400), createJobMix('kruidhof', 1400)];
const installation = await Installation.start({
	zones: ['zone-a', 'zone-b'],
	entryVmsPerZone: 3,
	targetsPerZone: 4,
	items: [
		teamItem(operator, {role: 'operator'}),
		...mixes.flatMap(({teams}) => teams.map((team) => teamItem(team))),
		...mixes.flatMap((mix) =>
			createCatalogueEntries(mix).map((entry) => ({...entry, owner: mix.teams[0] ?? ''})),
		),
	],
	settings: {log: {level: 'error'}},
});
try {
	console.log(
		`Started the platform's stand-in, ${installation.targets.length} targets and ${installation.entryVms.length} entry VMs in 2 zones.`,
	);
	const entryVms = new ReadyEntryVms(installation);
	const calm = await demonstrateCalm(installation, entryVms);
	await demonstrateEdit(installation, entryVms);
	await demonstrateStop(installation, entryVms, calm);
} finally {
	await installation.stop();
}

console.log(
	failures.length === 0
		? 'All checks passed.'
		: `Failed: ${failures.join('; ')}`,
);
process.exitCode = failures.length === 0 ? 0 : 1;
