import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {
	Installation,
	createTeamItem,
	type ProcessHandle,
} from '../installation.js';
import {createCatalogueEntries, type JobMix} from './job-mix.js';

const targetProcessPath = fileURLToPath(
	new URL('../../dist/load/target-farm-process.js', import.meta.url),
);

/** Size and settings of an installation that load is offered to. */
export type LoadInstallationOptions = {
	readonly mix: JobMix;
	readonly zones: number;
	readonly entryVmsPerZone: number;
	readonly targetsPerZone: number;
	/** Number of processes that share the targets of a zone; must divide `targetsPerZone`. */
	readonly targetProcessesPerZone: number;
	readonly slotsPerTarget: number;
	/** Overrides of the entry VMs' settings. */
	readonly settings: Readonly<Record<string, unknown>>;
};

/**
 * Starts real entry VMs, and stand-ins of the targets that share `targetProcessesPerZone` processes in each zone.
 */
export async function startLoadInstallation(
	options: LoadInstallationOptions,
): Promise<Installation> {
	const {
		mix,
		entryVmsPerZone,
		targetsPerZone,
		targetProcessesPerZone,
		slotsPerTarget,
	} = options;
	const zones = Array.from(
		{length: options.zones},
		(_, index) => `zone-${index + 1}`,
	);
	const installation = await Installation.start({
		zones,
		entryVmsPerZone,
		targetsPerZone: 0,
		target: {slots: slotsPerTarget},
		items: [
			...mix.teams.map((team) => createTeamItem(team)),
			...createCatalogueEntries(mix),
		],
		settings: options.settings,
	});
	const targetsByProcess = await Promise.all(
		zones.flatMap((zone) =>
			Array.from({length: targetProcessesPerZone}, async () =>
				startTargetProcess(
					zone,
					targetsPerZone / targetProcessesPerZone,
					slotsPerTarget,
				),
			),
		),
	);
	installation.targets.push(
		...targetsByProcess.flat().map((part, index) => ({
			...part,
			name: `target-${part.zone}-${index}`,
		})),
	);
	await installation.publishMachines();
	return installation;
}

/** Returns the process identifiers of the running entry VMs. */
export function entryVmProcessIds({entryVms}: Installation): readonly number[] {
	return entryVms.flatMap(({process: {pid}}) => pid ?? []);
}

/** Starts one process of target stand-ins and returns a handle for each of them, with an empty name. */
async function startTargetProcess(
	zone: string,
	targetCount: number,
	slotsPerTarget: number,
): Promise<readonly ProcessHandle[]> {
	const child = fork(
		targetProcessPath,
		[String(targetCount), JSON.stringify({slots: slotsPerTarget})],
		{
			stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
			execArgv: [],
		},
	);
	const [{ports}] = (await once(child, 'message')) as [
		{readonly ports: readonly number[]},
	];
	// Each target of the process adds an exit listener when the installation stops, beyond the default limit of 10.
	child.setMaxListeners(0);
	return ports.map((port) => createTargetPart(zone, port, child));
}

function createTargetPart(
	zone: string,
	port: number,
	process: ChildProcess,
): ProcessHandle {
	return {
		name: '',
		zone,
		process,
		address: `http://127.0.0.1:${port}`,
		peerAddress: '',
		operatorAddress: '',
	};
}
