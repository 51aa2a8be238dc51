/** The story of one job from the log lines of several entry VMs. */
import {z} from 'zod';

/** A log line that concerns a job; fields beyond these are kept as they are. */
export const logLineSchema = z.looseObject({
	time: z.iso.datetime(),
	entryVm: z.string(),
	event: z.string(),
	id: z.string().optional(),
	reason: z.string().optional(),
	inputs: z.record(z.string(), z.union([z.number(), z.string()])).optional(),
});

/** A log line that concerns a job. */
export type LogLine = z.infer<typeof logLineSchema>;

/** The lines of one job in order of time, and what they tell of its end. */
export type JobStory = {
	readonly lines: readonly LogLine[];
	readonly cause: string;
	/** Lines that could not be read. */
	readonly unreadableCount: number;
};

/** Gathers the lines of a job. Lines of other programs and lines that are cut off are counted and left out. */
export function storyOf(id: string, text: string): JobStory {
	const concerned = text.split('\n').filter((line) => line.includes(id));
	const lines = concerned.flatMap((line) => parseLine(line));
	const ofJob = lines
		.filter((line) => line.id === id)
		.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));
	return {
		lines: ofJob,
		cause: causeOf(ofJob, text),
		unreadableCount: concerned.length - lines.length,
	};
}

function parseLine(line: string): readonly LogLine[] {
	const start = line.indexOf('{');
	try {
		const parsed = logLineSchema.safeParse(JSON.parse(line.slice(start)));
		return parsed.success ? [parsed.data] : [];
	} catch {
		// Counted by the caller as a line that cannot be read.
		return [];
	}
}

function causeOf(lines: readonly LogLine[], text: string): string {
	const answered = lines.findLast(({event}) => event === 'answered');
	const rejected = lines.findLast(({event}) => event === 'rejected');
	if (lines.length === 0) {
		return 'no line names this job: it never reached these entry VMs, or the logs are of another time';
	}

	if (answered === undefined) {
		return rejected === undefined
			? unansweredCause(lines, text)
			: `not taken: status ${String(rejected.status)}, ${rejected.reason ?? ''}`;
	}

	const answer = String(answered.answer);
	const tookMs = String(answered.tookMs);
	const left = lines.find(({event}) => event === 'caller-left');
	const details = `${decisionOf(lines)}${delaysOf(lines)}${
		left === undefined ? '' : '; its caller left before the answer'
	}`;
	return answer === 'completed'
		? `completed after ${tookMs} ms${slowestOf(lines)}${details}`
		: `${answer} after ${tookMs} ms: ${answered.reason ?? 'no reason given'}${details}`;
}

function unansweredCause(lines: readonly LogLine[], text: string): string {
	if (lines.some(({event}) => event === 'caller-left')) {
		return `the caller left before the answer${delaysOf(lines)}`;
	}

	const received = lines.findLast(({event}) => event === 'received');
	const next = received === undefined ? undefined : nextStartOf(received, text);
	return next === undefined
		? 'no answer was given: the entry VM that received it ended, or its log is missing'
		: `no answer was given: ${next.entryVm} ended without a stop, and started anew at ${next.time}`;
}

/** The next start of the entry VM that received a job. */
function nextStartOf(received: LogLine, text: string): LogLine | undefined {
	return text
		.split('\n')
		.filter(
			(line) =>
				line.includes('"event":"starting"') && line.includes(received.entryVm),
		)
		.flatMap((line) => parseLine(line))
		.find(
			({entryVm, time}) =>
				entryVm === received.entryVm &&
				Date.parse(time) >= Date.parse(received.time),
		);
}

/** Names the inputs of the decision that ended a job. */
function decisionOf(lines: readonly LogLine[]): string {
	const decision = lines.findLast(
		({event}) => event === 'refused' || event === 'given-up',
	);
	const inputs = decision?.inputs;
	if (inputs === undefined) {
		return '';
	}

	if (decision?.event === 'given-up') {
		return `; given up by ${decision.entryVm} after ${inputs.waitedMs ?? '?'} ms with ${inputs.waitingTasks ?? '?'} of ${inputs.tasks ?? '?'} tasks waiting`;
	}

	return inputs.slackMs === undefined
		? `; refused by ${decision?.entryVm ?? '?'}`
		: `; its last task would have started in ${inputs.waitMs ?? '?'} ms, ${inputs.slackMs} ms were left, ${inputs.waitingJobs ?? '?'} jobs waited`;
}

/** Names the last start and the longest run of a job that has completed. */
function slowestOf(lines: readonly LogLine[]): string {
	const lastStartMs = Math.max(
		...lines
			.filter(({event}) => event === 'placed')
			.map(({inputs}) => Number(inputs?.waitedMs ?? 0)),
	);
	const [longest] = lines
		.filter(({event, reason}) => event === 'run-ended' && reason === 'done')
		.toSorted(
			(left, right) => Number(right.inputs?.ranMs) - Number(left.inputs?.ranMs),
		);
	return longest === undefined || !Number.isFinite(lastStartMs)
		? ''
		: `; last task started after ${lastStartMs} ms, longest run ${longest.inputs?.ranMs ?? '?'} ms where ${longest.inputs?.expectedMs ?? '?'} ms were expected, on ${String(longest.worker)}`;
}

/** Names what took time: runs that did not end well, and jobs that went to another leader. */
function delaysOf(lines: readonly LogLine[]): string {
	const badEnds = lines.filter(
		({event, reason}) => event === 'run-ended' && reason !== 'done',
	);
	const resubmitted = lines.filter(
		({event, reason}) => event === 'admitted' && reason === 'resubmitted',
	);
	return [
		...badEnds.map(
			(line) => `; run on ${String(line.worker)} ${String(line.reason)}`,
		),
		...resubmitted.map(({entryVm}) => `; went to another leader, ${entryVm}`),
	].join('');
}
