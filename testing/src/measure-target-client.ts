/**
 * Measures the CPU time that the HTTP client of targets takes per task, against target stand-ins in separate processes:
 * `node testing/dist/measure-target-client.js [TASKS]`.
 */
import process from 'node:process';
import {type Target} from '@verbenarouter/core';
import {HttpTargetClient} from '@verbenarouter/target';
import {findFreePorts, kill, startStandIn} from './processes.js';

const targetCount = 3;
const tasksInFlight = 150;
const warmUpTasks = 3000;
const defaultTasks = 30_000;
const microsecondsPerSecond = 1_000_000;

const taskCount = Number(process.argv[2] ?? defaultTasks);
const ports = await findFreePorts(targetCount);
const standIns = await Promise.all(
	ports.map(async (port, index) =>
		startStandIn({
			role: 'target',
			name: `target-${index}`,
			zone: 'zone-a',
			port,
			options: JSON.stringify({slots: tasksInFlight}),
		}),
	),
);
const targetList = standIns.map(({name, zone, address}): Target => ({
	role: 'target',
	name,
	zone,
	rack: 'rack-1',
	state: 'live',
	address,
	slots: tasksInFlight,
	processors: 64,
	memoryMb: 131_072,
	accelerators: 0,
}));
const client = new HttpTargetClient({
	connectionsPerTarget: 60,
	connectTimeoutMs: 1000,
	clock: () => performance.timeOrigin + performance.now(),
});

/** Sends tasks to the targets in turn, `tasksInFlight` at a time, and waits until all of them have completed. */
async function runTasks(
	identifierPrefix: string,
	count: number,
): Promise<void> {
	let sentTasks = 0;
	const sendTasks = async (): Promise<void> => {
		while (sentTasks < count) {
			const index = sentTasks;
			sentTasks += 1;
			// eslint-disable-next-line no-await-in-loop -- each of the concurrent loops sends one task at a time
			const outcome = await client.start(
				targetList[index % targetCount]!,
				{
					taskIdentifier: `${identifierPrefix}.${index}`,
					entry: 'macro-check',
					team: 'coastal',
					input: {value: 'x'.repeat(150)},
					deadlineAtMs: Date.now() + 60_000,
				},
				new AbortController().signal,
			);
			if (outcome.kind !== 'completed') {
				throw new Error(
					`expected task ${index} to complete, got ${JSON.stringify(outcome)}`,
				);
			}
		}
	};

	await Promise.all(Array.from({length: tasksInFlight}, sendTasks));
}

await runTasks('warm-up', warmUpTasks);
const startedAtMs = performance.now();
const cpuBefore = process.cpuUsage();
await runTasks('measured', taskCount);
const {user, system} = process.cpuUsage(cpuBefore);
const elapsedMs = performance.now() - startedAtMs;
console.log(
	JSON.stringify({
		tasks: taskCount,
		microsecondsPerTask: Math.round(((user + system) / taskCount) * 10) / 10,
		tasksPerSecondOfProcessor: Math.round(
			(taskCount * microsecondsPerSecond) / (user + system),
		),
		elapsedMs: Math.round(elapsedMs),
	}),
);
await client.close();
await Promise.all(standIns.map(async (standIn) => kill(standIn, 'SIGKILL')));
