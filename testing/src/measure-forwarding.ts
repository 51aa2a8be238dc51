/**
 * Measures what ownership costs: the time of a submission at its owner, and of one that another entry VM forwards.
 * Both kinds alternate in one run.
 *
 * Run `node testing/dist/measure-forwarding.js [SUBMISSIONS] [TASKS] [IN_FLIGHT]` after a build.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import {Caller, Installation, createEntryItem, createTeamItem} from './installation.js';

const warmUp = 300;
const reservationSize = 500;
const microsecondsPerMillisecond = 1000;

const submissions = Number(process.argv[2] ?? 3000);
const tasks = Number(process.argv[3] ?? 1);
const inFlight = Number(process.argv[4] ?? 1);
const caller = new Caller('coastal');
const job = {
	entry: 'plan',
	tasks: Array.from({length: tasks}, () => ({input: {runMs: 0}})),
};
const kinds = ['owner', 'forwarded'] as const;

const installation = await Installation.start({
	zones: ['zone-a'],
	entryVmsPerZone: 2,
	targetsPerZone: 2,
	target: {slots: 64},
	items: [createTeamItem('coastal'), createEntryItem('plan')],
});
const [issuer, other] = installation.entryVms;
if (issuer === undefined || other === undefined) {
	throw new Error('two entry VMs are needed');
}

const receivers = {owner: issuer, forwarded: other};
const histograms = {owner: build(), forwarded: build()};
const identifiers: string[] = [];
const total = warmUp + 2 * submissions;
while (identifiers.length < total) {
	// eslint-disable-next-line no-await-in-loop -- one reservation after the other
	identifiers.push(...(await caller.reserve(issuer, reservationSize)));
}

const work = identifiers.slice(0, total).entries();

async function submitAll(): Promise<void> {
	for (const [index, identifier] of work) {
		const kind = kinds[index % kinds.length] ?? 'owner';
		const startedAt = performance.now();
		// eslint-disable-next-line no-await-in-loop -- each caller waits for its answer
		const {body} = await caller.submit(receivers[kind], identifier, job);
		const tookMs = performance.now() - startedAt;
		if (body.verdict !== 'completed') {
			throw new Error(`${body.verdict} ${body.refusal?.code}`);
		}

		if (index >= warmUp) {
			histograms[kind].recordValue(
				Math.round(tookMs * microsecondsPerMillisecond),
			);
		}
	}
}

await Promise.all(Array.from({length: inFlight}, async () => submitAll()));
await installation.stop();

console.table(
	kinds.map((kind) => {
		const at = (percentile: number) =>
			histograms[kind].getValueAtPercentile(percentile) /
			microsecondsPerMillisecond;
		return {
			kind,
			submissions: histograms[kind].totalCount,
			tasks,
			medianMs: at(50),
			p99Ms: at(99),
		};
	}),
);
