#!/usr/bin/env node
/** Command-line tool that runs a soak, one seed after another: planned stops, or workers in trouble. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {type SoakResult} from './soak-support.js';
import {runStopSoak} from './stop-soak.js';
import {runWorkerSoak} from './worker-soak.js';

const options = await yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('kind', {
		choices: ['stops', 'workers'] as const,
		default: 'stops' as const,
		describe:
			'stops: entry VMs are stopped and paused; workers: tasks crash workers, capacities change, entry VMs are killed or stopped',
	})
	.option('workers', {
		type: 'number',
		default: 5,
		describe: 'Workers in each of two zones, for the kind workers',
	})
	.option('first-seed', {type: 'number', default: 1})
	.option('seeds', {type: 'number', default: 10})
	.option('seconds', {
		type: 'number',
		default: 10,
		describe: 'Time of each seed in which stops begin',
	})
	.option('entry-vms', {
		type: 'number',
		default: 2,
		describe: 'Entry VMs in each of two zones',
	})
	.option('connections', {
		type: 'number',
		default: 6,
		describe: 'Connections that callers keep open to each entry VM',
	})
	.option('output', {
		type: 'string',
		default: 'soak-failures',
		describe: 'Directory for the log lines of failing seeds',
	})
	.strict()
	.parse();

async function runSeed(
	seed: number,
): Promise<Pick<SoakResult, 'failures' | 'lines'>> {
	const size = {
		seed,
		durationMs: options.seconds * 1000,
		entryVmsPerZone: options['entry-vms'],
		connectionsPerEntryVm: options.connections,
	};
	try {
		return options.kind === 'stops'
			? await runStopSoak(size)
			: await runWorkerSoak({...size, workersPerZone: options.workers});
	} catch (error: unknown) {
		return {failures: [`seed ${seed} not run: ${String(error)}`], lines: []};
	}
}

let failedCount = 0;
for (
	let seed = options['first-seed'];
	seed < options['first-seed'] + options.seeds;
	seed += 1
) {
	// eslint-disable-next-line no-await-in-loop -- one seed after another
	const {lines, ...result} = await runSeed(seed);
	console.log(JSON.stringify(result));
	if (result.failures.length > 0) {
		failedCount += 1;
		mkdirSync(options.output, {recursive: true});
		writeFileSync(
			path.join(options.output, `seed-${seed}.log`),
			`${[...result.failures, ...lines].join('\n')}\n`,
		);
	}
}

console.log(`${failedCount} of ${options.seeds} seeds failed`);
process.exitCode = failedCount === 0 ? 0 : 1;
