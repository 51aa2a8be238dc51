/** A job with tasks that wait for a slot. */
export type WaitingJob = {
	readonly identifier: string;
	readonly team: string;
	readonly entry: string;
	readonly arrivedAtMs: number;
	/** Expected work of the whole job in slot-milliseconds. */
	readonly workMs: number;
	/** Expected run time of the longest task in milliseconds. */
	readonly longestMs: number;
	/** Expected work of the waiting tasks in slot-milliseconds; the queue updates it. */
	waitingWorkMs: number;
};

/** Decides the order in which jobs get free slots. It contains each job while the job has waiting tasks. */
export type JobQueue<J extends WaitingJob> = {
	readonly size: number;
	/** Expected work of all waiting tasks in slot-milliseconds. */
	readonly waitingWorkMs: number;
	/** Adds a job, or adds waiting work to a job that is already in the queue. */
	add(job: J, workMs: number): void;
	/** Removes a job and all of its waiting work. */
	remove(job: J): void;
	/** Returns the job to serve next among those that `canServe` accepts. */
	next(canServe: (job: J) => boolean): J | undefined;
	/** Records that a slot was given to a waiting task with this expected work. */
	recordServed(job: J, workMs: number): void;
	/** Returns the expected work in slot-milliseconds ahead of a job that is not in the queue yet. */
	workAheadMs(job: WaitingJob): number;
};

/** The baseline queue, which serves jobs in order of arrival. */
export class FirstInFirstOutQueue<J extends WaitingJob> implements JobQueue<J> {
	readonly #jobs = new Set<J>();
	#waitingWorkMs = 0;

	get size(): number {
		return this.#jobs.size;
	}

	get waitingWorkMs(): number {
		return this.#waitingWorkMs;
	}

	add(job: J, workMs: number): void {
		job.waitingWorkMs += workMs;
		this.#waitingWorkMs += workMs;
		this.#jobs.add(job);
	}

	remove(job: J): void {
		if (this.#jobs.delete(job)) {
			this.#waitingWorkMs -= job.waitingWorkMs;
			job.waitingWorkMs = 0;
		}
	}

	next(canServe: (job: J) => boolean): J | undefined {
		for (const job of this.#jobs) {
			if (canServe(job)) {
				return job;
			}
		}

		return undefined;
	}

	recordServed(job: J, workMs: number): void {
		job.waitingWorkMs -= workMs;
		this.#waitingWorkMs -= workMs;
	}

	workAheadMs(): number {
		return this.#waitingWorkMs;
	}
}

/** Settings of a {@link FairShortestFirstQueue}. */
export type FairShortestFirstSettings = {
	/** Returns the number of slots that a job's work is assumed to spread over. */
	readonly slots: () => number;
	/**
	 * Factor on a job's ideal response time that gives its due time. Jobs that arrive after the due time do not overtake
	 * it. A larger factor lets small jobs overtake a large one for longer; the due time bounds the wait of every job.
	 */
	readonly stretch: number;
	/**
	 * Lead in served work that a team may have over the least served waiting team, in milliseconds of all slots. The lead
	 * beyond this limit is added to the due times of the team's jobs.
	 */
	readonly fairnessMs: number;
};

type DueJob<J> = {readonly job: J; readonly dueAtMs: number};

type TeamQueue<J> = {
	readonly name: string;
	/** Waiting jobs, ordered by due time. */
	readonly jobs: Array<DueJob<J>>;
	/** Served work in slot-milliseconds, raised to the minimum of the waiting teams when the team begins to wait. */
	servedMs: number;
};

/** Number of teams above which the queue evicts the teams without waiting jobs. */
const maximumRetainedTeams = 1000;

/**
 * Serves the job with the earliest due time: its arrival plus its ideal response time multiplied by `stretch`. The jobs
 * of a team that was served more than others are due later.
 */
export class FairShortestFirstQueue<
	J extends WaitingJob,
