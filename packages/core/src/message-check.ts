import {
	findWrongField,
	isAddress,
	isCount,
	isFlag,
	isListOf,
	isNumberUpTo,
	isObjectOf,
	isOneOf,
	isOptional,
	isShortText,
	isText,
	type FieldChecks,
} from './value-check.js';

/** Largest number of tasks of a job, and of workers, queues or services in a list. */
const maxListLength = 100_000;
/** Longest time in a message, in milliseconds; projected waits add up estimates of 1e9 ms at most. */
const maxDurationMs = 1e15;
/** Largest logarithm of a ratio of run times. */
const maxLogRatio = 10;
/** Largest amount of a resource. */
const maxAmount = 1e9;

const isDuration = isNumberUpTo(maxDurationMs);
const isTextList = isListOf(isText, maxListLength);

const isResources = isObjectOf({
	processorMillis: isNumberUpTo(maxAmount),
	memoryMb: isNumberUpTo(maxAmount),
	accelerators: isNumberUpTo(maxAmount),
});

const isTask = isObjectOf({
	name: isShortText,
	needs: isResources,
	declaredMs: isDuration,
	rack: isOptional(isText),
});

const isLostRuns = isListOf(
	isObjectOf({
		task: isShortText,
		run: isCount,
		worker: isShortText,
		isSuspect: isFlag,
	}),
	maxListLength,
);

const isJob = isObjectOf({
	id: isShortText,
	queue: isText,
	spec: isText,
	tasks: isListOf(isTask, maxListLength),
	waitedMs: isDuration,
	patienceMs: isDuration,
	attempt: isShortText,
	doneTasks: isOptional(isTextList),
	zones: isOptional(isTextList),
	refusingZones: isOptional(isCount),
	balancingWaitMs: isOptional(isDuration),
	leaderToken: isOptional(isCount),
	earlierToken: isOptional(isCount),
	grant: isOptional(
		isObjectOf({epoch: isCount, heartbeatSentAtMs: isDuration}),
	),
	earlierGrantAgeMs: isOptional(isDuration),
	lostRuns: isOptional(isLostRuns),
});

const isAnswer = isObjectOf({
	kind: isOneOf('completed', 'failed', 'cancelled', 'not-run', 'may-have-run'),
	reason: isOptional(isText),
	retryAfterMs: isOptional(isDuration),
	isBalanced: isOptional(isFlag),
	isUnsettled: isOptional(isFlag),
});

const isWorker = isObjectOf({
	id: isShortText,
	service: isText,
	address: isAddress,
	zone: isShortText,
	state: isOneOf('ready', 'draining'),
	capacity: isResources,
	labels: isTextList,
	bornMs: isCount,
	coldMs: isOptional(isDuration),
});

const isQueue = isObjectOf({
	name: isText,
	host: isText,
	pathPrefix: isText,
	service: isText,
	priority: isCount,
	mostAttempts: isCount,
	stretch: isNumberUpTo(maxAmount),
	latencyMs: isDuration,
});

const isDesiredState = isObjectOf({
	version: isCount,
	queues: isListOf(isQueue, maxListLength),
	services: isTextList,
	unguardedServices: isOptional(isTextList),
	limits: isObjectOf({
		bodyBytes: isCount,
		headerBytes: isCount,
		headerTimeoutMs: isCount,
		idleTimeoutMs: isCount,
	}),
});

const isKnowledge = isObjectOf({
	state: isOptional(isDesiredState),
	workers: isOptional(isListOf(isWorker, maxListLength)),
	versions: isOptional(isObjectOf({state: isCount, workers: isText})),
	ageMs: isCount,
});

const isLogRatio = (value: unknown): boolean =>
	typeof value === 'number' && Math.abs(value) <= maxLogRatio;

const isLearned = isObjectOf({
	kinds: isListOf(
		isObjectOf({kind: isText, logRatio: isLogRatio, count: isCount}),
		maxListLength,
	),
	tails: isListOf(
		isObjectOf({
			queue: isText,
			longShare: isNumberUpTo(1),
			largestRatio: isNumberUpTo(maxAmount),
		}),
		maxListLength,
	),
});

/** Checks of the messages between entry VMs, by message type; heartbeats have a check of their own. */
const checksByType: Readonly<Record<string, FieldChecks>> = {
	submit: {job: isJob, isResubmitted: isFlag},
	answer: {id: isShortText, answer: isAnswer},
	resubmit: {id: isShortText, attempt: isOptional(isShortText)},
	untouched: {id: isShortText, attempt: isShortText},
	progress: {id: isShortText, doneTasks: isTextList},
	'lost-runs': {lostRuns: isLostRuns},
	'caller-lost': {id: isShortText, lostForMs: isOptional(isCount)},
	'caller-returned': {id: isShortText},
	'cancelled-jobs': {ids: isListOf(isShortText, maxListLength)},
	'left-jobs': {
		jobs: isListOf(
			isObjectOf({
				id: isShortText,
				earlierToken: isCount,
				earlierGrantAgeMs: isDuration,
			}),
			maxListLength,
		),
	},
	'returnable-jobs': {
		sequence: isCount,
		held: isListOf(isShortText, maxListLength),
		ended: isListOf(
			isObjectOf({id: isShortText, answer: isOptional(isAnswer)}),
			maxListLength,
		),
	},
	'returnable-jobs-noted': {sequence: isCount},
	cancel: {
		id: isShortText,
		reason: isOneOf('caller-left', 'cancelled', 'moved'),
		question: isOptional(isCount),
	},
	ask: {question: isCount, about: isOneOf('state', 'pending'), name: isText},
	reply: {question: isCount},
	knowledge: {knowledge: isKnowledge},
	learned: {learned: isLearned},
	'hand-over': {workers: isListOf(isWorker, maxListLength)},
};

/**
 * Returns the type and the first missing or absurd field of a message that is no heartbeat; `undefined` for a sound
 * message and for one of an unknown type, which later builds may send.
 */
export function findMessageProblem(message: {
	readonly type: unknown;
}): string | undefined {
	const type = String(message.type);
	const checks = Object.hasOwn(checksByType, type)
		? checksByType[type]
		: undefined;
	const field =
		checks === undefined ? undefined : findWrongField(message, checks);
	return field === undefined ? undefined : `${type}: ${field}`;
}
