import {
	RateShare,
	buildLimitResourceName,
	listLimitScopes,
	findQuota,
	createRefusal,
	type Catalogue,
	type Refusal,
	type ShareLedger,
} from '@verbenarouter/core';
import {type DispatchRequest} from './active-job.js';
import {type StartLimiter} from './start-limiter.js';

/** The part of the catalogue from which limits are read. */
export type LimitSource = Pick<Catalogue, 'entry' | 'team'>;

/** The concurrency limit and the rate limit of one scope, and how this entry VM uses them. */
type ScopeState = {
	readonly name: string;
	/** Names of the limits as resources of the share ledger. */
	readonly concurrencyResource: string;
	readonly rateResource: string;
	readonly rateShare: RateShare;
	/** Number of tasks of admitted jobs on this entry VM that have not been started. */
	waitingTasks: number;
	isShortOfConcurrency: boolean;
	isShortOfRate: boolean;
};

/** The scopes that limit a job, and how many of its tasks count as waiting in them. */
type JobState = {
	readonly scopes: readonly ScopeState[];
	/** Number of tasks that have not been started. */
	waitingTasks: number;
};

/** Keeps starts within the limits of teams and entries, which the share ledger divides among all entry VMs. */
export class QuotaStartLimiter implements StartLimiter {
	readonly #ledger: ShareLedger;
	readonly #limitSource: () => LimitSource;
	readonly #onShortage: () => void;
	readonly #scopes = new Map<string, ScopeState>();
	readonly #activeScopes = new Set<ScopeState>();
	readonly #jobs = new WeakMap<DispatchRequest, JobState>();

	/** `onShortage` is called when a task lacks units of a limit, so that they can be requested from peers at once. */
	constructor(
		ledger: ShareLedger,
		limitSource: () => LimitSource,
		onShortage: () => void,
	) {
		this.#ledger = ledger;
		this.#limitSource = limitSource;
		this.#onShortage = onShortage;
	}

	checkAdmission(request: DispatchRequest, now: number): Refusal | undefined {
		const remainingSeconds = (request.deadlineAtMs - now) / 1000;
		const tasks = request.job.tasks.length;
		return this.#getOrCreateJob(request)
			.scopes.map((scope) => {
				const rate = this.#startsPerSecond(scope);
				// The token bucket may already hold one token, so one of the tasks may start without waiting.
				return (scope.waitingTasks + tasks - 1) / rate > remainingSeconds
					? createRefusal(
							'quota-exhausted',
							`The limit of ${rate} starts per second of ${scope.name} does not allow ${tasks} more tasks to start before the deadline.`,
							(scope.waitingTasks / rate) * 1000,
						)
					: undefined;
			})
			.find((reason) => reason !== undefined);
	}

	recordAdmission(request: DispatchRequest): void {
		const job = this.#getOrCreateJob(request);
		job.waitingTasks = request.job.tasks.length;
		for (const scope of job.scopes) {
			scope.waitingTasks += job.waitingTasks;
			this.#activeScopes.add(scope);
		}
	}

	canStart(request: DispatchRequest, now: number): boolean {
		// Every scope is checked, because a check also records a shortage and requests units.
		const results = this.#getOrCreateJob(request).scopes.map((scope) =>
			this.#checkScope(scope, now),
		);
		return !results.includes(false);
	}

	recordStart(request: DispatchRequest, now: number): void {
		const job = this.#getOrCreateJob(request);
		const isCounted = job.waitingTasks > 0;
		job.waitingTasks -= isCounted ? 1 : 0;
		for (const scope of job.scopes) {
			this.#ledger.tryTake(scope.concurrencyResource, 1, now);
			scope.rateShare.recordStart(now);
			scope.waitingTasks -= isCounted ? 1 : 0;
		}
	}

	recordEnd(request: DispatchRequest, now: number): void {
		for (const {concurrencyResource} of this.#getOrCreateJob(request).scopes) {
			this.#ledger.giveBack(concurrencyResource, 1, now);
		}
	}

	recordSettlement(request: DispatchRequest): void {
		const job = this.#getOrCreateJob(request);
		for (const scope of job.scopes) {
			scope.waitingTasks -= job.waitingTasks;
		}

		job.waitingTasks = 0;
	}

	/** Updates the units in use and the demand in the ledger; returns whether tasks that wait for a rate limit may start now. */
	updateDemand(now: number): boolean {
		const mayStart = [...this.#activeScopes].map((scope) =>
			this.#updateScopeDemand(scope, now),
		);
		return mayStart.includes(true);
	}

	#getOrCreateJob(request: DispatchRequest): JobState {
		const existing = this.#jobs.get(request);
		if (existing !== undefined) {
			return existing;
		}

		const job = {
			scopes: listLimitScopes(request.team, request.entry).map(({name}) =>
				this.#getOrCreateScope(name),
			),
			waitingTasks: 0,
		};
		this.#jobs.set(request, job);
		return job;
	}

	#getOrCreateScope(name: string): ScopeState {
		const existing = this.#scopes.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const scope: ScopeState = {
			name,
			concurrencyResource: buildLimitResourceName('concurrency', name),
			rateResource: buildLimitResourceName('rate', name),
			rateShare: new RateShare(),
			waitingTasks: 0,
			isShortOfConcurrency: false,
			isShortOfRate: false,
		};
		this.#scopes.set(name, scope);
		return scope;
	}

	/** Whether the scope allows one more start; records and signals a shortage if not. */
	#checkScope(scope: ScopeState, now: number): boolean {
		scope.isShortOfConcurrency =
			this.#ledger.free(scope.concurrencyResource) === 0;
		scope.isShortOfRate = !this.#hasToken(scope, now);
		if (!scope.isShortOfConcurrency && !scope.isShortOfRate) {
			return true;
		}

		this.#activeScopes.add(scope);
		this.#onShortage();
		return false;
	}

	#hasToken(scope: ScopeState, now: number): boolean {
		return scope.rateShare.canStart(
			this.#ledger.held(scope.rateResource),
			this.#startsPerSecond(scope),
			now,
		);
	}

	#startsPerSecond({name}: ScopeState): number {
		return findQuota(this.#limitSource(), name)?.startsPerSecond ?? 1;
	}

	#updateScopeDemand(scope: ScopeState, now: number): boolean {
		const waiting = Math.max(1, scope.waitingTasks);
		const isWaiting = scope.waitingTasks > 0;
		const rate = this.#startsPerSecond(scope);
		const held = this.#ledger.held(scope.rateResource);
		const isShortOfRate = isWaiting && scope.isShortOfRate;
		this.#ledger.wants(
			scope.concurrencyResource,
			isWaiting && scope.isShortOfConcurrency ? waiting : 0,
		);
		const used = this.#ledger.setInUse(
			scope.rateResource,
			isShortOfRate ? held : scope.rateShare.computeUsedUnits(rate, now),
			now,
		);
		this.#ledger.wants(
			scope.rateResource,
			isShortOfRate ? scope.rateShare.computeRequiredUnits(waiting, rate) : 0,
		);
		if (
			!isWaiting &&
			used === 0 &&
			this.#ledger.inUse(scope.concurrencyResource) === 0
		) {
			this.#activeScopes.delete(scope);
		}

		return isShortOfRate && this.#hasToken(scope, now);
	}
}
