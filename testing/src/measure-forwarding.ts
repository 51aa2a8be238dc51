/**
 * Measures the cost of forwarding: the response time of submissions that are sent to the owner of their identifier, and
 * of those that are sent to another entry VM, which forwards them. Both kinds alternate in one run.
 *
 * Usage, after a build: `node testing/dist/measure-forwarding.js [SUBMISSIONS] [TASKS] [IN_FLIGHT]`, with the submissions
 * of each kind, the tasks per job and the number of concurrent callers.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';
import {
	Caller,
	Installation,
	createEntryItem,
	createTeamItem,
} from './installation.js';

const warmUpSubmissions = 300;
const identifiersPerReservation = 500;
const microsecondsPerMillisecond = 1000;

const submissionsPerKind = Number(process.argv[2] ?? 3000);
const tasksPerJob = Number(process.argv[3] ?? 1);
const concurrentCallers = Number(process.argv[4] ?? 1);
const caller = new Caller('coastal');
const job = {
	entry: 'plan',
	tasks: Array.from({length: tasksPerJob}, () => ({input: {runMs: 0}})),
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
	throw new Error(
		`expected two entry VMs, got ${installation.entryVms.length}`,
	);
}

const receivers = {owner: issuer, forwarded: other};
const histograms = {owner: build(), forwarded: build()};
const identifiers: string[] = [];
const totalSubmissions = warmUpSubmissions + 2 * submissionsPerKind;
while (identifiers.length < totalSubmissions) {
	identifiers.push(
		// eslint-disable-next-line no-await-in-loop -- each reservation is a request of its own
		...(await caller.reserve(issuer, identifiersPerReservation)),
	);
}

const numberedIdentifiers = identifiers.slice(0, totalSubmissions).entries();

/** Submits jobs one at a time until no identifier is left; concurrent calls share the identifiers. */
async function submitRemaining(): Promise<void> {
	for (const [index, identifier] of numberedIdentifiers) {
		const kind = kinds[index % kinds.length] ?? 'owner';
		const startedAtMs = performance.now();
		// eslint-disable-next-line no-await-in-loop -- each caller waits for the answer before its next submission
		const {body} = await caller.submit(receivers[kind], identifier, job);
		const responseMs = performance.now() - startedAtMs;
		if (body.verdict !== 'completed') {
			throw new Error(
				`expected job ${identifier} to complete, got verdict ${body.verdict}, refusal ${body.refusal?.code}`,
			);
		}

		if (index >= warmUpSubmissions) {
			histograms[kind].recordValue(
				Math.round(responseMs * microsecondsPerMillisecond),
			);
		}
	}
}

await Promise.all(
	Array.from({length: concurrentCallers}, async () => submitRemaining()),
);
await installation.stop();

console.table(
	kinds.map((kind) => {
		const percentileMs = (percentile: number) =>
			histograms[kind].getValueAtPercentile(percentile) /
			microsecondsPerMillisecond;
		return {
			kind,
			submissions: histograms[kind].totalCount,
			tasks: tasksPerJob,
			medianMs: percentileMs(50),
			p99Ms: percentileMs(99),
		};
	}),
);
