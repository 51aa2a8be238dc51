import {describe, expect, it} from 'vitest';
import {Metrics} from '../metrics.js';

describe('Metrics', () => {
	it('exports counters, gauges and percentiles as text and as an object', () => {
		const metrics = new Metrics(() => ({catalogueAgeMs: 12}));
		for (let tookMs = 1; tookMs <= 100; tookMs += 1) {
			metrics.recordJobAnswer('macro-check', 'completed', '', tookMs);
		}

		metrics.recordTaskOutcome(
			'target-1',
			{kind: 'completed', output: 1, ranMs: 5},
			6,
		);
		metrics.recordTaskOutcome(
			'target-1',
			{kind: 'not-started', reason: 'full', message: '', retryAfterMs: 0},
			1,
		);
		const lines = metrics.formatText().split('\n');
		expect(lines).toContain('verbenarouter_catalogue_age_ms 12');
		expect(lines).toContain(
			'verbenarouter_jobs_total{entry="macro-check",verdict="completed",code=""} 100',
		);
		expect(lines).toContain(
			'verbenarouter_tasks_total{outcome="not-started",reason="full"} 1',
		);
		expect(lines).toContain(
			'verbenarouter_job_duration_ms{entry="macro-check",quantile="0.5"} 50',
		);
		expect(metrics.snapshot().taskTimesMs).toEqual({
			'target-1': {count: 1, p50: 6, p99: 6, p999: 6, maximum: 6},
		});
	});

	it('exports counters that are kept elsewhere', () => {
		const metrics = new Metrics(
			() => ({}),
			() => [
				{
					name: 'peer_bytes_total',
					labels: {type: 'heartbeat', direction: 'sent'},
					value: 7,
				},
			],
		);
		expect(metrics.formatText().split('\n')).toContain(
			'verbenarouter_peer_bytes_total{type="heartbeat",direction="sent"} 7',
		);
	});
});
