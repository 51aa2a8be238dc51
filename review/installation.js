/** A small installation of entry VM processes, started as the deploy file says, on stand-ins of the platform. */
import {spawn} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Store, Worker, callEntryVm} from './stand-ins.js';

const repository = path.resolve(import.meta.dirname, '..');
/** Exit code of a script whose case could not run. */
const couldNotRun = 2;
/** Longest time that a script may take. */
const maxScriptMs = 115_000;

/** The bounds and limits of `sites/cpk-dispatch.toml`, as DEPLOY.md has them in the settings of a process. */
const bounds = {maxHoldMs: 1000, stopTimeoutMs: 50, graceS: 6};
const limits = {cpuShare: 0.675, cores: 1, memoryMb: 350, maxOpenFiles: 4100};

/** The only route of the desired state. */
export const route = {
	name: 'r-confirm',
	host: 'kitchen.example',
	pathPrefix: '/confirm/',
	type: 'non_idempotent',
	timeoutMs: 1500,
	targetLatencyMs: 60,
	priority: 1,
	service: 'menu-svc',
	maxAttempts: 3,
	stretch: 1.6,
};

/** Fills in a template as DEPLOY.md describes it, as far as the template of the deploy file needs. */
function fillTemplate(text, fields) {
	const lookUp = (name, scope) => {
		let value = scope;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return value;
	};

	const fill = (part, scope) =>
		part
			.replaceAll(
				/\{\{#(?<name>[\w.]+)\}\}(?<inner>.*?)\{\{\/\k<name>\}\}/gsv,
				(_match, name, inner) => {
					const entries = Object.entries(lookUp(name, scope) ?? {});
					return entries
						.map(([key], index) =>
							inner
								.replaceAll('{{@}}', key)
								.replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
						)
						.join('');
				},
			)
			.replaceAll(
				/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv,
				(_match, name, json) => {
					const value = lookUp(name, scope);
					return json === undefined
						? String(value ?? '')
						: JSON.stringify(value ?? null);
				},
			);
	return fill(text, fields);
}

/** Returns the value of a text field of the deploy file. */
function readDeployField(name) {
	const text = readFileSync(
		path.join(repository, 'deploy/system.toml'),
		'utf8',
	);
	const match = new RegExp(`^${name} = "(?<value>.*)"$`, 'mv').exec(text);
	if (match === null) {
		throw new Error(`deploy/system.toml has no field ${name}`);
	}

	return match.groups.value;
}

async function isFree(host, port) {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function findFreePort(hosts, first) {
	for (let port = first; port < first + 1000; port += 1) {
		// eslint-disable-next-line no-await-in-loop -- the ports are tried in turn
		const free = await Promise.all(
			hosts.map(async (host) => isFree(host, port)),
		);
		if (free.every(Boolean)) {
			return port;
		}
	}

	throw new Error(`no free port from ${first} on`);
}

/** An installation, with the record of what was sent, answered and run. */
export class Installation {
	store = new Store();
	workers = [];
	entryVms = [];
	zones;
	#folder;
	#recordFile;
	#startedAtMs = performance.now();
	#isClosed = false;

	/** `zones` are names; `entryVmsPerZone` and `workersPerZone` are numbers, `cpu` the capacity of each worker. */
	constructor(recordFile, {zones, entryVmsPerZone, workersPerZone, cpu}) {
		this.zones = zones;
		this.options = {entryVmsPerZone, workersPerZone, cpu};
		this.#recordFile = recordFile;
		this.#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		writeFileSync(recordFile, '');
	}

	/** Milliseconds since the script began. */
	get now() {
		return performance.now() - this.#startedAtMs;
	}

	/** Writes a line to the record. */
	record(event, fields = {}) {
		const line = {atMs: Math.round(this.now), event, ...fields};
		appendFileSync(this.#recordFile, `${JSON.stringify(line)}\n`);
	}

	/** Starts everything, and waits until all entry VMs are ready and the time until traffic has passed. */
	async start() {
		const {entryVmsPerZone, workersPerZone, cpu} = this.options;
		const net = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
		const hosts = Array.from(
			{length: this.zones.length * entryVmsPerZone},
			(_, index) => `${net}.${index + 1}`,
		);
		this.ports = {
			front: await findFreePort(hosts, 8161),
			control: await findFreePort(hosts, 9166),
			readiness: await findFreePort(hosts, 10_167),
		};
		await this.store.listen('127.0.0.1');
		for (const zone of this.zones) {
			for (let index = 0; index < workersPerZone; index += 1) {
				// eslint-disable-next-line no-await-in-loop -- a few listeners
				await this.addWorker({id: `i-${zone}-${index}`, zone, cpu});
			}
		}

		this.store.put(
			'keyed.op',
			'config',
			JSON.stringify({
				version: 7,
				routes: [route],
				services: [{name: route.service, rejectsOverload: true}],
				limits: {maxBodyBytes: 262_144},
			}),
		);
		for (const [index, host] of hosts.entries()) {
			const zone = this.zones[Math.floor(index / entryVmsPerZone)];
			this.entryVms.push({
				name: `edge-${zone}-${(index % entryVmsPerZone) + 1}`,
				zone,
				host,
				front: `${host}:${this.ports.front}`,
				readiness: `${host}:${this.ports.readiness}`,
				control: `${host}:${this.ports.control}`,
				lines: [],
				child: undefined,
			});
		}

		for (const entryVm of this.entryVms) {
			this.startProcess(entryVm, true);
		}

		// Traffic starts 12 s after the machines do.
		const readyByMs = this.now + 12_000;
		await Promise.all(
			this.entryVms.map(async (entryVm) => this.waitUntilReady(entryVm)),
		);
		await sleep(Math.max(0, readyByMs - this.now));
		this.record('traffic-may-start', {leader: this.findLeader().name});
	}

	/** Starts a worker and registers it in the store; returns it. */
	async addWorker({id, zone, cpu}) {
		const worker = new Worker({
			id,
			zone,
			cpu,
			service: route.service,
			record: (event, fields) => {
				this.record(event, fields);
			},
		});
		await worker.listen('127.0.0.1');
		this.workers.push(worker);
		worker.registeredEnd = this.store.put('keyed.servers', id, worker.entry);
		this.record('worker-registered', {worker: id, cpu});
		return worker;
	}

	/** Starts the process of an entry VM as the platform does, with the run line and the template of the deploy file. */
	startProcess(entryVm, isFirstStart) {
		const file = path.join(this.#folder, `${entryVm.name}.jsonc`);
		const template = readFileSync(
			path.join(repository, readDeployField('template')),
			'utf8',
		);
		writeFileSync(
			file,
			fillTemplate(template, {
				nodeName: entryVm.name,
				zone: entryVm.zone,
				zones: Object.fromEntries(this.zones.map((zone) => [zone, 'region'])),
				ip: entryVm.host,
				listenAddresses: {
					front: entryVm.front,
					readiness: entryVm.readiness,
					control: entryVm.control,
				},
				seeds: this.entryVms.slice(0, 3).map(({control}) => control),
				bootstrap: isFirstStart,
				platform: {address: this.store.address},
				limits,
				bounds,
			}),
		);
		const [program, ...words] = readDeployField('run').split(' ');
		const child = spawn(program, words, {
			cwd: repository,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				VERBENAROUTER_SETTINGS: file,
			},
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		child.stdout.setEncoding('utf8');
		child.stdout.on('data', (text) => {
			entryVm.lines.push(...text.split('\n').filter((line) => line !== ''));
		});
		child.once('exit', (code, signal) => {
			if (!this.#isClosed) {
				this.record('process-ended', {entryVm: entryVm.name, code, signal});
			}
		});
		entryVm.child = child;
		this.record('process-started', {entryVm: entryVm.name});
	}

	/** Sends a signal to the process of an entry VM. */
	signal(entryVm, name) {
		this.record('signal', {entryVm: entryVm.name, signal: name});
		entryVm.child.kill(name);
	}

	/** Stops an entry VM as planned work does: SIGTERM, SIGKILL after `graceS`, and a new process after a short delay. */
	async stopAndStart(entryVm) {
		const {child} = entryVm;
		const ended = new Promise((resolve) => {
			child.once('exit', resolve);
		});
		this.signal(entryVm, 'SIGTERM');
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, bounds.graceS * 1000);
		await ended;
		clearTimeout(timer);
		await sleep(300);
		this.startProcess(entryVm, false);
	}

	/** Waits until an entry VM reports itself ready. */
	async waitUntilReady({readiness, name}) {
		for (let attempt = 0; attempt < 400; attempt += 1) {
			// eslint-disable-next-line no-await-in-loop -- polls
			const {status} = await callEntryVm(readiness, {
				method: 'GET',
				path: '/api/readiness',
				host: readiness,
				limitMs: 1000,
			});
			if (status === 200) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polls
			await sleep(50);
		}

		throw new Error(`${name} did not become ready`);
	}

	/**
	 * Finds the entry VM that gives the orders, by the last line of each process on its leader. This only selects which process a
	 * disruption meets.
	 */
	findLeader() {
		const names = this.entryVms.map(({lines}) => {
			const line = lines.findLast((other) =>
				other.includes('"event":"leader"'),
			);
			return line === undefined ? undefined : JSON.parse(line).leader;
		});
		const counts = new Map();
		for (const name of names) {
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		const [[leader]] = [...counts].toSorted(
			(left, right) => right[1] - left[1],
		);
		const entryVm = this.entryVms.find(({name}) => name === leader);
		if (entryVm === undefined) {
			throw new Error('no leader is known');
		}

		return entryVm;
	}

	/** Submits a job of `count` equal tasks; resolves with the answer. */
	async submit(
		entryVm,
		id,
		{count, ms, cpu, limitMs, estimatedMs = ms, resetAfterMs},
	) {
		this.record('post', {id, entryVm: entryVm.name, count, ms, cpu});
		const answer = await callEntryVm(entryVm.front, {
			method: 'POST',
			path: route.pathPrefix + id,
			host: route.host,
			body: JSON.stringify({
				spec: JSON.stringify({ms, cpu}),
				bestEffort: true,
				steps: [{count, cpu, memMb: 64, estimatedMs}],
			}),
			limitMs,
			resetAfterMs,
		});
		this.record('post-answer', {id, entryVm: entryVm.name, ...answer});
		return answer;
	}

	/** Cancels a job; resolves with the answer. */
	async cancel(entryVm, id) {
		this.record('delete', {id, entryVm: entryVm.name});
		const answer = await callEntryVm(entryVm.front, {
			method: 'DELETE',
			path: route.pathPrefix + id,
			host: route.host,
			limitMs: 4000,
		});
		this.record('delete-answer', {id, entryVm: entryVm.name, ...answer});
		return answer;
	}

	/** All runs of a job, in the order of their starts. */
	runsOf(id) {
		return this.workers
			.flatMap(({runs}) => runs)
			.filter(({task}) => task.startsWith(`${id}.`))
			.toSorted((left, right) => left.startMs - right.startMs);
	}

	/** Milliseconds since the script began of a time of `performance.now`. */
	toScriptMs(timeMs) {
		return Math.round(timeMs - this.#startedAtMs);
	}

	/** Ends all processes that this installation has started. */
	close() {
		this.#isClosed = true;
		for (const {child} of this.entryVms) {
			child?.kill('SIGCONT');
			child?.kill('SIGKILL');
		}

		for (const worker of this.workers) {
			worker.close();
		}

		this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** A new identifier of a job: 16 hexadecimal digits. */
export function newId() {
	return Array.from({length: 16}, () =>
		Math.floor(Math.random() * 16).toString(16),
	).join('');
}

/**
 * Runs a case: `play` gets the installation and whether the disruption takes place, and returns a text that says how the rule
 * was broken, or `undefined` if it held. Exits with 1, 0 or, if the case could not run, 2.
 */
export async function runCase(folder, options, play) {
	const installation = new Installation(
		path.join(folder, 'record.txt'),
		options,
	);
	const withTrouble = process.env.TROUBLE !== '0';
	const end = (code, text) => {
		installation.record('result', {code, text});
		installation.close();
		console.log(text);
		// eslint-disable-next-line unicorn/no-process-exit -- sockets and timers of the stand-ins may still be open
		process.exit(code);
	};

	process.once('SIGINT', () => {
		end(couldNotRun, 'interrupted');
	});
	process.once('SIGTERM', () => {
		end(couldNotRun, 'interrupted');
	});
	setTimeout(() => {
		end(couldNotRun, 'the case took too long');
	}, maxScriptMs);
	try {
		await installation.start();
		const problem = await play(installation, withTrouble);
		end(problem === undefined ? 0 : 1, problem ?? 'the rule held');
	} catch (error) {
		end(couldNotRun, `the case could not run: ${error.stack}`);
	}
}
