import {type WaitingJob} from '../job-queue.js';
import {type Target} from '../machine.js';

/** Returns a live target with 8 slots in zone-a. */
export function targetFixture(
	name: string,
	overrides: Partial<Target> = {},
): Target {
	return {
		role: 'target',
		name,
		zone: 'zone-a',
		rack: 'rack-1',
		state: 'live',
		address: `http://${name}:80`,
		slots: 8,
		processors: 64,
		memoryMb: 131_072,
		accelerators: 0,
		...overrides,
	};
}

/** Returns a job whose tasks are all waiting. */
export function jobFixture(
	identifier: string,
	overrides: Partial<WaitingJob> = {},
): WaitingJob {
	return {
		identifier,
		team: 'coastal',
		entry: 'macro-check',
		arrivedAtMs: 0,
		workMs: 100,
		longestMs: 100,
		waitingWorkMs: 0,
		...overrides,
	};
}
