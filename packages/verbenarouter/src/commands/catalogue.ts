import process from 'node:process';
import {type Argv, type CommandModule} from 'yargs';
import {z} from 'zod';
import {exitCode} from './exit-code.js';
import {readJsonFile, readTextFile} from './input-file.js';
import {OperatorClient, type OperatorAnswer} from './operator-client.js';
import {
	formatHistory,
	formatItem,
	formatItems,
	formatStatus,
	formatVerdict,
} from './catalogue-format.js';

type Options = {
	readonly entryVm: string;
	readonly tokenFile: string;
	readonly json: boolean;
};
type ItemOptions = Options & {
	readonly kind: 'entry' | 'team';
	readonly name: string;
};
type PutOptions = Options & {
	readonly file: string;
	readonly basedOn: number | undefined;
	readonly editId: string | undefined;
};
type DeleteOptions = ItemOptions & {
	readonly basedOn: number;
	readonly editId: string | undefined;
};
type EditOptions = Options & {readonly editId: string};

const inputItemSchema = z.looseObject({
	kind: z.enum(['entry', 'team']),
	name: z.string().min(1),
});

const exitCodeByResponseCode: Readonly<Record<string, number>> = {
	'bad-request': exitCode.badInput,
	unauthenticated: exitCode.unauthenticated,
	'item-unknown': exitCode.notFound,
	'edit-unknown': exitCode.notFound,
	conflict: exitCode.conflict,
	'not-ready': exitCode.unavailable,
	'not-written': exitCode.notRun,
	'may-have-taken-effect': exitCode.mayHaveRun,
};

const listCommand: CommandModule<unknown, Options> = {
	command: 'list',
	describe: 'List all items with their revisions',
	builder: addConnectionOptions,
	async handler(options) {
		await callAndPrint(options, async (client) => client.list(), formatItems);
	},
};

const showCommand: CommandModule<unknown, ItemOptions> = {
	command: 'show <kind> <name>',
	describe: 'Show one item with its revision',
	builder: addItemOptions,
	async handler({kind, name, ...options}) {
		await callAndPrint(
			options,
			async (client) => client.show(kind, name),
			formatItem,
		);
	},
};

const historyCommand: CommandModule<unknown, ItemOptions> = {
	command: 'history <kind> <name>',
	describe: 'Show the latest changes of one item',
	builder: addItemOptions,
	async handler({kind, name, ...options}) {
		await callAndPrint(
			options,
			async (client) => client.history(kind, name),
			formatHistory,
		);
	},
};

const putCommand: CommandModule<unknown, PutOptions> = {
	command: 'put <file>',
	describe: 'Create or change the item in a file',
	builder: (command) =>
		addConnectionOptions(command)
			.positional('file', {
				type: 'string',
				demandOption: true,
				describe: 'Path of the item: JSON with comments, with kind and name',
			})
			.option('based-on', {
				type: 'number',
				describe:
					'Revision that the change is based on; 0, the default, creates the item',
			})
			.option('edit-id', editIdOption)
			.example(
				'$0 catalogue put macro-check.jsonc --based-on 17 --entry-vm http://127.0.0.1:8081 --token-file token',
				'Change the item that has revision 17',
			) as unknown as Argv<PutOptions>,
	async handler({file, basedOn, editId, ...options}) {
		const input = await readJsonFile(file);
		const item = input.isOk()
			? inputItemSchema.safeParse(input.value)
			: undefined;
		if (input.isErr() || !item?.success) {
			fail(
				input.isErr()
					? input.error
					: `${file}: ${item?.error ? z.prettifyError(item.error) : ''}`,
				exitCode.badInput,
			);
			return;
		}

		await callAndPrint(
			options,
			async (client) =>
				client.put(item.data.kind, item.data.name, {
					item: item.data,
					basedOn: basedOn ?? 0,
					...(editId === undefined ? {} : {editId}),
				}),
			formatVerdict,
		);
	},
};

const deleteCommand: CommandModule<unknown, DeleteOptions> = {
	command: 'delete <kind> <name>',
	describe: 'Delete one item',
	builder: (command) =>
		addItemOptions(command)
			.option('based-on', {
				type: 'number',
				demandOption: true,
				describe: 'Revision that the deletion is based on',
			})
			.option('edit-id', editIdOption) as unknown as Argv<DeleteOptions>,
	async handler({kind, name, basedOn, editId, ...options}) {
		await callAndPrint(
			options,
			async (client) => client.delete(kind, name, basedOn, editId),
			formatVerdict,
		);
	},
};

