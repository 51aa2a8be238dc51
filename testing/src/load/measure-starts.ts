/**
 * Measures the CPU time that the dispatcher takes per task start, with and without decision logging, against targets that
 * are simulated in the same process: `node testing/dist/load/measure-starts.js [TARGETS] > /dev/null`. The log lines go to
 * standard output, the result to standard error.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	UncoordinatedSlots,
	type Target,
	type TaskOutcome,
} from '@verbenarouter/core';
import {
	Dispatcher,
	LoggerDecisionLog,
	createLogger,
	monotonicClock,
	type DecisionLog,
	type DispatchRequest,
} from 'verbenarouter';
import {type TargetClient} from '@verbenarouter/target';
import {createEntryItem, createTeamItem} from '../installation.js';

const [targetCount = '30'] = process.argv.slice(2);
const jobCount = 400;
const tasksPerJob = 100;
const concurrentJobs = 20;
const runMs = 5;

const completedOutcome: TaskOutcome = {
	kind: 'completed',
	output: null,
	ranMs: runMs,
};
const targetClient: TargetClient = {
	start: async () =>
		new Promise((resolve) => {
			setTimeout(() => {
				resolve(completedOutcome);
			}, runMs);
		}),
	async cancel() {
		// No task is cancelled.
	},
	async close() {
		// There are no connections to close.
	},
};
/** Decision log that drops every line, for the baseline. */
const silentLog: DecisionLog = {
	logPlacement() {
		// Dropped.
	},
	logRouting() {
		// Dropped.
	},
};

function createTarget(index: number): Target {
	return {
		role: 'target',
		name: `target-${index}`,
		zone: 'zone-a',
		rack: 'rack-1',
		state: 'live',
		address: `http://127.0.0.1:${index}`,
		slots: 8,
		processors: 64,
		memoryMb: 131_072,
		accelerators: 0,
	};
}

function createJobOrder(index: number): DispatchRequest {
	const team = createTeamItem('starts');
	const entry = createEntryItem('start');
	if (team.kind !== 'team' || entry.kind !== 'entry') {
		throw new Error(
			`expected fixtures of kinds team and entry, not ${team.kind} and ${entry.kind}`,
		);
	}

	return {
		identifier: `job-${index}`,
		team,
		entry,
		job: {
			entry: entry.name,
			tasks: Array.from({length: tasksPerJob}, () => ({input: null})),
		},
		deadlineAtMs: monotonicClock() + 60_000,
	};
}

/** Dispatches all jobs with a decision log and returns the CPU time per task start and the rate of starts. */
async function measureDispatch(
	log: DecisionLog,
): Promise<Record<string, number>> {
	const dispatcher = new Dispatcher({
		targetClient,
		clock: monotonicClock,
		log,
		slots: new UncoordinatedSlots(),
		zone: 'zone-a',
		placement: {
			policy: 'least-in-flight',
			slots: 'shared',
			order: 'fair-shortest-first',
			estimates: 'learned',
			stretch: 16,
			fairnessMs: 1000,
			headroom: 0.15,
		},
		seed: 1,
	});
	dispatcher.updateTargets(
		Array.from({length: Number(targetCount)}, (_, index) =>
			createTarget(index),
		),
	);
	const cpuBefore = process.cpuUsage();
	const startedAtMs = performance.now();
	let submittedJobs = 0;
	const submitJobs = async (): Promise<void> => {
		while (submittedJobs < jobCount) {
			submittedJobs += 1;
			// eslint-disable-next-line no-await-in-loop -- `concurrentJobs` loops run at once, each with one job at a time
			await dispatcher.dispatch(createJobOrder(submittedJobs));
		}
	};

	await Promise.all(Array.from({length: concurrentJobs}, submitJobs));
	const {user, system} = process.cpuUsage(cpuBefore);
	const starts = jobCount * tasksPerJob;
	return {
		cpuMicrosecondsPerStart: Math.round(((user + system) / starts) * 10) / 10,
		startsPerSecond: Math.round(
			(starts / (performance.now() - startedAtMs)) * 1000,
		),
	};
}

const jsonLog = new LoggerDecisionLog(
	createLogger({format: 'json', level: 'info'}, 'measured'),
);
await measureDispatch(silentLog);
const withoutLines = await measureDispatch(silentLog);
const withLines = await measureDispatch(jsonLog);
console.error(
	JSON.stringify({targets: Number(targetCount), withoutLines, withLines}),
);
