/** The order in which waiting tasks are given to free slots. */

/** A job with tasks that wait. */
export type WaitingJob = {
	readonly identifier: string;
	readonly team: string;
	readonly entry: string;
	readonly arrivedAtMs: number;
	/** Expected work of the whole job in slot milliseconds. */
	readonly workMs: number;
	/** Expected run time of its longest task in milliseconds. */
	readonly longestMs: number;
	/** Expected work in slot milliseconds of the tasks that wait. */
	waitingMs: number;
};

/** Jobs with tasks that wait. A job is in the queue while it has such tasks. */
export type JobQueue<J extends WaitingJob> = {
	readonly size: number;
	/** Expected work of all waiting tasks in slot milliseconds. */
	readonly waitingMs: number;
	/** Adds a job, or more waiting work to one that is there. */
	add(job: J, waitingMs: number): void;
	/** Takes a job out with all of its waiting work. */
	remove(job: J): void;
	/** The job to serve next among those that `mayServe` accepts. */
	next(mayServe: (job: J) => boolean): J | undefined;
	/** Tells that a waiting task with this expected work was given to a slot. */
	served(job: J, workMs: number): void;
	/** Expected work in slot milliseconds that would be served before a job that is not in the queue yet. */
	aheadMs(job: WaitingJob): number;
};

/** The baseline: first in, first out. */
export class FirstInFirstOut<J extends WaitingJob> implements JobQueue<J> {
	readonly #jobs = new Set<J>();
	#waitingMs = 0;

	get size(): number {
		return this.#jobs.size;
	}

	get waitingMs(): number {
		return this.#waitingMs;
	}

	add(job: J, waitingMs: number): void {
		job.waitingMs += waitingMs;
		this.#waitingMs += waitingMs;
		this.#jobs.add(job);
	}

	remove(job: J): void {
		if (this.#jobs.delete(job)) {
			this.#waitingMs -= job.waitingMs;
			job.waitingMs = 0;
		}
	}

	next(mayServe: (job: J) => boolean): J | undefined {
		for (const job of this.#jobs) {
			if (mayServe(job)) {
				return job;
			}
		}

		return undefined;
	}

	served(job: J, workMs: number): void {
		job.waitingMs -= workMs;
		this.#waitingMs -= workMs;
	}

	aheadMs(): number {
		return this.#waitingMs;
	}
}

/** Settings of {@link FairShortestFirst}. */
export type FairShortestSettings = {
	/** Slots over which a job's work spreads. */
	readonly slots: () => number;
	/**
	 * A job goes before those that arrive later than this many times its ideal response time after it. The larger the
	 * factor, the longer small jobs pass a large one; every job's wait is bounded by it.
	 */
	readonly stretch: number;
	/**
	 * Milliseconds of all slots by which one team may run ahead of another that waits. What it is ahead by beyond that
	 * delays its due times.
	 */
	readonly fairnessMs: number;
};

type DueJob<J> = {readonly job: J; readonly dueAtMs: number};

type TeamQueue<J> = {
	readonly name: string;
	/** Waiting jobs, the one with the earliest due time first. */
	readonly jobs: Array<DueJob<J>>;
	/** Slot milliseconds that the team was given, counted from the least of the others when it began to wait. */
	servedMs: number;
};

/** Forgets the teams without waiting jobs when there are more than this. */
const rememberedTeams = 1000;

/**
 * Serves the job whose ideal response time, stretched, ends first; a team's jobs count as due later by what the team is
 * ahead of the others.
 */
export class FairShortestFirst<J extends WaitingJob> implements JobQueue<J> {
	readonly #settings: FairShortestSettings;
	readonly #teams = new Map<string, TeamQueue<J>>();
	readonly #active = new Set<TeamQueue<J>>();
	readonly #due = new Map<J, number>();
	#waitingMs = 0;

	constructor(settings: FairShortestSettings) {
		this.#settings = settings;
	}

	get size(): number {
		return this.#due.size;
	}

	get waitingMs(): number {
		return this.#waitingMs;
	}

