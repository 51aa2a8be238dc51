/** An installation for the load tool: real entry VMs, and many targets in few processes. */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {Installation, createTeamItem, type ProcessHandle} from '../installation.js';
import {entriesOf, type Mix} from './mix.js';

const farmProcess = fileURLToPath(
	new URL('../../dist/load/target-farm-process.js', import.meta.url),
);

/** Size and settings of an installation under load. */
export type LoadInstallationOptions = {
	readonly mix: Mix;
	readonly zones: number;
	readonly entryVmsPerZone: number;
	readonly targetsPerZone: number;
	/** Processes among which the targets of a zone are divided; a divisor of their number. */
	readonly farmsPerZone: number;
	readonly slotsPerTarget: number;
	/** Overrides of the entry VMs' settings. */
	readonly settings: Readonly<Record<string, unknown>>;
};

/** Starts an installation, one process of targets for each zone. */
export async function startLoadInstallation(
	options: LoadInstallationOptions,
): Promise<Installation> {
	const {mix, entryVmsPerZone, targetsPerZone, farmsPerZone, slotsPerTarget} =
		options;
	const zones = Array.from(
		{length: options.zones},
		(_, index) => `zone-${index + 1}`,
	);
	const installation = await Installation.start({
		zones,
		entryVmsPerZone,
		targetsPerZone: 0,
		target: {slots: slotsPerTarget},
		items: [...mix.teams.map((team) => createTeamItem(team)), ...entriesOf(mix)],
		settings: options.settings,
	});
	const farms = await Promise.all(
		zones.flatMap((zone) =>
			Array.from({length: farmsPerZone}, async () =>
				startFarm(zone, targetsPerZone / farmsPerZone, slotsPerTarget),
			),
		),
	);
	installation.targets.push(
		...farms.flat().map((part, index) => ({
			...part,
			name: `target-${part.zone}-${index}`,
		})),
	);
	await installation.publishMachines();
	return installation;
}

/** Process identifiers of the entry VMs. */
export function entryProcessIds({entryVms}: Installation): readonly number[] {
	return entryVms.flatMap(({process: {pid}}) => pid ?? []);
}

async function startFarm(
	zone: string,
	count: number,
	slots: number,
): Promise<readonly ProcessHandle[]> {
	const child = fork(farmProcess, [String(count), JSON.stringify({slots})], {
		stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
		execArgv: [],
	});
	const [{ports}] = (await once(child, 'message')) as [
		{readonly ports: readonly number[]},
	];
	child.setMaxListeners(0);
	return ports.map((port) => partOf(zone, port, child));
}

function partOf(zone: string, port: number, process: ChildProcess): ProcessHandle {
	return {
		name: '',
		zone,
		process,
		address: `http://127.0.0.1:${port}`,
		peerAddress: '',
		operatorAddress: '',
	};
}
