import {HttpPlatform} from '@verbenarouter/platform';
import {type FastifyInstance} from 'fastify';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {requestJson} from '../http-call.js';
import {
	createPlatformStandIn,
	type PlatformFaults,
} from '../platform-stand-in.js';

describe('the platform client against the stand-in', () => {
	let server: FastifyInstance;
	let address: string;
	let platform: HttpPlatform;

	beforeEach(async () => {
		server = createPlatformStandIn();
		address = await server.listen({host: '127.0.0.1', port: 0});
		platform = new HttpPlatform({address, timeoutMs: 300});
	});

	afterEach(async () => {
		await platform.close();
		server.server.closeAllConnections();
		await server.close();
	});

	async function injectFaults(faults: Partial<PlatformFaults>) {
		await requestJson('PUT', `${address}/control/faults`, faults);
	}

	async function readRecords(stream = 'catalogue') {
		const page = await platform.read(stream, 0, 100);
		return page._unsafeUnwrap();
	}

	it('appends nothing while the platform is down', async () => {
		await injectFaults({isDown: true});
		const failure = await platform.append('catalogue', {value: 1});
		expect(failure._unsafeUnwrapErr()).toMatchObject({
			code: 'unreachable',
			mayHaveTakenEffect: true,
		});
		await injectFaults({});
		expect(await readRecords()).toMatchObject({records: [], endOffset: 0});
	});

	it('reports that an append may have taken effect when its answer is lost', async () => {
		await injectFaults({loseAppendAnswers: 1});
		const failure = await platform.append('catalogue', {value: 1});
		expect(failure._unsafeUnwrapErr().mayHaveTakenEffect).toBe(true);
		const second = await platform.append('catalogue', {value: 2});
		expect(second._unsafeUnwrap()).toBe(1);
		expect(await readRecords()).toMatchObject({endOffset: 2});
	});

	it('reports that an append may have taken effect when the append itself is lost', async () => {
		await injectFaults({loseAppends: 1});
		const failure = await platform.append('catalogue', {value: 1});
		expect(failure._unsafeUnwrapErr().mayHaveTakenEffect).toBe(true);
		expect(await readRecords()).toMatchObject({endOffset: 0});
	});

	it('fails a call that exceeds the timeout', async () => {
		await injectFaults({delayMs: 2000});
		const failure = await platform.read('catalogue', 0, 10);
		expect(failure._unsafeUnwrapErr()).toMatchObject({code: 'timeout'});
	});

	it('keeps the offsets of later records when old records are dropped', async () => {
		for (const value of [1, 2, 3]) {
			// eslint-disable-next-line no-await-in-loop -- in order
			await platform.append('catalogue', {value});
		}

		await requestJson(
			'POST',
			`${address}/control/logs/catalogue/drop-before/2`,
		);
		expect(await readRecords()).toEqual({
			records: [{offset: 2, record: {value: 3}}],
			oldestOffset: 2,
			endOffset: 3,
		});
	});

	it('reports that an append had no effect when it was refused or could not connect', async () => {
		const refused = await platform.append('catalogue', undefined);
		expect(refused._unsafeUnwrapErr()).toMatchObject({
			code: 'refused',
			mayHaveTakenEffect: false,
		});
		await server.close();
		const unreachable = await platform.append('catalogue', {value: 1});
		expect(unreachable._unsafeUnwrapErr()).toMatchObject({
			code: 'unreachable',
			mayHaveTakenEffect: false,
		});
	});

	it('counts the calls of each kind', async () => {
		await platform.append('catalogue', {value: 1});
		await readRecords();
		await readRecords('other');
		const {body} = await requestJson('GET', `${address}/control/counts`);
		expect(body).toEqual({appends: 1, reads: 2, machines: 0, usage: 0});
	});
});
