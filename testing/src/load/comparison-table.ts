import {type PolicyReport} from './comparison.js';
import {type PercentileSummary} from './answer-statistics.js';

/** Formats the main results of a comparison as a Markdown table with one column per policy. */
export function formatComparisonTable(
	reports: readonly PolicyReport[],
): string {
	const classes = [
		...new Set(reports.flatMap(({byClass}) => Object.keys(byClass))),
	];
	const rows: ReadonlyArray<
		readonly [string, (report: PolicyReport) => string]
	> = [
		[
			'response / longest task, p50, p99, p99.9 (jobs)',
			({overIdeal}) => formatPercentiles(overIdeal),
		],
		[
			'response / lower bound, p50, p99, p99.9 (jobs)',
			({overBound}) => formatPercentiles(overBound),
		],
		...classes.map(
			(name) =>
				[
					`${name}: response / lower bound`,
					({byClass}: PolicyReport) =>
						formatPercentiles(byClass[name]?.overBound ?? emptySummary),
				] as const,
		),
		[
			'completed run time / slot time',
			(report) => `${report.completedShareOfSlots}`,
		],
		['busy slots / slots', (report) => `${report.busyShareOfSlots}`],
		['completed tasks/s', (report) => `${report.completedTasksPerSecond}`],
		['job outcomes', ({endings}) => formatOutcomes(endings)],
		[
			'messages of refused starts/task',
			(report) => `${report.wastedTargetMessagesPerTask}`,
		],
		['entry VM messages/task', (report) => `${report.peerMessagesPerTask}`],
		[
			'entry VM messages/s when idle',
			(report) => `${report.idlePeerMessagesPerSecond}`,
		],
		['repeated task starts', (report) => `${report.doubleStarts}`],
		['most busy slots on one target', (report) => `${report.mostBusySlots}`],
		['entry VM CPU µs/start', (report) => `${report.cpuMicrosecondsPerStart}`],
		['cores used by idle entry VMs', (report) => `${report.idleCpuShare}`],
		['largest entry VM, MB', (report) => `${report.residentMegabytes}`],
	];
	return [
		`| | ${reports.map(({name}) => name).join(' | ')} |`,
		`| --- |${reports.map(() => ' --- |').join('')}`,
		...rows.map(
			([title, formatCell]) =>
				`| ${title} | ${reports.map((report) => formatCell(report)).join(' | ')} |`,
		),
	].join('\n');
}

const emptySummary: PercentileSummary = {p50: 0, p99: 0, p999: 0, count: 0};

function formatPercentiles({p50, p99, p999, count}: PercentileSummary): string {
	return `${p50}, ${p99}, ${p999} (${count})`;
}

function formatOutcomes(
	outcomeCounts: Readonly<Record<string, number>>,
): string {
	return Object.entries(outcomeCounts)
		.map(([outcome, count]) => `${outcome} ${count}`)
		.join('; ');
}
