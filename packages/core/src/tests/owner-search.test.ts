import {describe, expect, it} from 'vitest';
import {chooseSuccessor} from '../hand-over.js';
import {incarnationKey, type Incarnation} from '../identifier.js';
import {OwnerSearch, type PeerView} from '../owner-search.js';

const clockSkewMs = 10;

function createIncarnation(entryVm: string, nonce = 'one1'): Incarnation {
	return {zone: 'zone-a', entryVm, nonce};
}

function createView(
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

function createPeerViews(...views: readonly PeerView[]) {
	return new Map(views.map((view) => [view.incarnation.entryVm, view]));
}

function createSearch(...listed: readonly string[]): OwnerSearch {
	const search = new OwnerSearch({
		self: createIncarnation('self'),
		clockSkewMs,
	});
	search.updateEntryVmList(['self', ...listed]);
	return search;
}

const issuer = createIncarnation('owner');
const identifier = {issuer, issuedAtMs: 100, sequence: 1, tag: ''};

describe('OwnerSearch', () => {
	it('prefers an owner that is not leaving', () => {
		const leaving = createView(issuer, {isLeaving: true});
		const successor = createView(createIncarnation('next'), {
			holds: [incarnationKey(issuer)],
		});
		const search = createSearch('owner', 'next');
		expect([
			search.findOwner(identifier, createPeerViews(leaving)),
			search.findOwner(identifier, createPeerViews(leaving, successor)),
		]).toEqual([
			{kind: 'found', peer: 'owner'},
			{kind: 'found', peer: 'next'},
		]);
	});

	it('reports a disconnected owner as unreachable', () => {
		const search = createSearch('owner');
		expect(search.findOwner(identifier, createPeerViews())).toEqual({
			kind: 'unreachable',
		});
	});

	it('reports an owner removed from the list as gone, unless a listed entry VM that may be its successor is disconnected', () => {
		const search = createSearch('owner', 'other');
		search.updateEntryVmList(['self', 'other']);
		const other = createView(createIncarnation('other'));
		expect([
			search.findOwner(identifier, createPeerViews()),
			search.findOwner(identifier, createPeerViews(other)),
			search.findIncarnation(issuer, 100, createPeerViews()),
		]).toEqual([{kind: 'unreachable'}, {kind: 'gone'}, {kind: 'gone'}]);
	});

	it('reports an owner as gone after a later process of the same name, but not if that started within the clock skew of the issue', () => {
		const next = createIncarnation('owner', 'two2');
		const search = createSearch('owner');
		expect(
			[111, 110].map((startedAtMs) =>
				search.findOwner(
					identifier,
					createPeerViews(createView(next, {startedAtMs})),
				),
			),
		).toEqual([{kind: 'gone'}, {kind: 'unreachable'}]);
		search.updatePeer(createView(issuer));
		search.updatePeer(createView(next, {startedAtMs: 105}));
		search.updatePeer(createView(issuer));
		const peers = createPeerViews(createView(next, {startedAtMs: 105}));
		expect(search.findOwner(identifier, peers)).toEqual({kind: 'gone'});
	});
});

describe('chooseSuccessor', () => {
	it('prefers peers in the same zone, then those that own least, and skips leaving peers', () => {
		const far = createView({zone: 'zone-b', entryVm: 'far', nonce: 'one1'});
		const near = createView(createIncarnation('near'), {holds: ['a', 'b']});
		const leaving = createView(createIncarnation('leaving'), {isLeaving: true});
		expect([
			chooseSuccessor('zone-a', [far, near, leaving]),
			chooseSuccessor('zone-a', [far, leaving]),
			chooseSuccessor('zone-a', [leaving]),
		]).toEqual([near, far, undefined]);
	});
});
