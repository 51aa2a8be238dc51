/**
 * Measures the processor time that the target client takes for one task, against stand-ins in processes of their own.
 * `node testing/dist/measure-target-client.js [TASKS]`
 */
import process from 'node:process';
import {type Target} from '@verbenarouter/core';
import {HttpTaskTargets} from '@verbenarouter/target';
import {findFreePorts, kill, startStandIn} from './processes.js';

const targetCount = 3;
const tasksInFlight = 150;
const warmUpTasks = 3000;
const defaultTasks = 30_000;
const microsecondsPerSecond = 1_000_000;

const taskCount = Number(process.argv[2] ?? defaultTasks);
const ports = await findFreePorts(targetCount);
const parts = await Promise.all(
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
const list = parts.map(({name, zone, address}): Target => ({
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
const targets = new HttpTaskTargets({
	connectionsPerTarget: 60,
	connectTimeoutMs: 1000,
	clock: () => performance.timeOrigin + performance.now(),
});

async function runTasks(prefix: string, count: number): Promise<void> {
	let next = 0;
	const work = async (): Promise<void> => {
		while (next < count) {
			const index = next;
			next += 1;
			// eslint-disable-next-line no-await-in-loop -- one worker sends one task after the other
			const outcome = await targets.start(
				list[index % targetCount]!,
				{
					taskIdentifier: `${prefix}.${index}`,
					entry: 'macro-check',
					team: 'coastal',
					input: {value: 'x'.repeat(150)},
					deadlineAtMs: Date.now() + 60_000,
				},
				new AbortController().signal,
			);
			if (outcome.kind !== 'completed') {
				throw new Error(JSON.stringify(outcome));
			}
		}
	};

	await Promise.all(Array.from({length: tasksInFlight}, work));
}

await runTasks('warm-up', warmUpTasks);
const startedAt = performance.now();
const before = process.cpuUsage();
await runTasks('measured', taskCount);
const {user, system} = process.cpuUsage(before);
const elapsedMs = performance.now() - startedAt;
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
await targets.close();
await Promise.all(parts.map(async (part) => kill(part, 'SIGKILL')));
