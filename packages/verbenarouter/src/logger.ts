import process from 'node:process';
import {Logger, type ILogObjMeta} from 'tslog';
import {type Settings} from './settings.js';

/** Fields of one log line; `event` names the kind of event. */
export type LogFields = Readonly<Record<string, unknown>> & {
	readonly event: string;
};

/** A logger whose lines have named fields. */
export type ProcessLogger = Logger<LogFields>;

/** Numbers of the log levels in tslog. */
const minLevels = {debug: 2, info: 3, warn: 4, error: 5} as const;

/** Bytes buffered for standard output above which lines are dropped, so that a slow reader delays no request. */
const maxBufferedBytes = 1_000_000;

/** Number of lines dropped because standard output was not read fast enough. */
export const droppedLines = {count: 0};

/** Collects the lines of one turn of the event loop and writes them at once. */
class LineBatch {
	#lines: string[] = [];

	add(line: string): void {
		this.#lines.push(line);
		if (this.#lines.length === 1) {
			setImmediate(() => {
				const lines = this.#lines;
				this.#lines = [];
				if (process.stdout.writableLength > maxBufferedBytes) {
					droppedLines.count += lines.length;
				} else {
					process.stdout.write(`${lines.join('\n')}\n`);
				}
			});
		}
	}
}

/**
 * Creates the logger of a process. For JSON lines it bypasses the masking and the metadata of tslog, which take most of
 * the time per line. Masking is unnecessary because the fields contain no secrets.
 */
export function createLogger(
	settings: Settings['log'],
	name: string,
): ProcessLogger {
	const batch = new LineBatch();
	return new Logger<LogFields>({
		name,
		type: settings.format,
		minLevel: minLevels[settings.level],
		hideLogPositionForProduction: true,
		...(settings.format === 'json' && {
			overwrite: {
				mask: (values: unknown[]) => values,
				toLogObj: ([fields]: unknown[]) => fields as LogFields,
				addMeta(fields: LogFields, _levelId: number, level: string) {
					const time = new Date().toISOString();
					const line: unknown = {time, level, entryVm: name, ...fields};
					return line as LogFields & ILogObjMeta;
				},
				// eslint-disable-next-line @typescript-eslint/naming-convention -- name given by tslog
				transportJSON(fields: unknown) {
					batch.add(JSON.stringify(fields));
				},
			},
		}),
	});
}
