#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {catalogueCommand} from './commands/catalogue.js';
import {checkSettingsCommand} from './commands/check-settings.js';
import {entryCommand} from './commands/entry.js';
import {explainCommand} from './commands/explain.js';
import {
	cancelCommand,
	statusCommand,
	submitCommand,
} from './commands/submit.js';

await yargs(hideBin(process.argv))
	.scriptName('verbenarouter')
	.command(entryCommand)
	.command(checkSettingsCommand)
	.command(explainCommand)
	.command(submitCommand)
	.command(statusCommand)
	.command(cancelCommand)
	.command(catalogueCommand)
	.demandCommand(1, 'Name a command; --help lists them.')
	.strict()
	.help()
	.parseAsync();
