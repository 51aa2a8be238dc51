import {describe, expect, it} from 'vitest';
import {selectLossRecipients} from '../pool/loss-recipients.js';

describe('recipients of lost runs', () => {
	it('are the receivers, also without a heartbeat of theirs, and all peers that lead or may lead', () => {
		const peers = [
			{name: 'candidate', isCandidate: true, leads: {}},
			{name: 'follower', isCandidate: false, leads: {}},
			{name: 'leader', isCandidate: false, leads: {'zone-b': 5}},
			{name: 'last-build', leads: {}},
		];
		expect(
			selectLossRecipients(['receiver', 'self', 'leader'], peers, 'self'),
		).toEqual(['receiver', 'leader', 'candidate', 'last-build']);
	});
});
