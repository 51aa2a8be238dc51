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
	search.updateEntryVmList(['self', ...listed]);
	return search;
}

const issuer = incarnationOf('owner');
const identifier = {issuer, issuedAtMs: 100, sequence: 1, tag: ''};

describe('OwnerSearch', () => {
	it('prefers an owner that is not leaving', () => {
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

	it('reports a disconnected owner as unreachable', () => {
		const search = searchOf('owner');
		expect(search.findOwner(identifier, peersOf())).toEqual({
			kind: 'unreachable',
		});
	});

	it('reports an owner removed from the list as gone, unless a listed entry VM that may be its successor is disconnected', () => {
		const search = searchOf('owner', 'other');
		search.updateEntryVmList(['self', 'other']);
		const other = viewOf(incarnationOf('other'));
		expect([
			search.findOwner(identifier, peersOf()),
			search.findOwner(identifier, peersOf(other)),
			search.findIncarnation(issuer, 100, peersOf()),
		]).toEqual([{kind: 'unreachable'}, {kind: 'gone'}, {kind: 'gone'}]);
	});

	it('reports an owner as gone after a later process of the same name, but not if that started within the clock skew of the issue', () => {
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
	it('prefers peers in the same zone, then those that own least, and skips leaving peers', () => {
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
