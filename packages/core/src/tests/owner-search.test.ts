import {describe, expect, it} from 'vitest';
import {chooseSuccessor} from '../hand-over.js';
import {incarnationKey, type Incarnation} from '../identifier.js';
import {OwnerSearch, type PeerView} from '../owner-search.js';

const clockSkewMs = 10;

function incarnationOf(entryVm: string, nonce = 'one1'): Incarnation {
	return {zone: 'zone-a', entryVm, nonce};
}

function viewOf(
	incarnation: Incarnation,
	change: Partial<PeerView> = {},
): PeerView {
	return {
		incarnation,
		startedAtMs: 0,
		holds: [incarnationKey(incarnation)],
		isLeaving: false,
		...change,
	};
}

function peersOf(...views: readonly PeerView[]) {
	return new Map(views.map((view) => [view.incarnation.entryVm, view]));
}

function searchOf(...listed: readonly string[]): OwnerSearch {
	const search = new OwnerSearch({self: incarnationOf('self'), clockSkewMs});
	search.updateList(['self', ...listed]);
	return search;
}

const issuer = incarnationOf('owner');
const identifier = {issuer, issuedAtMs: 100, sequence: 1, tag: ''};

describe('OwnerSearch', () => {
	it('prefers the holder that stays', () => {
		const leaving = viewOf(issuer, {isLeaving: true});
		const successor = viewOf(incarnationOf('next'), {
			holds: [incarnationKey(issuer)],
		});
		const search = searchOf('owner', 'next');
		expect([
			search.findOwner(identifier, peersOf(leaving)),
			search.findOwner(identifier, peersOf(leaving, successor)),
		]).toEqual([
			{kind: 'found', peer: 'owner'},
			{kind: 'found', peer: 'next'},
		]);
	});

	it('takes silence for no proof', () => {
		const search = searchOf('owner');
		expect(search.findOwner(identifier, peersOf())).toEqual({
			kind: 'unreachable',
		});
	});

	it('takes the removal from the list for proof, unless a listed one that may be a successor is out of reach', () => {
		const search = searchOf('owner', 'other');
		search.updateList(['self', 'other']);
		const other = viewOf(incarnationOf('other'));
		expect([
			search.findOwner(identifier, peersOf()),
			search.findOwner(identifier, peersOf(other)),
			search.findProcess(issuer, 100, peersOf()),
		]).toEqual([{kind: 'unreachable'}, {kind: 'gone'}, {kind: 'gone'}]);
	});

	it('takes a later process of the same name for proof, but not one that started about when the identifier was issued', () => {
		const next = incarnationOf('owner', 'two2');
		const search = searchOf('owner');
		expect(
			[111, 110].map((startedAtMs) =>
				search.findOwner(identifier, peersOf(viewOf(next, {startedAtMs}))),
			),
		).toEqual([{kind: 'gone'}, {kind: 'unreachable'}]);
		search.updatePeer(viewOf(issuer));
		search.updatePeer(viewOf(next, {startedAtMs: 105}));
		search.updatePeer(viewOf(issuer));
		const peers = peersOf(viewOf(next, {startedAtMs: 105}));
		expect(search.findOwner(identifier, peers)).toEqual({kind: 'gone'});
	});
});

describe('chooseSuccessor', () => {
	it('takes a peer of the same zone that stays and holds least', () => {
		const far = viewOf({zone: 'zone-b', entryVm: 'far', nonce: 'one1'});
		const near = viewOf(incarnationOf('near'), {holds: ['a', 'b']});
		const leaving = viewOf(incarnationOf('leaving'), {isLeaving: true});
		expect([
			chooseSuccessor('zone-a', [far, near, leaving]),
			chooseSuccessor('zone-a', [far, leaving]),
			chooseSuccessor('zone-a', [leaving]),
		]).toEqual([near, far, undefined]);
	});
});
