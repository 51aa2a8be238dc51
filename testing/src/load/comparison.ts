import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {requestJson, type Installation} from '../installation.js';
import {
	entryVmProcessIds,
	startLoadInstallation,
	type LoadInstallationOptions,
} from './load-installation.js';
import {LoadGenerator, type RoundReport} from './load-generator.js';
import {
	AnswerStatistics,
	roundToThousandths,
	steadyStateShare,
} from './answer-statistics.js';
import {readProcessUsage} from './process-usage.js';
import {planArrivals, type OfferedLoad} from './arrivals.js';

/** One policy of a comparison: a name and the settings that distinguish it. */
export type ComparedPolicy = {
	readonly name: string;
	/** Overrides of the entry VMs' settings. */
	readonly settings: Readonly<Record<string, unknown>>;
};

/** The policies of a comparison, their installations and the load that each of them is offered. */
export type ComparisonOptions = {
	readonly policies: readonly ComparedPolicy[];
	readonly installationSize: Omit<LoadInstallationOptions, 'settings'>;
	readonly offeredLoad: OfferedLoad;
	/** Measured rounds of each policy. */
	readonly roundCount: number;
	/** Duration of the unmeasured load before the first round. */
	readonly warmUpMs: number;
	/** Every n-th job is sent to an entry VM other than the one that issued its identifier; 0 for none. */
	readonly misrouteEvery: number;
};

/** Results of one policy over all its rounds, as they are written to the results file. */
export type PolicyReport = ReturnType<AnswerStatistics['summarize']> & {
	readonly name: string;
	readonly rounds: readonly RoundReport[];
	/** Mean of the tasks at targets divided by all slots, sampled in the steady part of each round. */
	readonly busyShareOfSlots: number;
	/** Task starts that the targets accepted in the measured rounds. */
	readonly starts: number;
	/** Repeated starts of a task that had started already, the warm-up included. */
	readonly doubleStarts: number;
	/** Task starts that targets refused in the measured rounds because all their slots were busy. */
	readonly refusedFull: number;
	/** Greatest number of slots that were busy at once on any target. */
	readonly mostBusySlots: number;
	/** Messages of refused starts, two for each (request and refusal), per started task. */
	readonly wastedTargetMessagesPerTask: number;
	/** Messages between entry VMs per started task, less those that they exchange when idle. */
	readonly peerMessagesPerTask: number;
	/** Messages per second between entry VMs when no load is offered. */
	readonly idlePeerMessagesPerSecond: number;
	/** CPU time of all entry VMs per started task, less the CPU time that they use when idle. */
	readonly cpuMicrosecondsPerStart: number;
	/** CPU cores that all entry VMs use together when no load is offered. */
	readonly idleCpuShare: number;
	/** Resident memory of the largest entry VM after the last round. */
	readonly residentMegabytes: number;
};

const idleWindowMs = 1500;
const samplesPerRound = 40;
const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;

/** One policy with its installation and the measurements of its rounds so far. */
type PolicyRun = {
	readonly policy: ComparedPolicy;
	readonly installation: Installation;
	readonly generator: LoadGenerator;
	readonly statistics: AnswerStatistics;
	readonly roundReports: RoundReport[];
	/** Sampled numbers of tasks at targets. */
	readonly inFlightSamples: number[];
	/** CPU cores that all entry VMs use together when no load is offered. */
	idleCores: number;
	/** Messages per millisecond between entry VMs when no load is offered. */
	idlePeerMessagesPerMs: number;
	/** Messages between entry VMs in the measured rounds, less the idle ones. */
	peerMessages: number;
	/** CPU time of the entry VMs in the measured rounds, less the idle use. */
	cpuMs: number;
	startCount: number;
	refusedFull: number;
};

/**
 * Compares policies under the same load: each policy has an installation of its own, and the rounds alternate between
 * the installations with the same arrivals.
 */
export async function comparePolicies(
	options: ComparisonOptions,
): Promise<readonly PolicyReport[]> {
	const runs: PolicyRun[] = [];
	try {
		for (const policy of options.policies) {
			// eslint-disable-next-line no-await-in-loop -- the installations would compete for the machine while they start
			runs.push(await startPolicyRun(options, policy));
		}

		await measureIdleUsage(runs);
		for (const run of runs) {
			// eslint-disable-next-line no-await-in-loop -- only one installation is under load at a time
			await warmUp(run, options);
		}

		for (let index = 0; index < options.roundCount; index += 1) {
			for (const run of runs) {
				// eslint-disable-next-line no-await-in-loop
				await runMeasuredRound(run, options, index);
			}
		}

		const offeredMs = options.offeredLoad.durationMs * options.roundCount;
		return await Promise.all(
			runs.map(async (run) => createReport(run, offeredMs)),
		);
	} finally {
		await Promise.all(
			runs.map(async ({installation, generator}) => {
				await generator.close();
				await installation.stop();
			}),
		);
	}
}

async function startPolicyRun(
	{installationSize, offeredLoad, misrouteEvery}: ComparisonOptions,
	policy: ComparedPolicy,
): Promise<PolicyRun> {
	const installation = await startLoadInstallation({
		...installationSize,
		settings: policy.settings,
	});
	return {
		policy,
		installation,
		generator: new LoadGenerator(installation, misrouteEvery),
		statistics: new AnswerStatistics(offeredLoad.slots),
		roundReports: [],
		inFlightSamples: [],
		idleCores: 0,
		idlePeerMessagesPerMs: 0,
		peerMessages: 0,
		cpuMs: 0,
		startCount: 0,
		refusedFull: 0,
	};
}

