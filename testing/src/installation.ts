/** A whole installation on loopback, each part a process of its own. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type CatalogueItem, type Machine} from '@verbenarouter/core';
import {call, until} from './http-call.js';
import {type PlatformFaults} from './platform-stand-in.js';
import {ProxyNetwork} from './proxy-network.js';
import {
	command,
	forkReady,
	freePorts,
	kill,
	startStandIn,
	type Part,
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

/** How large an installation is. */
export type InstallationOptions = {
	readonly zones: readonly string[];
	readonly entryVmsPerZone: number;
	readonly targetsPerZone: number;
	readonly items: readonly CatalogueItem[];
	readonly target?: Partial<TargetStandInOptions>;
	/** Puts a fault-injecting proxy on each path from an availability zone to a machine and to the platform. */
	readonly isProxied?: boolean;
	/** Overrides of the entry VMs' settings. */
	readonly settings?: Readonly<Record<string, unknown>>;
};

/** A whole installation on loopback. */
export class Installation {
	/** Starts all parts and waits until every entry VM is ready. */
	static async start(options: InstallationOptions): Promise<Installation> {
		const installation = new Installation(
			options,
			await mkdtemp(path.join(tmpdir(), 'verbenarouter-')),
		);
		await installation.#start();
		return installation;
	}

	readonly entryVms: Part[] = [];
	readonly targets: Part[] = [];
	/** The proxies, when the installation was asked for them. */
	readonly proxies = new ProxyNetwork();
	readonly #settingsFiles = new Map<string, string>();
	readonly #options: InstallationOptions;
	readonly #directory: string;
	#platform: Part | undefined;
	#listVersion = 0;

	private constructor(options: InstallationOptions, directory: string) {
		this.#options = options;
		this.#directory = directory;
	}

	/** The platform's stand-in. */
	get platform(): Part {
		if (this.#platform === undefined) {
			throw new Error('the installation has not started');
		}

		return this.#platform;
	}

