/**
 * Measures what the dispatcher's decisions cost per start, with targets that answer within the process:
 * `node testing/dist/load/measure-starts.js [TARGETS] > /dev/null`. The result goes to standard error.
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
import {entryItem, teamItem} from '../installation.js';

const [targetCount = '30'] = process.argv.slice(2);
const jobs = 400;
const tasksPerJob = 100;
const concurrentJobs = 20;
const runMs = 5;

const completed: TaskOutcome = {kind: 'completed', output: null, ranMs: runMs};
const targets: TargetClient = {
	start: async () =>
		new Promise((resolve) => {
			setTimeout(() => {
				resolve(completed);
			}, runMs);
		}),
	async cancel() {
		// Nothing is cancelled.
	},
	async close() {
		// Nothing is open.
	},
};
const silent: DecisionLog = {
	logPlacement() {
		// The baseline without lines.
	},
	logRouting() {
		// Nothing is routed.
	},
};

function targetOf(index: number): Target {
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

function orderOf(index: number): DispatchRequest {
	const team = teamItem('starts');
	const entry = entryItem('start');
	if (team.kind !== 'team' || entry.kind !== 'entry') {
		throw new Error('the fixtures are of other kinds');
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

async function measure(log: DecisionLog): Promise<Record<string, number>> {
	const dispatcher = new Dispatcher({
		targetClient: targets,
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
		Array.from({length: Number(targetCount)}, (_, index) => targetOf(index)),
	);
	const cpuBefore = process.cpuUsage();
	const startedAt = performance.now();
	let next = 0;
	const submitInTurn = async (): Promise<void> => {
		while (next < jobs) {
			next += 1;
			// eslint-disable-next-line no-await-in-loop -- one job after the other
			await dispatcher.dispatch(orderOf(next));
		}
	};

	await Promise.all(Array.from({length: concurrentJobs}, submitInTurn));
	const {user, system} = process.cpuUsage(cpuBefore);
	const starts = jobs * tasksPerJob;
	return {
		cpuMicrosecondsPerStart: Math.round(((user + system) / starts) * 10) / 10,
		startsPerSecond: Math.round(
			(starts / (performance.now() - startedAt)) * 1000,
		),
	};
}

const lines = new LoggerDecisionLog(
	createLogger({format: 'json', level: 'info'}, 'measured'),
);
await measure(silent);
const withoutLines = await measure(silent);
const withLines = await measure(lines);
console.error(
	JSON.stringify({targets: Number(targetCount), withoutLines, withLines}),
);
