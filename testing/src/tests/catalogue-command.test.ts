import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
	Installation,
	commandPath,
	createEntryItem,
	createTeamItem,
	tokenForTeam,
} from '../installation.js';

type CommandResult = {
	readonly code: number;
	readonly stdout: string;
	readonly stderr: string;
};

describe('verbenarouter catalogue', () => {
	let installation: Installation;
	let directory: string;

	beforeAll(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'catalogue-command-'));
		await writeFile(path.join(directory, 'token'), tokenForTeam('operators'));
		await writeFile(path.join(directory, 'wrong'), 'wrong');
		await writeFile(
			path.join(directory, 'entry.jsonc'),
			`// A comment\n${JSON.stringify(createEntryItem('macro-check'))}`,
		);
		await writeFile(
			path.join(directory, 'bad.jsonc'),
			'{"kind": "entry", "name": "price-check", "idempotent": "yes"}',
		);
		installation = await Installation.start({
			zones: ['zone-a'],
			entryVmsPerZone: 1,
			targetsPerZone: 1,
			items: [
				createTeamItem('coastal'),
				createTeamItem('operators', {role: 'operator'}),
			],
		});
	});

	afterAll(async () => {
		await installation.stop();
		await rm(directory, {recursive: true});
	});

	async function runCatalogueCommand(
		commandArguments: readonly string[],
		tokenFile = 'token',
	): Promise<CommandResult> {
		return new Promise((resolve) => {
			const child = execFile(
				process.execPath,
				[
					commandPath,
					'catalogue',
					...commandArguments,
					'--entry-vm',
					installation.entryVms[0]!.operatorAddress,
					'--token-file',
					path.join(directory, tokenFile),
				],
				(_error, stdout, stderr) => {
					resolve({code: child.exitCode ?? -1, stdout, stderr});
				},
			);
		});
	}

	it('puts, shows, lists and deletes items, and reports each outcome by its exit code', async () => {
		const file = path.join(directory, 'entry.jsonc');
		const firstPut = await runCatalogueCommand(['put', file, '--json']);
		expect(firstPut.code).toBe(0);
		const {revision} = JSON.parse(firstPut.stdout) as {revision: number};
		const conflict = await runCatalogueCommand(['put', file]);
		expect([conflict.code, conflict.stderr]).toEqual([
			6,
			expect.stringContaining(`the item has revision ${revision}`),
		]);
		const shown = await runCatalogueCommand(['show', 'entry', 'macro-check']);
		expect(shown.stdout).toContain(`// revision ${revision}`);
		const listed = await runCatalogueCommand(['list']);
		expect(listed.stdout.trim().split('\n')).toHaveLength(3);
		const status = await runCatalogueCommand([
			'status',
			'--revision',
			String(revision),
		]);
		expect(status.stdout).toContain('is known to be in force everywhere');
		const deleted = await runCatalogueCommand([
			'delete',
			'entry',
			'macro-check',
			'--based-on',
			String(revision),
		]);
		expect(deleted.code).toBe(0);
		const history = await runCatalogueCommand([
			'history',
			'entry',
			'macro-check',
		]);
		expect(history.stdout.trim().split('\n')).toHaveLength(2);
		expect(
			await runCatalogueCommand(['show', 'entry', 'macro-check']),
		).toMatchObject({
			code: 5,
		});
	});

	it('reports every fault of an invalid item, and rejects a wrong or missing token', async () => {
		const invalid = await runCatalogueCommand([
			'put',
			path.join(directory, 'bad.jsonc'),
		]);
		expect(invalid.code).toBe(2);
		expect(invalid.stderr).toContain('item.idempotent: ');
		expect(invalid.stderr).toContain('item.limits: ');
		expect(await runCatalogueCommand(['list'], 'wrong')).toMatchObject({
			code: 4,
		});
		expect(await runCatalogueCommand(['list'], 'missing')).toMatchObject({
			code: 2,
		});
	});
});
