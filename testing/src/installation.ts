import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type CatalogueItem, type Machine} from '@verbenarouter/core';
import {requestJson, waitUntil} from './http-call.js';
import {type PlatformFaults} from './platform-stand-in.js';
import {ProxyNetwork} from './proxy-network.js';
import {
	commandPath,
	forkUntilReady,
	findFreePorts,
	kill,
	startStandIn,
	type ProcessHandle,
} from './processes.js';
import {
	type TargetRecords,
	type TargetStandInOptions,
} from './target-stand-in.js';

export * from './caller-client.js';
export * from './catalogue-fixtures.js';
export * from './http-call.js';
export * from './processes.js';
export * from './proxy-network.js';
export * from './tcp-proxy.js';

/** Size and contents of an installation. */
export type InstallationOptions = {
	readonly zones: readonly string[];
	readonly entryVmsPerZone: number;
	readonly targetsPerZone: number;
	/** Items that the catalogue holds from the start, written in this order. */
	readonly items: readonly CatalogueItem[];
	/** Settings of every target; missing settings have their defaults. */
	readonly target?: Partial<TargetStandInOptions>;
	/** Whether a fault-injecting proxy is on each path from an availability zone to a machine and to the platform. */
	readonly isProxied?: boolean;
	/** Overrides of all entry VMs' settings. */
	readonly settings?: Readonly<Record<string, unknown>>;
};

/** Installation on loopback: the platform's stand-in, targets and entry VMs, each a process of its own. */
export class Installation {
	/** Starts all processes and waits until every entry VM is ready. */
	static async start(options: InstallationOptions): Promise<Installation> {
		const installation = new Installation(
			options,
			await mkdtemp(path.join(tmpdir(), 'verbenarouter-')),
		);
		await installation.#start();
		return installation;
	}

	readonly entryVms: ProcessHandle[] = [];
	readonly targets: ProcessHandle[] = [];
	/** The proxies; empty unless `isProxied` is set. */
	readonly proxies = new ProxyNetwork();
	readonly #settingsFiles = new Map<string, string>();
	readonly #options: InstallationOptions;
	readonly #directory: string;
	#platform: ProcessHandle | undefined;
	#listVersion = 0;

	private constructor(options: InstallationOptions, directory: string) {
		this.#options = options;
		this.#directory = directory;
	}

	/** Process of the platform's stand-in; throws before it has started. */
	get platform(): ProcessHandle {
		if (this.#platform === undefined) {
			throw new Error(
				'the platform stand-in of the installation has not started',
			);
		}

		return this.#platform;
	}

	/** Kills every process, waits until all have exited and removes the settings files. */
	async stop(): Promise<void> {
		const processes = [
			...this.entryVms,
			...this.targets,
			...(this.#platform ? [this.#platform] : []),
		];
		await Promise.all(processes.map(async (handle) => kill(handle, 'SIGKILL')));
		await this.proxies.close();
		await rm(this.#directory, {recursive: true});
	}

	/** Starts an entry VM and publishes the list of VMs with it; does not wait until the entry VM is ready for callers. */
	async addEntryVm(name: string, zone: string): Promise<ProcessHandle> {
		const [callerPort, peerPort, operatorPort] = await findFreePorts(3);
		const settings = {
			name,
			zone,
			callerAddress: `127.0.0.1:${callerPort}`,
			peerAddress: `127.0.0.1:${peerPort}`,
			operatorAddress: `127.0.0.1:${operatorPort}`,
			platform: {
				address: await this.#resolvePlatformAddress(zone),
				pollIntervalMs: 100,
			},
			peers: {pingIntervalMs: 100, silenceMs: 1500, reconnectMs: 50},
			stop: {noticeMs: 300},
			log: {level: 'warn'},
			...this.#options.settings,
		};
		const file = path.join(this.#directory, `${name}-${callerPort}.jsonc`);
		await writeFile(file, JSON.stringify(settings));
		const entryVm: ProcessHandle = {
			name,
			zone,
			process: await forkUntilReady(commandPath, ['entry', '--settings', file]),
			address: `http://127.0.0.1:${callerPort}`,
			peerAddress: settings.peerAddress,
			operatorAddress: `http://${settings.operatorAddress}`,
		};
		this.entryVms.push(entryVm);
		this.#settingsFiles.set(entryVm.address, file);
		await this.publishMachines();
		return entryVm;
	}

	/** Kills an entry VM with `SIGKILL`; the published list of VMs holds it until {@link publishMachines} is called. */
	async killEntryVm(entryVm: ProcessHandle): Promise<void> {
		await kill(entryVm, 'SIGKILL');
		this.entryVms.splice(this.entryVms.indexOf(entryVm), 1);
	}

	/** Restarts an entry VM that has exited, with the same settings, and waits until the new process is ready. */
	async restartEntryVm(entryVm: ProcessHandle): Promise<ProcessHandle> {
		const file = this.#settingsFiles.get(entryVm.address) ?? '';
		const restarted: ProcessHandle = {
			...entryVm,
			process: await forkUntilReady(commandPath, ['entry', '--settings', file]),
		};
		this.entryVms.push(restarted);
		await this.publishMachines();
		await this.waitUntilReady(restarted);
		return restarted;
	}

	/**
	 * Publishes a new version of the list of VMs for each zone. `change` alters a machine, or removes it by returning
	 * `undefined`; its result may depend on the zone only if `isProxied` is set.
	 */
	async publishMachines(
		change: (machine: Machine, zone: string) => Machine | undefined = (
			machine,
		) => machine,
	): Promise<void> {
		this.#listVersion += 1;
		const version = this.#listVersion;
		await Promise.all(
			this.#options.zones.map(async (zone) => {
				const machines = this.#listMachines().flatMap(
					(machine) => change(machine, zone) ?? [],
				);
				const {host} = new URL(await this.#resolvePlatformAddress(zone));
				const query = this.#options.isProxied === true ? `?host=${host}` : '';
				await requestJson(
					'PUT',
					`${this.platform.address}/control/machines${query}`,
					{
						version,
						machines: await Promise.all(
							machines.map(async (machine) =>
								this.#routeMachine(zone, machine),
							),
						),
					},
				);
			}),
		);
	}

	/** Sets the faults of the platform's stand-in; faults that are not given are cleared. */
	async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
		await requestJson('PUT', `${this.platform.address}/control/faults`, faults);
	}

