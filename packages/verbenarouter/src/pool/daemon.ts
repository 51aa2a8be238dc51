/** Runs an entry VM on the platform, with the settings file that an environment variable names. */
import {readFileSync, statSync} from 'node:fs';
import {createServer} from 'node:http';
import process from 'node:process';
import {createCallerFront, parseEntrySettings} from '@verbenarouter/platform';
import {PoolLog} from './pool-log.js';
import {PoolNode} from './pool-node.js';
import {earlyPace, rehearse} from './rehearsal.js';
import {steadyNow} from './steady-clock.js';

/** Milliseconds that are left of the stop's grace when the process ends at the latest. */
const exitMarginMs = 600;
/** Milliseconds for which a stopping process still takes requests: the balancer needs two failed probes. */
const leastStopMs = 2600;
const stopLookMs = 50;
/** Milliseconds for the last answers to leave the process. */
const lastAnswersMs = 100;
/** Milliseconds after the start before the metrics are loaded, so that they do not delay the first answers. */
const metricsDelayMs = 4000;
/** Milliseconds between two looks whether the settings file has changed. */
const settingsLookMs = 1000;
const badSettingsCode = 2;

function listenOn(address: string): {
	readonly host: string;
	readonly port: number;
} {
	const [host = '', port = ''] = address.split(':');
	return {host, port: Number(port)};
}

/** Rehearses leading before the first callers come, so that this process can lead the region. */
async function warmUp(node: PoolNode, log: PoolLog): Promise<void> {
	const startedAtMs = steadyNow();
	try {
		await rehearse(earlyPace);
		node.setWarm();
		log.write({
			event: 'rehearsed',
			tookMs: Math.round(steadyNow() - startedAtMs),
		});
	} catch (error: unknown) {
		log.write({event: 'rehearsal-failed', reason: String(error)});
	}
}

/** Takes over the settings file after SIGHUP, and when it changes without a signal. */
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
	}, settingsLookMs);
}

async function main(): Promise<void> {
	const path = process.env.VERBENAROUTER_SETTINGS ?? '';
	const settings = parseEntrySettings(readFileSync(path, 'utf8'));
	if (settings.isErr()) {
		console.error(`${path}: ${settings.error.join('; ')}`);
		process.exitCode = badSettingsCode;
		return;
	}

	const {value} = settings;
	const log: PoolLog = new PoolLog(value.name, () => node.gauges);
	const node: PoolNode = new PoolNode(value, log, steadyNow);
	const front = createCallerFront(node);
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
	front.listen(listenOn(value.callerAddress));
	readiness.listen(listenOn(value.readinessAddress));
	metrics.listen(listenOn(value.metricsAddress));
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

/** Ends the process when all callers are answered, and before the platform ends it. */
function stop(
	node: PoolNode,
	log: PoolLog,
	graceMs: number,
	end: () => void,
): void {
	const stoppedAtMs = steadyNow();
	log.write({event: 'stopping', pendingJobs: node.pendingCountHere});
	node.beginStop();
	const looks = setInterval(() => {
		const sinceMs = steadyNow() - stoppedAtMs;
		const isIdle = node.pendingCountHere === 0 && sinceMs >= leastStopMs;
		if (isIdle || sinceMs >= graceMs - exitMarginMs) {
			clearInterval(looks);
			log.write({event: 'stopped', pendingJobs: node.pendingCountHere});
			node.giveUpAll();
			setTimeout(() => {
				node.close();
				setImmediate(end);
			}, lastAnswersMs);
		}
	}, stopLookMs);
}

// The bundle is CommonJS, which has no await here; a rejection ends the process with its cause.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
