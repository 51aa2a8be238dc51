/**
 * A small installation for the scripts of cases 6 to 10: the project's stand-ins of the platform's store and of workers in this
 * process, and entry VMs as processes of their own, started with the run line of the deploy file, all on loopback.
 */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatTaskSpec} from '../testing/dist/pool/pool-installation.js';
import {StoreStandIn} from '../testing/dist/pool/store-stand-in.js';
import {WorkerStandIn} from '../testing/dist/pool/worker-stand-in.js';
import {findFreePorts} from '../testing/dist/processes.js';

const root = path.resolve(import.meta.dirname, '..');
const service = 'menu-svc';
const host = 'kitchen.example';
const prefix = '/plans/';
/** Time after the start of the machines at which the pages let traffic begin. */
const leadMs = 12_000;
/** Time after which a process that has ended is started again. */
const restartMs = 500;
/** Time limit of a script, below the 120 s that it may run. */
const scriptLimitMs = 110_000;

/** Bounds from the table of the site, in milliseconds. */
const bounds = {cancelMs: 3000, stopTimeoutMs: 50};

/** Fills the project's template of the settings in, as far as it uses the platform's syntax. */
function fillTemplate(fields) {
	const find = (name) => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value;
	};

	return readFileSync(path.join(root, 'deploy/settings.jsonc'), 'utf8')
		.replaceAll(
			/\{\{#(?<name>\w+)\}\}(?<part>.*?)\{\{\/\k<name>\}\}/gv,
			(_, name, part) =>
				Object.keys(find(name))
					.map((key, index, keys) =>
						part
							.replaceAll('{{@}}', key)
							.replaceAll('{{,}}', index < keys.length - 1 ? ',' : ''),
					)
					.join(''),
		)
		.replaceAll(/\{\{(?<name>[\w.]+)\|json\}\}/gv, (_, name) =>
			JSON.stringify(find(name)),
		)
		.replaceAll(/\{\{(?<name>[\w.]+)\}\}/gv, (_, name) => find(name));
}

function readRunLine() {
	const line = /^run = "(?<run>.+)"$/mv.exec(
		readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'),
	);
	const [, ...commandArguments] = line.groups.run.split(' ');
	return commandArguments;
}

/** An installation, and the record of what was sent, answered and run. */
export class SmallSite {
	lines = [];
	entryVms = [];
	#startedAtMs = performance.now();
	#store = new StoreStandIn();
	/** Second and third number of the addresses for metrics. */
	#network = `${randomInt(1, 255)}.${randomInt(256)}`;
	#directory = mkdtempSync(path.join(tmpdir(), 'small-site-'));
	#options;
	#isClosed = false;

	/** `options`: zones, entryVmsPerZone, workersPerZone, processorMillis and targetLatencyMs. */
	constructor(options) {
		this.#options = options;
		this.workers = options.zones.flatMap((zone) =>
			Array.from(
				{length: options.workersPerZone},
				(_, index) =>
					new WorkerStandIn({
						id: `i-${zone}-${index}`,
						zone,
						service,
						processorMillis: options.processorMillis,
						parseTaskSpec(spec) {
							const [runMs, needsMillis] = spec.split(' ').map(Number);
							return {runMs, needsMillis, crashesWorker: false};
						},
					}),
			),
		);
	}

	/** Adds a line to the record, with the milliseconds since the start. */
	note(text, atMs = performance.now()) {
		this.lines.push({atMs: atMs - this.#startedAtMs, text});
	}

	/** Starts everything and waits until traffic may begin. */
	async start() {
		await this.#store.listen();
		await Promise.all(this.workers.map(async (worker) => worker.listen()));
		for (const worker of this.workers) {
			this.#store.put(
				'keyed.servers',
				worker.options.id,
				worker.registryRecord,
			);
		}

		this.#store.put('keyed.op', 'config', this.#formatDesiredState());
		const {zones, entryVmsPerZone} = this.#options;
		const places = zones.flatMap((zone) =>
			Array.from({length: entryVmsPerZone}, (_, index) => ({
				zone,
				name: `edge-${zone}-${index + 1}`,
			})),
		);
		const ports = await findFreePorts(places.length * 3);
		const addressOf = (index) => `127.0.0.1:${ports[index]}`;
		const seeds = places
			.slice(0, 3)
			.map((_, index) => addressOf(index * 3 + 2));
		for (const [index, {zone, name}] of places.entries()) {
			const settingsPath = path.join(this.#directory, `${name}.jsonc`);
			const first = index * 3;
			writeFileSync(
				settingsPath,
				fillTemplate({
					nodeName: name,
					zone,
					zones: Object.fromEntries(zones.map((other) => [other, 'region'])),
					listenAddresses: {
						front: addressOf(first),
						readiness: addressOf(first + 1),
						control: addressOf(first + 2),
					},
					seeds,
					// The template adds a fixed port, so that each run has addresses of its own.
					ip: `127.${this.#network}.${index + 1}`,
					bootstrap: true,
					limits: {cpuShare: 0.675},
					platform: {address: this.#store.address},
					bounds: {
						maxHoldMs: 1000,
						stopTimeoutMs: bounds.stopTimeoutMs,
						graceS: 6,
					},
				}),
			);
			const entryVm = {
				name,
				zone,
				settingsPath,
				callerPort: ports[first],
				readinessPort: ports[first + 1],
				log: [],
				exits: [],
			};
			this.entryVms.push(entryVm);
			this.spawn(entryVm);
		}

		await sleep(leadMs);
		for (const {name, readinessPort} of this.entryVms) {
			// eslint-disable-next-line no-await-in-loop -- a few quick requests
			const {status} = await send(readinessPort, 'GET', '/api/readiness');
			if (status !== 200) {
				throw new Error(`${name} is not ready: ${status}`);
			}
		}

		this.note(`${this.entryVms.length} entry VMs are ready`);
	}

	/** Starts the process of an entry VM; when it ends, it is started again, as the platform does. */
	spawn(entryVm) {
		const child = spawn(process.execPath, readRunLine(), {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				VERBENAROUTER_SETTINGS: entryVm.settingsPath,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		entryVm.child = child;
		child.stdout.setEncoding('utf8');
		child.stdout.on('data', (text) => {
			entryVm.log.push(...text.split('\n').filter(Boolean));
		});
		child.stderr.setEncoding('utf8');
		child.stderr.on('data', (text) => {
			this.note(`${entryVm.name} writes: ${text.trim()}`);
		});
		child.once('exit', (code, signal) => {
			entryVm.exits.push({code, signal});
			if (!this.#isClosed) {
				this.note(`${entryVm.name} has ended: ${signal ?? code}`);
				setTimeout(() => {
					if (!this.#isClosed) {
						this.spawn(entryVm);
					}
				}, restartMs);
			}
		});
	}

	/** Finds the entry VM that leads a zone: the one that has claimed it and not dropped it since. */
	findLeader(zone) {
		return this.entryVms.find(({log}) =>
			log
				.findLast(
					(line) =>
						line.includes('"event":"leadership"') &&
						line.includes(`"zone":"${zone}"`),
				)
				?.includes('"kind":"claimed"'),
		);
	}

	/** Submits a job of one step; resolves with the answer. */
	async submit(entryVm, id, job) {
		this.note(
			`POST ${id} to ${entryVm.name}: ${job.count} tasks of ${job.runMs} ms, X-Deadline-Ms ${job.deadlineMs}`,
		);
		const answer = await send(entryVm.callerPort, 'POST', prefix + id, {
			deadlineMs: job.deadlineMs,
			body: JSON.stringify({
				spec: formatTaskSpec({
					runMs: job.runMs,
					needsMillis: job.needsMillis,
					crashesWorker: false,
				}),
				bestEffort: true,
				steps: [
					{
						count: job.count,
						cpu: job.needsMillis,
						memMb: 64,
						estimatedMs: job.runMs,
					},
				],
			}),
		});
		this.note(`POST ${id} to ${entryVm.name} -> ${describe(answer)}`);
		return answer;
	}

	/** Cancels a job; resolves with the answer and its time. */
	async cancel(entryVm, id, deadlineMs = 5000) {
		this.note(`DELETE ${id} to ${entryVm.name}`);
		const answer = await send(entryVm.callerPort, 'DELETE', prefix + id, {
			deadlineMs,
		});
		const atMs = performance.now();
		this.note(`DELETE ${id} to ${entryVm.name} -> ${describe(answer)}`, atMs);
		return {...answer, atMs};
	}

	/** All runs of a job's tasks, in the order of their starts. */
	runsOf(id) {
		return this.workers
			.flatMap((worker) =>
				worker.runs.map((run) => ({...run, worker: worker.options.id})),
			)
			.filter(({task}) => task.startsWith(`${id}.`))
			.toSorted((left, right) => left.startedAtMs - right.startedAtMs);
	}

	/** The runs that the rule UNASKED forbids: those that start later than `cancelMs` after the cancelling was acknowledged. */
	findUnasked(id, acknowledgedAtMs) {
		return this.runsOf(id).filter(
			({startedAtMs}) => startedAtMs > acknowledgedAtMs + bounds.cancelMs,
		);
	}

	/** Writes the record and ends all processes. */
	async close(recordPath, ids, summary) {
		for (const id of ids) {
			for (const {
				task,
				run,
				worker,
				startedAtMs,
				outcome,
				endedAtMs,
			} of this.runsOf(id)) {
				this.note(`${worker} starts ${task} run ${run}`, startedAtMs);
				if (endedAtMs !== undefined) {
					this.note(`${worker} ends ${task} run ${run}: ${outcome}`, endedAtMs);
				}
			}
		}

		this.#isClosed = true;
		await Promise.all(
			this.entryVms.map(async ({child}) => {
				if (child.exitCode === null && child.signalCode === null) {
					const ended = new Promise((resolve) => {
						child.once('exit', resolve);
					});
					child.kill('SIGKILL');
					await ended;
				}
			}),
		);
		for (const worker of this.workers) {
			worker.close();
		}

		this.#store.close();
		rmSync(this.#directory, {recursive: true});
		const text = this.lines
			.toSorted((left, right) => left.atMs - right.atMs)
			.map(
				({atMs, text}) => `${String(Math.round(atMs)).padStart(6)} ms  ${text}`,
			);
		writeFileSync(recordPath, `${[...text, ...summary].join('\n')}\n`);
	}

	#formatDesiredState() {
		return JSON.stringify({
			version: 7,
			routes: [
				{
					name: 'r-plans',
					host,
					pathPrefix: prefix,
					type: 'non_idempotent',
					timeoutMs: 30_000,
					targetLatencyMs: this.#options.targetLatencyMs,
					priority: 0,
					service,
					maxAttempts: 4,
					stretch: 1.6,
				},
			],
			services: [
				{
					name: service,
					healthCheckPath: '/health',
					maxConnections: 64,
					protocol: 'h1',
					tls: false,
					rejectsOverload: true,
					spare: false,
				},
			],
			limits: {
				maxHeaderBytes: 16_384,
				maxBodyBytes: 262_144,
				headerTimeoutMs: 3000,
				idleTimeoutMs: 15_000,
			},
		});
	}
}

/** Sends a request on a channel of its own; resolves with status 0 if the channel ends without an answer. */
export async function send(
	port,
	method,
	target,
	{body = '', deadlineMs = 5000} = {},
) {
	return new Promise((resolve) => {
		const outgoing = request(
			{
				host: '127.0.0.1',
				port,
				method,
				path: target,
				agent: false,
				headers: {
					host,
					'content-type': 'application/json',
					'x-deadline-ms': String(deadlineMs),
				},
			},
			(response) => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', (chunk) => {
					text += chunk;
				});
				response.on('end', () => {
					resolve({status: response.statusCode, body: text});
				});
				response.on('error', (error) => {
					resolve({status: 0, body: String(error)});
				});
			},
		);
		outgoing.on('error', (error) => {
			resolve({status: 0, body: String(error)});
		});
		outgoing.end(body);
	});
}

function describe({status, body}) {
	return `${status} ${body}`;
}

/**
 * Runs a case. `play` gets a site that has started, and resolves with the jobs to record, the lines of the summary and whether
 * the rule was broken; it throws if the case cannot run.
 */
export async function runCase(recordPath, options, play) {
	const site = new SmallSite(options);
	const timer = setTimeout(async () => {
		await finish([], ['not run: over the time limit'], 2);
	}, scriptLimitMs);
	const finish = async (ids, summary, code) => {
		clearTimeout(timer);
		await site.close(recordPath, ids, summary);
		console.log(summary.join('\n'));
		// eslint-disable-next-line unicorn/no-process-exit -- this is the end of a script
		process.exit(code);
	};

	try {
		await site.start();
		const {ids, summary, isBroken} = await play(site);
		await finish(ids, summary, isBroken ? 1 : 0);
	} catch (error) {
		await finish([], [`not run: ${error.stack}`], 2);
	}
}
