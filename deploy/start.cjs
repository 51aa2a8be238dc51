/**
 * Runs the bundled daemon with the V8 code cache that the build has written, which shortens the start by a third.
 *
 * `start.cjs keep` runs two entry VMs on loopback and writes the code cache of the functions that they compiled. V8
 * rejects a cache that was written under other Node options, and then compiles the daemon as usual.
 */
'use strict';
const fs = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundle = path.join(__dirname, 'entry-vm.cjs');
const kept = path.join(__dirname, 'entry-vm.compiled');
/** Milliseconds for which the two entry VMs run before the code cache is written. Their warm-up jobs end earlier. */
const keepAfterMs = 6000;
/** First of the twenty ports reserved for this build. The process id selects one of 2000 such ranges, so that concurrent builds rarely collide. */
const firstPort = 20_000 + (process.pid % 2000) * 20;

function load(cachedData) {
	const script = new Script(wrap(fs.readFileSync(bundle, 'utf8')), {
		filename: bundle,
		cachedData,
	});
	if (script.cachedDataRejected === true) {
		console.error(
			`V8 rejected the code cache ${kept}: it was written by another Node version, with other Node options or for another bundle`,
		);
	}

	return script;
}

function run(script) {
	const bundled = {exports: {}};
	script.runInThisContext()(
		bundled.exports,
		require,
		bundled,
		bundle,
		__dirname,
	);
}

function writeSettings(name, first, seed) {
	const address = (offset) => `127.0.0.1:${first + offset}`;
	const file = path.join(__dirname, `${name}.json`);
	fs.writeFileSync(
		file,
		JSON.stringify({
			name,
			zone: 'a',
			zones: ['a'],
			callerAddress: address(0),
			readinessAddress: address(1),
			peerAddress: address(2),
			metricsAddress: address(3),
			storeAddress: address(4),
			peerSeeds: [`127.0.0.1:${seed + 2}`],
			isFirstStart: true,
			processorShare: 1,
			workerLeaseMs: 1000,
			workerStopMs: 50,
			stopGraceMs: 6000,
		}),
	);
	return file;
}

function end() {
	// eslint-disable-next-line unicorn/no-process-exit -- the two entry VMs keep running
	process.exit(0);
}

function keep() {
	process.on('uncaughtException', (error) => {
		console.error(
			`cannot write the code cache ${kept}, entry VMs start more slowly: ${error}`,
		);
		end();
	});
	const secondPort = firstPort + 10;
	const script = load();
	for (const [name, port, seed] of [
		['first', firstPort, secondPort],
		['second', secondPort, firstPort],
	]) {
		process.env.VERBENAROUTER_SETTINGS = writeSettings(name, port, seed);
		run(script);
	}

	setTimeout(() => {
		fs.writeFileSync(kept, script.createCachedData());
		end();
	}, keepAfterMs);
}

if (process.argv[2] === 'keep') {
	keep();
} else {
	run(load(fs.existsSync(kept) ? fs.readFileSync(kept) : undefined));
}