	/** Ends every process and waits for it. */
	async stop(): Promise<void> {
		const parts = [
			...this.entryVms,
			...this.targets,
			...(this.#platform ? [this.#platform] : []),
		];
		await Promise.all(parts.map(async (part) => kill(part, 'SIGKILL')));
		await this.proxies.close();
		await rm(this.#directory, {recursive: true});
	}

	/** Starts one more entry VM, which the list of VMs names from then on. */
	async addEntryVm(name: string, zone: string): Promise<Part> {
		const [callerPort, peerPort, operatorPort] = await freePorts(3);
		const settings = {
			name,
			zone,
			callerAddress: `127.0.0.1:${callerPort}`,
			peerAddress: `127.0.0.1:${peerPort}`,
			operatorAddress: `127.0.0.1:${operatorPort}`,
			platform: {
				address: await this.#platformAddress(zone),
				pollIntervalMs: 100,
			},
			peers: {pingIntervalMs: 100, silenceMs: 1500, reconnectMs: 50},
			stop: {noticeMs: 300},
			log: {level: 'warn'},
			...this.#options.settings,
		};
		const file = path.join(this.#directory, `${name}-${callerPort}.jsonc`);
		await writeFile(file, JSON.stringify(settings));
		const part: Part = {
			name,
			zone,
			process: await forkReady(command, ['entry', '--settings', file]),
			address: `http://127.0.0.1:${callerPort}`,
			peerAddress: settings.peerAddress,
			operatorAddress: `http://${settings.operatorAddress}`,
		};
		this.entryVms.push(part);
		this.#settingsFiles.set(part.address, file);
		await this.publishMachines();
		return part;
	}

	/** Kills an entry VM without notice. The list of VMs goes on naming it until it is published again. */
	async killEntryVm(part: Part): Promise<void> {
		await kill(part, 'SIGKILL');
		this.entryVms.splice(this.entryVms.indexOf(part), 1);
	}

	/** Starts a new process at the addresses of an entry VM that has ended. */
	async restartEntryVm(part: Part): Promise<Part> {
		const file = this.#settingsFiles.get(part.address) ?? '';
		const restarted: Part = {
			...part,
			process: await forkReady(command, ['entry', '--settings', file]),
		};
		this.entryVms.push(restarted);
		await this.publishMachines();
		await this.untilReady(restarted);
		return restarted;
	}

	/** Publishes the list of VMs as it is now, but for the given machines; each zone may see another one. */
	async publishMachines(
		change: (machine: Machine, zone: string) => Machine | undefined = (
			machine,
		) => machine,
	): Promise<void> {
		this.#listVersion += 1;
		const version = this.#listVersion;
		await Promise.all(
			this.#options.zones.map(async (zone) => {
				const machines = this.#machines().flatMap(
					(machine) => change(machine, zone) ?? [],
				);
				const {host} = new URL(await this.#platformAddress(zone));
				const query = this.#options.isProxied === true ? `?host=${host}` : '';
				await call('PUT', `${this.platform.address}/control/machines${query}`, {
					version,
					machines: await Promise.all(
						machines.map(async (machine) => this.#reached(zone, machine)),
					),
				});
			}),
		);
	}

	/** Gives the platform's stand-in faults. */
	async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
		await call('PUT', `${this.platform.address}/control/faults`, faults);
	}

	/** Appends catalogue items as an operator's edits would be, without checking revisions. */
	async publishItem(item: CatalogueItem, basedOn = 0): Promise<void> {
		await call('POST', `${this.platform.address}/logs/catalogue/records`, {
			type: 'edit',
			editId: `fixture-${item.kind}-${item.name}-${basedOn}`,
			kind: item.kind,
			name: item.name,
			basedOn,
			item,
			author: 'fixture',
			writtenAtMs: 0,
		});
	}

	/** What one target has seen. */
	async recordsOf({address}: Part): Promise<TargetRecords> {
		const {body} = await call<TargetRecords>(
			'GET',
			`${address}/control/records`,
		);
		return body;
	}

	/** What all targets have seen, together. */
	async records(): Promise<TargetRecords> {
		const all = await Promise.all(
			this.targets.map(async (target) => this.recordsOf(target)),
		);
		return {
			starts: all.flatMap(({starts}) => starts),
			refusedFull: sum(all.map(({refusedFull}) => refusedFull)),
			refusedLeaving: sum(all.map(({refusedLeaving}) => refusedLeaving)),
			stopped: all.flatMap(({stopped}) => stopped),
			mostBusySlots: Math.max(...all.map(({mostBusySlots}) => mostBusySlots)),
		};
	}

	/** Changes the settings of a target's stand-in. */
	async setTarget(
		{address}: Part,
		options: Partial<TargetStandInOptions>,
	): Promise<void> {
		await call('PUT', `${address}/control/options`, {
			...this.#options.target,
			...options,
		});
	}

	/** Lets the tasks that are held at the targets go on; returns how many these were. */
	async releaseTasks(): Promise<number> {
		const answers = await Promise.all(
			this.targets.map(async ({address}) =>
				call<{released: number}>('POST', `${address}/control/release`),
			),
		);
		return answers.map(({body}) => body.released).reduce((a, b) => a + b, 0);
	}

	/** Waits until an entry VM is ready for callers. */
	async untilReady({address}: Part): Promise<void> {
		await until(async () => {
			try {
				const {status} = await call('GET', `${address}/readyz`);
				return status === 200;
			} catch {
				return false;
			}
		});
	}

	#machines(): readonly Machine[] {
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

	async #platformAddress(zone: string): Promise<string> {
		return this.#options.isProxied === true
			? this.proxies.platformAddress(zone, this.platform.address)
			: this.platform.address;
	}

	async #reached(zone: string, machine: Machine): Promise<Machine> {
		return this.#options.isProxied === true
			? this.proxies.reachedFrom(zone, machine)
			: machine;
	}

	async #start(): Promise<void> {
		const {zones, entryVmsPerZone, targetsPerZone, items, target} =
			this.#options;
		const [platformPort] = await freePorts(1);
		this.#platform = await startStandIn({
			role: 'platform',
			name: 'platform',
			zone: '',
			port: platformPort ?? 0,
		});
		for (const item of items) {
			// eslint-disable-next-line no-await-in-loop -- edits are appended in order
			await this.publishItem(item);
		}

		await Promise.all(
			zones.flatMap((zone) =>
				Array.from({length: targetsPerZone}, async (_, index) => {
					const [port] = await freePorts(1);
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
		await Promise.all(this.entryVms.map(async (part) => this.untilReady(part)));
	}
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
