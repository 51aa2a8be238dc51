import {type Catalogue} from './catalogue.js';
import {type Entry, type Quota, type Team} from './catalogue-item.js';
import {type Target} from './machine.js';
import {rateUnits} from './rate-share.js';
import {type Capacity} from './share-split.js';

/** The quantity that a limit bounds: concurrently running tasks, or task starts per second. */
export type LimitKind = 'concurrency' | 'rate';

/** A team, an entry or a team's use of an entry, with its limits on concurrency and starts per second. */
export type LimitScope = {
	/** `team/<team>`, `entry/<entry>` or `entry/<entry>/<team>`. */
	readonly name: string;
	readonly quota: Quota;
};

/** Lists the limits that apply to a team's tasks of an entry. */
export function listLimitScopes(
	team: Team,
	entry: Entry,
): readonly LimitScope[] {
	const {perTeam} = entry.limits;
	return [
		{name: `team/${team.name}`, quota: team.quota},
		{name: `entry/${entry.name}`, quota: entry.limits},
		...(perTeam === undefined
			? []
			: [{name: `entry/${entry.name}/${team.name}`, quota: perTeam}]),
	];
}

/** Builds the name of a limit's resource in the share ledger: `<kind>/<scope>`. */
export function buildLimitResourceName(kind: LimitKind, scope: string): string {
	return `${kind}/${scope}`;
}

/** Builds the name of the share-ledger resource for a target's slots, which the entry VMs of its zone divide. */
export function buildSlotsResourceName(target: string): string {
	return `slots/${target}`;
}

/** Finds the capacity of a slots resource; `undefined` if it is another kind of resource or the target is unknown. */
export function findSlotsCapacity(
	targets: ReadonlyMap<string, Target>,
	resource: string,
): Capacity | undefined {
	const [kind, name = ''] = resource.split('/');
	const target = kind === 'slots' ? targets.get(name) : undefined;
	return target === undefined
		? undefined
		: {units: target.slots, zone: target.zone};
}

/** Finds the quota of a scope in a catalogue; `undefined` if there is none. */
export function findQuota(
	catalogue: Pick<Catalogue, 'entry' | 'team'>,
	scope: string,
): Quota | undefined {
	const [kind, name = '', team] = scope.split('/');
	if (kind === 'team') {
		return catalogue.team(name)?.quota;
	}

	const limits = catalogue.entry(name)?.limits;
	return team === undefined ? limits : limits?.perTeam;
}

/** Finds the capacity of a limit's resource in a catalogue; `undefined` if the scope has no quota. */
export function findLimitCapacity(
	catalogue: Pick<Catalogue, 'entry' | 'team'>,
	resource: string,
): Capacity | undefined {
	const slash = resource.indexOf('/');
	const quota = findQuota(catalogue, resource.slice(slash + 1));
	if (quota === undefined) {
		return undefined;
	}

	return resource.startsWith('rate/')
		? {units: rateUnits}
		: {units: quota.concurrency};
}
