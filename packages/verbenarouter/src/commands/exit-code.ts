/** Exit codes of the `verbenarouter` command. */
import {type Verdict} from '@verbenarouter/core';

/** Exit codes of the `verbenarouter` command, as docs/command-line.md lists them. */
export const exitCode = {
	success: 0,
	/** The command line itself is wrong, or something unexpected happened. */
	usage: 1,
	/** A settings or input file cannot be read or has faults. */
	badInput: 2,
	/** An address cannot be bound, or a server cannot be reached. */
	unavailable: 3,
	/** The token is not that of a team with the role that is needed. */
	unauthenticated: 4,
	/** The catalogue has no such item or edit. */
	notFound: 5,
	/** The item has another revision than the one that the edit was based on. */
	conflict: 6,
	/** The job failed: some of its tasks ran. */
	failed: 10,
	/** The job did not run, or the edit did not take effect, and will not: it may be sent again under another identifier. */
	notRun: 11,
	/** The job may have run, or the edit may have taken effect: ask again before sending it under another identifier. */
	mayHaveRun: 12,
} as const;

const exitCodeByVerdict: Readonly<Record<Verdict, number>> = {
	completed: exitCode.success,
	failed: exitCode.failed,
	'not-run': exitCode.notRun,
	'may-have-run': exitCode.mayHaveRun,
};

/** The exit code that tells a script the verdict on a job. */
export function exitCodeOf(verdict: Verdict): number {
	return exitCodeByVerdict[verdict];
}
