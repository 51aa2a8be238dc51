import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startVitest} from 'vitest/node';
import {decideTestRun, parseKnownRed} from './known-red.js';

// Runs all vitest tests; fails if a test fails that KNOWN-RED.txt does not list. Arguments select test files.
// Usage: run-tests.js [FILE_FILTER...]
const root = path.resolve(import.meta.dirname, '../../..');
const vitest = await startVitest('test', process.argv.slice(2), {
	root,
	watch: false,
});
const files = vitest.state.getTestModules().map((module) => ({
	name: module.moduleId,
	isPassed: module.state() === 'passed' || module.state() === 'skipped',
	failedTests: [...module.children.allTests('failed')].map((test) =>
		test.fullName.replaceAll(' > ', ' '),
	),
	errorCount: module.errors().length,
}));
const otherErrors = vitest.state.getUnhandledErrors().length;
await vitest.close();
const verdict = decideTestRun(
	files,
	otherErrors,
	parseKnownRed(readFileSync(path.join(root, 'KNOWN-RED.txt'), 'utf8')),
);
for (const {text} of verdict.knownFailures) {
	console.log(`known red, passed over:\n${text}\n`);
}

for (const {test} of verdict.notFailed) {
	console.log(`listed in KNOWN-RED.txt, but did not fail: ${test}`);
}

for (const name of verdict.unknownFailures) {
	console.log(`failed: ${name}`);
}

process.exitCode = verdict.isAccepted ? 0 : 1;
