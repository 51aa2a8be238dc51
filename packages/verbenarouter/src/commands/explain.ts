import {readFileSync} from 'node:fs';
import process from 'node:process';
import {type CommandModule} from 'yargs';
import {getErrorMessage} from '../error-message.js';
import {explainJob} from '../pool/job-explanation.js';
import {exitCode} from './exit-code.js';

type Options = {readonly id: string; readonly files: readonly string[]};

/** File descriptor of standard input, which is read if no files are given. */
const stdinFileDescriptor = 0;

/**
 * The `explain` command: prints the log lines of a job in order of time and a summary of its outcome; exits with
 * `exitCode.badInput` if there are no lines.
 */
export const explainCommand: CommandModule<unknown, Options> = {
	command: 'explain <id> [files..]',
	describe: 'Explain the outcome of a job from log files or standard input',
	builder: (command) =>
		command
			.positional('id', {
				type: 'string',
				demandOption: true,
				describe: 'Job identifier',
			})
			.positional('files', {
				type: 'string',
				array: true,
				default: [],
				describe: 'Log files of the entry VMs',
			})
			.example(
				'$0 explain 1f45059b45e59199 logs/*.log',
				'Explain one job from the logs of all entry VMs',
			),
	handler({id, files}) {
		try {
			const sources = files.length === 0 ? [stdinFileDescriptor] : files;
			const explanation = explainJob(
				id,
				sources.map((source) => readFileSync(source, 'utf8')).join('\n'),
			);
			for (const line of explanation.lines) {
				console.log(JSON.stringify(line));
			}

			if (explanation.unreadableCount > 0) {
				console.log(
					`${explanation.unreadableCount} lines could not be parsed.`,
				);
			}

			console.log(`${id}: ${explanation.summary}`);
			process.exitCode = explanation.lines.length === 0 ? exitCode.badInput : 0;
		} catch (error: unknown) {
			console.error(getErrorMessage(error));
			process.exitCode = exitCode.badInput;
		}
	},
};