	/** Appends a catalogue item to the log as an operator's edit, without checking its revision. */
	async publishItem(item: CatalogueItem, basedOn = 0): Promise<void> {
		await requestJson(
			'POST',
			`${this.platform.address}/logs/catalogue/records`,
			{
				type: 'edit',
				editId: `fixture-${item.kind}-${item.name}-${basedOn}`,
				kind: item.kind,
				name: item.name,
				basedOn,
				item,
				author: 'fixture',
				writtenAtMs: 0,
			},
		);
	}

	/** Fetches the records of one target. */
	async fetchTargetRecords({address}: ProcessHandle): Promise<TargetRecords> {
		const {body} = await requestJson<TargetRecords>(
			'GET',
			`${address}/control/records`,
		);
		return body;
	}

	/** Fetches the records of all targets and merges them; `mostBusySlots` is the maximum of one target. */
	async fetchAllTargetRecords(): Promise<TargetRecords> {
		const recordsByTarget = await Promise.all(
			this.targets.map(async (target) => this.fetchTargetRecords(target)),
		);
		return {
			starts: recordsByTarget.flatMap(({starts}) => starts),
			refusedFull: sum(recordsByTarget.map(({refusedFull}) => refusedFull)),
			refusedLeaving: sum(
				recordsByTarget.map(({refusedLeaving}) => refusedLeaving),
			),
			stopped: recordsByTarget.flatMap(({stopped}) => stopped),
			mostBusySlots: Math.max(
				...recordsByTarget.map(({mostBusySlots}) => mostBusySlots),
			),
		};
	}

	/** Replaces the settings of a target's stand-in: those of the installation with `options` over them. */
	async configureTarget(
		{address}: ProcessHandle,
		options: Partial<TargetStandInOptions>,
	): Promise<void> {
		await requestJson('PUT', `${address}/control/options`, {
			...this.#options.target,
			...options,
		});
	}

	/** Releases the tasks that all targets hold (`behave: 'hold'`) and returns their number. */
	async releaseTasks(): Promise<number> {
		const responses = await Promise.all(
			this.targets.map(async ({address}) =>
				requestJson<{released: number}>('POST', `${address}/control/release`),
			),
		);
		return responses.map(({body}) => body.released).reduce((a, b) => a + b, 0);
	}

	/** Polls the readiness route of an entry VM until it responds with status 200. */
	async waitUntilReady({address}: ProcessHandle): Promise<void> {
		await waitUntil(async () => {
			try {
				const {status} = await requestJson('GET', `${address}/readyz`);
				return status === 200;
			} catch {
				return false;
			}
		});
	}

	#listMachines(): readonly Machine[] {
		return [
			...this.entryVms.map(({name, zone, peerAddress}): Machine => ({
				role: 'entry',
				name,
				zone,
				state: 'live',
				peerAddress,
			})),
			...this.targets.map(({name, zone, address}): Machine => ({
				role: 'target',
				name,
				zone,
				rack: 'rack-1',
				state: 'live',
				address,
				slots: this.#options.target?.slots ?? 8,
				processors: 64,
				memoryMb: 131_072,
				accelerators: 0,
			})),
		];
	}

	/** Address of the platform for a zone: that of its proxy if there is one. */
	async #resolvePlatformAddress(zone: string): Promise<string> {
		return this.#options.isProxied === true
			? this.proxies.proxyPlatform(zone, this.platform.address)
			: this.platform.address;
	}

	/** Machine for the list of a zone: with the address of its proxy if there is one. */
	async #routeMachine(zone: string, machine: Machine): Promise<Machine> {
		return this.#options.isProxied === true
			? this.proxies.proxyMachine(zone, machine)
			: machine;
	}

	async #start(): Promise<void> {
		const {zones, entryVmsPerZone, targetsPerZone, items, target} =
			this.#options;
		const [platformPort] = await findFreePorts(1);
		this.#platform = await startStandIn({
			role: 'platform',
			name: 'platform',
			zone: '',
			port: platformPort ?? 0,
		});
		for (const item of items) {
			// eslint-disable-next-line no-await-in-loop -- the log must hold the edits in the order of the items
			await this.publishItem(item);
		}

		await Promise.all(
			zones.flatMap((zone) =>
				Array.from({length: targetsPerZone}, async (_, index) => {
					const [port] = await findFreePorts(1);
					this.targets.push(
						await startStandIn({
							role: 'target',
							name: `target-${zone}-${index}`,
							zone,
							port: port ?? 0,
							options: JSON.stringify(target ?? {}),
						}),
					);
				}),
			),
		);
		await Promise.all(
			zones.flatMap((zone) =>
				Array.from({length: entryVmsPerZone}, async (_, index) =>
					this.addEntryVm(`entry-${zone}-${index}`, zone),
				),
			),
		);
		await Promise.all(
			this.entryVms.map(async (entryVm) => this.waitUntilReady(entryVm)),
		);
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
