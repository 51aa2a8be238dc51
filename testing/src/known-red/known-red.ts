/** A test that fails for a known fault. */
export type KnownRedTest = {
	/** Full name of the test: the titles of its groups and its own, joined by spaces. */
	readonly test: string;
	/** Lines of the entry, as they are printed. */
	readonly text: string;
};

/** A test file of a test run. */
export type TestFileResult = {
	readonly name: string;
	readonly isPassed: boolean;
	/** Full names of the tests that have failed. */
	readonly failedTests: readonly string[];
	/** Number of errors outside of the tests, such as those of hooks. */
	readonly errorCount: number;
};

/** Whether a test run passes apart from the known red tests. */
export type TestRunVerdict = {
	readonly isAccepted: boolean;
	/** Listed tests that have failed. */
	readonly knownFailures: readonly KnownRedTest[];
	/** Listed tests that have passed or are not in the run. */
	readonly notFailed: readonly KnownRedTest[];
	/** Names of failed tests that are not listed, and of files that failed outside of their tests. */
	readonly unknownFailures: readonly string[];
};

const testPrefix = 'test: ';

/**
 * Parses the list of known red tests: entries of several lines, separated by empty lines, each starting with `test: ` and
 * the full name of the test. Other paragraphs are ignored.
 */
export function parseKnownRed(text: string): readonly KnownRedTest[] {
	return text
		.split(/\n\s*\n/v)
		.map((entry) => entry.trim())
		.filter((entry) => entry.startsWith(testPrefix))
		.map((entry) => ({
			test: (entry.split('\n')[0] ?? '').slice(testPrefix.length).trim(),
			text: entry,
		}));
}

/**
 * Decides whether a test run passes: each failed test must be listed, no file may fail outside of its tests, and there
 * must be no errors outside of all files.
 */
export function decideTestRun(
	files: readonly TestFileResult[],
	otherErrorCount: number,
	knownRed: readonly KnownRedTest[],
): TestRunVerdict {
	const failedTests = files.flatMap((file) => file.failedTests);
	const failedFiles = files
		.filter(
			({isPassed, failedTests: own, errorCount}) =>
				errorCount > 0 || (!isPassed && own.length === 0),
		)
		.map(({name}) => name);
	const listed = new Set(knownRed.map(({test}) => test));
	const unknownFailures = [
		...failedTests.filter((name) => !listed.has(name)),
		...failedFiles,
	];
	return {
		isAccepted:
			files.length > 0 && unknownFailures.length === 0 && otherErrorCount === 0,
		knownFailures: knownRed.filter(({test}) => failedTests.includes(test)),
		notFailed: knownRed.filter(({test}) => !failedTests.includes(test)),
		unknownFailures,
	};
}
