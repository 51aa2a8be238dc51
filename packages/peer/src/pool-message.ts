import {
	type DesiredState,
	type Heartbeat,
	type LearnedSpeeds,
	type LostRun,
	type PoolAnswer,
	type PoolJob,
	type ReturnableJobsNotice,
	type WorkerEntry,
} from '@verbenarouter/core';

/** Versions of the desired state and of the list of workers; 0 and an empty text are none. */
export type KnowledgeVersions = {
	readonly state: number;
	readonly workers: string;
	/** Version of the list of entry VMs; absent in earlier versions of the program, which expect the list at intervals. */
	readonly members?: string;
};

/** The sender's copy of the desired state and the worker entries of the platform's store. */
export type StoreKnowledge = {
	/** Absent if the receiver has it, or if the sender has none. */
	readonly state: DesiredState | undefined;
	/** Absent if the receiver has them. */
	readonly workers: readonly WorkerEntry[] | undefined;
	/** Versions of the sender's copy; absent in earlier versions of the program. */
	readonly versions?: KnowledgeVersions;
	/** Milliseconds since the copy was read from the store, by the sender or by the entry VM from which the sender has it. */
	readonly ageMs: number;
};

/** A job that its receiver has given up, and that a leader which it was submitted to may run for a while. */
export type LeftJob = {
	readonly id: string;
	/** Highest fencing token of the leaders that may run it. */
	readonly earlierToken: number;
	/** Milliseconds since the receiver read the newest heartbeat that it can have confirmed to one of them. */
	readonly earlierGrantAgeMs: number;
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
			/** Whether the sender accepts heartbeat intervals of more than 400 ms; absent in earlier versions. */
			readonly acceptsSlowIntervals?: boolean;
			/**
			 * Versions that the sender has or has been sent, so that it is not sent them again; absent in earlier versions of the
			 * program.
			 */
			readonly knows?: KnowledgeVersions;
	  }
	| {
			readonly type: 'submit';
			readonly job: PoolJob;
			/** Whether an earlier leader may have started tasks of the job. */
			readonly isResubmitted: boolean;
	  }
	| {readonly type: 'answer'; readonly id: string; readonly answer: PoolAnswer}
	/** Asks the receiver of a job to submit it again, since it arrived out of date and was dropped. */
	| {
			readonly type: 'resubmit';
			readonly id: string;
			/** The attempt that was dropped; absent in messages of the last build. */
			readonly attempt?: string;
	  }
	/**
	 * Tells the receiver of a job that the sender gives it up and has started none of its tasks. Entry VMs of the last build
	 * ignore it.
	 */
	| {readonly type: 'untouched'; readonly id: string; readonly attempt: string}
	| {
			readonly type: 'progress';
			readonly id: string;
			readonly doneTasks: readonly string[];
	  }
	/**
	 * Tells the receivers of jobs, and entry VMs that may get the jobs, which runs were lost with their workers. Entry VMs of
	 * the last build ignore it.
	 */
	| {readonly type: 'lost-runs'; readonly lostRuns: readonly LostRun[]}
	/**
	 * Tells the leader of a job that the connection of its only caller broke: the caller may submit it to another entry VM.
	 * Entry VMs of the last build ignore it.
	 */
	| {
			readonly type: 'caller-lost';
			readonly id: string;
			/** Milliseconds since the connection broke; absent if it has just broken, and in messages of the last build. */
			readonly lostForMs?: number;
	  }
	/** Tells it that a caller has submitted the job to the same receiver since. Entry VMs of the last build ignore it. */
	| {readonly type: 'caller-returned'; readonly id: string}
	/**
	 * Tells all leaders, and those that may succeed them, of jobs of which callers are told that they are cancelled. Entry VMs of
	 * the last build ignore it.
	 */
	| {readonly type: 'cancelled-jobs'; readonly ids: readonly string[]}
	/**
	 * Tells the leader of the sender's zone of jobs that it may get from their callers, and that another leader may run for a
	 * while. Entry VMs of the last build ignore it.
	 */
	| {readonly type: 'left-jobs'; readonly jobs: readonly LeftJob[]}
	/**
	 * Tells the leaders of other zones, and those that may succeed them, of jobs whose callers may submit them there. Entry VMs
	 * of the last build ignore it.
	 */
	| ({readonly type: 'returnable-jobs'} & ReturnableJobsNotice)
	/** Confirms the message of this number. */
	| {readonly type: 'returnable-jobs-noted'; readonly sequence: number}
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
	/** What a leader has learned of run times, for those that may lead after it and for other leaders. */
	| {readonly type: 'learned'; readonly learned: LearnedSpeeds}
	/** Workers of zones whose leadership the sender hands over; the store may currently not list all of them. */
	| {readonly type: 'hand-over'; readonly workers: readonly WorkerEntry[]};
