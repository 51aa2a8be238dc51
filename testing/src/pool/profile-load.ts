import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {readFileSync} from 'node:fs';
import {PoolInstallation} from './pool-installation.js';

// Measures the processor time of each entry VM under load; `--cpu-prof` writes CPU profiles of the entry VMs.
// Usage: profile-load.js [DURATION_MS [JOBS_PER_SECOND [--cpu-prof]]]
const durationMs = Number(process.argv[2] ?? 10_000);
const jobsPerSecond = Number(process.argv[3] ?? 100);
const installation = new PoolInstallation({
	zones: ['a', 'b', 'c'],
	entryVmsPerZone: 2,
	workersPerZone: 11,
	processorMillis: 64_000,
	nodeArguments: process.argv.includes('--cpu-prof')
		? ['--cpu-prof', '--cpu-prof-dir=/tmp/profiles']
		: [],
});
await installation.start();
const countByStatus = new Map<number, number>();
const startedAtMs = performance.now();
let sentCount = 0;

/** Submits a job: every fourth has 8 short tasks, the others have 2 long ones. */
async function submitJob(index: number): Promise<void> {
	const isWide = index % 4 === 0;
	const {status} = await installation.submit(
		installation.entryVms[index % installation.entryVms.length]!,
		installation.newId(),
		{
			count: isWide ? 8 : 2,
			runMs: isWide ? 60 : 200,
			needsMillis: 27_000,
		},
	);
	countByStatus.set(status, (countByStatus.get(status) ?? 0) + 1);
}

while (performance.now() - startedAtMs < durationMs) {
	sentCount += 1;
	// eslint-disable-next-line unicorn/prefer-top-level-await -- the load continues without waiting for the answer
	void submitJob(sentCount);
	// eslint-disable-next-line no-await-in-loop -- keeps the rate of the load
	await sleep(1000 / jobsPerSecond);
}

await sleep(1000);
console.log(sentCount, Object.fromEntries(countByStatus));
for (const {name, child, lines} of installation.entryVms) {
	// Fields 14 and 15 of /proc/PID/stat are the user and system time in clock ticks of 10 ms.
	const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(' ');
	const clockTicks = Number(fields[13]) + Number(fields[14]);
	console.log(
		name,
		`${clockTicks * 10} ms of processor time`,
		`${lines.length} log lines`,
	);
	child.kill('SIGTERM');
}

await sleep(4500);
installation.close();
// eslint-disable-next-line unicorn/no-process-exit -- ends the program although handles may be open
process.exit(0);
