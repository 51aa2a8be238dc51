import {readFileSync, statSync} from 'node:fs';
import {createServer} from 'node:http';
import process from 'node:process';
import {createCallerServer, parseEntrySettings} from '@verbenarouter/platform';
import {PoolLog} from './pool-log.js';
import {PoolNode} from './pool-node.js';
import {startupWarmUpLoad, runWarmUpJobs} from './warm-up.js';
import {monotonicNowMs} from './monotonic-clock.js';

/** Time before the end of the stop grace period at which the process exits at the latest. */
const graceMarginMs = 600;
/** Shortest time for which a stopping process still accepts requests; the load balancer needs two failed probes. */
const minStopMs = 2600;
/** Interval at which a stopping process checks whether it can exit. */
const stopCheckIntervalMs = 50;
/** Time for the last answers to be sent before connections are closed. */
const answerFlushMs = 100;
/** Delay after the start before the metrics module is loaded, so that loading does not delay the first answers. */
const metricsDelayMs = 4000;
/** Interval at which the modification time of the settings file is checked. */
const settingsCheckIntervalMs = 1000;
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
	const log: PoolLog = new PoolLog(
		value.name,
		() => node.gauges,
		() => node.counters,
	);
	const node: PoolNode = new PoolNode(value, log, monotonicNowMs);
	const callerServer = createCallerServer(node);
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
	if (value.isFirstStart) {
		void warmUp(node, log);
	}

	setTimeout(() => {
		void log.loadMetrics();
	}, metricsDelayMs);
	watchSettings(path, node, log);
	process.once('SIGTERM', () => {
		stop(node, log, value.stopGraceMs, () => {
			process.exit(0);
		});
	});
}

/**
 * Exits once all callers have their answers and {@link minStopMs} has passed, or shortly before the platform would kill
 * the process.
 */
function stop(
	node: PoolNode,
	log: PoolLog,
	graceMs: number,
	exit: () => void,
): void {
	const stoppedAtMs = monotonicNowMs();
	log.write({event: 'stopping', pendingJobs: node.pendingJobCount});
	node.beginStop();
	const checkTimer = setInterval(() => {
		const sinceMs = monotonicNowMs() - stoppedAtMs;
		const isIdle = node.pendingJobCount === 0 && sinceMs >= minStopMs;
		if (isIdle || sinceMs >= graceMs - graceMarginMs) {
			clearInterval(checkTimer);
			log.write({event: 'stopped', pendingJobs: node.pendingJobCount});
			node.answerRemainingJobs();
			setTimeout(() => {
				node.close();
				setImmediate(exit);
			}, answerFlushMs);
		}
	}, stopCheckIntervalMs);
}

// The bundle is CommonJS, which has no top-level await; an unhandled rejection ends the process and prints its cause.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
