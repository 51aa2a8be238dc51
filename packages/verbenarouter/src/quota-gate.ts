/** Keeps the tasks of admitted jobs within the limits of their teams and entries, over all entry VMs together. */
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
import {type JobOrder} from './dispatcher.js';
import {type StartGate} from './start-gate.js';

/** The catalogue's part that limits are read from. */
export type LimitSource = Pick<Catalogue, 'entry' | 'team'>;

/** One pair of limits with what this entry VM does under them. */
type Scope = {
	readonly name: string;
	readonly concurrency: string;
	readonly rate: string;
	readonly share: RateShare;
	/** Tasks of admitted jobs that wait here. */
	waiting: number;
	isShortOfConcurrency: boolean;
	isShortOfRate: boolean;
};

type AdmittedJob = {readonly scopes: readonly Scope[]; waiting: number};

/** Keeps the tasks of admitted jobs within the limits of their teams and entries. */
export class QuotaGate implements StartGate {
	readonly #ledger: ShareLedger;
	readonly #limits: () => LimitSource;
	readonly #onShortage: () => void;
	readonly #scopes = new Map<string, Scope>();
	readonly #busy = new Set<Scope>();
	readonly #jobs = new WeakMap<JobOrder, AdmittedJob>();

	/** `onShortage` hears that units are wanted, so that they can be asked for at once. */
	constructor(
		ledger: ShareLedger,
		limits: () => LimitSource,
		onShortage: () => void,
	) {
		this.#ledger = ledger;
		this.#limits = limits;
		this.#onShortage = onShortage;
	}

	refusal(order: JobOrder, now: number): Refusal | undefined {
		const remainingSeconds = (order.deadlineAtMs - now) / 1000;
		const tasks = order.job.tasks.length;
		return this.#jobOf(order)
			.scopes.map((scope) => {
				const rate = this.#startsPerSecond(scope);
				// A bucket may hold one token that the rate has not to bring first.
				return (scope.waiting + tasks - 1) / rate > remainingSeconds
					? createRefusal(
							'quota-exhausted',
							`The limit of ${rate} starts a second of ${scope.name} leaves no room for ${tasks} more tasks before the deadline.`,
							(scope.waiting / rate) * 1000,
						)
					: undefined;
			})
			.find((reason) => reason !== undefined);
	}

	admitted(order: JobOrder): void {
		const job = this.#jobOf(order);
		job.waiting = order.job.tasks.length;
		for (const scope of job.scopes) {
			scope.waiting += job.waiting;
			this.#busy.add(scope);
		}
	}

	mayStart(order: JobOrder, now: number): boolean {
		const verdicts = this.#jobOf(order).scopes.map((scope) =>
			this.#hasRoom(scope, now),
		);
		return !verdicts.includes(false);
	}

	started(order: JobOrder, now: number): void {
		const job = this.#jobOf(order);
		const isCounted = job.waiting > 0;
		job.waiting -= isCounted ? 1 : 0;
		for (const scope of job.scopes) {
			this.#ledger.tryTake(scope.concurrency, 1, now);
			scope.share.recordStart(now);
			scope.waiting -= isCounted ? 1 : 0;
		}
	}

	ended(order: JobOrder, now: number): void {
		for (const {concurrency} of this.#jobOf(order).scopes) {
			this.#ledger.giveBack(concurrency, 1, now);
		}
	}

	settled(order: JobOrder): void {
		const job = this.#jobOf(order);
		for (const scope of job.scopes) {
			scope.waiting -= job.waiting;
		}

		job.waiting = 0;
	}

	/** Tells the ledger what is used and wanted; returns whether tasks that waited for the rate may start now. */
	review(now: number): boolean {
		const mayStart = [...this.#busy].map((scope) => this.#review(scope, now));
		return mayStart.includes(true);
	}

	#jobOf(order: JobOrder): AdmittedJob {
		const known = this.#jobs.get(order);
		if (known !== undefined) {
			return known;
		}

		const job = {
			scopes: listLimitScopes(order.team, order.entry).map(({name}) =>
				this.#scope(name),
			),
			waiting: 0,
		};
		this.#jobs.set(order, job);
		return job;
	}

	#scope(name: string): Scope {
		const known = this.#scopes.get(name);
		if (known !== undefined) {
			return known;
		}

		const scope: Scope = {
			name,
			concurrency: buildLimitResourceName('concurrency', name),
			rate: buildLimitResourceName('rate', name),
			share: new RateShare(),
			waiting: 0,
			isShortOfConcurrency: false,
			isShortOfRate: false,
		};
		this.#scopes.set(name, scope);
		return scope;
	}

	#hasRoom(scope: Scope, now: number): boolean {
		scope.isShortOfConcurrency = this.#ledger.free(scope.concurrency) === 0;
		scope.isShortOfRate = !this.#hasToken(scope, now);
		if (!scope.isShortOfConcurrency && !scope.isShortOfRate) {
			return true;
		}

		this.#busy.add(scope);
		this.#onShortage();
		return false;
	}

	#hasToken(scope: Scope, now: number): boolean {
		return scope.share.canStart(
			this.#ledger.held(scope.rate),
			this.#startsPerSecond(scope),
			now,
		);
	}

	#startsPerSecond({name}: Scope): number {
		return findQuota(this.#limits(), name)?.startsPerSecond ?? 1;
	}

	#review(scope: Scope, now: number): boolean {
		const waiting = Math.max(1, scope.waiting);
		const isWaiting = scope.waiting > 0;
		const rate = this.#startsPerSecond(scope);
		const held = this.#ledger.held(scope.rate);
		const isShortOfRate = isWaiting && scope.isShortOfRate;
		this.#ledger.wants(
			scope.concurrency,
			isWaiting && scope.isShortOfConcurrency ? waiting : 0,
		);
		const used = this.#ledger.setInUse(
			scope.rate,
			isShortOfRate ? held : scope.share.computeUsedUnits(rate, now),
			now,
		);
		this.#ledger.wants(
			scope.rate,
			isShortOfRate ? scope.share.computeRequiredUnits(waiting, rate) : 0,
		);
		if (
			!isWaiting &&
			used === 0 &&
			this.#ledger.inUse(scope.concurrency) === 0
		) {
			this.#busy.delete(scope);
		}

		return isShortOfRate && this.#hasToken(scope, now);
	}
}
