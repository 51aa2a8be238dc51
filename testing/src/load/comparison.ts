/** Runs policies side by side: each has an installation, and the rounds alternate between them with the same arrivals. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {requestJson, type Installation} from '../installation.js';
import {
	entryProcessIds,
	startLoadInstallation,
	type LoadInstallationOptions,
} from './load-installation.js';
import {LoadCallers, type RoundReport} from './load-run.js';
import {Measurement, round as rounded, steadyShare} from './measurement.js';
import {usageOf} from './process-usage.js';
import {planArrivals, type Offer} from './schedule.js';

/** One policy of a comparison. */
export type Contender = {
	readonly name: string;
	/** Overrides of the entry VMs' settings. */
	readonly settings: Readonly<Record<string, unknown>>;
};

/** What is compared, and under which load. */
export type ComparisonOptions = {
	readonly contenders: readonly Contender[];
	readonly size: Omit<LoadInstallationOptions, 'settings'>;
	readonly offer: Offer;
	readonly rounds: number;
	readonly warmUpMs: number;
	readonly strayEvery: number;
};

/** The figures of one policy. */
export type ContenderReport = ReturnType<Measurement['summary']> & {
	readonly name: string;
	readonly rounds: readonly RoundReport[];
	/** Tasks at targets over slots, in the steady part of the rounds. */
	readonly busyShareOfSlots: number;
	readonly starts: number;
	readonly doubleStarts: number;
	readonly refusedFull: number;
	readonly mostBusySlots: number;
	/** Refused tries (two messages each) over started tasks. */
	readonly wastedTargetMessagesPerTask: number;
	/** All messages between entry VMs over started tasks, beyond those that are sent when nothing is offered. */
	readonly peerMessagesPerTask: number;
	/** Messages between entry VMs a second when nothing is offered. */
	readonly idlePeerMessagesPerSecond: number;
	/** Processor time of all entry VMs beyond what they use when nothing is offered. */
	readonly cpuMicrosecondsPerStart: number;
	readonly idleCpuShare: number;
	readonly residentMegabytes: number;
};

const settleMs = 1500;
const samplesPerRound = 40;
const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;

type Runner = {
	readonly contender: Contender;
	readonly installation: Installation;
	readonly callers: LoadCallers;
	readonly measurement: Measurement;
	readonly rounds: RoundReport[];
	/** Samples of the tasks at targets. */
	readonly inFlight: number[];
	/** Cores that the entry VMs use together when nothing is offered. */
	idleCpuShare: number;
	/** Messages between entry VMs in a millisecond when nothing is offered. */
	idlePeerMessageRate: number;
	peerMessages: number;
	cpuMs: number;
	starts: number;
	refusedFull: number;
};

/** Runs a comparison. */
export async function compare(
	options: ComparisonOptions,
): Promise<readonly ContenderReport[]> {
	const runners: Runner[] = [];
	try {
		for (const contender of options.contenders) {
			// eslint-disable-next-line no-await-in-loop -- starting all at once would load the machine
			runners.push(await startRunner(options, contender));
		}

		await measureIdle(runners);
		for (const runner of runners) {
			// eslint-disable-next-line no-await-in-loop -- one installation under load at a time
			await warmUp(runner, options);
		}

		for (let index = 0; index < options.rounds; index += 1) {
			for (const runner of runners) {
				// eslint-disable-next-line no-await-in-loop
				await runRound(runner, options, index);
			}
		}

		const offeredMs = options.offer.durationMs * options.rounds;
		return await Promise.all(
			runners.map(async (runner) => reportOf(runner, offeredMs)),
		);
	} finally {
		await Promise.all(
			runners.map(async ({installation, callers}) => {
				await callers.close();
				await installation.stop();
			}),
		);
	}
}

async function startRunner(
	{size, offer, strayEvery}: ComparisonOptions,
	contender: Contender,
): Promise<Runner> {
	const installation = await startLoadInstallation({
		...size,
		settings: contender.settings,
	});
	return {
		contender,
		installation,
		callers: new LoadCallers(installation, strayEvery),
		measurement: new Measurement(offer.slots),
		rounds: [],
		inFlight: [],
		idleCpuShare: 0,
		idlePeerMessageRate: 0,
		peerMessages: 0,
		cpuMs: 0,
		starts: 0,
		refusedFull: 0,
	};
}

