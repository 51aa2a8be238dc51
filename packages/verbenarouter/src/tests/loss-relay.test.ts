import {type LostRun} from '@verbenarouter/core';
import {describe, expect, it} from 'vitest';
import {LossRelay} from '../pool/loss-relay.js';

const startMs = 1000;

function lostRunFixture(run: number, isSuspect = true): LostRun {
	return {task: 'j1.0.0.0', run, worker: `w${run}`, isSuspect};
}

describe('lost runs that are passed on', () => {
	it('are those of the last seconds, also if they are reported again, with the latest suspicion', () => {
		const relay = new LossRelay();
		relay.record([lostRunFixture(1), lostRunFixture(2, false)], startMs);
		relay.record([lostRunFixture(2)], startMs + 2000);
		relay.record([lostRunFixture(3)], startMs + 4000);
		expect(relay.recent(startMs + 4000)).toEqual(
			[1, 2, 3].map((run) => lostRunFixture(run)),
		);
		expect(relay.recent(startMs + 5001)).toEqual([lostRunFixture(3)]);
	});

	it('are not passed on for ever by entry VMs that connect again and again', () => {
		const [first, second] = [new LossRelay(), new LossRelay()];
		first.record([lostRunFixture(1)], startMs);
		for (let now = startMs + 4000; now < startMs + 40_000; now += 4000) {
			const [ofFirst, ofSecond] = [first.recent(now), second.recent(now)];
			second.record(ofFirst, now);
			first.record(ofSecond, now);
		}

		for (const relay of [first, second]) {
			expect(relay.recent(startMs + 40_000)).toEqual([]);
		}
	});
});
