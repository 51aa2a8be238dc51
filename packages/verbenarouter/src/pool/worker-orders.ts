/** Sends a scheduler's orders to workers, and gives it what comes of them. */
import {
	type OrderOutcome,
	type PoolScheduler,
	type WorkerOrders,
} from '@verbenarouter/core';
import {type WorkerClient} from '@verbenarouter/platform';

/** Orders over a client; `now` reads a clock that never jumps, in milliseconds. */
export function ordersOver(
	client: WorkerClient,
	scheduler: () => PoolScheduler,
	now: () => number,
): WorkerOrders {
	return {
		hold({worker, ...order}) {
			const sentAtMs = now();
			void taken(client.hold({worker, ...order}), (outcome) => {
				scheduler().holdAnswered(worker.id, sentAtMs, outcome, now());
			});
		},
		start({worker, task, ...order}) {
			void taken(client.start({worker, task, ...order}), (outcome) => {
				scheduler().startAnswered(worker.id, task, outcome, now());
			});
		},
		stop({worker, task, ...order}) {
			void taken(client.stop({worker, task, ...order}), (outcome) => {
				scheduler().stopAnswered(worker.id, task, outcome, now());
			});
		},
	};
}

async function taken(
	call: Promise<OrderOutcome>,
	take: (outcome: OrderOutcome) => void,
): Promise<void> {
	take(await call);
}