> implements JobQueue<J> {
	readonly #settings: FairShortestFirstSettings;
	readonly #teams = new Map<string, TeamQueue<J>>();
	readonly #activeTeams = new Set<TeamQueue<J>>();
	readonly #dueTimes = new Map<J, number>();
	#waitingWorkMs = 0;

	constructor(settings: FairShortestFirstSettings) {
		this.#settings = settings;
	}

	get size(): number {
		return this.#dueTimes.size;
	}

	get waitingWorkMs(): number {
		return this.#waitingWorkMs;
	}

	add(job: J, workMs: number): void {
		job.waitingWorkMs += workMs;
		this.#waitingWorkMs += workMs;
		if (this.#dueTimes.has(job)) {
			return;
		}

		const team = this.#getOrCreateTeam(job.team);
		if (team.jobs.length === 0) {
			team.servedMs = Math.max(team.servedMs, this.#leastServedMs());
			this.#activeTeams.add(team);
		}

		const dueAtMs = this.#computeDueAtMs(job);
		this.#dueTimes.set(job, dueAtMs);
		team.jobs.splice(insertionIndex(team.jobs, dueAtMs), 0, {job, dueAtMs});
	}

	remove(job: J): void {
		const dueAtMs = this.#dueTimes.get(job);
		if (dueAtMs === undefined) {
			return;
		}

		const team = this.#getOrCreateTeam(job.team);
		const from = indexBefore(team.jobs, dueAtMs);
		const position = team.jobs.findIndex(
			(waiting, index) => index >= from && waiting.job === job,
		);
		team.jobs.splice(position, 1);
		if (team.jobs.length === 0) {
			this.#activeTeams.delete(team);
			this.#evictIdleTeams();
		}

		this.#dueTimes.delete(job);
		this.#waitingWorkMs -= job.waitingWorkMs;
		job.waitingWorkMs = 0;
	}

	next(canServe: (job: J) => boolean): J | undefined {
		const leastServedMs = this.#leastServedMs();
		let best: DueJob<J> | undefined;
		for (const team of this.#activeTeams) {
			const delayMs = this.#fairnessDelayMs(team, leastServedMs);
			const found = findFirstServable(
				team.jobs,
				canServe,
				best === undefined ? undefined : best.dueAtMs - delayMs,
			);
			best =
				found === undefined
					? best
					: {job: found.job, dueAtMs: found.dueAtMs + delayMs};
		}

		return best?.job;
	}

	recordServed(job: J, workMs: number): void {
		job.waitingWorkMs -= workMs;
		this.#waitingWorkMs -= workMs;
		this.#getOrCreateTeam(job.team).servedMs += workMs;
	}

	workAheadMs(job: WaitingJob): number {
		const leastServedMs = this.#leastServedMs();
		const dueAtMs =
			this.#computeDueAtMs(job) +
			this.#fairnessDelayMs(this.#getOrCreateTeam(job.team), leastServedMs);
		let sum = 0;
		for (const team of this.#activeTeams) {
			const delayMs = this.#fairnessDelayMs(team, leastServedMs);
			for (const waiting of team.jobs) {
				if (waiting.dueAtMs + delayMs > dueAtMs) {
					break;
				}

				sum += waiting.job.waitingWorkMs;
			}
		}

		return sum;
	}

	#computeDueAtMs({arrivedAtMs, workMs, longestMs}: WaitingJob): number {
		const idealMs = Math.max(longestMs, workMs / this.#settings.slots());
		return arrivedAtMs + this.#settings.stretch * idealMs;
	}

	/** Returns the milliseconds to add to the due times of a team's jobs. */
	#fairnessDelayMs({servedMs}: TeamQueue<J>, leastServedMs: number): number {
		const {slots, fairnessMs} = this.#settings;
		return Math.max(0, (servedMs - leastServedMs) / slots() - fairnessMs);
	}

	#leastServedMs(): number {
		let leastServedMs = Number.POSITIVE_INFINITY;
		for (const {servedMs} of this.#activeTeams) {
			leastServedMs = Math.min(leastServedMs, servedMs);
		}

		return leastServedMs === Number.POSITIVE_INFINITY ? 0 : leastServedMs;
	}

	#getOrCreateTeam(name: string): TeamQueue<J> {
		const known = this.#teams.get(name);
		if (known !== undefined) {
			return known;
		}

		const team: TeamQueue<J> = {name, jobs: [], servedMs: 0};
		this.#teams.set(name, team);
		return team;
	}

	#evictIdleTeams(): void {
		if (this.#teams.size <= maximumRetainedTeams) {
			return;
		}

		for (const team of this.#teams.values()) {
			if (!this.#activeTeams.has(team)) {
				this.#teams.delete(team.name);
			}
		}
	}
}

/** Returns the first job that can be served, if it is due before `beforeMs`. */
function findFirstServable<J>(
	jobs: ReadonlyArray<DueJob<J>>,
	canServe: (job: J) => boolean,
	beforeMs = Number.POSITIVE_INFINITY,
): DueJob<J> | undefined {
	const found = jobs.find(
		({job, dueAtMs}) => dueAtMs >= beforeMs || canServe(job),
	);
	return found !== undefined && found.dueAtMs < beforeMs ? found : undefined;
}

/** Returns the index after all jobs that are due no later than `dueAtMs`. */
function insertionIndex(
	jobs: ReadonlyArray<{readonly dueAtMs: number}>,
	dueAtMs: number,
): number {
	let low = 0;
	let high = jobs.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (jobs[middle]!.dueAtMs <= dueAtMs) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Returns an index at or before the first job that is due at `dueAtMs`. */
function indexBefore(
	jobs: ReadonlyArray<{readonly dueAtMs: number}>,
	dueAtMs: number,
): number {
	return insertionIndex(jobs, dueAtMs - Number.EPSILON * Math.abs(dueAtMs) * 2);
}
