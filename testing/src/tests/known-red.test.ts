import {describe, expect, it} from 'vitest';
import {
	decideTestRun,
	parseKnownRed,
	type TestFileResult,
} from '../known-red/known-red.js';

const knownRed = parseKnownRed(
	'# Heading.\n\ntest: group case one\nseen: twice in 50 seeds\n',
);

function fileFixture(
	failedTests: readonly string[],
	isPassed = false,
	errorCount = 0,
): TestFileResult {
	return {name: 'a.test.ts', isPassed, failedTests, errorCount};
}

describe('the list of known red tests', () => {
	it('reads the name and the lines of each entry', () => {
		expect(knownRed).toEqual([
			{
				test: 'group case one',
				text: 'test: group case one\nseen: twice in 50 seeds',
			},
		]);
		expect(parseKnownRed('# Heading.\nNone at present.\n')).toEqual([]);
	});

	it('passes over a listed test that fails', () => {
		const verdict = decideTestRun(
			[fileFixture(['group case one'])],
			0,
			knownRed,
		);
		expect(verdict.isAccepted).toBe(true);
		expect(verdict.knownFailures).toEqual(knownRed);
	});

	it('rejects a run in which any other test fails', () => {
		expect(
			decideTestRun(
				[fileFixture(['group case one', 'group two'])],
				0,
				knownRed,
			),
		).toMatchObject({isAccepted: false, unknownFailures: ['group two']});
	});

	it('rejects a run in which a file fails outside of its tests', () => {
		expect(decideTestRun([fileFixture([])], 0, knownRed)).toMatchObject({
			isAccepted: false,
			unknownFailures: ['a.test.ts'],
		});
	});

	it('rejects a run in which a file has errors outside of its tests, also beside a listed test that fails', () => {
		expect(
			decideTestRun([fileFixture(['group case one'], false, 1)], 0, knownRed),
		).toMatchObject({isAccepted: false, unknownFailures: ['a.test.ts']});
	});

	it('rejects a run with errors outside of all tests, and one without tests', () => {
		const files = [fileFixture(['group case one'])];
		expect(decideTestRun(files, 1, knownRed).isAccepted).toBe(false);
		expect(decideTestRun([], 0, knownRed).isAccepted).toBe(false);
	});

	it('names listed tests that have not failed', () => {
		expect(decideTestRun([fileFixture([], true)], 0, knownRed)).toMatchObject({
			isAccepted: true,
			notFailed: knownRed,
		});
	});
});
