import {StoreClient} from '@verbenarouter/platform';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {StoreStandIn} from '../pool/store-stand-in.js';

const topic = 'keyed.servers';

describe('StoreClient', () => {
	let store: StoreStandIn;
	let client: StoreClient;

	beforeEach(async () => {
		store = new StoreStandIn();
		await store.listen();
		client = new StoreClient(store.address);
	});

	afterEach(() => {
		client.close();
		store.close();
	});

	it('tells a page that was cut short at its largest size from one that reaches the end of the topic', async () => {
		store.maxPageBytes = 1;
		store.put(topic, 'w1', 'first');
		store.put(topic, 'w2', 'second');
		const first = await client.read(topic, 0, 0);
		expect(first._unsafeUnwrap()).toEqual({
			records: [{key: 'w1', value: 'first'}],
			nextOffset: 1,
			endOffset: 2,
		});
		const last = await client.read(topic, 1, 0);
		expect(last._unsafeUnwrap()).toEqual({
			records: [{key: 'w2', value: 'second'}],
			nextOffset: 2,
			endOffset: 2,
		});
	});
});
