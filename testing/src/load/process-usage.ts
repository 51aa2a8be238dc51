import {readFile} from 'node:fs/promises';

/** CPU time and memory of a group of processes, as the kernel reports them. */
export type ProcessUsage = {
	/** User and system time of all processes since their start. */
	readonly cpuMs: number;
	/** Resident memory of the largest process. */
	readonly largestResidentBytes: number;
};

// Linux reports CPU times in /proc in units of 1/100 s.
const millisecondsPerTick = 10;
const bytesPerKibibyte = 1024;
// Position of utime among the fields after the command name; stime follows it.
const userTicksFieldIndex = 11;

/** Reads the usage of processes from `/proc`; works on Linux only. */
export async function readProcessUsage(
	processIds: readonly number[],
): Promise<ProcessUsage> {
	const usages = await Promise.all(
		processIds.map(async (processId) => readOneProcess(processId)),
	);
	return {
		cpuMs: usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0),
		largestResidentBytes: Math.max(
			0,
			...usages.map(({largestResidentBytes}) => largestResidentBytes),
		),
	};
}

async function readOneProcess(processId: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([
		readFile(`/proc/${processId}/stat`, 'utf8'),
		readFile(`/proc/${processId}/status`, 'utf8'),
	]);
	// The command name is in parentheses and may itself contain spaces and parentheses.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks =
		Number(fields[userTicksFieldIndex]) +
		Number(fields[userTicksFieldIndex + 1]);
	const residentKibibytes = /^VmRSS:\s+(?<size>\d+)/mv.exec(status)?.groups
		?.size;
	return {
		cpuMs: ticks * millisecondsPerTick,
		largestResidentBytes: Number(residentKibibytes ?? 0) * bytesPerKibibyte,
	};
}
