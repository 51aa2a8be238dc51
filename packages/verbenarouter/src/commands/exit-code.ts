import {type Verdict} from '@verbenarouter/core';

/** Exit codes of the `verbenarouter` command, as docs/command-line.md lists them. */
export const exitCode = {
	/** The command succeeded; a submitted job completed. */
	success: 0,
	/** The command line is invalid, or an unexpected error occurred. */
	usage: 1,
	/** A settings or input file cannot be read or has faults. */
	badInput: 2,
	/** An address cannot be bound, or a server is unreachable or not ready. */
	unavailable: 3,
	/** The token does not belong to a team with the required role. */
	unauthenticated: 4,
	/** The catalogue has no such item or edit. */
	notFound: 5,
	/** The item has a different revision from the one that the edit is based on. */
	conflict: 6,
	/** The job failed after some of its tasks ran. */
	failed: 10,
	/** The job did not run, or the edit did not take effect, and never will. It can be sent again with a new identifier. */
	notRun: 11,
	/** The job may have run, or the edit may have taken effect. Request its state before sending it with a new identifier. */
	mayHaveRun: 12,
} as const;

const exitCodeByVerdict: Readonly<Record<Verdict, number>> = {
	completed: exitCode.success,
	failed: exitCode.failed,
	'not-run': exitCode.notRun,
	'may-have-run': exitCode.mayHaveRun,
};

/** Returns the exit code for the verdict on a job. */
export function getVerdictExitCode(verdict: Verdict): number {
	return exitCodeByVerdict[verdict];
}
