import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom, type Random} from '@verbenarouter/core';
import {
	isRunning,
	pauseRepeatedly,
	stopAsPlatform,
	type PausePattern,
} from '../pool/late-process.js';
import {
	OpenConnection,
	findLostRequests,
	type SentRequest,
} from '../pool/open-connection.js';
import {
	PoolInstallation,
	testQueue,
	type PoolEntryVm,
} from '../pool/pool-installation.js';
import {collectRuns, findOverlappingTasks} from '../pool/recorded-runs.js';
import {between, groupBy, type SoakResult} from './soak-support.js';

/** Size of a soak of planned stops. */
export type StopSoakOptions = {
	readonly seed: number;
	/** Time in which stops begin; the last one ends later. */
	readonly durationMs: number;
	readonly entryVmsPerZone: number;
	/** Connections that callers keep open to each entry VM. */
	readonly connectionsPerEntryVm: number;
};

/** What one seed has shown. */
export type StopSoakResult = SoakResult & {
	readonly stopCount: number;
	/** Stops that SIGKILL ended, with their pauses and their log lines. */
	readonly killed: readonly string[];
	/** Requests whose connection was open and closed without an answer over 200 ms later; also unread ones. */
	readonly closedLate: readonly string[];
};

const stopGraceMs = 6000;
const stopIntervalMs = {min: 800, max: 3500};
const requestIntervalMs = {min: 40, max: 500};
const runTimeMs = {min: 10, max: 900};
const pauseMs = {min: 80, max: 800};
const runBetweenPausesMs = {min: 60, max: 500};
const maxPauses = 10;
const pausedStopShare = 0.6;
const postShare = 0.8;
/** Time for which a caller waits after its connection failed. */
const reconnectMs = 50;
/** Time from which a request that a worker still runs at the end may stay unanswered, and until which it was sent. */
const allowance = {sentUntilMs: 3000, atWorkFromMs: (stopGraceMs * 5) / 6};

/** Time after which the rules count a request on a closed connection as read. */
const closedLateMs = 200;

type StopRecord = {
	readonly entryVm: string;
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	readonly isKilled: boolean;
	readonly pauses: PausePattern;
	/** Log lines of the phases of the stop. */
	readonly stopLines: readonly string[];
};

/** Runs one seed: stops and restarts entry VMs under load, and checks what callers and workers have seen. */
export async function runStopSoak(
	options: StopSoakOptions,
): Promise<StopSoakResult> {
	const random = seededRandom(options.seed);
	const installation = new PoolInstallation({
		zones: ['a', 'b'],
		entryVmsPerZone: options.entryVmsPerZone,
		workersPerZone: 2,
		processorMillis: 64_000,
	});
	const callers = new AbortController();
	try {
		await installation.start();
		const load = installation.entryVms.flatMap((entryVm) =>
			Array.from({length: options.connectionsPerEntryVm}, async () =>
				sendUntilAborted(
					installation,
					entryVm,
					seededRandom(random() * 1e9),
					callers.signal,
				),
			),
		);
		const stops = await stopInTurn(installation, options.durationMs, random);
		callers.abort();
		const sentByCaller = await Promise.all(load);
		return check(installation, options.seed, sentByCaller.flat(), stops);
	} finally {
		callers.abort();
		installation.close();
	}
}

/** Sends requests on one connection at a time to an entry VM, also while it stops, and connects again when it is closed. */
async function sendUntilAborted(
	installation: PoolInstallation,
	entryVm: PoolEntryVm,
	random: Random,
	signal: AbortSignal,
): Promise<readonly SentRequest[]> {
	const connection = new OpenConnection(entryVm);
	const sent: SentRequest[] = [];
	while (!signal.aborted) {
		const id = installation.newId();
		const isPost = random() < postShare;
		const method = random() < 0.5 ? 'GET' : 'DELETE';
		const runMs = Math.round(between(runTimeMs, random()));
		// eslint-disable-next-line no-await-in-loop -- one request after another
		const request = await (isPost
			? connection.submit(id, {
					runMs,
					needsMillis: 100,
					crashesWorker: false,
				})
			: connection.send(method, testQueue.prefix + id, '', id));
		sent.push(request);
		// eslint-disable-next-line no-await-in-loop
		await sleep(
			request.response.status === 0
				? reconnectMs
				: between(requestIntervalMs, random()),
		);
	}

	connection.close();
	return sent;
}

