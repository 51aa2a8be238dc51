import {
	type DesiredState,
	type Heartbeat,
	type PoolAnswer,
	type PoolJob,
	type WorkerEntry,
} from '@verbenarouter/core';

/** The sender's copy of the desired state and the worker entries of the platform's store. */
export type StoreKnowledge = {
	readonly state: DesiredState | undefined;
	readonly workers: readonly WorkerEntry[];
	/** Milliseconds since the copy was read from the store, by the sender or by the entry VM from which the sender has it. */
	readonly ageMs: number;
};

/** A message between entry VMs. A message can be lost with its stream; the transport does not resend it. */
export type PoolMessage =
	| {
			readonly type: 'heartbeat';
			readonly heartbeat: Heartbeat;
			/** Whether the sender cannot read the store and requests copies of it from other entry VMs. */
			readonly needsKnowledge: boolean;
			/** Whether the sender has recently read the store itself. */
			readonly readsStore: boolean;
	  }
	| {
			readonly type: 'submit';
			readonly job: PoolJob;
			/** Whether an earlier leader may have started tasks of the job. */
			readonly isResubmitted: boolean;
	  }
	| {readonly type: 'answer'; readonly id: string; readonly answer: PoolAnswer}
	| {
			readonly type: 'progress';
			readonly id: string;
			readonly doneTasks: readonly string[];
	  }
	| {
			readonly type: 'cancel';
			readonly id: string;
			/** `moved`: the sender, which received the job, submits it to another leader. */
			readonly reason: 'caller-left' | 'cancelled' | 'moved';
			/** Identifies the reply; absent if no reply is expected. */
			readonly question?: number;
	  }
	| {
			readonly type: 'ask';
			/** Identifies the reply. */
			readonly question: number;
			/** Whether the state of a job or the number of pending jobs of a queue is requested. */
			readonly about: 'state' | 'pending';
			/** Identifier of the job or name of the queue. */
			readonly name: string;
	  }
	| {
			readonly type: 'reply';
			readonly question: number;
			readonly value: string | number | boolean | undefined;
	  }
	| {readonly type: 'knowledge'; readonly knowledge: StoreKnowledge}
	/** Workers of zones whose leadership the sender hands over; the store may currently not list all of them. */
	| {readonly type: 'hand-over'; readonly workers: readonly WorkerEntry[]};
