/**
 * Measures the CPU and elapsed time of logging one placement decision:
 * `node testing/dist/measure-log-line.js > /dev/null`. The log lines go to standard output, the result to standard error.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setImmediate as nextEventLoopTurn} from 'node:timers/promises';
import {LoggerDecisionLog, createLogger} from 'verbenarouter';

const measuredLines = 50_000;
const warmUpLines = 5000;
const linesPerEventLoopTurn = 20;
const microsecondsPerMillisecond = 1000;

const log = new LoggerDecisionLog(
	createLogger({format: 'json', level: 'info'}, 'measured'),
);

/** Logs placement decisions, `linesPerEventLoopTurn` in each turn of the event loop. */
async function writeLines(count: number): Promise<void> {
	for (let index = 0; index < count; index += 1) {
		log.logPlacement({
			identifier:
				'zone-a.entry-zone-a-0.2de27a863029.mx80g932.1.RNDJivZtHTDs5oNK',
			task: index,
			target: 'target-zone-a-1',
			reason: 'least-in-flight',
			waitedMs: 3,
			candidates: 4,
			passedOver: {leaving: 0, setAside: 1, full: 0, busy: 5, needs: 0},
		});
		if (index % linesPerEventLoopTurn === 0) {
			// eslint-disable-next-line no-await-in-loop -- the logger writes the lines of one event loop turn together
			await nextEventLoopTurn();
		}
	}
}

await writeLines(warmUpLines);
const cpuBefore = process.cpuUsage();
const startedAtMs = performance.now();
await writeLines(measuredLines);
const elapsedMs = performance.now() - startedAtMs;
const {user, system} = process.cpuUsage(cpuBefore);
console.error(
	JSON.stringify({
		lines: measuredLines,
		cpuMicrosecondsPerLine: (user + system) / measuredLines,
		elapsedMicrosecondsPerLine:
			(elapsedMs * microsecondsPerMillisecond) / measuredLines,
	}),
);