	add(job: J, waitingMs: number): void {
		job.waitingMs += waitingMs;
		this.#waitingMs += waitingMs;
		if (this.#due.has(job)) {
			return;
		}

		const team = this.#team(job.team);
		if (team.jobs.length === 0) {
			team.servedMs = Math.max(team.servedMs, this.#leastServedMs());
			this.#active.add(team);
		}

		const dueAtMs = this.#dueAtMs(job);
		this.#due.set(job, dueAtMs);
		team.jobs.splice(positionOf(team.jobs, dueAtMs), 0, {job, dueAtMs});
	}

	remove(job: J): void {
		const dueAtMs = this.#due.get(job);
		if (dueAtMs === undefined) {
			return;
		}

		const team = this.#team(job.team);
		const from = positionBefore(team.jobs, dueAtMs);
		const position = team.jobs.findIndex(
			(waiting, index) => index >= from && waiting.job === job,
		);
		team.jobs.splice(position, 1);
		if (team.jobs.length === 0) {
			this.#active.delete(team);
			this.#forgetTeams();
		}

		this.#due.delete(job);
		this.#waitingMs -= job.waitingMs;
		job.waitingMs = 0;
	}

	next(mayServe: (job: J) => boolean): J | undefined {
		const leastMs = this.#leastServedMs();
		let best: DueJob<J> | undefined;
		for (const team of this.#active) {
			const delayMs = this.#delayMs(team, leastMs);
			const found = firstOf(
				team.jobs,
				mayServe,
				best === undefined ? undefined : best.dueAtMs - delayMs,
			);
			best =
				found === undefined
					? best
					: {job: found.job, dueAtMs: found.dueAtMs + delayMs};
		}

		return best?.job;
	}

	served(job: J, workMs: number): void {
		job.waitingMs -= workMs;
		this.#waitingMs -= workMs;
		this.#team(job.team).servedMs += workMs;
	}

	aheadMs(job: WaitingJob): number {
		const leastMs = this.#leastServedMs();
		const dueAtMs =
			this.#dueAtMs(job) + this.#delayMs(this.#team(job.team), leastMs);
		let sum = 0;
		for (const team of this.#active) {
			const delayMs = this.#delayMs(team, leastMs);
			for (const waiting of team.jobs) {
				if (waiting.dueAtMs + delayMs > dueAtMs) {
					break;
				}

				sum += waiting.job.waitingMs;
			}
		}

		return sum;
	}

	#dueAtMs({arrivedAtMs, workMs, longestMs}: WaitingJob): number {
		const idealMs = Math.max(longestMs, workMs / this.#settings.slots());
		return arrivedAtMs + this.#settings.stretch * idealMs;
	}

	/** Milliseconds by which a team's jobs count as due later. */
	#delayMs({servedMs}: TeamQueue<J>, leastMs: number): number {
		const {slots, fairnessMs} = this.#settings;
		return Math.max(0, (servedMs - leastMs) / slots() - fairnessMs);
	}

	#leastServedMs(): number {
		let least = Number.POSITIVE_INFINITY;
		for (const {servedMs} of this.#active) {
			least = Math.min(least, servedMs);
		}

		return least === Number.POSITIVE_INFINITY ? 0 : least;
	}

	#team(name: string): TeamQueue<J> {
		const known = this.#teams.get(name);
		if (known !== undefined) {
			return known;
		}

		const team: TeamQueue<J> = {name, jobs: [], servedMs: 0};
		this.#teams.set(name, team);
		return team;
	}

	#forgetTeams(): void {
		if (this.#teams.size <= rememberedTeams) {
			return;
		}

		for (const team of this.#teams.values()) {
			if (!this.#active.has(team)) {
				this.#teams.delete(team.name);
			}
		}
	}
}

/** The first job that may be served, when it is due before the given time. */
function firstOf<J>(
	jobs: ReadonlyArray<DueJob<J>>,
	mayServe: (job: J) => boolean,
	beforeMs = Number.POSITIVE_INFINITY,
): DueJob<J> | undefined {
	const found = jobs.find(
		({job, dueAtMs}) => dueAtMs >= beforeMs || mayServe(job),
	);
	return found !== undefined && found.dueAtMs < beforeMs ? found : undefined;
}

/** Position behind all that are due no later. */
function positionOf(
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

/** A position before all that are due at this time. */
function positionBefore(
	jobs: ReadonlyArray<{readonly dueAtMs: number}>,
	dueAtMs: number,
): number {
	return positionOf(jobs, dueAtMs - Number.EPSILON * Math.abs(dueAtMs) * 2);
}
