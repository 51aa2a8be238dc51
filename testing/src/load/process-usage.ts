/** Processor time and memory of processes, as the kernel counts them. */
import {readFile} from 'node:fs/promises';

/** What some processes have used, together. */
export type ProcessUsage = {
	readonly cpuMs: number;
	/** Largest resident memory of one of them, in bytes. */
	readonly residentBytes: number;
};

const millisecondsPerTick = 10;
const bytesPerKibibyte = 1024;
const userTicksField = 11;

/** Reads what processes have used so far; Linux only. */
export async function usageOf(
	processIds: readonly number[],
): Promise<ProcessUsage> {
	const all = await Promise.all(processIds.map(async (id) => usageOfOne(id)));
	return {
		cpuMs: all.reduce((sum, {cpuMs}) => sum + cpuMs, 0),
		residentBytes: Math.max(0, ...all.map(({residentBytes}) => residentBytes)),
	};
}

async function usageOfOne(processId: number): Promise<ProcessUsage> {
	const [stat, status] = await Promise.all([
		readFile(`/proc/${processId}/stat`, 'utf8'),
		readFile(`/proc/${processId}/status`, 'utf8'),
	]);
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks =
		Number(fields[userTicksField]) + Number(fields[userTicksField + 1]);
	const resident = /^VmRSS:\s+(?<size>\d+)/mv.exec(status)?.groups?.size;
	return {
		cpuMs: ticks * millisecondsPerTick,
		residentBytes: Number(resident ?? 0) * bytesPerKibibyte,
	};
}
