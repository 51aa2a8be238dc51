import {type Hello, type PeerReply} from '@verbenarouter/peer';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {CatalogueFollower} from '../catalogue-follower.js';
import {CatalogueRelay, type SendRequest} from '../catalogue-relay.js';
import {MachineListCache} from '../machine-list-cache.js';

function createHello(entryVm: string, catalogueOffset: number): Hello {
	return {
		incarnation: {zone: 'zone-a', entryVm, nonce: 'abcd'},
		startedAtMs: 0,
		version: 1,
		isLeaving: false,
		holds: [],
		catalogueOffset,
	};
}

/** Creates a relay whose peers all have the given number of records, none of which is an edit. */
function createRelay(
	countRecords: () => number,
	silentNames: readonly string[] = [],
) {
	const requestedNames: string[] = [];
	const failToReach = () =>
		new ResultAsync<never, never>(
			Promise.resolve(
				err({code: 'timeout', message: '', mayHaveTakenEffect: true} as never),
			),
		);
	const follower = new CatalogueFollower({
		platform: {append: failToReach, read: failToReach},
		clock: () => 0,
		onNewRecords() {
			throw new Error('the log cannot be read');
		},
	});
	const machineList = new MachineListCache(() => undefined);
	machineList.replace({version: 1, machines: []});
	const createSendRequest =
		(name: string): SendRequest =>
		(message) => {
			requestedNames.push(name);
			const fromOffset = message.kind === 'catalogue' ? message.fromOffset : 0;
			const reply: Result<PeerReply, never> = ok({
				kind: 'catalogue',
				nextOffset: countRecords(),
				ageMs: 0,
				update: {
					records: Array.from(
						{length: countRecords() - fromOffset},
						(_, index) => ({
							offset: fromOffset + index,
							record: null,
						}),
					),
				},
			});
			return new ResultAsync(
				Promise.resolve(
					silentNames.includes(name)
						? err({code: 'silent' as const, message: ''})
						: reply,
				),
			);
		};

	const names = ['entry-a', 'entry-b', 'entry-c'];
	const relay = new CatalogueRelay({
		follower,
		machineList,
		clock: () => 0,
		listConnectedPeers: () =>
			names.map((name) => ({name, sendRequest: createSendRequest(name)})),
		createSendRequest,
	});
	return {relay, follower, requestedNames, names};
}

async function waitForRequests(): Promise<void> {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}

describe('CatalogueRelay', () => {
	it('requests updates from one of several peers that are ahead, and from another one if the first is silent', async () => {
		const {relay, follower, requestedNames, names} = createRelay(
			() => 5,
			['entry-a'],
		);
		for (const name of names) {
			relay.receiveHello(createHello(name, 5));
		}

		await waitForRequests();
		expect(requestedNames).toEqual(['entry-a', 'entry-b']);
		expect(follower.catalogue.nextOffset).toBe(5);
	});

	it("requests another update if a peer's offset increases during the request", async () => {
		let recordCount = 5;
		const {relay, follower, requestedNames} = createRelay(() => recordCount);
		relay.receiveHello(createHello('entry-a', 5));
		recordCount = 6;
		relay.receiveHello(createHello('entry-a', 6));
		await waitForRequests();
		expect(requestedNames).toEqual(['entry-a', 'entry-a']);
		expect(follower.catalogue.nextOffset).toBe(6);
	});

	it('requests no update from a peer that is not ahead, and from each peer in turn on explicit calls', async () => {
		const {relay, requestedNames, names} = createRelay(() => 0);
		relay.receiveHello(createHello('entry-a', 0));
		await waitForRequests();
		expect(requestedNames).toEqual([]);
		await relay.updateFromNextPeer();
		await relay.updateFromNextPeer();
		await relay.updateFromNextPeer();
		expect(requestedNames).toEqual(names);
	});
});
