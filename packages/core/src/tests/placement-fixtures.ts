/** Targets and jobs for tests of placement and order. */
import {type WaitingJob} from '../job-queue.js';
import {type Target} from '../member.js';

/** A live target of 8 slots in zone-a. */
export function targetFixture(
	name: string,
	change: Partial<Target> = {},
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
		...change,
	};
}

/** A job whose tasks all wait. */
export function jobFixture(
	identifier: string,
	change: Partial<WaitingJob> = {},
): WaitingJob {
	return {
		identifier,
		team: 'coastal',
		entry: 'macro-check',
		arrivedAtMs: 0,
		workMs: 100,
		longestMs: 100,
		waitingWorkMs: 0,
		...change,
	};
}
