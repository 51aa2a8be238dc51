/**
 * Stand-ins of the platform's store, of a worker and of a client, after PROTOCOL.md. They run in the process of a case's
 * script; only the entry VMs are processes of their own.
 */
import {Buffer} from 'node:buffer';
import {createServer, request as openRequest} from 'node:http';

/** Longest lease in milliseconds, `maxHoldMs`. */
const maxLeaseMs = 1000;
/** Time that a stop takes; at most `stopTimeoutMs`, which is 50. */
const stopMs = 10;
/** Largest number of ends in one list. */
const maxListedEnds = 500;

/** Reads the body of a request; `undefined` if its sender has closed the channel before its end. */
async function readBody(request) {
	const chunks = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk);
		}
	} catch {
		return undefined;
	}

	return Buffer.concat(chunks);
}

async function listenOn(server, host) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	return `${host}:${server.address().port}`;
}

/** The platform's store: a log of keyed topics with one partition each. */
export class Store {
	/** Whether the store is down in the way `reset`: it resets the channel of each call. */
	isDown = false;
	/** Called when a read of a topic is answered, with the topic and the end offset that the answer has. */
	onRead = () => undefined;
	#topics = new Map();
	#server = createServer(async (request, response) => {
		await this.#handle(request, response);
	});

	async listen(host) {
		this.address = await listenOn(this.#server, host);
	}

	/** Appends the newest record of a key and returns the end offset; an empty value drops the key. */
	put(topicName, key, value) {
		const topic = this.#topic(topicName);
		if (value === '') {
			topic.newest.delete(key);
		} else {
			topic.newest.set(key, {value, offset: topic.records.length});
		}

		topic.records.push({key, value});
		for (const wake of topic.waiting) {
			wake();
		}

		return topic.records.length;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#topic(name) {
		let topic = this.#topics.get(name);
		if (topic === undefined) {
			topic = {records: [], newest: new Map(), waiting: new Set()};
			this.#topics.set(name, topic);
		}

		return topic;
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = await readBody(request);
		if (body === undefined) {
			return;
		}

		if (this.isDown) {
			request.socket.resetAndDestroy();
			return;
		}

		const name = url.searchParams.get('topic') ?? '';
		const topic = this.#topic(name);
		switch (url.pathname) {
			case '/api/log-newest': {
				this.onRead(name, topic.records.length);
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(
					JSON.stringify({
						items: [...topic.newest].map(([key, {value, offset}]) => ({
							key,
							value: Buffer.from(value).toString('base64'),
							offset,
						})),
						hasMore: false,
						endOffset: topic.records.length,
					}),
				);
				break;
			}

			case '/api/log-read': {
				this.#read(name, url.searchParams, response);
				break;
			}

			case '/api/log-append': {
				const offset = topic.records.length;
				const keyLength = body.readUInt8(4);
				this.put(
					name,
					body.toString('utf8', 5, 5 + keyLength),
					body.toString('utf8', 5 + keyLength),
				);
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify({offset, endOffset: offset + 1}));
				break;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#read(name, parameters, response) {
		const topic = this.#topic(name);
		const from = Number(parameters.get('from'));
		const answer = () => {
			clearTimeout(timer);
			topic.waiting.delete(answer);
			if (this.isDown) {
				response.socket?.resetAndDestroy();
				return;
			}

			this.onRead(name, topic.records.length);
			const header = Buffer.alloc(16);
			header.writeBigUInt64BE(BigInt(topic.records.length));
			const records = topic.records.slice(from).map(({key, value}) => {
				const prefix = Buffer.alloc(5);
				prefix.writeUInt32BE(
					1 + Buffer.byteLength(key) + Buffer.byteLength(value),
				);
				prefix.writeUInt8(Buffer.byteLength(key), 4);
				return Buffer.concat([prefix, Buffer.from(key), Buffer.from(value)]);
			});
			response.writeHead(200, {'content-type': 'application/octet-stream'});
			response.end(Buffer.concat([header, ...records]));
		};

		const timer = setTimeout(answer, Number(parameters.get('waitMs') ?? 0));
		if (topic.records.length > from) {
			answer();
		} else {
			topic.waiting.add(answer);
		}
	}
}

/** A worker. A task's `spec` is a JSON object with `ms`, the time that it takes. */
export class Worker {
	/** All runs: worker, task, run number, start, end and how it ended; times in milliseconds of `performance.now`. */
	runs = [];
	state = 'ready';
	/** Called when the worker has carried out a hold that extends its lease. */
	onLeaseExtended = () => undefined;
	#clockStartMs = 100_000 + Math.floor(Math.random() * 900_000);
	#token = 0;
	#leaseUntilMs = 0;
	#leaseTimer;
	#running = new Map();
	/** Highest run of each task that was stopped or has ended. */
	#ended = new Map();
	#ends = [];
	#endNumber = 0;
	#waiting = new Set();
	#server = createServer(async (request, response) => {
		await this.#handle(request, response);
	});

	constructor({id, zone, service, cpu, record}) {
		this.id = id;
		this.zone = zone;
		this.service = service;
		this.cpu = cpu;
		this.record = record;
		this.bornMs = Date.now();
		this.#clockStartMs -= performance.now();
	}

	async listen(host) {
		this.address = await listenOn(this.#server, host);
	}

	/** The worker's entry in the store. */
	get entry() {
		return JSON.stringify({
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: 'v1',
			slots: 8,
			state: this.state,
			coldRemainingMs: 0,
			capacity: {cpu: this.cpu, memMb: 131_072, gpu: 0},
			labels: ['a', 'r1-1'],
			clockMs: this.#clockMs,
			born: this.bornMs,
			sequence: 1,
		});
	}

	close() {
		clearTimeout(this.#leaseTimer);
		for (const {timer} of this.#running.values()) {
			clearTimeout(timer);
		}

		this.#server.closeAllConnections();
		this.#server.close();
	}

	get #clockMs() {
		return Math.floor(this.#clockStartMs + performance.now());
	}

	async #handle(request, response) {
		const bytes = await readBody(request);
		if (bytes === undefined) {
			return;
		}

		const body = JSON.parse(bytes.toString('utf8'));
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			this.#answer(response, 421, {});
			return;
		}

		const token = Number(body.fencingToken ?? 0);
		if (token < this.#token) {
			this.record('refused', {worker: this.id, url: request.url, token});
			this.#answer(response, 409, {reason: 'fence'});
			return;
		}

		this.#token = token;
		switch (request.url) {
			case '/api/hold': {
				this.#hold(body, response);
				break;
			}

			case '/api/run-start': {
				this.#start(body, response);
				break;
			}

			case '/api/run-stop': {
				this.#stop(body, response);
				break;
			}

			default: {
				this.#answer(response, 400, {});
			}
		}
	}

	#hold({deadlineMs = 0, lastSeen = 0, waitMs = 0}, response) {
		this.#extendLease(deadlineMs);
		if (deadlineMs > 0) {
			this.onLeaseExtended();
		}

		this.#ends = this.#ends.filter(([number]) => number > lastSeen);
		const answer = () => {
			clearTimeout(timer);
			this.#waiting.delete(answer);
			this.#answer(response, 200, {
				running: [...this.#running].map(([task, {run}]) => [
					task,
					run.run,
					'',
					100,
					run.cpu,
				]),
				finished: this.#ends.slice(0, maxListedEnds),
			});
		};

		const timer = setTimeout(answer, Math.min(2000, waitMs));
		if (this.#ends.length > 0 || waitMs === 0) {
			answer();
		} else {
			this.#waiting.add(answer);
		}
	}

	#start({task, run, spec, deadlineMs = 0}, response) {
		if (deadlineMs <= this.#clockMs) {
			this.#answer(response, 409, {reason: 'late'});
			return;
		}

		this.#extendLease(deadlineMs);
		if (this.#running.get(task)?.run.run === run) {
			this.#answer(response, 200, {});
			return;
		}

		if (run <= (this.#ended.get(task) ?? 0)) {
			this.#answer(response, 409, {reason: 'old'});
			return;
		}

		const {ms, cpu} = JSON.parse(spec);
		const usedCpu = [...this.#running.values()].reduce(
			(sum, running) => sum + running.run.cpu,
			0,
		);
		if (usedCpu + cpu > this.cpu) {
			this.#answer(response, 409, {reason: 'room'});
			return;
		}

		const started = {
			worker: this.id,
			task,
			run,
			cpu,
			startMs: performance.now(),
			endMs: undefined,
			how: undefined,
		};
		this.runs.push(started);
		this.record('run-start', {worker: this.id, task, run});
		this.#running.set(task, {
			run: started,
			timer: setTimeout(() => {
				this.#end(task, 'done');
			}, ms),
		});
		this.#answer(response, 200, {});
	}

	#stop({task, run}, response) {
		this.#ended.set(task, Math.max(run, this.#ended.get(task) ?? 0));
		if (this.#running.get(task)?.run.run === run) {
			setTimeout(() => {
				if (this.#running.get(task)?.run.run === run) {
					this.#end(task, 'stopped');
				}
			}, stopMs);
		}

		this.#answer(response, 200, {});
	}

	#extendLease(deadlineMs) {
		const untilMs = Math.min(deadlineMs, this.#clockMs + maxLeaseMs);
		if (untilMs <= this.#leaseUntilMs) {
			return;
		}

		this.#leaseUntilMs = untilMs;
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = setTimeout(() => {
			for (const task of this.#running.keys()) {
				this.#end(task, 'lapsed');
			}
		}, untilMs - this.#clockMs);
	}

	#end(task, how) {
		const {run, timer} = this.#running.get(task);
		clearTimeout(timer);
		this.#running.delete(task);
		run.endMs = performance.now();
		run.how = how;
		this.record('run-end', {worker: this.id, task, run: run.run, how});
		this.#ended.set(task, Math.max(run.run, this.#ended.get(task) ?? 0));
		this.#endNumber += 1;
		this.#ends.push([this.#endNumber, task, run.run, how, '']);
		for (const answer of this.#waiting) {
			answer();
		}
	}

	#answer(response, status, body) {
		if (response.destroyed) {
			return;
		}

		response.writeHead(status, {'content-type': 'application/json'});
		response.end(
			JSON.stringify({clockMs: this.#clockMs, born: this.bornMs, ...body}),
		);
	}
}

