/** The short table of a comparison. */
import {type ContenderReport} from './comparison.js';
import {type RatioSummary} from './measurement.js';

/** Writes the reports as a Markdown table, one column for each policy. */
export function tableOf(reports: readonly ContenderReport[]): string {
	const classes = [
		...new Set(reports.flatMap(({byClass}) => Object.keys(byClass))),
	];
	const rows: ReadonlyArray<
		readonly [string, (report: ContenderReport) => string]
	> = [
		['response / ideal, p50, p99, p99.9', ({overIdeal}) => ratios(overIdeal)],
		['response / bound, p50, p99, p99.9', ({overBound}) => ratios(overBound)],
		...classes.map(
			(name) =>
				[
					`${name}: response / bound`,
					({byClass}: ContenderReport) =>
						ratios(byClass[name]?.overBound ?? noRatios),
				] as const,
		),
		['completed work / slots', (report) => `${report.completedShareOfSlots}`],
		['busy slots / slots', (report) => `${report.busyShareOfSlots}`],
		['completed tasks/s', (report) => `${report.completedTasksPerSecond}`],
		['endings', ({endings}) => endingsOf(endings)],
		[
			'wasted target messages/task',
			(report) => `${report.wastedTargetMessagesPerTask}`,
		],
		['peer messages/task', (report) => `${report.peerMessagesPerTask}`],
		[
			'peer messages/s when idle',
			(report) => `${report.idlePeerMessagesPerSecond}`,
		],
		['double starts', (report) => `${report.doubleStarts}`],
		['most busy slots of a target', (report) => `${report.mostBusySlots}`],
		['entry VM CPU µs/start', (report) => `${report.cpuMicrosecondsPerStart}`],
		['idle entry VMs, cores', (report) => `${report.idleCpuShare}`],
		['largest entry VM, MB', (report) => `${report.residentMegabytes}`],
	];
	return [
		`| | ${reports.map(({name}) => name).join(' | ')} |`,
		`| --- |${reports.map(() => ' --- |').join('')}`,
		...rows.map(
			([name, cell]) =>
				`| ${name} | ${reports.map((report) => cell(report)).join(' | ')} |`,
		),
	].join('\n');
}

const noRatios: RatioSummary = {p50: 0, p99: 0, p999: 0, count: 0};

function ratios({p50, p99, p999, count}: RatioSummary): string {
	return `${p50}, ${p99}, ${p999} (${count})`;
}

function endingsOf(endings: Readonly<Record<string, number>>): string {
	return Object.entries(endings)
		.map(([ending, count]) => `${ending} ${count}`)
		.join('; ');
}