async function measureIdle(runners: readonly Runner[]): Promise<void> {
	const idle = runners.map(async (runner) => {
		const processIds = entryProcessIds(runner.installation);
		await sleep(settleMs);
		const before = await usageOf(processIds);
		const messagesBefore = await peerMessagesOf(runner.installation);
		await sleep(settleMs);
		const after = await usageOf(processIds);
		const messages = await peerMessagesOf(runner.installation);
		runner.idlePeerMessageRate = (messages - messagesBefore) / settleMs;
		runner.idleCpuShare = (after.cpuMs - before.cpuMs) / settleMs;
	});
	await Promise.all(idle);
}

async function warmUp(
	{callers}: Runner,
	{offer, warmUpMs}: ComparisonOptions,
): Promise<void> {
	const arrivals = planArrivals({
		...offer,
		seed: offer.seed - 1,
		share: Math.min(offer.share, 0.5),
		durationMs: warmUpMs,
	});
	await callers.round(arrivals, warmUpMs, () => {
		// What comes before the processes are warm is not measured.
	});
}

async function runRound(
	runner: Runner,
	{offer}: ComparisonOptions,
	index: number,
): Promise<void> {
	const {installation, callers, measurement} = runner;
	const arrivals = planArrivals({...offer, seed: offer.seed + index});
	const processIds = entryProcessIds(installation);
	const startedAt = performance.now();
	const before = await usageOf(processIds);
	const messagesBefore = await peerMessagesOf(installation);
	const recordsBefore = await installation.fetchAllTargetRecords();
	const [round] = await Promise.all([
		callers.round(arrivals, offer.durationMs, (served) => {
			measurement.record(served);
		}),
		sampleInFlight(runner, offer.durationMs),
	]);
	runner.rounds.push(round);
	const after = await usageOf(processIds);
	const records = await installation.fetchAllTargetRecords();
	const elapsedMs = performance.now() - startedAt;
	runner.cpuMs += after.cpuMs - before.cpuMs - runner.idleCpuShare * elapsedMs;
	runner.peerMessages +=
		(await peerMessagesOf(installation)) -
		messagesBefore -
		runner.idlePeerMessageRate * elapsedMs;
	runner.starts += records.starts.length - recordsBefore.starts.length;
	runner.refusedFull += records.refusedFull - recordsBefore.refusedFull;
}

async function peerMessagesOf(installation: Installation): Promise<number> {
	return gaugeOf(installation, 'peerMessagesSent');
}

/** Sum of one gauge over the entry VMs. */
async function gaugeOf(
	{entryVms}: Installation,
	name: string,
): Promise<number> {
	const counts = await Promise.all(
		entryVms.map(async ({operatorAddress}) => {
			const {body} = await requestJson<{
				readonly gauges: Readonly<Record<string, number>>;
			}>('GET', `${operatorAddress}/metrics.json`);
			return body.gauges[name] ?? 0;
		}),
	);
	return counts.reduce((sum, count) => sum + count, 0);
}

/** Samples the tasks at targets in the steady part of a round. */
async function sampleInFlight(
	{installation, inFlight}: Runner,
	durationMs: number,
): Promise<void> {
	await sleep(durationMs * (1 - steadyShare));
	for (let index = 0; index < samplesPerRound; index += 1) {
		// eslint-disable-next-line no-await-in-loop -- one sample after the other
		inFlight.push(await gaugeOf(installation, 'tasksInFlight'));
		// eslint-disable-next-line no-await-in-loop
		await sleep((durationMs * steadyShare) / samplesPerRound);
	}
}

async function reportOf(
	runner: Runner,
	offeredMs: number,
): Promise<ContenderReport> {
	const {contender, installation, measurement, rounds, starts} = runner;
	const [records, usage] = await Promise.all([
		installation.fetchAllTargetRecords(),
		usageOf(entryProcessIds(installation)),
	]);
	return {
		name: contender.name,
		...measurement.summary(offeredMs),
		rounds,
		busyShareOfSlots: rounded(
			runner.inFlight.reduce((sum, count) => sum + count, 0) /
				Math.max(1, runner.inFlight.length) /
				measurement.slots,
		),
		starts,
		doubleStarts: records.starts.length - new Set(records.starts).size,
		refusedFull: runner.refusedFull,
		mostBusySlots: records.mostBusySlots,
		wastedTargetMessagesPerTask: rounded(
			(2 * runner.refusedFull) / Math.max(1, starts),
		),
		peerMessagesPerTask: rounded(runner.peerMessages / Math.max(1, starts)),
		idlePeerMessagesPerSecond: rounded(
			runner.idlePeerMessageRate * millisecondsPerSecond,
		),
		cpuMicrosecondsPerStart: rounded(
			(runner.cpuMs * 1000) / Math.max(1, starts),
		),
		idleCpuShare: rounded(runner.idleCpuShare),
		residentMegabytes: rounded(usage.residentBytes / bytesPerMegabyte),
	};
}
