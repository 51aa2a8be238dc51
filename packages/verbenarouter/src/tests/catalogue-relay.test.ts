import {type Hello, type PeerReply} from '@verbenarouter/peer';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {CatalogueFollower} from '../catalogue-follower.js';
import {CatalogueRelay, type SendRequest} from '../catalogue-relay.js';
import {MachineListKeeper} from '../machine-list-keeper.js';

function helloOf(entryVm: string, catalogueOffset: number): Hello {
	return {
		incarnation: {zone: 'zone-a', entryVm, nonce: 'abcd'},
		startedAtMs: 0,
		version: 1,
		isLeaving: false,
		holds: [],
		catalogueOffset,
	};
}

/** A relay whose peers all know this many records, none of them an edit. */
function start(known: () => number, silentPeers: readonly string[] = []) {
	const asked: string[] = [];
	const down = () =>
		new ResultAsync<never, never>(
			Promise.resolve(
				err({code: 'timeout', message: '', mayHaveTakenEffect: true} as never),
			),
		);
	const follower = new CatalogueFollower({
		platform: {append: down, read: down},
		clock: () => 0,
		onNews() {
			throw new Error('the log cannot be read');
		},
	});
	const list = new MachineListKeeper(() => undefined);
	list.read({version: 1, machines: []});
	const request =
		(name: string): SendRequest =>
		(message) => {
			asked.push(name);
			const fromOffset = message.kind === 'catalogue' ? message.fromOffset : 0;
			const reply: Result<PeerReply, never> = ok({
				kind: 'catalogue',
				nextOffset: known(),
				ageMs: 0,
				update: {
					records: Array.from({length: known() - fromOffset}, (_, index) => ({
						offset: fromOffset + index,
						record: null,
					})),
				},
			});
			return new ResultAsync(
				Promise.resolve(
					silentPeers.includes(name)
						? err({code: 'silent' as const, message: ''})
						: reply,
				),
			);
		};

	const names = ['entry-a', 'entry-b', 'entry-c'];
	const relay = new CatalogueRelay({
		follower,
		list,
		clock: () => 0,
		peers: () => names.map((name) => ({name, request: request(name)})),
		request,
	});
	return {relay, follower, asked, names};
}

async function settled(): Promise<void> {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}

describe('CatalogueRelay', () => {
	it('asks one of many peers that are ahead, and another one when that is silent', async () => {
		const {relay, follower, asked, names} = start(() => 5, ['entry-a']);
		for (const name of names) {
			relay.heard(helloOf(name, 5));
		}

		await settled();
		expect(asked).toEqual(['entry-a', 'entry-b']);
		expect(follower.catalogue.nextOffset).toBe(5);
	});

	it('asks again when a peer says that it has gone on while it was asked', async () => {
		let known = 5;
		const {relay, follower, asked} = start(() => known);
		relay.heard(helloOf('entry-a', 5));
		known = 6;
		relay.heard(helloOf('entry-a', 6));
		await settled();
		expect(asked).toEqual(['entry-a', 'entry-a']);
		expect(follower.catalogue.nextOffset).toBe(6);
	});

	it('asks nobody that is behind, and all in turn when told to', async () => {
		const {relay, asked, names} = start(() => 0);
		relay.heard(helloOf('entry-a', 0));
		await settled();
		expect(asked).toEqual([]);
		await relay.askNext();
		await relay.askNext();
		await relay.askNext();
		expect(asked).toEqual(names);
	});
});
