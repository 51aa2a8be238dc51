import {describe, expect, it} from 'vitest';
import {ZoneReporter} from '../pool/zone-reporter.js';

type ReporterFixture = {
	readonly reporter: ZoneReporter;
	readonly announcedAtMs: number[];
	readonly counts: {projections: number; learned: number};
	spareMillis: number;
	/** Reports and updates every 20 ms, as an entry VM does. */
	run(fromMs: number, toMs: number): void;
};

function reporterFixture(): ReporterFixture {
	const announcedAtMs: number[] = [];
	const counts = {projections: 0, learned: 0};
	const fixture: ReporterFixture = {
		announcedAtMs,
		counts,
		spareMillis: 0,
		reporter: new ZoneReporter({
			scheduler: {
				computeSpareMillis: () => ({a: fixture.spareMillis}),
				projectZoneWaits() {
					counts.projections += 1;
					return {};
				},
				exportLearned: () => ({
					kinds: [],
					tails: [{queue: 'q', longShare: 0.03, largestRatio: 7}],
				}),
			},
			announce(now) {
				announcedAtMs.push(now);
			},
			sendLearned() {
				counts.learned += 1;
			},
		}),
		run(fromMs: number, toMs: number) {
			for (let now = fromMs; now <= toMs; now += 20) {
				fixture.reporter.read(now);
				fixture.reporter.update(now);
			}
		},
	};
	return fixture;
}

describe('ZoneReporter', () => {
	// Callers of other zones were refused until the next heartbeat, although the zone had just become idle.
	it('announces the first room after a claim at once, and later room only after a time without any', () => {
		const fixture = reporterFixture();
		fixture.reporter.handleClaim();
		fixture.run(0, 40);
		fixture.spareMillis = 1000;
		fixture.run(60, 400);
		expect(fixture.announcedAtMs).toHaveLength(1);
		expect(fixture.announcedAtMs[0]).toBeLessThanOrEqual(160);
		fixture.spareMillis = 0;
		fixture.run(420, 520);
		fixture.spareMillis = 1000;
		fixture.run(540, 800);
		expect(fixture.announcedAtMs).toHaveLength(1);
		fixture.spareMillis = 0;
		fixture.run(820, 1300);
		fixture.spareMillis = 1000;
		fixture.run(1320, 1500);
		expect(fixture.announcedAtMs).toHaveLength(2);
	});

	it('bounds how often waits are projected and what was learned is sent', () => {
		const fixture = reporterFixture();
		fixture.spareMillis = 1000;
		fixture.run(0, 1990);
		expect(fixture.counts.projections).toBeLessThanOrEqual(2000 / 80);
		expect(fixture.counts.learned).toBe(2);
	});
});
