/** The process's logger. */
import process from 'node:process';
import {Logger, type ILogObjMeta} from 'tslog';
import {type Settings} from './settings.js';

/** Fields of one log line; `event` says what happened. */
export type LogFields = Readonly<Record<string, unknown>> & {
	readonly event: string;
};

/** A logger of lines with named fields. */
export type ProcessLogger = Logger<LogFields>;

const levels = {debug: 2, info: 3, warn: 4, error: 5} as const;

/** Bytes that may wait for the reader of standard output; lines beyond are left out, since no request waits for it. */
const mostWaitingBytes = 1_000_000;

/** Lines that were left out since standard output was not read. */
export const droppedLines = {count: 0};

/** Lines of one turn of the event loop, written at once. */
class LineBatch {
	#lines: string[] = [];

	add(line: string): void {
		this.#lines.push(line);
		if (this.#lines.length === 1) {
			setImmediate(() => {
				const lines = this.#lines;
				this.#lines = [];
				if (process.stdout.writableLength > mostWaitingBytes) {
					droppedLines.count += lines.length;
				} else {
					process.stdout.write(`${lines.join('\n')}\n`);
				}
			});
		}
	}
}

/**
 * Creates the logger of an entry VM. JSON lines leave out the library's masking and metadata, which cost most of a
 * line's time: no secret is ever among the fields.
 */
export function createLogger(
	settings: Settings['log'],
	name: string,
): ProcessLogger {
	const batch = new LineBatch();
	return new Logger<LogFields>({
		name,
		type: settings.format,
		minLevel: levels[settings.level],
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
				// eslint-disable-next-line @typescript-eslint/naming-convention -- the library's name
				transportJSON(fields: unknown) {
					batch.add(JSON.stringify(fields));
				},
			},
		}),
	});
}
