import {readFileSync, statSync} from 'node:fs';
import {createServer} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {
	OpenRequests,
	createCallerServer,
	parseEntrySettings,
} from '@verbenarouter/platform';
import {PoolLog} from './pool-log.js';
import {PoolNode} from './pool-node.js';
import {ProcessStop} from './process-stop.js';
import {startupWarmUpLoad, runWarmUpJobs} from './warm-up.js';
import {monotonicNowMs} from './monotonic-clock.js';

/** Delay after the start before the metrics module is loaded, so that loading does not delay the first answers. */
const metricsDelayMs = 4000;
/** Interval at which the modification time of the settings file is checked. */
const settingsCheckIntervalMs = 1000;
/** Interval at which a process checks whether to run its warm-up. */
const warmUpCheckIntervalMs = 250;
/** Time after the first start of an installation at which the candidates of each zone are known. */
const candidatesKnownMs = 1500;
/** Time after it in which callers are not expected yet. */
const firstStartMs = 8000;
/** Exit code of a process whose settings are invalid. */
const badSettingsExitCode = 2;

/** Splits a `host:port` address into the options of `Server.listen`. */
function toListenOptions(address: string): {
	readonly host: string;
	readonly port: number;
} {
	const [host = '', port = ''] = address.split(':');
	return {host, port: Number(port)};
}

/** Runs warm-up jobs, after which this process may lead the whole region. */
async function warmUp(node: PoolNode, log: PoolLog): Promise<void> {
	const startedAtMs = monotonicNowMs();
	try {
		await runWarmUpJobs(startupWarmUpLoad);
		node.setWarm();
		log.write({
			event: 'rehearsed',
			tookMs: Math.round(monotonicNowMs() - startedAtMs),
		});
	} catch (error: unknown) {
		log.write({event: 'rehearsal-failed', reason: String(error)});
	}
}

/**
 * Runs warm-up jobs at the first start of an installation if this process may lead its zone, and after a restart once the
 * zone is better led by this process than by its present leader.
 */
function warmUpWhenDue(
	node: PoolNode,
	log: PoolLog,
	isFirstStart: boolean,
): void {
	const startedAtMs = monotonicNowMs();
	const timer = setInterval(() => {
		const sinceStartMs = monotonicNowMs() - startedAtMs;
		const isDueAtFirstStart =
			isFirstStart &&
			node.isCandidate &&
			sinceStartMs >= candidatesKnownMs &&
			sinceStartMs < firstStartMs;
		if (isDueAtFirstStart || node.isWarmUpDue) {
			clearInterval(timer);
			void warmUp(node, log);
		}
	}, warmUpCheckIntervalMs);
}

/** Reloads the settings file on SIGHUP and when its modification time changes. */
function watchSettings(path: string, node: PoolNode, log: PoolLog): void {
	let modifiedMs = statSync(path).mtimeMs;
	const reload = (cause: string) => {
		const settings = parseEntrySettings(readFileSync(path, 'utf8'));
		log.write(
			settings.isErr()
				? {event: 'reload-failed', cause, problems: settings.error}
				: {event: 'reload', cause, atNextStart: node.reload(settings.value)},
		);
	};

	process.on('SIGHUP', () => {
		reload('signal');
	});
	setInterval(() => {
		const {mtimeMs} = statSync(path, {throwIfNoEntry: false}) ?? {
			mtimeMs: modifiedMs,
		};
		if (mtimeMs !== modifiedMs) {
			modifiedMs = mtimeMs;
			reload('file-changed');
		}
	}, settingsCheckIntervalMs);
}

/** Runs an entry VM with the settings file that `VERBENAROUTER_SETTINGS` names. */
async function main(): Promise<void> {
	const path = process.env.VERBENAROUTER_SETTINGS ?? '';
	const settings = parseEntrySettings(readFileSync(path, 'utf8'));
	if (settings.isErr()) {
		console.error(
			`invalid settings file ${path}: ${settings.error.join('; ')}`,
		);
		process.exitCode = badSettingsExitCode;
		return;
	}

	const {value} = settings;
	const connections = new Set<Socket>();
	const log: PoolLog = new PoolLog(
		value.name,
		() => ({...node.gauges, ...readProcessGauges()}),
		() => node.counters,
	);
	const node: PoolNode = new PoolNode(value, log, monotonicNowMs);
	const openRequests = new OpenRequests();
	const callerServer = createCallerServer(node, openRequests);
	callerServer.on('connection', (socket) => {
		connections.add(socket);
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	const readProcessGauges = () => ({
		eventLoopDelayMs: Math.round(
			node.eventLoopDelay.largestMs(monotonicNowMs()),
		),
		openConnections: connections.size,
	});
	const readiness = createServer((request, response) => {
		request.resume();
		response.writeHead(node.isReady ? 200 : 503).end();
	});
	const metrics = createServer((request, response) => {
		request.resume();
		void (async () => {
			const loaded = await log.loadMetrics();
			response.writeHead(200, {'content-type': 'text/plain'});
			response.end(loaded.formatText());
		})();
	});
	log.write({event: 'starting', zone: value.zone, pid: process.pid});
	await node.start();
	callerServer.listen(toListenOptions(value.callerAddress));
	readiness.listen(toListenOptions(value.readinessAddress));
	metrics.listen(toListenOptions(value.metricsAddress));
	log.write({event: 'started', tookMs: Math.round(performance.now())});
	warmUpWhenDue(node, log, value.isFirstStart);

	setTimeout(() => {
		void log.loadMetrics();
	}, metricsDelayMs);
	watchSettings(path, node, log);
	let isStopping = false;
	process.on('SIGTERM', () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		const now = monotonicNowMs();
		const notice = {
			sentAtMs: node.eventLoopDelay.earliestArrivalMs(now),
			handledAtMs: now,
			graceMs: value.stopGraceMs,
		};
		new ProcessStop(notice, {
			node,
			log,
			delay: node.eventLoopDelay,
			callerServer,
			openRequests,
			readProcessGauges,
			now: monotonicNowMs,
			exit() {
				process.exit(0);
			},
		}).begin();
	});
}

// The bundle is CommonJS, which has no top-level await; an unhandled rejection ends the process and prints its cause.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
