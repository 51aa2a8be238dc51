/** What entry VMs that lead pools of workers say to each other. */
import {
	type DesiredState,
	type Heartbeat,
	type PoolAnswer,
	type PoolJob,
	type WorkerEntry,
} from '@verbenarouter/core';

/** What the sender knows of the platform's store. */
export type StoreKnowledge = {
	readonly state: DesiredState | undefined;
	readonly workers: readonly WorkerEntry[];
	/** Milliseconds since the store was last read, by the sender or by the one it has this from. */
	readonly ageMs: number;
};

/** One message. Messages may be lost with their stream; nothing is sent again by the transport. */
export type PoolMessage =
	| {
			readonly type: 'heartbeat';
			readonly heartbeat: Heartbeat;
			/** Whether the sender cannot read the store and asks others for what they know. */
			readonly needsKnowledge: boolean;
			/** Whether the sender has lately read the store itself. */
			readonly readsStore: boolean;
	  }
	| {
			readonly type: 'submit';
			readonly job: PoolJob;
			/** Whether an earlier leader may have started tasks of it. */
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
			readonly reason: 'caller-left' | 'cancelled';
			/** Set when a reply is wanted. */
			readonly question?: number;
	  }
	| {
			readonly type: 'ask';
			readonly question: number;
			readonly about: 'state' | 'pending';
			/** A job, or a queue. */
			readonly name: string;
	  }
	| {
			readonly type: 'reply';
			readonly question: number;
			readonly value: string | number | boolean | undefined;
	  }
	| {readonly type: 'knowledge'; readonly knowledge: StoreKnowledge}
	/** Workers of zones that the sender gives up; the store may not list all of them at present. */
	| {readonly type: 'hand-over'; readonly workers: readonly WorkerEntry[]};