/**
 * Sends a request as a client does, on a channel of its own; resolves with the status and the body. Status 0: no response
 * within the time limit, after which the client closes its channel, or a broken channel.
 */
export async function callEntryVm(
	address,
	{method, path, host, body = '', limitMs, resetAfterMs},
) {
	const [ip, port] = address.split(':');
	return new Promise((resolve) => {
		const outgoing = openRequest(
			{
				host: ip,
				port,
				method,
				path,
				agent: false,
				headers: {
					host,
					'content-type': 'application/json',
					'content-length': Buffer.byteLength(body),
					'x-deadline-ms': String(limitMs),
				},
			},
			(response) => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', (chunk) => {
					text += chunk;
				});
				response.on('end', () => {
					clearTimeout(timer);
					resolve({status: response.statusCode, body: text});
				});
				response.on('error', () => {
					resolve({status: 0, body: 'broken'});
				});
			},
		);
		const timer = setTimeout(() => {
			resolve({status: 0, body: 'no response in time'});
			outgoing.destroy();
		}, limitMs);
		if (resetAfterMs !== undefined) {
			setTimeout(() => {
				outgoing.socket?.resetAndDestroy();
			}, resetAfterMs);
		}

		outgoing.on('error', (error) => {
			clearTimeout(timer);
			resolve({status: 0, body: error.code ?? error.message});
		});
		outgoing.end(body);
	});
}
