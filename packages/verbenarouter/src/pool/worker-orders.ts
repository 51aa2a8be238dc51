/** Sends a scheduler's orders to workers, and gives it what comes of them. */
import {
	type CommandOutcome,
	type PoolScheduler,
	type WorkerCommandSender,
} from '@verbenarouter/core';
import {type WorkerClient} from '@verbenarouter/platform';

/** Orders over a client; `now` reads a clock that never jumps, in milliseconds. */
export function ordersOver(
	client: WorkerClient,
	scheduler: () => PoolScheduler,
	now: () => number,
): WorkerCommandSender {
	return {
		hold({worker, ...order}) {
			const sentAtMs = now();
			void taken(client.hold({worker, ...order}), (outcome) => {
				scheduler().handleHoldOutcome(worker.id, sentAtMs, outcome, now());
			});
		},
		start({worker, task, ...order}) {
			void taken(client.start({worker, task, ...order}), (outcome) => {
				scheduler().handleStartOutcome(worker.id, task, outcome, now());
			});
		},
		stop({worker, task, ...order}) {
			void taken(client.stop({worker, task, ...order}), (outcome) => {
				scheduler().handleStopOutcome(worker.id, task, outcome, now());
			});
		},
	};
}

async function taken(
	call: Promise<CommandOutcome>,
	take: (outcome: CommandOutcome) => void,
): Promise<void> {
	take(await call);
}
