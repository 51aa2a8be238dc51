/** The limits that a task has to stay within, as resources of a share ledger. */
import {type Catalogue} from './catalogue.js';
import {type Entry, type Quota, type Team} from './catalogue-item.js';
import {type Target} from './member.js';
import {rateUnits} from './rate-share.js';
import {type Capacity} from './share-split.js';

/** What is limited: tasks that run at once, or starts per second. */
export type LimitKind = 'concurrency' | 'rate';

/** One pair of limits, named by what it belongs to. */
export type LimitScope = {
	/** `team/<team>`, `entry/<entry>` or `entry/<entry>/<team>`. */
	readonly name: string;
	readonly quota: Quota;
};

/** The limits that a team's tasks of an entry have to stay within. */
export function limitsOf(team: Team, entry: Entry): readonly LimitScope[] {
	const {perTeam} = entry.limits;
	return [
		{name: `team/${team.name}`, quota: team.quota},
		{name: `entry/${entry.name}`, quota: entry.limits},
		...(perTeam === undefined
			? []
			: [{name: `entry/${entry.name}/${team.name}`, quota: perTeam}]),
	];
}

/** The resource of a limit: its kind before the name of its scope. */
export function limitResource(kind: LimitKind, scope: string): string {
	return `${kind}/${scope}`;
}

/** The resource of a worker's slots, which the entry VMs of its zone divide. */
export function slotsResource(target: string): string {
	return `slots/${target}`;
}

/** The capacity of a worker's slots. */
export function slotsCapacity(
	targets: ReadonlyMap<string, Target>,
	resource: string,
): Capacity | undefined {
	const [kind, name = ''] = resource.split('/');
	const target = kind === 'slots' ? targets.get(name) : undefined;
	return target === undefined
		? undefined
		: {units: target.slots, zone: target.zone};
}

/** The quota that a catalogue has for a scope. */
export function quotaOf(
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

/** The capacity that a catalogue gives to the resource of a limit. */
export function limitCapacity(
	catalogue: Pick<Catalogue, 'entry' | 'team'>,
	resource: string,
): Capacity | undefined {
	const slash = resource.indexOf('/');
	const quota = quotaOf(catalogue, resource.slice(slash + 1));
	if (quota === undefined) {
		return undefined;
	}

	return resource.startsWith('rate/')
		? {units: rateUnits}
		: {units: quota.concurrency};
}
