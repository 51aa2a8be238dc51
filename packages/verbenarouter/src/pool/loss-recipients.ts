import {type Heartbeat} from '@verbenarouter/core';

/**
 * Returns the entry VMs that have to know of lost runs: the receivers of the jobs, all leaders, to which a caller's copy may
 * go, and the candidates, which may succeed this leader. Receivers in other zones may be reached only by answers on a
 * stream that they have opened, so the own streams don't tell who can be reached.
 */
export function selectLossRecipients(
	receivers: readonly string[],
	livePeers: ReadonlyArray<Pick<Heartbeat, 'name' | 'isCandidate' | 'leads'>>,
	ownName: string,
): readonly string[] {
	const peers = livePeers
		.filter(
			({isCandidate, leads}) =>
				isCandidate !== false || Object.keys(leads).length > 0,
		)
		.map(({name}) => name);
	return [...new Set([...receivers, ...peers])].filter(
		(name) => name !== ownName,
	);
}
