/** Settings of an entry VM: JSON with comments, checked as a whole before anything starts. */
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

/** Settings of an entry VM. Durations are in milliseconds. */
export const settingsSchema = z
	.strictObject({
		name: nameSchema,
		zone: nameSchema,
		/** Callers' interface. */
		callerAddress: addressSchema,
		/** Operators' interface, with metrics. */
		operatorAddress: addressSchema,
		/** Streams from other entry VMs. */
		peerAddress: addressSchema,
		platform: z
			.strictObject({
				address: z.url({protocol: /^https?$/v}),
				timeoutMs: durationSchema.default(2000),
				pollIntervalMs: durationSchema.default(500),
			})
			.readonly(),
		/** `host:port` of other entry VMs' peer interfaces, asked when the platform does not answer at start. */
		seedPeers: z.array(addressSchema).max(100).readonly().default([]),
		catalogue: z
			.strictObject({
				/** Time between two reads of the log. */
				readIntervalMs: durationSchema.default(2000),
				/** SHA-256 of a token that may administer while the catalogue has no team of operators. */
				bootstrapTokenHash: z
					.string()
					.regex(/^[\da-f]{64}$/v, 'must be 64 lower-case hexadecimal digits')
					.optional(),
				/** Records after which the catalogue is written to the log again. */
				snapshotEveryRecords: z.number().int().positive().default(500),
				/** Age after which it is written again; the log has to keep records for four times as long. */
				snapshotEveryMs: durationSchema.default(21_600_000),
				/** Longest random wait of an entry VM before it writes. */
				snapshotJitterMs: durationSchema.default(60_000),
			})
			.readonly()
			.prefault({}),
		memory: z
			.strictObject({
				startWindowMs: durationSchema.default(600_000),
				retentionMs: durationSchema.default(600_000),
				clockSkewMs: durationSchema.default(5000),
				answerBytes: z.number().int().positive().default(64_000_000),
			})
			.readonly()
			.prefault({}),
		targets: z
			.strictObject({
				connectionsPerTarget: z.number().int().positive().max(1000).default(60),
				connectTimeoutMs: durationSchema.default(1000),
				/** Bytes of one target's answer at most. */
				answerBytes: z.number().int().positive().default(8_000_000),
				/** Time for which a connection may be idle before it is probed. */
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
				 * Which slots of the targets may be filled: a share that is lent between entry VMs, a fixed share, or all of
				 * them, when targets have to refuse what is too much.
				 */
				slots: z.enum(['lent', 'fixed', 'shared']).default('lent'),
				/** Order of the waiting jobs; `first-in-first-out` is the baseline. */
				order: z
					.enum(['fair-shortest-first', 'first-in-first-out'])
					.default('fair-shortest-first'),
				/** Where run times come from; `declared` is the baseline. */
				estimates: z.enum(['learned', 'declared']).default('learned'),
				/** A job goes before those that arrive this many times its ideal response time after it. */
				stretch: z.number().nonnegative().max(1000).default(16),
				/** Milliseconds of all slots by which a team may run ahead of another that waits; beyond that its jobs count as due later. */
				fairnessMs: durationSchema.default(1000),
				/** Share of the slots that a job which has most of them leaves to other jobs, but for times of overload. */
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
				/** Time for the balancer to notice that this entry VM is not ready any more. */
				noticeMs: durationSchema.default(2000),
				/** Longest time for what is in flight to end. */
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

/** One fault in a settings text. */
export type SettingsFault = {
	/** Dotted path of the field, empty for the whole text. */
	readonly path: string;
	/** Line in the text, counted from 1. */
	readonly line: number;
	readonly message: string;
};

/** Reads settings; every fault is named with its path and line. */
export function parseSettings(
	text: string,
): Result<Settings, readonly SettingsFault[]> {
	const errors: ParseError[] = [];
	const value: unknown = parse(text, errors, {allowTrailingComma: true});
	if (errors.length > 0) {
		return err(
			errors.map(({error, offset}) => ({
				path: '',
				line: lineOf(text, offset),
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
			line: lineOf(text, offsetOf(tree, issue.path)),
			message: issue.message,
		})),
	);
}

/** The text's nearest place to a path: a missing field is reported at the object that lacks it. */
function offsetOf(
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
		node?.offset ?? (path.length === 0 ? 0 : offsetOf(tree, path.slice(0, -1)))
	);
}

function lineOf(text: string, offset: number): number {
	return text.slice(0, offset).split('\n').length;
}
