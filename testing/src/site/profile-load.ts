/** Plays a load on a small installation, for the processor time of each entry VM; `--cpu-prof` profiles the processes. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {readFileSync} from 'node:fs';
import {SiteInstallation} from './site-installation.js';

const durationMs = Number(process.argv[2] ?? 10_000);
const jobsPerSecond = Number(process.argv[3] ?? 100);
const site = new SiteInstallation({
	zones: ['a', 'b', 'c'],
	entryVmsPerZone: 2,
	workersPerZone: 11,
	processorMillis: 64_000,
	nodeArguments: process.argv.includes('--cpu-prof')
		? ['--cpu-prof', '--cpu-prof-dir=/tmp/profiles']
		: [],
});
await site.start();
const statuses = new Map<number, number>();
const startedAtMs = performance.now();
let sent = 0;

async function submitNext(index: number): Promise<void> {
	const isWide = index % 4 === 0;
	const {status} = await site.submit(
		site.entryVms[index % site.entryVms.length]!,
		site.newId(),
		{
			count: isWide ? 8 : 2,
			runMs: isWide ? 60 : 200,
			needsMillis: 27_000,
		},
	);
	statuses.set(status, (statuses.get(status) ?? 0) + 1);
}

while (performance.now() - startedAtMs < durationMs) {
	sent += 1;
	// eslint-disable-next-line unicorn/prefer-top-level-await -- the next job does not wait for this one
	void submitNext(sent);
	// eslint-disable-next-line no-await-in-loop -- paces the load
	await sleep(1000 / jobsPerSecond);
}

await sleep(1000);
console.log(sent, Object.fromEntries(statuses));
for (const {name, child, lines} of site.entryVms) {
	const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(' ');
	const ticks = Number(fields[13]) + Number(fields[14]);
	console.log(name, `${ticks * 10} ms of processor`, `${lines.length} lines`);
	child.kill('SIGTERM');
}

await sleep(4500);
site.close();
// eslint-disable-next-line unicorn/no-process-exit -- the load tool ends here
process.exit(0);
