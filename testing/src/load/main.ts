#!/usr/bin/env node
/** Command-line tool that compares dispatch policies under the same load, one installation per policy. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {comparePolicies, type ComparedPolicy} from './comparison.js';
import {mixNames, createJobMix} from './job-mix.js';
import {formatComparisonTable} from './comparison-table.js';

const millisecondsPerSecond = 1000;

const options = await yargs(hideBin(process.argv))
	.scriptName('load')
	.usage(
		'$0 [options]\n\nCompares policies: starts one installation per --policy and offers all of them the same jobs in alternating rounds.',
	)
	.option('mix', {choices: mixNames, default: 'coastal' as const})
	.option('policy', {
		type: 'string',
		array: true,
		default: ['default={}'],
		describe:
			'NAME=SETTINGS, where SETTINGS is JSON that overrides the entry VM settings',
	})
	.option('load', {
		type: 'number',
		default: 0.8,
		describe: 'Offered run time as a share of the time of all slots',
	})
	.option('zones', {type: 'number', default: 3})
	.option('entry-vms', {
		type: 'number',
		default: 2,
		describe: 'Entry VMs in each zone',
	})
	.option('targets', {
		type: 'number',
		default: 2,
		describe: 'Targets in each zone',
	})
	.option('farms', {
		type: 'number',
		default: 1,
		describe:
			'Processes that share the targets of each zone; must divide --targets',
	})
	.option('slots', {
		type: 'number',
		default: 8,
		describe: 'Slots of each target',
	})
	.option('largest-job', {
		type: 'number',
		default: 200,
		describe: 'Greatest number of tasks in a job',
	})
	.option('seconds', {
		type: 'number',
		default: 10,
		describe: 'Duration of a round',
	})
	.option('rounds', {type: 'number', default: 2})
	.option('warm-up', {
		type: 'number',
		default: 3,
		describe: 'Seconds of unmeasured load before the first round',
	})
	.option('seed', {type: 'number', default: 1000})
	.option('stray-every', {
		type: 'number',
		default: 0,
		describe:
			'Send every n-th job to an entry VM other than the one that issued its identifier; 0 for none',
	})
	.option('log', {
		choices: ['warn', 'info'] as const,
		default: 'warn' as const,
		describe:
			'Log level of the entry VMs; with info, they log each decision to standard output',
	})
	.option('out', {
		type: 'string',
		describe: 'File that the results are written to as JSON',
	})
	.strict()
	.help()
	.parseAsync();

function parsePolicy(text: string): ComparedPolicy {
	const [name = '', ...rest] = text.split('=');
	const settings = JSON.parse(rest.join('=') || '{}') as Record<
		string,
		unknown
	>;
	return {name, settings: {log: {level: options.log}, ...settings}};
}

const mix = createJobMix(options.mix, options.largestJob);
const reports = await comparePolicies({
	policies: options.policy.map((text) => parsePolicy(text)),
	installationSize: {
		mix,
		zones: options.zones,
		entryVmsPerZone: options.entryVms,
		targetsPerZone: options.targets,
		targetProcessesPerZone: options.farms,
		slotsPerTarget: options.slots,
	},
	offeredLoad: {
		mix,
		slotShare: options.load,
		slots: options.zones * options.targets * options.slots,
		durationMs: options.seconds * millisecondsPerSecond,
		seed: options.seed,
	},
	roundCount: options.rounds,
	warmUpMs: options.warmUp * millisecondsPerSecond,
	misrouteEvery: options.strayEvery,
});
if (options.out !== undefined) {
	await mkdir(path.dirname(options.out), {recursive: true});
	await writeFile(
		options.out,
		`${JSON.stringify({command: process.argv.slice(2), reports}, undefined, '\t')}\n`,
	);
}

console.error(formatComparisonTable(reports));
