/** Bundles the daemon into one file, because reading hundreds of module files takes the largest part of the start time. */
import {copyFile} from 'node:fs/promises';
import {build} from 'esbuild';

const packageNames = ['core', 'peer', 'platform'];

await build({
	entryPoints: ['packages/verbenarouter/src/pool/daemon.ts'],
	bundle: true,
	platform: 'node',
	mainFields: ['module', 'main'],
	target: 'node20',
	// `vm.Script`, which start.cjs loads V8's code cache into, runs CommonJS only.
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
