/** `verbenarouter explain`: tells from log files what became of a job. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {type CommandModule} from 'yargs';
import {getErrorMessage} from '../error-message.js';
import {storyOf} from '../pool/job-story.js';
import {exitCode} from './exit-code.js';

type Options = {readonly id: string; readonly files: readonly string[]};

const standardInput = 0;

/** Prints the log lines of a job in order of time, and its cause. */
export const explainCommand: CommandModule<unknown, Options> = {
	command: 'explain <id> [files..]',
	describe: 'Tell from log files, or standard input, what became of a job',
	builder: (command) =>
		command
			.positional('id', {
				type: 'string',
				demandOption: true,
				describe: 'Identifier of the job',
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
			const sources = files.length === 0 ? [standardInput] : files;
			const story = storyOf(
				id,
				sources.map((source) => readFileSync(source, 'utf8')).join('\n'),
			);
			for (const line of story.lines) {
				console.log(JSON.stringify(line));
			}

			if (story.unreadableCount > 0) {
				console.log(`${story.unreadableCount} lines could not be read.`);
			}

			console.log(`${id}: ${story.cause}`);
			process.exitCode = story.lines.length === 0 ? exitCode.badInput : 0;
		} catch (error: unknown) {
			console.error(getErrorMessage(error));
			process.exitCode = exitCode.badInput;
		}
	},
};
