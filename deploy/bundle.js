/** Bundles the daemon into one file: reading hundreds of files takes longer than all else at a start. */
import {copyFile} from 'node:fs/promises';
import {build} from 'esbuild';

const packageNames = ['core', 'peer', 'platform'];

await build({
	entryPoints: ['packages/verbenarouter/src/pool/daemon.ts'],
	bundle: true,
	platform: 'node',
	mainFields: ['module', 'main'],
	target: 'node20',
	// Only CommonJS can be run from compiled code that was kept.
	format: 'cjs',
	outfile: 'target/entry-vm.cjs',
	alias: Object.fromEntries(
		packageNames.map((name) => [
			`@verbenarouter/${name}`,
			`./packages/${name}/src/index.ts`,
		]),
	),
});
await copyFile('deploy/start.cjs', 'target/start.cjs');
