import {readFile} from 'node:fs/promises';
import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {getErrorMessage} from '../error-message.js';
import {parseSettings, type Settings} from '../settings.js';

/** Reads a text file; the error is a message that starts with the path. */
export async function readTextFile(
	path: string,
): Promise<Result<string, string>> {
	try {
		return ok(await readFile(path, 'utf8'));
	} catch (error: unknown) {
		return err(`${path}: cannot be read: ${getErrorMessage(error)}`);
	}
}

/** Reads a file of JSON with comments; the error is a message that starts with the path. */
export async function readJsonFile(
	path: string,
): Promise<Result<unknown, string>> {
	const text = await readTextFile(path);
	return text.andThen((content) => {
		const errors: ParseError[] = [];
		const value: unknown = parse(content, errors, {allowTrailingComma: true});
		const [first] = errors;
		return first === undefined
			? ok(value)
			: err(
					`${path}: ${printParseErrorCode(first.error)} at character ${first.offset}`,
				);
	});
}

/** Reads and validates a settings file; the error has one line per fault, with its path, line and field. */
export async function readSettingsFile(
	path: string,
): Promise<Result<Settings, string>> {
	const text = await readTextFile(path);
	return text.andThen((content) =>
		parseSettings(content).mapErr((faults) =>
			faults
				.map(
					({path: field, line, message}) =>
						`${path}:${line}: ${field === '' ? 'settings' : field}: ${message}`,
				)
				.join('\n'),
		),
	);
}