const editCommand: CommandModule<unknown, EditOptions> = {
	command: 'edit <edit-id>',
	describe: 'Show the outcome of an edit',
	builder: (command) =>
		addConnectionOptions(command).positional('edit-id', {
			...editIdOption,
			demandOption: true,
		}) as unknown as Argv<EditOptions>,
	async handler({editId, ...options}) {
		await callAndPrint(
			options,
			async (client) => client.edit(editId),
			formatVerdict,
		);
	},
};

const statusCommand: CommandModule<
	unknown,
	Options & {readonly revision: number | undefined}
> = {
	command: 'status',
	describe: 'Show how fresh the catalogue is, and where a revision is in force',
	builder: (command) =>
		addConnectionOptions(command).option('revision', {
			type: 'number',
			describe: 'Revision to check at each entry VM',
		}),
	async handler({revision, ...options}) {
		await callAndPrint(
			options,
			async (client) =>
				revision === undefined ? client.status() : client.inForce(revision),
			formatStatus,
		);
	},
};

/** The `catalogue` command, a client of the operator API. */
export const catalogueCommand: CommandModule = {
	command: 'catalogue',
	describe: 'List, show and change the catalogue',
	builder: (command) =>
		command
			.command(listCommand)
			.command(showCommand)
			.command(putCommand)
			.command(deleteCommand)
			.command(historyCommand)
			.command(editCommand)
			.command(statusCommand)
			.demandCommand(1, 'Name a command; --help lists them.')
			.example(
				'$0 catalogue list --entry-vm http://127.0.0.1:8081 --token-file token',
				'List all items',
			),
	handler() {
		// Never called: `demandCommand` requires a subcommand.
	},
};

const editIdOption = {
	type: 'string',
	describe: 'Identifier of the edit; generated and printed if it is not given',
} as const;

function addConnectionOptions(command: Argv): Argv<Options> {
	return command
		.option('entry-vm', {
			type: 'string',
			demandOption: true,
			describe: 'http://host:port of the operator API of any entry VM',
		})
		.option('token-file', {
			type: 'string',
			demandOption: true,
			describe: "Path of a file with the operators' bearer token",
		})
		.option('json', {
			type: 'boolean',
			default: false,
			describe: 'Print answers as JSON',
		}) as unknown as Argv<Options>;
}

function addItemOptions(command: Argv): Argv<ItemOptions> {
	return addConnectionOptions(command)
		.positional('kind', {
			choices: ['entry', 'team'] as const,
			demandOption: true,
			describe: 'Kind of the item',
		})
		.positional('name', {
			type: 'string',
			demandOption: true,
			describe: 'Name of the item',
		});
}

async function callAndPrint<T>(
	{entryVm, tokenFile, json}: Options,
	call: (client: OperatorClient) => Promise<OperatorAnswer<T>>,
	format: (answer: T) => string,
): Promise<void> {
	const token = await readTextFile(tokenFile);
	if (token.isErr()) {
		fail(token.error, exitCode.badInput);
		return;
	}

	const answer = await call(
		new OperatorClient({address: entryVm, token: token.value.trim()}),
	);
	if (answer.kind === 'answer') {
		console.log(json ? JSON.stringify(answer.body) : format(answer.body));
		process.exitCode = findExitCode(answer.body);
		return;
	}

	fail(
		json ? JSON.stringify(answer.problem) : formatProblem(answer.problem),
		exitCodeByResponseCode[answer.problem.code] ?? exitCode.unavailable,
	);
}

/** Returns the exit code for a response body, which depends on the verdict if the body is that of an edit. */
function findExitCode(body: unknown): number {
	return typeof body === 'object' && body !== null && 'code' in body
		? (exitCodeByResponseCode[String(body.code)] ?? exitCode.success)
		: exitCode.success;
}

function formatProblem({
	code,
	message,
	faults = [],
	presentRevision,
	editId,
}: Extract<OperatorAnswer<unknown>, {kind: 'problem'}>['problem']): string {
	return [
		`${code}: ${message ?? ''}`,
		...faults.map((fault) => `  ${fault.path}: ${fault.message}`),
		...(presentRevision === undefined
			? []
			: [`  the item has revision ${presentRevision}`]),
		...(editId === undefined ? [] : [`  edit ${editId}`]),
	].join('\n');
}

function fail(message: string, code: number): void {
	console.error(message);
	process.exitCode = code;
}
