import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {readMetrics} from './metrics-reader.js';
import {PoolInstallation, type PoolEntryVm} from './pool-installation.js';

// Measures messages between entry VMs by type, their bytes and processor time: at the start, idle, after the leader was
// killed, and after the event loops of all entry VMs have been stopped.
// Usage: measure-control.js [ZONES [ENTRY_VMS [WORKERS [PHASE_MS]]]]
const [zoneCount = 4, entryVmCount = 28, workerCount = 244, phaseMs = 5000] =
	process.argv.slice(2).map(Number);
/** Time for which all entry VMs are stopped at once: longer than the silence after which a peer counts as lost. */
const stallMs = 500;
const installation = new PoolInstallation({
	zones: Array.from({length: zoneCount}, (_, index) => `zone-${index + 1}`),
	entryVmsPerZone: Math.ceil(entryVmCount / zoneCount),
	workersPerZone: Math.ceil(workerCount / zoneCount),
	processorMillis: 64_000,
});

type Totals = ReadonlyMap<string, number>;

/** Returns the processor time of a process in milliseconds, 0 if it has ended. */
function readProcessorMs({child}: PoolEntryVm): number {
	try {
		const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(' ');
		// Fields 14 and 15 are the user and system time in clock ticks of 10 ms.
		return (Number(fields[13]) + Number(fields[14])) * 10;
	} catch {
		return 0;
	}
}

/** Sums the counters of the entry VMs, and their processor time under `processor`. */
async function readTotals(entryVms: readonly PoolEntryVm[]): Promise<Totals> {
	const totals = new Map<string, number>();
	const add = (key: string, value: number) => {
		totals.set(key, (totals.get(key) ?? 0) + value);
	};

	for (const entryVm of entryVms) {
		const processorMs = readProcessorMs(entryVm);
		add('processor', processorMs);
		totals.set(`processor of ${entryVm.name}`, processorMs);
	}

	const texts = await Promise.all(
		entryVms.map(async (entryVm) => readMetrics(entryVm)),
	);
	for (const line of texts.join('\n').split('\n')) {
		const [, key, value] =
			/^verbenarouter_(peer_\w+_total\{.*\}|events_total\{event="(?:peer-lost|peer-open|leadership|leader)".*\}) (.*)$/v.exec(
				line,
			) ?? [];
		if (key !== undefined) {
			add(key, Number(value));
		}
	}

	return totals;
}

/** Prints the differences since earlier totals, per second. */
function report(
	phase: string,
	before: Totals,
	after: Totals,
	tookMs: number,
): void {
	const difference = (key: string) =>
		(after.get(key) ?? 0) - (before.get(key) ?? 0);
	const perEntryVm = [...after.keys()]
		.filter((key) => key.startsWith('processor of '))
		.map((key) => difference(key) / tookMs);
	console.log(
		`${phase}: ${Math.round(tookMs)} ms, processor ${(difference('processor') / tookMs).toFixed(2)} cores, busiest ${Math.max(...perEntryVm).toFixed(3)}`,
	);
	const seconds = tookMs / 1000;
	for (const key of after.keys()) {
		const [, labels] = /^peer_messages_total(\{.*\})$/v.exec(key) ?? [];
		if (labels !== undefined && difference(key) > 0) {
			console.log(
				`  ${labels.replaceAll(/[\{\}"]/gv, '')}: ${(difference(key) / seconds).toFixed(1)} messages/s, ${(difference(`peer_bytes_total${labels}`) / 1000 / seconds).toFixed(1)} kB/s, ${(difference(`peer_handling_ms_total${labels}`) / seconds).toFixed(1)} ms/s`,
			);
		}

		if (
			/^(?:events_total|peer_streams)/v.test(key) &&
			difference(key) > 0 &&
			!key.includes('event="leader",')
		) {
			console.log(`  ${key}: ${difference(key)}`);
		}

		if (key.startsWith('events_total{event="leader"') && difference(key) > 0) {
			console.log(`  changes of the followed leader: ${difference(key)}`);
		}
	}
}

/** Waits for a phase and prints its totals. */
async function measurePhase(
	phase: string,
	entryVms: readonly PoolEntryVm[],
	action: () => Promise<void> = async () => undefined,
): Promise<void> {
	const before = await readTotals(entryVms);
	const startedAtMs = performance.now();
	await action();
	await sleep(phaseMs);
	const after = await readTotals(entryVms);
	report(phase, before, after, performance.now() - startedAtMs);
}

/** Returns the entry VM that leads most zones. */
async function findLeader(
	entryVms: readonly PoolEntryVm[],
): Promise<PoolEntryVm> {
	const zonesLed = await Promise.all(
		entryVms.map(async (entryVm) =>
			Number(
				/^verbenarouter_zones_led (.*)$/mv.exec(
					await readMetrics(entryVm),
				)?.[1] ?? 0,
			),
		),
	);
	return entryVms[zonesLed.indexOf(Math.max(...zonesLed))]!;
}

const startedAtMs = performance.now();
await installation.start();
const {entryVms} = installation;
await sleep(Math.max(0, phaseMs - (performance.now() - startedAtMs)));
report(
	'start',
	new Map(),
	await readTotals(entryVms),
	performance.now() - startedAtMs,
);
await sleep(phaseMs);
await measurePhase('idle', entryVms);
const leader = await findLeader(entryVms);
const others = entryVms.filter((entryVm) => entryVm !== leader);
await measurePhase('leader killed', others, async () => {
	leader.child.kill('SIGKILL');
});
await measurePhase('stalled', others, async () => {
	for (const {child} of others) {
		child.kill('SIGSTOP');
	}

	await sleep(stallMs);
	for (const {child} of others) {
		child.kill('SIGCONT');
	}
});
await measurePhase('after the stall', others);
installation.close();
// eslint-disable-next-line unicorn/no-process-exit -- ends the program although handles may be open
process.exit(0);
