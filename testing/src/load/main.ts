#!/usr/bin/env node
/** The load tool: offers one user's mix of jobs to installations that differ in their policies. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {compare, type Contender} from './comparison.js';
import {mixNames, mixOf} from './mix.js';
import {tableOf} from './table.js';

const millisecondsPerSecond = 1000;

const options = await yargs(hideBin(process.argv))
	.scriptName('load')
	.usage(
		'$0 [options]\n\nOffers a mix of jobs to one installation for each --policy, in alternating rounds with the same arrivals.',
	)
	.option('mix', {choices: mixNames, default: 'coastal' as const})
	.option('policy', {
		type: 'string',
		array: true,
		default: ['default={}'],
		describe:
			'NAME=SETTINGS: JSON that overrides the settings of the entry VMs',
	})
	.option('load', {
		type: 'number',
		default: 0.8,
		describe: 'Offered work as a share of the slots',
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
		describe: 'Processes among which the targets of a zone are divided',
	})
	.option('slots', {type: 'number', default: 8, describe: 'Slots of a target'})
	.option('largest-job', {
		type: 'number',
		default: 200,
		describe: 'Tasks of a job at most',
	})
	.option('seconds', {
		type: 'number',
		default: 10,
		describe: 'Length of a round',
	})
	.option('rounds', {type: 'number', default: 2})
	.option('warm-up', {type: 'number', default: 3, describe: 'Seconds'})
	.option('seed', {type: 'number', default: 1000})
	.option('stray-every', {
		type: 'number',
		default: 0,
		describe:
			'Send every n-th job to an entry VM that does not own its identifier; 0 for none',
	})
	.option('log', {
		choices: ['warn', 'info'] as const,
		default: 'warn' as const,
		describe: 'With info, entry VMs write their decisions to standard output',
	})
	.option('out', {type: 'string', describe: 'File for the results as JSON'})
	.strict()
	.help()
	.parseAsync();

function contenderOf(text: string): Contender {
	const [name = '', ...rest] = text.split('=');
	const settings = JSON.parse(rest.join('=') || '{}') as Record<
		string,
		unknown
	>;
	return {name, settings: {log: {level: options.log}, ...settings}};
}

const mix = mixOf(options.mix, options.largestJob);
const reports = await compare({
	contenders: options.policy.map((text) => contenderOf(text)),
	size: {
		mix,
		zones: options.zones,
		entryVmsPerZone: options.entryVms,
		targetsPerZone: options.targets,
		farmsPerZone: options.farms,
		slotsPerTarget: options.slots,
	},
	offer: {
		mix,
		share: options.load,
		slots: options.zones * options.targets * options.slots,
		durationMs: options.seconds * millisecondsPerSecond,
		seed: options.seed,
	},
	rounds: options.rounds,
	warmUpMs: options.warmUp * millisecondsPerSecond,
	strayEvery: options.strayEvery,
});
if (options.out !== undefined) {
	await mkdir(path.dirname(options.out), {recursive: true});
	await writeFile(
		options.out,
		`${JSON.stringify({command: process.argv.slice(2), reports}, undefined, '\t')}\n`,
	);
}

console.error(tableOf(reports));
