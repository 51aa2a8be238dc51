import {describe, expect, it} from 'vitest';
import {CatalogueEditor, type EditRequest} from '../catalogue-editor.js';
import {FakeCatalogueLog, createEntry} from './fake-log.js';

const key = {kind: 'entry', name: 'macro-check'} as const;

function createEditor(log: FakeCatalogueLog): CatalogueEditor {
	let now = 0;
	return new CatalogueEditor({
		log,
		clock: () => now,
		async pause() {
			now += 100;
		},
		verdictTimeoutMs: 300,
	});
}

function createRequest(
	editId: string,
	change: Partial<EditRequest> = {},
): EditRequest {
	return {
		editId,
		isFirstAttempt: true,
		key,
		basedOn: 0,
		item: createEntry(key.name),
		author: 'operators',
		...change,
	};
}

describe('CatalogueEditor', () => {
	it('accepts an edit after reading its record back from the log', async () => {
		const log = new FakeCatalogueLog();
		const verdict = await createEditor(log).write(createRequest('a'));
		expect(verdict).toEqual({code: 'accepted', editId: 'a', revision: 1});
		expect(log.catalogue.find({...key})?.revision).toBe(1);
	});

	it('accepts one of two concurrent edits and answers the other with a conflict and the present revision', async () => {
		const first = new FakeCatalogueLog();
		const second = new FakeCatalogueLog(first.records);
		const verdicts = await Promise.all([
			createEditor(first).write(createRequest('a')),
			createEditor(second).write(createRequest('b')),
		]);
		expect(verdicts).toEqual([
			{code: 'accepted', editId: 'a', revision: 1},
			{code: 'conflict', editId: 'b', presentRevision: 1},
		]);
	});

	it('appends nothing for an edit that is not based on the present revision', async () => {
		const log = new FakeCatalogueLog();
		const editor = createEditor(log);
		await editor.write(createRequest('a'));
		const verdict = await editor.write(createRequest('b', {basedOn: 7}));
		expect(verdict).toMatchObject({code: 'conflict', presentRevision: 1});
		expect(log.records).toHaveLength(1);
	});

	it('can create an item again after its deletion', async () => {
		const log = new FakeCatalogueLog();
		const editor = createEditor(log);
		await editor.write(createRequest('a'));
		await editor.write(createRequest('b', {basedOn: 1, item: null}));
		const verdict = await editor.write(createRequest('c'));
		expect(verdict).toMatchObject({code: 'accepted', revision: 3});
	});

	it('accepts an edit whose append answer was lost, without writing it again', async () => {
		const log = new FakeCatalogueLog();
		log.faults = ['answer-lost'];
		const verdict = await createEditor(log).write(createRequest('a'));
		expect(verdict.code).toBe('accepted');
		expect(log.records).toHaveLength(1);
	});

	it('withdraws an edit whose record is not in the log, so that a late record has no effect', async () => {
		const log = new FakeCatalogueLog();
		log.faults = ['late'];
		const verdict = await createEditor(log).write(createRequest('a'));
		expect(verdict.code).toBe('not-written');
		expect(log.records.map(({type}) => type)).toEqual(['withdrawal', 'edit']);
		await log.catchUp();
		expect(log.catalogue.items).toEqual([]);
	});

	it('returns may-have-taken-effect while the log cannot be read, and the final verdict later', async () => {
		const log = new FakeCatalogueLog();
		const editor = createEditor(log);
		log.faults = ['answer-lost'];
		log.canRead = false;
		const verdict = await editor.write(createRequest('a'));
		expect(verdict.code).toBe('may-have-taken-effect');
		log.canRead = true;
		expect(await editor.findVerdict('a')).toMatchObject({code: 'accepted'});
		expect(
			await editor.write(createRequest('a', {isFirstAttempt: false})),
		).toMatchObject({code: 'accepted', revision: 1});
		expect(log.records).toHaveLength(1);
	});

	it('returns not-written after a refused append only for a first attempt', async () => {
		const log = new FakeCatalogueLog();
		const editor = createEditor(log);
		log.faults = ['refused', 'refused'];
		const first = await editor.write(createRequest('a'));
		expect(first.code).toBe('not-written');
		const again = await editor.write(
			createRequest('b', {isFirstAttempt: false}),
		);
		expect(again.code).toBe('may-have-taken-effect');
	});
});
