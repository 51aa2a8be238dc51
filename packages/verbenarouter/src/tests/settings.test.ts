import {readFileSync} from 'node:fs';
import {parse} from 'jsonc-parser';
import {describe, expect, it} from 'vitest';
import {parseSettings} from '../settings.js';

const minimalSettings = {
	name: 'entry-a-1',
	zone: 'zone-a',
	callerAddress: '127.0.0.1:8080',
	operatorAddress: '127.0.0.1:8081',
	peerAddress: '127.0.0.1:8082',
	platform: {address: 'http://127.0.0.1:9000'},
};

function formatSettings(change: Readonly<Record<string, unknown>>): string {
	return JSON.stringify({...minimalSettings, ...change}, undefined, '\t');
}

describe('parseSettings', () => {
	it('accepts the annotated example, which contains every field with its default', () => {
		const text = readFileSync(
			new URL('../../example/entry.jsonc', import.meta.url),
			'utf8',
		);
		const settings = parseSettings(text)._unsafeUnwrap();
		expect(settings).toEqual(parseSettings(formatSettings({}))._unsafeUnwrap());
		expect(parse(text, [], {allowTrailingComma: true})).toEqual(settings);
	});

	it.each([
		[{zone: 'Zone A'}, 'zone', 3],
		[{callerAddress: 'nowhere'}, 'callerAddress', 4],
		[{platform: {address: 'ftp://127.0.0.1'}}, 'platform.address', 8],
		[{memory: {startWindowMs: -1}}, 'memory.startWindowMs', 11],
		[{colour: 'green'}, '', 1],
	])('reports the path and line of the fault in %j', (change, path, line) => {
		const faults = parseSettings(formatSettings(change))._unsafeUnwrapErr();
		expect(faults).toMatchObject([{path, line}]);
	});

	it('reports all faults at once, and a missing field at the object that lacks it', () => {
		const faults = parseSettings(
			'{\n"name": "entry-a-1",\n"platform": {}\n}',
		)._unsafeUnwrapErr();
		expect(faults.map(({path, line}) => `${path}:${line}`)).toEqual([
			'zone:1',
			'callerAddress:1',
			'operatorAddress:1',
			'peerAddress:1',
			'platform.address:3',
		]);
	});

	it('reports a syntax error with its line', () => {
		expect(parseSettings('{\n"name": \n}')._unsafeUnwrapErr()[0]).toMatchObject(
			{path: '', line: 3},
		);
	});
});
