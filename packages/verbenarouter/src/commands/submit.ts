import process from 'node:process';
import {CallerClient, type CallerFailure} from '@verbenarouter/caller';
import {jobSchema, type JobAnswer} from '@verbenarouter/core';
import {type Result} from 'neverthrow';
import {type Argv, type CommandModule} from 'yargs';
import {z} from 'zod';
import {exitCode, getVerdictExitCode} from './exit-code.js';
import {readJsonFile, readTextFile} from './input-file.js';

type CallerOptions = {
	readonly entryVm: string;
	readonly tokenFile: string;
	readonly json: boolean;
};
type SubmitOptions = CallerOptions & {
	readonly job: string;
	readonly identifier: string | undefined;
};
type IdentifierOptions = CallerOptions & {readonly identifier: string};

/** The `submit` command: submits a job and waits for its answer. */
export const submitCommand: CommandModule<unknown, SubmitOptions> = {
	command: 'submit <job>',
	describe: 'Submit a job and wait for its answer',
	builder: (command) =>
		addCallerOptions(command)
			.positional('job', {
				type: 'string',
				demandOption: true,
				describe: 'Path of the job: JSON with comments',
			})
			.option('identifier', {
				type: 'string',
				describe:
					'Identifier of an earlier attempt; a new one is reserved if it is not given',
			})
			.example(
				'$0 submit order.jsonc --entry-vm http://127.0.0.1:8080 --token-file token',
				'Submit the job in order.jsonc',
			),
	async handler({job: path, identifier, ...options}) {
		const input = await readJsonFile(path);
		const job = input.isOk() ? jobSchema.safeParse(input.value) : undefined;
		if (input.isErr() || !job?.success) {
			fail(
				input.isErr()
					? input.error
					: `${path}: ${job?.error ? z.prettifyError(job.error) : ''}`,
				exitCode.badInput,
			);
			return;
		}

		await withClient(options, async (client) => {
			const reserved =
				identifier === undefined ? await client.reserve() : undefined;
			const submissionIdentifier =
				identifier ?? (reserved?.isOk() ? reserved.value : undefined);
			if (submissionIdentifier === undefined) {
				fail(
					reserved?.isErr()
						? reserved.error.message
						: 'the entry VM reserved no identifier',
					exitCode.unavailable,
				);
				return;
			}

			// Printed before the submission, so that a caller that loses the answer can submit again with the same identifier.
			console.error(`identifier: ${submissionIdentifier}`);
			printResult(
				await client.submit(submissionIdentifier, job.data),
				options.json,
			);
		});
	},
};

/** The `status` command: shows the state of a submission. */
export const statusCommand: CommandModule<unknown, IdentifierOptions> = {
	command: 'status <identifier>',
	describe: 'Show the state of a submission',
	builder: addIdentifierOption,
	async handler({identifier, ...options}) {
		await withClient(options, async (client) => {
			const status = await client.status(identifier);
			if (status.isErr()) {
				fail(status.error.message, exitCode.unavailable);
				return;
			}

			const {state, answer} = status.value;
			console.log(
				options.json
					? JSON.stringify(status.value)
					: `${state}${answer ? `: ${formatAnswer(answer)}` : ''}`,
			);
			process.exitCode =
				answer === undefined
					? exitCode.success
					: getVerdictExitCode(answer.verdict);
		});
	},
};

/** The `cancel` command: cancels a submission and prints its final answer. */
export const cancelCommand: CommandModule<unknown, IdentifierOptions> = {
	command: 'cancel <identifier>',
	describe: 'Cancel a submission, and print its final answer',
	builder: addIdentifierOption,
	async handler({identifier, ...options}) {
		await withClient(options, async (client) => {
			printResult(await client.cancel(identifier), options.json);
		});
	},
};

function addCallerOptions(command: Argv): Argv<CallerOptions> {
	return command
		.option('entry-vm', {
			type: 'string',
			demandOption: true,
			describe: 'http://host:port of any entry VM',
		})
		.option('token-file', {
			type: 'string',
			demandOption: true,
			describe: "Path of a file with the team's bearer token",
		})
		.option('json', {
			type: 'boolean',
			default: false,
			describe: 'Print answers as JSON',
		}) as unknown as Argv<CallerOptions>;
}

function addIdentifierOption(command: Argv): Argv<IdentifierOptions> {
	return addCallerOptions(command).positional('identifier', {
		type: 'string',
		demandOption: true,
		describe: 'Identifier of the submission',
	});
}

async function withClient(
	{entryVm, tokenFile}: CallerOptions,
	use: (client: CallerClient) => Promise<void>,
): Promise<void> {
	const token = await readTextFile(tokenFile);
	if (token.isErr()) {
		fail(token.error, exitCode.badInput);
		return;
	}

	const client = new CallerClient({
		address: entryVm,
		token: token.value.trim(),
	});
	await use(client);
	await client.close();
}

function printResult(
	result: Result<JobAnswer, CallerFailure>,
	json: boolean,
): void {
	if (result.isErr()) {
		fail(
			`${result.error.verdict}: ${result.error.message}`,
			getVerdictExitCode(result.error.verdict),
		);
		return;
	}

	console.log(json ? JSON.stringify(result.value) : formatAnswer(result.value));
	process.exitCode = getVerdictExitCode(result.value.verdict);
}

function formatAnswer({verdict, outputs, refusal}: JobAnswer): string {
	const reason =
		refusal === undefined ? '' : ` (${refusal.code}) ${refusal.message}`;
	return `${verdict}${reason}${outputs === undefined ? '' : `\n${outputs.map((output) => JSON.stringify(output)).join('\n')}`}`;
}

function fail(message: string, code: number): void {
	console.error(message);
	process.exitCode = code;
}
