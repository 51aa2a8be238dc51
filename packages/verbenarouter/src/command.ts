#!/usr/bin/env node
/** The `verbenarouter` command. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startEntryVm} from './entry-vm.js';
import {parseSettings, type Settings} from './settings.js';

const exitBadSettings = 2;

async function readSettings(path: string): Promise<Settings | undefined> {
	const result = parseSettings(await readFile(path, 'utf8'));
	if (result.isOk()) {
		return result.value;
	}

	for (const {path: field, line, message} of result.error) {
		console.error(
			`${path}:${line}: ${field === '' ? 'settings' : field}: ${message}`,
		);
	}

	return undefined;
}

await yargs(hideBin(process.argv))
	.scriptName('verbenarouter')
	.command(
		'entry',
		'Run an entry VM until SIGTERM.',
		(command) =>
			command
				.option('settings', {
					type: 'string',
					demandOption: true,
					describe: 'Path of the settings file',
				})
				.example(
					'$0 entry --settings entry.jsonc',
					'Run with the settings in entry.jsonc',
				),
		async ({settings: path}) => {
			const settings = await readSettings(path);
			if (settings === undefined) {
				process.exitCode = exitBadSettings;
				return;
			}

			const running = await startEntryVm(settings);
			process.once('SIGTERM', () => {
				void running.stop();
			});
			process.send?.({kind: 'ready'});
		},
	)
	.demandCommand(1)
	.strict()
	.help()
	.parseAsync();
