import process from 'node:process';
import {type CommandModule} from 'yargs';
import {exitCode} from './exit-code.js';
import {readSettingsFile} from './input-file.js';

type Options = {readonly file: string; readonly json: boolean};

/** The `check-settings` command: checks a settings file and prints every fault with its line and field. */
export const checkSettingsCommand: CommandModule<unknown, Options> = {
	command: 'check-settings <file>',
	describe: 'Check a settings file without starting anything',
	builder: (command) =>
		command
			.positional('file', {
				type: 'string',
				demandOption: true,
				describe: 'Path of the settings file',
			})
			.option('json', {
				type: 'boolean',
				default: false,
				describe: 'Print the settings with their defaults as JSON',
			})
			.example(
				'$0 check-settings entry.jsonc',
				'Print the faults of entry.jsonc, if any',
			),
	async handler({file, json}) {
		const settings = await readSettingsFile(file);
		if (settings.isErr()) {
			console.error(settings.error);
			process.exitCode = exitCode.badInput;
			return;
		}

		console.log(
			json
				? JSON.stringify(settings.value, undefined, '\t')
				: `${file}: no faults`,
		);
	},
};
