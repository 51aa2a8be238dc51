import process from 'node:process';
import {type CommandModule} from 'yargs';
import {startEntryVm} from '../entry-vm.js';
import {getErrorMessage} from '../error-message.js';
import {exitCode} from './exit-code.js';
import {readSettingsFile} from './input-file.js';

type Options = {readonly settings: string};

/** The `entry` command: runs an entry VM until SIGTERM or SIGINT, on which it hands over and drains before it exits. */
export const entryCommand: CommandModule<unknown, Options> = {
	command: 'entry',
	describe: 'Run an entry VM until SIGTERM',
	builder: (command) =>
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
	async handler({settings: path}) {
		const settings = await readSettingsFile(path);
		if (settings.isErr()) {
			console.error(settings.error);
			process.exitCode = exitCode.badInput;
			return;
		}

		try {
			const running = await startEntryVm(settings.value);
			const stop = () => {
				process.off('SIGTERM', stop);
				process.off('SIGINT', stop);
				void running.stop();
			};

			process.on('SIGTERM', stop);
			process.on('SIGINT', stop);
			process.send?.({kind: 'ready'});
		} catch (error: unknown) {
			console.error(
				`${path}: the entry VM cannot start: ${getErrorMessage(error)}`,
			);
			process.exitCode = exitCode.unavailable;
		}
	},
};