/** Measures the CPU time and the peer messages of idle entry VMs, for all installations at once. */
async function measureIdleUsage(runs: readonly PolicyRun[]): Promise<void> {
	const measurements = runs.map(async (run) => {
		const processIds = entryVmProcessIds(run.installation);
		await sleep(idleWindowMs);
		const before = await readProcessUsage(processIds);
		const messagesBefore = await countPeerMessages(run.installation);
		await sleep(idleWindowMs);
		const after = await readProcessUsage(processIds);
		const messages = await countPeerMessages(run.installation);
		run.idlePeerMessagesPerMs = (messages - messagesBefore) / idleWindowMs;
		run.idleCores = (after.cpuMs - before.cpuMs) / idleWindowMs;
	});
	await Promise.all(measurements);
}

async function warmUp(
	{generator}: PolicyRun,
	{offeredLoad, warmUpMs}: ComparisonOptions,
): Promise<void> {
	const arrivals = planArrivals({
		...offeredLoad,
		seed: offeredLoad.seed - 1,
		slotShare: Math.min(offeredLoad.slotShare, 0.5),
		durationMs: warmUpMs,
	});
	await generator.runRound(arrivals, warmUpMs, () => {
		// Answers of the warm-up do not count.
	});
}

async function runMeasuredRound(
	run: PolicyRun,
	{offeredLoad}: ComparisonOptions,
	index: number,
): Promise<void> {
	const {installation, generator, statistics} = run;
	const arrivals = planArrivals({
		...offeredLoad,
		seed: offeredLoad.seed + index,
	});
	const processIds = entryVmProcessIds(installation);
	const startedAtMs = performance.now();
	const before = await readProcessUsage(processIds);
	const messagesBefore = await countPeerMessages(installation);
	const recordsBefore = await installation.fetchAllTargetRecords();
	const [round] = await Promise.all([
		generator.runRound(arrivals, offeredLoad.durationMs, (answered) => {
			statistics.record(answered);
		}),
		sampleInFlight(run, offeredLoad.durationMs),
	]);
	run.roundReports.push(round);
	const after = await readProcessUsage(processIds);
	const records = await installation.fetchAllTargetRecords();
	const elapsedMs = performance.now() - startedAtMs;
	run.cpuMs += after.cpuMs - before.cpuMs - run.idleCores * elapsedMs;
	run.peerMessages +=
		(await countPeerMessages(installation)) -
		messagesBefore -
		run.idlePeerMessagesPerMs * elapsedMs;
	run.startCount += records.starts.length - recordsBefore.starts.length;
	run.refusedFull += records.refusedFull - recordsBefore.refusedFull;
}

async function countPeerMessages(installation: Installation): Promise<number> {
	return sumGauge(installation, 'peerMessagesSent');
}

/** Adds up one gauge of all entry VMs. */
async function sumGauge(
	{entryVms}: Installation,
	name: string,
): Promise<number> {
	const values = await Promise.all(
		entryVms.map(async ({operatorAddress}) => {
			const {body} = await requestJson<{
				readonly gauges: Readonly<Record<string, number>>;
			}>('GET', `${operatorAddress}/metrics.json`);
			return body.gauges[name] ?? 0;
		}),
	);
	return values.reduce((sum, value) => sum + value, 0);
}

/** Samples the number of tasks at targets through the steady part of a round. */
async function sampleInFlight(
	{installation, inFlightSamples}: PolicyRun,
	durationMs: number,
): Promise<void> {
	await sleep(durationMs * (1 - steadyStateShare));
	for (let index = 0; index < samplesPerRound; index += 1) {
		// eslint-disable-next-line no-await-in-loop -- samples are spread over the steady part
		inFlightSamples.push(await sumGauge(installation, 'tasksInFlight'));
		// eslint-disable-next-line no-await-in-loop
		await sleep((durationMs * steadyStateShare) / samplesPerRound);
	}
}

async function createReport(
	run: PolicyRun,
	offeredMs: number,
): Promise<PolicyReport> {
	const {policy, installation, statistics, roundReports, startCount} = run;
	const [records, usage] = await Promise.all([
		installation.fetchAllTargetRecords(),
		readProcessUsage(entryVmProcessIds(installation)),
	]);
	return {
		name: policy.name,
		...statistics.summarize(offeredMs),
		rounds: roundReports,
		busyShareOfSlots: roundToThousandths(
			run.inFlightSamples.reduce((sum, count) => sum + count, 0) /
				Math.max(1, run.inFlightSamples.length) /
				statistics.slots,
		),
		starts: startCount,
		doubleStarts: records.starts.length - new Set(records.starts).size,
		refusedFull: run.refusedFull,
		mostBusySlots: records.mostBusySlots,
		wastedTargetMessagesPerTask: roundToThousandths(
			(2 * run.refusedFull) / Math.max(1, startCount),
		),
		peerMessagesPerTask: roundToThousandths(
			run.peerMessages / Math.max(1, startCount),
		),
		idlePeerMessagesPerSecond: roundToThousandths(
			run.idlePeerMessagesPerMs * millisecondsPerSecond,
		),
		cpuMicrosecondsPerStart: roundToThousandths(
			(run.cpuMs * 1000) / Math.max(1, startCount),
		),
		idleCpuShare: roundToThousandths(run.idleCores),
		residentMegabytes: roundToThousandths(
			usage.largestResidentBytes / bytesPerMegabyte,
		),
	};
}
