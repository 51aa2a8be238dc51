import {type ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Pauses of a process from outside: it runs for `runMs`, then does nothing for `pauseMs`, and so on. */
export type PausePattern = {
	readonly runMs: number;
	readonly pauseMs: number;
	readonly count: number;
};

/** Whether the process of a child has not ended yet. */
export function isRunning({exitCode, signalCode}: ChildProcess): boolean {
	return exitCode === null && signalCode === null;
}

/** Makes a process late, as one without enough processor time is. */
export async function pauseRepeatedly(
	child: ChildProcess,
	{runMs, pauseMs, count}: PausePattern,
): Promise<void> {
	for (let index = 0; index < count && isRunning(child); index += 1) {
		// eslint-disable-next-line no-await-in-loop -- one pause after another
		await sleep(runMs);
		child.kill('SIGSTOP');
		// eslint-disable-next-line no-await-in-loop
		await sleep(pauseMs);
		child.kill('SIGCONT');
	}
}

/** Stops a process as the platform does: SIGTERM, and SIGKILL once the grace period has passed. Resolves when it has ended. */
export async function stopAsPlatform(
	child: ChildProcess,
	graceMs: number,
): Promise<{readonly isKilled: boolean; readonly tookMs: number}> {
	const startedAtMs = performance.now();
	const ended = waitForExit(child);
	const killTimer = setTimeout(() => {
		child.kill('SIGKILL');
	}, graceMs);
	child.kill('SIGTERM');
	await ended;
	clearTimeout(killTimer);
	return {
		isKilled: child.signalCode === 'SIGKILL',
		tookMs: performance.now() - startedAtMs,
	};
}

/** Ends a process without a warning. Resolves when it has ended. */
export async function killProcess(child: ChildProcess): Promise<void> {
	const ended = waitForExit(child);
	child.kill('SIGKILL');
	await ended;
}

async function waitForExit(child: ChildProcess): Promise<void> {
	return new Promise((resolve) => {
		child.once('exit', () => {
			resolve();
		});
	});
}
