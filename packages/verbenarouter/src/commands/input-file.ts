/** Files that the command line reads: JSON with comments. */
import {readFile} from 'node:fs/promises';
import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {getErrorMessage} from '../error-message.js';
import {parseSettings, type Settings} from '../settings.js';

/** Reads a text file; the error is a sentence that names the file. */
export async function readText(path: string): Promise<Result<string, string>> {
	try {
		return ok(await readFile(path, 'utf8'));
	} catch (error: unknown) {
		return err(`${path}: cannot be read: ${getErrorMessage(error)}`);
	}
}

/** Reads a file of JSON with comments; the error is a sentence that names the file. */
export async function readJson(path: string): Promise<Result<unknown, string>> {
	const text = await readText(path);
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

/** Reads settings; the error has one line for each fault, with its file, line and field. */
export async function readSettings(
	path: string,
): Promise<Result<Settings, string>> {
	const text = await readText(path);
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
