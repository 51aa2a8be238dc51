import {
	type CommandOutcome,
	type PoolScheduler,
	type WorkerCommandSender,
} from '@verbenarouter/core';
import {type WorkerClient} from '@verbenarouter/platform';
import {type LogFields} from '../logger.js';
import {StartTiming} from './start-timing.js';

/** Log of late starts, and the longest lease in milliseconds, by which short leases are told. */
export type StartLog = {
	readonly leaseMs: number;
	readonly write: (fields: LogFields) => void;
};

/**
 * Creates a sender that sends a scheduler's commands with a client and passes their outcomes to the scheduler. `now`
 * reads a monotonic clock in milliseconds. `onError` receives an error while an outcome was handled; its worker is judged
 * by the next report. Late starts are logged if there is a `startLog`.
 */
export function createWorkerCommandSender(
	client: WorkerClient,
	scheduler: () => PoolScheduler,
	now: () => number,
	onError: (error: unknown) => void,
	startLog?: StartLog,
): WorkerCommandSender {
	const forwardOutcome = async (
		call: Promise<CommandOutcome>,
		handleOutcome: (outcome: CommandOutcome) => void,
	): Promise<void> => {
		try {
			handleOutcome(await call);
		} catch (error: unknown) {
			onError(error);
		}
	};

	return {
		hold({worker, ...command}) {
			const sent = {sentAtMs: now(), fencingToken: command.fencingToken};
			void forwardOutcome(client.hold({worker, ...command}), (outcome) => {
				scheduler().handleHoldOutcome(worker.id, sent, outcome, now());
			});
		},
		start(command) {
			const {worker, task, run} = command;
			// A run may have ended, and another one followed, while its command or outcome was on the way.
			const findRun = () => {
				const current = scheduler().pool.findWorker(worker.id)?.runs.get(task);
				return current?.run === run ? current : undefined;
			};

			const timing = new StartTiming(command, startLog?.leaseMs ?? 0);
			const logIfLate = (outcome: CommandOutcome): void => {
				const fields = timing.describe(outcome, now());
				if (fields !== undefined) {
					startLog?.write(fields);
				}
			};

			void forwardOutcome(
				client.start(
					command,
					(outcome) => {
						logIfLate(outcome);
						// A refusal may be of a command that another copy has overtaken.
						if (outcome.kind === 'done' && findRun() !== undefined) {
							scheduler().handleStartOutcome(worker.id, task, outcome, now());
						}
					},
					() => {
						const time = now();
						timing.recordSending(time);
						return (
							time <= command.sendUntilMs &&
							findRun()?.state === 'ordered' &&
							scheduler().pool.token === command.fencingToken
						);
					},
				),
				(outcome) => {
					logIfLate(outcome);
					if (findRun() !== undefined) {
						scheduler().handleStartOutcome(worker.id, task, outcome, now());
					}
				},
			);
		},
		stop({worker, task, ...command}) {
			void forwardOutcome(
				client.stop({worker, task, ...command}),
				(outcome) => {
					scheduler().handleStopOutcome(worker.id, task, outcome, now());
				},
			);
		},
	};
}
