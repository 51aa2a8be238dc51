/** Bundles the daemon into one file: reading hundreds of files takes longer than all else at a start. */
import {build} from 'esbuild';

const packageNames = ['core', 'peer', 'platform'];

await build({
	entryPoints: ['packages/verbenarouter/src/pool/daemon.ts'],
	bundle: true,
	platform: 'node',
	mainFields: ['module', 'main'],
	target: 'node20',
	format: 'esm',
	// Some libraries in the bundle are CommonJS and ask for built-in modules with `require`.
	banner: {
		js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
	},
	outfile: 'target/entry-vm.mjs',
	alias: {
		undici: './deploy/undici-pool.js',
		...Object.fromEntries(
			packageNames.map((name) => [
				`@verbenarouter/${name}`,
				`./packages/${name}/src/index.ts`,
			]),
		),
	},
});
