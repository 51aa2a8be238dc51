import {type MachineList} from '@verbenarouter/core';
import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';

/** Schema of {@link LogRecord}. */
export const logRecordSchema = z
	.object({offset: z.number().int().nonnegative(), record: z.json()})
	.readonly();

/** A record of a log stream and its offset. */
export type LogRecord = z.infer<typeof logRecordSchema>;

/** Schema of {@link LogPage}; the offsets must be consecutive. */
export const logPageSchema = z
	.object({
		records: z.array(logRecordSchema).readonly(),
		/** Offset of the oldest retained record. */
		oldestOffset: z.number().int().nonnegative(),
		/** Offset of the next record to be appended. */
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

/** A page of log records with consecutive offsets, in ascending order. */
export type LogPage = z.infer<typeof logPageSchema>;

/** Schema of {@link UsageReport}. */
export const usageReportSchema = z
	.object({
		target: z.string(),
		busySlots: z.number().int().nonnegative(),
		reportedAtMs: z.number(),
	})
	.readonly();

/** Usage of a worker as last reported by the platform. */
export type UsageReport = z.infer<typeof usageReportSchema>;

/** Why a call to the platform failed. Only `mayHaveTakenEffect: false` guarantees that the call changed nothing. */
export type PlatformFailure = {
	readonly code: 'unreachable' | 'timeout' | 'refused' | 'bad-answer';
	readonly message: string;
	readonly mayHaveTakenEffect: boolean;
};

/** The platform's log, list of VMs and usage reports. Each call settles within the client's timeout. */
export type Platform = {
	/** Appends a record, which can be any JSON value, and returns its offset. */
	append(stream: string, record: unknown): ResultAsync<number, PlatformFailure>;
	/** Reads records from an offset on, or from the oldest retained record if the offset is no longer retained. */
	read(
		stream: string,
		fromOffset: number,
		limit: number,
	): ResultAsync<LogPage, PlatformFailure>;
	/** Returns the list of VMs, which may be out of date. */
	machines(): ResultAsync<MachineList, PlatformFailure>;
	/** Returns the usage reports of the workers, which may be out of date. */
	usage(): ResultAsync<readonly UsageReport[], PlatformFailure>;
};
