/** The platform's services, as the dispatcher uses them: a log, the list of VMs and the workers' usage reports. */
import {type MachineList} from '@verbenarouter/core';
import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';

/** One record of a stream. */
export const logRecordSchema = z
	.object({offset: z.number().int().nonnegative(), record: z.json()})
	.readonly();

/** One record of a stream. */
export type LogRecord = z.infer<typeof logRecordSchema>;

/** Records in order of their offsets. */
export const logPageSchema = z
	.object({
		records: z.array(logRecordSchema).readonly(),
		/** Offset of the oldest record that is still kept; older ones are gone. */
		oldestOffset: z.number().int().nonnegative(),
		/** Offset that the next appended record will get. */
		endOffset: z.number().int().nonnegative(),
	})
	.refine(
		({records}) =>
			records.every(
				({offset}, index) => offset === (records[0]?.offset ?? 0) + index,
			),
		{path: ['records'], error: 'must have consecutive offsets'},
	)
	.readonly();

/** Records in order of their offsets. */
export type LogPage = z.infer<typeof logPageSchema>;

/** A worker's usage as the platform last reported it. */
export const usageReportSchema = z
	.object({
		target: z.string(),
		busySlots: z.number().int().nonnegative(),
		reportedAtMs: z.number(),
	})
	.readonly();

/** A worker's usage as the platform last reported it. */
export type UsageReport = z.infer<typeof usageReportSchema>;

/**
 * Why a call to the platform has no answer. Only `mayHaveTakenEffect: false` proves that the call changed nothing.
 */
export type PlatformFailure = {
	readonly code: 'unreachable' | 'timeout' | 'refused' | 'bad-answer';
	readonly message: string;
	readonly mayHaveTakenEffect: boolean;
};

/** The platform's services. Each call ends within the client's timeout. */
export type Platform = {
	/** Appends a record, which is any value that JSON can hold; the answer is its offset. */
	append(stream: string, record: unknown): ResultAsync<number, PlatformFailure>;
	/** Reads records from an offset on; when that one is gone, from the oldest one that is kept. */
	read(
		stream: string,
		fromOffset: number,
		limit: number,
	): ResultAsync<LogPage, PlatformFailure>;
	/** The list of VMs, which lags. */
	machines(): ResultAsync<MachineList, PlatformFailure>;
	/** The workers' usage reports, which lag. */
	usage(): ResultAsync<readonly UsageReport[], PlatformFailure>;
};
