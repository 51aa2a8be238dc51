import {nameSchema, placementPolicyNames} from '@verbenarouter/core';
import {err, ok, type Result} from 'neverthrow';
import {
	parseTree,
	findNodeAtLocation,
	type Node,
	type ParseError,
	parse,
	printParseErrorCode,
} from 'jsonc-parser';
import {z} from 'zod';

const addressSchema = z
	.string()
	.regex(/^[\w.:\[\]\-]+:\d{1,5}$/v, 'must be host:port');

const durationSchema = z.number().int().positive().max(86_400_000);

/** Schema of the settings of an entry VM, a JSON file with comments. Durations are in milliseconds. */
export const settingsSchema = z
	.strictObject({
		name: nameSchema,
		zone: nameSchema,
		/** `host:port` of the callers' interface. */
		callerAddress: addressSchema,
		/** `host:port` of the operators' interface, which includes the metrics. */
		operatorAddress: addressSchema,
		/** `host:port` on which streams from other entry VMs arrive. */
		peerAddress: addressSchema,
		platform: z
			.strictObject({
				address: z.url({protocol: /^https?$/v}),
				timeoutMs: durationSchema.default(2000),
				pollIntervalMs: durationSchema.default(500),
			})
			.readonly(),
		/** Peer interfaces that provide the catalogue and the list of VMs if the platform is unavailable at startup. */
		seedPeers: z.array(addressSchema).max(100).readonly().default([]),
		catalogue: z
			.strictObject({
				/** Interval between reads of the catalogue log. */
				readIntervalMs: durationSchema.default(2000),
				/** SHA-256 of a token with operator rights as long as the catalogue has no operator team. */
				bootstrapTokenHash: z
					.string()
					.regex(/^[\da-f]{64}$/v, 'must be 64 lower-case hexadecimal digits')
					.optional(),
				/** Number of records after which a snapshot of the catalogue is written to the log. */
				snapshotEveryRecords: z.number().int().positive().default(500),
				/** Age of the snapshot after which a new one is written; the log must retain records for four times as long. */
				snapshotEveryMs: durationSchema.default(21_600_000),
				/** Maximum random delay of an entry VM before it writes a snapshot. */
				snapshotJitterMs: durationSchema.default(60_000),
			})
			.readonly()
			.prefault({}),
		memory: z
			.strictObject({
				/** Time after its reservation during which an identifier can start a job. */
				startWindowMs: durationSchema.default(600_000),
				/** Minimum time for which an answer is retained. */
				retentionMs: durationSchema.default(600_000),
				/** Maximum difference between the clocks of two entry VMs. */
				clockSkewMs: durationSchema.default(5000),
				/** Total size of the answers kept for repeated requests; beyond it, the oldest keep only their verdicts. */
				answerBytes: z.number().int().positive().default(64_000_000),
			})
			.readonly()
			.prefault({}),
		targets: z
			.strictObject({
				connectionsPerTarget: z.number().int().positive().max(1000).default(60),
				connectTimeoutMs: durationSchema.default(1000),
				/** Maximum size in bytes of a target's answer. */
				answerBytes: z.number().int().positive().default(8_000_000),
				/** Time after which an idle connection is probed. */
				probeIntervalMs: durationSchema.default(1000),
				/** Time without an answer to a probe after which a target's connections are replaced. */
				probeTimeoutMs: durationSchema.default(500),
			})
			.readonly()
			.prefault({}),
		placement: z
			.strictObject({
				policy: z.enum(placementPolicyNames).default('least-in-flight'),
				/**
				 * Which slots of the targets this entry VM may fill: a share that entry VMs lend each other (`lent`), a
				 * fixed share (`fixed`), or all of them (`shared`), in which case targets refuse excess tasks.
				 */
				slots: z.enum(['lent', 'fixed', 'shared']).default('lent'),
				/** Order in which waiting jobs get slots; `first-in-first-out` is the baseline. */
				order: z
					.enum(['fair-shortest-first', 'first-in-first-out'])
					.default('fair-shortest-first'),
				/** Source of the expected run times; `declared` is the baseline. */
				estimates: z.enum(['learned', 'declared']).default('learned'),
				/** Multiple of a job's ideal response time after which no newly arriving job overtakes it. */
				stretch: z.number().nonnegative().max(1000).default(16),
				/**
				 * Lead in served work, in milliseconds of all slots, that a team may have over another waiting team. Beyond it,
				 * its jobs count as due later.
				 */
				fairnessMs: durationSchema.default(1000),
				/** Share of the slots that a job with more than half of them leaves to other jobs, except after an overload. */
				headroom: z.number().nonnegative().max(1).default(0.15),
			})
			.readonly()
			.prefault({}),
		peers: z
			.strictObject({
				pingIntervalMs: durationSchema.default(500),
				silenceMs: durationSchema.default(2000),
				reconnectMs: durationSchema.default(200),
			})
			.readonly()
			.prefault({}),
		stop: z
			.strictObject({
				/** Time for the load balancer to detect that this entry VM is not ready any more. */
				noticeMs: durationSchema.default(2000),
				/** Maximum time for submissions in progress to end. */
				drainMs: durationSchema.default(30_000),
			})
			.readonly()
			.prefault({}),
		bodyLimitBytes: z.number().int().positive().default(16_000_000),
		log: z
			.strictObject({
				format: z.enum(['json', 'pretty']).default('json'),
				level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
			})
			.readonly()
			.prefault({}),
	})
	.readonly();

/** Settings of an entry VM. */
export type Settings = z.infer<typeof settingsSchema>;

/** An error in a settings text. */
export type SettingsFault = {
	/** Dotted path of the field; empty for the whole text. */
	readonly path: string;
	/** Line number in the text, starting at 1. */
	readonly line: number;
	readonly message: string;
};

/** Parses and validates a settings text; returns every fault with its path and line. */
export function parseSettings(
	text: string,
): Result<Settings, readonly SettingsFault[]> {
	const errors: ParseError[] = [];
	const value: unknown = parse(text, errors, {allowTrailingComma: true});
	if (errors.length > 0) {
		return err(
			errors.map(({error, offset}) => ({
				path: '',
				line: findLine(text, offset),
				message: printParseErrorCode(error),
			})),
		);
	}

	const parsed = settingsSchema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const tree = parseTree(text, [], {allowTrailingComma: true});
	return err(
		parsed.error.issues.map((issue) => ({
			path: issue.path.join('.'),
			line: findLine(text, findOffset(tree, issue.path)),
			message: issue.message,
		})),
	);
}

/** Returns the offset of the node at a path or, if a field is missing, of the object that lacks it. */
function findOffset(
	tree: Node | undefined,
	path: readonly PropertyKey[],
): number {
	if (tree === undefined) {
		return 0;
	}

	const node = findNodeAtLocation(
		tree,
		path.map((key) => (typeof key === 'number' ? key : String(key))),
	);
	return (
		node?.offset ??
		(path.length === 0 ? 0 : findOffset(tree, path.slice(0, -1)))
	);
}

function findLine(text: string, offset: number): number {
	return text.slice(0, offset).split('\n').length;
}
