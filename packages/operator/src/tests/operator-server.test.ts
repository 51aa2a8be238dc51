import {type Catalogue, type CatalogueItem} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {type CatalogueAdministration} from '../catalogue-administration.js';
import {CatalogueEditor} from '../catalogue-editor.js';
import {createOperatorServer} from '../operator-server.js';
import {FakeCatalogueLog, createEntry} from './fake-log.js';

const team: CatalogueItem = {
	kind: 'team',
	name: 'coastal',
	tokenHash: 'a'.repeat(64),
	role: 'caller',
	quota: {concurrency: 1, startsPerSecond: 1},
};

class FakeAdministration implements CatalogueAdministration {
	isLoaded = true;
	readonly log = new FakeCatalogueLog();
	readonly #editor = new CatalogueEditor({
		log: this.log,
		clock: () => 0,
		pause: async () => undefined,
		verdictTimeoutMs: 0,
	});

	get catalogue(): Catalogue | undefined {
		return this.isLoaded ? this.log.catalogue : undefined;
	}

	findOperator(token: string) {
		return token === 'secret' ? 'operators' : undefined;
	}

	async refresh() {
		await this.log.catchUp();
	}

	async write(request: Parameters<CatalogueAdministration['write']>[0]) {
		return this.#editor.write(request);
	}

	async findEdit(editId: string) {
		return this.#editor.findVerdict(editId);
	}

	status() {
		return {
			entryVm: 'entry-a',
			zone: 'zone-a',
			nextOffset: this.log.catalogue.nextOffset,
			source: 'log',
			state: 'current',
		} as const;
	}

	async queryInForce() {
		return [
			{entryVm: 'entry-a', zone: 'zone-a', inForce: 'yes'},
			{entryVm: 'entry-b', zone: 'zone-b', inForce: 'unknown'},
		] as const;
	}
}

function createFixture() {
	const administration = new FakeAdministration();
	const server = createOperatorServer(administration);
	const call = async (
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		payload?: Record<string, unknown>,
		headers: Record<string, string> = {},
	) =>
		server.inject({
			method,
			url: `/v1/catalogue${path}`,
			headers: {authorization: 'Bearer secret', ...headers},
			...(payload === undefined ? {} : {payload}),
		});
	return {administration, server, call};
}

describe("the operators' interface", () => {
	it('creates, shows, changes and deletes an item, and shows its history', async () => {
		const {call} = createFixture();
		await call('PUT', '/team/coastal', {item: team, basedOn: 0});
		const created = await call(
			'PUT',
			'/entry/macro-check',
			{item: createEntry('macro-check')},
			{'if-none-match': '*'},
		);
		expect(created.json()).toMatchObject({code: 'accepted', revision: 2});
		const shown = await call('GET', '/entry/macro-check');
		expect(shown.headers.etag).toBe('"2"');
		const changed = await call(
			'PUT',
			'/entry/macro-check',
			{item: createEntry('macro-check', 5)},
			{'if-match': '"2"'},
		);
		expect(changed.json()).toMatchObject({code: 'accepted', revision: 3});
		const deleted = await call('DELETE', '/entry/macro-check?basedOn=3');
		expect(deleted.statusCode).toBe(200);
		expect(await call('GET', '/entry/macro-check')).toMatchObject({
			statusCode: 404,
		});
		const history = await call('GET', '/entry/macro-check/history');
		expect(
			history
				.json<{history: Array<{revision: number}>}>()
				.history.map(({revision}) => revision),
		).toEqual([4, 3, 2]);
		const list = await call('GET', '');
		expect(list.json<{items: unknown[]}>().items).toHaveLength(1);
	});

	it('answers a conflict with the present revision', async () => {
		const {call} = createFixture();
		await call('PUT', '/team/coastal', {item: team, basedOn: 0});
		const answer = await call('PUT', '/team/coastal', {
			item: team,
			basedOn: 0,
		});
		expect([answer.statusCode, answer.json()]).toMatchObject([
			409,
			{code: 'conflict', presentRevision: 1},
		]);
	});

	it('rejects an invalid entry and lists the path of every fault', async () => {
		const {call, administration} = createFixture();
		const item = {...createEntry('macro-check'), idempotent: 'yes', colour: 1};
		const answer = await call('PUT', '/entry/macro-check', {
			item: {...item, limits: {...createEntry('').limits, concurrency: 0}},
			basedOn: 0,
		});
		expect(answer.statusCode).toBe(400);
		expect(
			answer
				.json<{faults: Array<{path: string}>}>()
				.faults.map(({path}) => path)
				.toSorted(),
		).toEqual(['item', 'item.idempotent', 'item.limits.concurrency']);
		expect(administration.log.records).toEqual([]);
	});

	it('rejects an item that contradicts the catalogue or the path of the request', async () => {
		const {call} = createFixture();
		const answer = await call('PUT', '/entry/macro-check', {
			item: {
				...createEntry('other'),
				limits: {
					...createEntry('').limits,
					perTeam: {concurrency: 11, startsPerSecond: 1},
				},
			},
		});
		expect(
			answer
				.json<{faults: Array<{path: string}>}>()
				.faults.map(({path}) => path),
		).toEqual([
			'item.name',
			'item.owner',
			'item.limits.perTeam.concurrency',
			'basedOn',
		]);
		await call('PUT', '/team/coastal', {item: team, basedOn: 0});
		await call('PUT', '/entry/macro-check', {
			item: createEntry('macro-check'),
			basedOn: 0,
		});
		const deletion = await call('DELETE', '/team/coastal?basedOn=1');
		expect(deletion.statusCode).toBe(400);
	});

	it('answers 503 with not-written or may-have-taken-effect while the platform does not answer', async () => {
		const {call, administration} = createFixture();
		administration.log.faults = ['refused', 'answer-lost'];
		const refused = await call('PUT', '/team/coastal', {
			item: team,
			basedOn: 0,
		});
		expect([refused.statusCode, refused.json()]).toMatchObject([
			503,
			{code: 'not-written'},
		]);
		administration.log.canRead = false;
		const unknown = await call('PUT', '/team/coastal', {
			item: team,
			basedOn: 0,
			editId: 'edit-1',
		});
		expect([unknown.statusCode, unknown.json()]).toMatchObject([
			503,
			{code: 'may-have-taken-effect', editId: 'edit-1'},
		]);
		administration.log.canRead = true;
		const later = await call('GET', '/edits/edit-1');
		expect(later.json()).toMatchObject({code: 'accepted', revision: 1});
		expect(await call('GET', '/edits/edit-2')).toMatchObject({statusCode: 404});
	});

	it('requires a valid token and a loaded catalogue', async () => {
		const {call, administration} = createFixture();
		const answer = await call('GET', '', undefined, {
			authorization: 'Bearer wrong',
		});
		expect(answer.statusCode).toBe(401);
		administration.isLoaded = false;
		expect(await call('GET', '')).toMatchObject({statusCode: 503});
	});

	it('reports whether a revision is in force everywhere, and rejects malformed requests', async () => {
		const {call} = createFixture();
		const answer = await call('GET', '/in-force?revision=1');
		expect(answer.json()).toMatchObject({isInForceEverywhere: false});
		expect(await call('GET', '/in-force')).toMatchObject({statusCode: 400});
		expect(await call('PUT', '/entry/A!', {})).toMatchObject({statusCode: 400});
		const broken = await call('PUT', '/entry/a', undefined, {
			'content-type': 'application/json',
		});
		expect(broken.statusCode).toBe(400);
	});
});
