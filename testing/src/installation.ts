/** A whole installation on loopback, each part a process of its own. */
import {fork, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	type CatalogueItem,
	type JobAnswer,
	type Machine,
} from '@verbenarouter/core';
import {request} from 'undici';
import {type PlatformFaults} from './platform-stand-in.js';
import {
	type TargetRecords,
	type TargetStandInOptions,
} from './target-stand-in.js';

const standInProcess = fileURLToPath(
	new URL('../dist/stand-in-process.js', import.meta.url),
);
const command = fileURLToPath(
	new URL('../../packages/verbenarouter/dist/command.js', import.meta.url),
);

const pollIntervalMs = 20;

/** The token of a team of an installation. */
export function tokenOf(team: string): string {
	return `token-of-${team}`;
}

/** How large an installation is. */
export type InstallationOptions = {
	readonly zones: readonly string[];
	readonly entryVmsPerZone: number;
	readonly targetsPerZone: number;
	readonly items: readonly CatalogueItem[];
	readonly target?: Partial<TargetStandInOptions>;
	/** Overrides of the entry VMs' settings. */
	readonly settings?: Readonly<Record<string, unknown>>;
};

/** One process of an installation. */
export type Part = {
	readonly name: string;
	readonly zone: string;
	readonly process: ChildProcess;
	readonly address: string;
	readonly peerAddress: string;
	readonly operatorAddress: string;
};

/** An HTTP answer. */
export type HttpAnswer<T> = {
	readonly status: number;
	readonly body: T;
	readonly headers: Readonly<Record<string, unknown>>;
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
			platform: {address: this.platform.address, pollIntervalMs: 100},
			peers: {pingIntervalMs: 100, silenceMs: 500, reconnectMs: 50},
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
		await this.publishMachines();
		return part;
	}

	/** Publishes the list of VMs as it is now, but for the given machines. */
	async publishMachines(
		change: (machine: Machine) => Machine | undefined = (machine) => machine,
	): Promise<void> {
		this.#listVersion += 1;
		const machines: Machine[] = [
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
		await call('PUT', `${this.platform.address}/control/machines`, {
			version: this.#listVersion,
			machines: machines.flatMap((machine) => change(machine) ?? []),
		});
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

	/** What all targets have seen, together. */
	async records(): Promise<TargetRecords> {
		const answers = await Promise.all(
			this.targets.map(async ({address}) =>
				call<TargetRecords>('GET', `${address}/control/records`),
			),
		);
		const all = answers.map(({body}) => body);
		return {
			starts: all.flatMap(({starts}) => starts),
			refusedFull: all
				.map(({refusedFull}) => refusedFull)
				.reduce((a, b) => a + b, 0),
			mostBusySlots: Math.max(...all.map(({mostBusySlots}) => mostBusySlots)),
		};
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

/** A caller of one team. */
export class Caller {
	readonly #token: string;

	constructor(readonly team: string) {
		this.#token = tokenOf(team);
	}

	/** Reserves identifiers at an entry VM. */
	async reserve({address}: Part, count = 1): Promise<readonly string[]> {
		const answer = await call<{identifiers: string[]}>(
			'POST',
			`${address}/v1/identifiers`,
			{count},
			this.#token,
		);
		return answer.body.identifiers;
	}

	/** Submits a job and waits for its answer. */
	async submit(
		{address}: Part,
		identifier: string,
		job: unknown,
	): Promise<HttpAnswer<JobAnswer>> {
		return call<JobAnswer>(
			'PUT',
			`${address}/v1/jobs/${identifier}`,
			job,
			this.#token,
		);
	}

	/** Asks for a submission's state. */
	async status(
		{address}: Part,
		identifier: string,
	): Promise<HttpAnswer<{state: string; answer?: JobAnswer}>> {
		return call(
			'GET',
			`${address}/v1/jobs/${identifier}`,
			undefined,
			this.#token,
		);
	}

	/** Cancels a submission. */
	async cancel(
		{address}: Part,
		identifier: string,
	): Promise<HttpAnswer<JobAnswer>> {
		return call<JobAnswer>(
			'DELETE',
			`${address}/v1/jobs/${identifier}`,
			undefined,
			this.#token,
		);
	}
}

/** A team for an installation's catalogue. */
export function teamItem(
	name: string,
	change: Partial<Extract<CatalogueItem, {kind: 'team'}>> = {},
): CatalogueItem {
	return {
		kind: 'team',
		name,
		tokenHash: createHash('sha256').update(tokenOf(name)).digest('hex'),
		role: 'caller',
		quota: {concurrency: 10_000, startsPerSecond: 100_000},
		...change,
	};
}

/** An entry for an installation's catalogue. */
export function entryItem(
	name: string,
	change: Partial<Extract<CatalogueItem, {kind: 'entry'}>> = {},
): CatalogueItem {
	return {
		kind: 'entry',
		name,
		owner: 'coastal',
		classOfWork: name,
		idempotent: true,
		needs: {processors: 1, memoryMb: 256, accelerators: 0},
		limits: {
			concurrency: 10_000,
			startsPerSecond: 100_000,
			deadlineMs: 10_000,
			largestJob: 1400,
		},
		...change,
	};
}

/** Ends a part's process and waits until it has gone. */
export async function kill(
	{process: child}: Part,
	signal: NodeJS.Signals,
): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const gone = new Promise((resolve) => {
		child.once('exit', resolve);
	});
	child.kill(signal);
	await gone;
}

/** Waits until a condition holds; the test's own time limit ends a wait in vain. */
export async function until(condition: () => Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- each look waits for the one before
	while (!(await condition())) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(pollIntervalMs);
	}
}

/** One HTTP call with a JSON body. */
export async function call<T>(
	method: 'GET' | 'POST' | 'PUT' | 'DELETE',
	url: string,
	body?: unknown,
	token?: string,
): Promise<HttpAnswer<T>> {
	const answer = await request(url, {
		method,
		headers: {
			...(body === undefined ? {} : {'content-type': 'application/json'}),
			...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
		},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	return {
		status: answer.statusCode,
		body: (await answer.body.json()) as T,
		headers: answer.headers,
	};
}

type StandIn = {
	readonly role: 'platform' | 'target';
	readonly name: string;
	readonly zone: string;
	readonly port: number;
	readonly options?: string;
};

async function startStandIn({
	role,
	name,
	zone,
	port,
	options = '{}',
}: StandIn): Promise<Part> {
	return {
		name,
		zone,
		process: await forkReady(standInProcess, [role, String(port), options]),
		address: `http://127.0.0.1:${port}`,
		peerAddress: '',
		operatorAddress: '',
	};
}

async function forkReady(
	file: string,
	parameters: readonly string[],
): Promise<ChildProcess> {
	const child = fork(file, parameters, {
		stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
		execArgv: [],
	});
	await new Promise<void>((resolve, reject) => {
		child.once('message', () => {
			resolve();
		});
		child.once('exit', (code) => {
			reject(
				new Error(
					`${path.basename(file)} ${parameters.join(' ')} ended with ${code} before it was ready`,
				),
			);
		});
	});
	return child;
}

async function freePorts(count: number): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(
		servers.map(
			async (server) =>
				new Promise<number>((resolve) => {
					server.listen(0, '127.0.0.1', () => {
						resolve((server.address() as AddressInfo).port);
					});
				}),
		),
	);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.close(resolve);
				}),
		),
	);
	return ports;
}
