import {describe, expect, it} from 'vitest';
import {CatalogueEditor, type EditRequest} from '../catalogue-editor.js';
import {FakeLog, entryOf} from './fake-log.js';

const key = {kind: 'entry', name: 'macro-check'} as const;

function editorOf(log: FakeLog): CatalogueEditor {
	let now = 0;
	return new CatalogueEditor({
		log,
		clock: () => now,
		async pause() {
			now += 100;
		},
		settleMs: 300,
	});
}

function requestOf(
	editId: string,
	change: Partial<EditRequest> = {},
): EditRequest {
	return {
		editId,
		isFirstAttempt: true,
		key,
		basedOn: 0,
		item: entryOf(key.name),
		author: 'operators',
		...change,
	};
}

describe('CatalogueEditor', () => {
	it('accepts an edit once its record was read back', async () => {
		const log = new FakeLog();
		const verdict = await editorOf(log).write(requestOf('a'));
		expect(verdict).toEqual({code: 'accepted', editId: 'a', revision: 1});
		expect(log.catalogue.find({...key})?.revision).toBe(1);
	});

	it('lets one of two racing edits hold, and tells the other the present revision', async () => {
		const first = new FakeLog();
		const second = new FakeLog(first.records);
		const verdicts = await Promise.all([
			editorOf(first).write(requestOf('a')),
			editorOf(second).write(requestOf('b')),
		]);
		expect(verdicts).toEqual([
			{code: 'accepted', editId: 'a', revision: 1},
			{code: 'conflict', editId: 'b', presentRevision: 1},
		]);
	});

	it('appends nothing for an edit that is based on an older revision', async () => {
		const log = new FakeLog();
		const editor = editorOf(log);
		await editor.write(requestOf('a'));
		const verdict = await editor.write(requestOf('b', {basedOn: 7}));
		expect(verdict).toMatchObject({code: 'conflict', presentRevision: 1});
		expect(log.records).toHaveLength(1);
	});

	it('creates an item again after its deletion', async () => {
		const log = new FakeLog();
		const editor = editorOf(log);
		await editor.write(requestOf('a'));
		await editor.write(requestOf('b', {basedOn: 1, item: null}));
		const verdict = await editor.write(requestOf('c'));
		expect(verdict).toMatchObject({code: 'accepted', revision: 3});
	});

	it('finds an edit whose append answer was lost, without writing it again', async () => {
		const log = new FakeLog();
		log.faults = ['answer-lost'];
		const verdict = await editorOf(log).write(requestOf('a'));
		expect(verdict.code).toBe('accepted');
		expect(log.records).toHaveLength(1);
	});

	it('withdraws an edit that does not show, so that it cannot take effect later', async () => {
		const log = new FakeLog();
		log.faults = ['late'];
		const verdict = await editorOf(log).write(requestOf('a'));
		expect(verdict.code).toBe('not-written');
		expect(log.records.map(({type}) => type)).toEqual(['withdrawal', 'edit']);
		await log.follow();
		expect(log.catalogue.items).toEqual([]);
	});

	it('says so when nothing can be proven, and later what became of the edit', async () => {
		const log = new FakeLog();
		const editor = editorOf(log);
		log.faults = ['answer-lost'];
		log.canRead = false;
		const verdict = await editor.write(requestOf('a'));
		expect(verdict.code).toBe('may-have-taken-effect');
		log.canRead = true;
		expect(await editor.verdictOn('a')).toMatchObject({code: 'accepted'});
		expect(
			await editor.write(requestOf('a', {isFirstAttempt: false})),
		).toMatchObject({code: 'accepted', revision: 1});
		expect(log.records).toHaveLength(1);
	});

	it('claims that nothing was written only for a first attempt', async () => {
		const log = new FakeLog();
		const editor = editorOf(log);
		log.faults = ['refused', 'refused'];
		const first = await editor.write(requestOf('a'));
		expect(first.code).toBe('not-written');
		const again = await editor.write(requestOf('b', {isFirstAttempt: false}));
		expect(again.code).toBe('may-have-taken-effect');
	});
});
