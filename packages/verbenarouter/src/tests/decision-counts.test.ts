import {type PoolDecision} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {DecisionCounts} from '../pool/decision-counts.js';

function admissionFixture(
	reason: string,
	inputs: Readonly<Record<string, number | string>>,
): PoolDecision {
	return {event: 'admitted', id: 'j1', reason, inputs};
}

const zonesByReceiver: Readonly<Record<string, string>> = {r1: 'a', r2: 'b'};
const findZone = (receiver: string) => zonesByReceiver[receiver];

describe('DecisionCounts', () => {
	it('tells jobs that were first seen, also for another zone, from those that another leader may have', () => {
		const counts = new DecisionCounts();
		for (const [reason, inputs] of [
			['new', {receiver: 'r1', zones: 'a'}],
			['new', {receiver: 'r2', zones: '*'}],
			['new', {receiver: 'r2', zones: 'a'}],
			['new', {receiver: 'unknown', zones: 'a'}],
			['new', {receiver: 'r2', zones: 'a b', unsettled: 1}],
			['resubmitted', {receiver: 'r2', zones: 'a', unsettled: 1}],
		] as const) {
			counts.recordDecision(admissionFixture(reason, inputs), findZone);
		}

		expect(
			counts.samples.map(({labels, value}) => [labels.kind, value]),
		).toEqual([
			['first-seen', 2],
			['first-seen-for-other-zone', 2],
			['unsettled', 1],
			['resubmitted', 1],
		]);
	});

	it('counts changes of leadership by zone and reason, and copies and releases by their place', () => {
		const counts = new DecisionCounts();
		counts.recordLeadership({kind: 'claimed', zone: 'a', token: 7}, 'fenced');
		counts.recordLeadership({kind: 'claimed', zone: 'a', token: 8}, 'fenced');
		counts.recordLeadership(
			{kind: 'dropped', zone: 'b', reason: 'outranked'},
			'tick',
		);
		counts.recordDecision(
			{event: 'joined', id: 'j1', reason: 'answered', inputs: {}},
			findZone,
		);
		counts.recordCopy('receiver');
		counts.recordRelease('sent');
		expect(counts.samples).toEqual([
			{
				name: 'leadership_changes_total',
				labels: {zone: 'a', change: 'claimed', reason: 'fenced'},
				value: 2,
			},
			{
				name: 'leadership_changes_total',
				labels: {zone: 'b', change: 'dropped', reason: 'outranked'},
				value: 1,
			},
			{name: 'copies_joined_total', labels: {at: 'leader'}, value: 1},
			{name: 'copies_joined_total', labels: {at: 'receiver'}, value: 1},
			{name: 'releases_total', labels: {direction: 'sent'}, value: 1},
		]);
	});
});
