import {type WorkerStatusChange} from './worker-pool.js';

/** A decision of the scheduler as one log line, with the inputs that it was based on. */
export type PoolDecision =
	| {
			readonly event:
				'admitted' | 'refused' | 'joined' | 'adopted' | 'given-up';
			readonly id: string;
			readonly reason: string;
			readonly inputs: Readonly<Record<string, number | string>>;
	  }
	| {
			readonly event: 'placed' | 'run-ended' | 'run-stuck' | 'run-lost';
			readonly id: string;
			readonly task: string;
			readonly run: number;
			readonly worker: string;
			readonly reason: string;
			readonly inputs: Readonly<Record<string, number | string>>;
	  }
	| {
			readonly event: 'worker';
			readonly worker: string;
			readonly reason: WorkerStatusChange;
			readonly inputs: Readonly<Record<string, number | string>>;
	  }
	/** The grant of a receiver has ended while it has jobs here, so that nothing of them is started or extended; or is renewed. */
	| {
			readonly event: 'receiver-held' | 'receiver-released';
			readonly receiver: string;
			readonly inputs: Readonly<Record<string, number | string>>;
	  }
	/** The leader has not ticked for long, or drops its last zone while starts are not confirmed. */
	| {
			readonly event: 'leader-suspended' | 'last-zone-dropped';
			readonly inputs: Readonly<Record<string, number | string>>;
	  };
