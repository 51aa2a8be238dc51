import {type LeadershipChange, type PoolDecision} from '@verbenarouter/core';
import {type MetricSample} from '../metrics.js';

/**
 * What a leader knew of a job that it has admitted:
 *
 * - `first-seen`: the job is new, and its receiver runs in a zone that the job is to run in.
 * - `first-seen-for-other-zone`: the same for a receiver of another zone, or of one that is not known here.
 * - `unsettled`: the job is new to its receiver, but another leader may have it.
 * - `resubmitted`: the receiver has submitted the job before.
 */
type AdmissionKind =
	'first-seen' | 'first-seen-for-other-zone' | 'unsettled' | 'resubmitted';

/** Counts the decisions of one entry VM that show afterwards how two leaders got one job. */
export class DecisionCounts {
	readonly #samples = new Map<string, MetricSample>();

	/** Present values of the counters. */
	get samples(): readonly MetricSample[] {
		return [...this.#samples.values()];
	}

	/** Counts a change of leadership; `cause` is what has brought it about. */
	recordLeadership(change: LeadershipChange, cause: string): void {
		this.#add('leadership_changes_total', {
			zone: change.zone,
			change: change.kind,
			reason: change.kind === 'dropped' ? change.reason : cause,
		});
	}

	/** Counts a decision on a job. `findZone` returns the zone of an entry VM that is known here. */
	recordDecision(
		decision: PoolDecision,
		findZone: (receiver: string) => string | undefined,
	): void {
		if (decision.event === 'joined') {
			this.recordCopy('leader');
		} else if (decision.event === 'admitted') {
			const {reason, inputs} = decision;
			const zones = String(inputs.zones ?? '*');
			const zone = findZone(String(inputs.receiver));
			const isForOtherZone =
				zones !== '*' &&
				(zone === undefined || !zones.split(' ').includes(zone));
			const kind: AdmissionKind =
				reason === 'resubmitted'
					? 'resubmitted'
					: inputs.unsettled === 1
						? 'unsettled'
						: isForOtherZone
							? 'first-seen-for-other-zone'
							: 'first-seen';
			this.#add('jobs_admitted_total', {kind});
		}
	}

	/** Counts a copy of a job that joined the one which this entry VM has as its receiver or as its leader. */
	recordCopy(at: 'receiver' | 'leader'): void {
		this.#add('copies_joined_total', {at});
	}

	/** Counts a job that this entry VM has another leader give up, or gives up as a leader, because it was moved. */
	recordRelease(direction: 'sent' | 'received'): void {
		this.#add('releases_total', {direction});
	}

	#add(name: string, labels: Readonly<Record<string, string>>): void {
		const key = `${name} ${Object.values(labels).join(' ')}`;
		const value = (this.#samples.get(key)?.value ?? 0) + 1;
		this.#samples.set(key, {name, labels, value});
	}
}