/** Stops entry VMs in series and overlapping, most of them with pauses, and starts each again once it has ended. */
async function stopInTurn(
	installation: PoolInstallation,
	durationMs: number,
	random: Random,
): Promise<readonly StopRecord[]> {
	const stops: Array<Promise<StopRecord>> = [];
	const stopping = new Set<PoolEntryVm>();
	const endsAtMs = performance.now() + durationMs;
	while (performance.now() < endsAtMs) {
		// eslint-disable-next-line no-await-in-loop -- stops begin one after another
		await sleep(between(stopIntervalMs, random()));
		const candidates = installation.entryVms.filter(
			(entryVm) => !stopping.has(entryVm) && isRunning(entryVm.child),
		);
		const entryVm = candidates[Math.floor(random() * candidates.length)];
		const isPaused = random() < pausedStopShare;
		const pauses: PausePattern = {
			runMs: between(runBetweenPausesMs, random()),
			pauseMs: between(pauseMs, random()),
			count: isPaused ? maxPauses : 0,
		};
		if (entryVm !== undefined) {
			stopping.add(entryVm);
			stops.push(
				(async () => {
					const stop = await stopAndRestart(installation, entryVm, pauses);
					stopping.delete(entryVm);
					return stop;
				})(),
			);
		}
	}

	return Promise.all(stops);
}

async function stopAndRestart(
	installation: PoolInstallation,
	entryVm: PoolEntryVm,
	pauses: PausePattern,
): Promise<StopRecord> {
	const startedAtMs = performance.now();
	const {child, lines} = entryVm;
	const firstLine = lines.length;
	const paused = pauseRepeatedly(child, pauses);
	const {isKilled, tookMs} = await stopAsPlatform(child, stopGraceMs);
	await paused;
	installation.restart(entryVm);
	await installation.waitUntilReady(entryVm);
	return {
		entryVm: entryVm.name,
		startedAtMs,
		endedAtMs: startedAtMs + tookMs,
		isKilled,
		pauses,
		stopLines: lines
			.slice(firstLine)
			.filter((line) =>
				/"event":"(?:stopping|answering-remaining|stopped)"/v.test(line),
			),
	};
}

function check(
	installation: PoolInstallation,
	seed: number,
	sent: readonly SentRequest[],
	stops: readonly StopRecord[],
): StopSoakResult {
	const runs = collectRuns(installation);
	const runsByJob = groupBy(runs, ({task}) => task.split('.')[0] ?? '');
	const describe = ({id, method, entryVm, sentAtMs, response}: SentRequest) => {
		const stop = findStop(stops, entryVm, sentAtMs);
		return `${method} ${id} at ${entryVm}, status ${response.status}, sent ${stop === undefined ? 'outside of a stop' : `${Math.round(sentAtMs - stop.startedAtMs)} ms after SIGTERM, process ended after ${Math.round(stop.endedAtMs - stop.startedAtMs)} ms`}`;
	};

	const isAllowed = ({id, entryVm, sentAtMs}: SentRequest) => {
		const stop = findStop(stops, entryVm, sentAtMs);
		return (
			stop !== undefined &&
			sentAtMs - stop.startedAtMs <= allowance.sentUntilMs &&
			(runsByJob.get(id) ?? []).some(
				({endedAtMs = Number.POSITIVE_INFINITY}) =>
					endedAtMs >= stop.startedAtMs + allowance.atWorkFromMs,
			)
		);
	};

	const jobs = sent.filter(({method}) => method === 'POST');
	const failures = [
		...findLostRequests(sent, installation.entryVms)
			.filter((request) => !isAllowed(request))
			.map((request) => `lost: ${describe(request)}`),
		...findOverlappingTasks(runs).map((task) => `two runs at once: ${task}`),
		...jobs
			.filter(
				({id, response}) =>
					response.status === 200 &&
					!(runsByJob.get(id) ?? []).some(({outcome}) => outcome === 'done'),
			)
			.map((request) => `not its own answer: ${describe(request)}`),
		...jobs
			.filter(
				({id, response}) =>
					[429, 503].includes(response.status) && runsByJob.has(id),
			)
			.map((request) => `refused and run: ${describe(request)}`),
	];
	return {
		seed,
		requestCount: sent.length,
		stopCount: stops.length,
		killed: stops
			.filter(({isKilled}) => isKilled)
			.map(
				({entryVm, pauses, stopLines}) =>
					`${entryVm}, paused for ${Math.round(pauses.pauseMs)} ms every ${Math.round(pauses.runMs)} ms: ${stopLines.join(' ')}`,
			),
		statuses: Object.fromEntries(
			[...groupBy(sent, ({response}) => response.status)].map(
				([status, requests]) => [status, requests.length],
			),
		),
		closedLate: sent
			.filter(
				({response: {status, sinceSentMs, body}}) =>
					status === 0 && sinceSentMs > closedLateMs && body !== 'ECONNREFUSED',
			)
			.map(
				(request) =>
					`${describe(request)}, ${request.response.body} after ${Math.round(request.response.sinceSentMs)} ms`,
			),
		failures,
		lines:
			failures.length === 0
				? []
				: installation.entryVms.flatMap(({lines}) => lines),
	};
}

function findStop(
	stops: readonly StopRecord[],
	entryVm: string,
	atMs: number,
): StopRecord | undefined {
	return stops.find(
		(stop) =>
			stop.entryVm === entryVm &&
			atMs >= stop.startedAtMs &&
			atMs <= stop.endedAtMs,
	);
}
