import {z} from 'zod';

/** Schema of a log line that may belong to a job; further fields are kept unchanged. */
export const logLineSchema = z.looseObject({
	time: z.iso.datetime(),
	entryVm: z.string(),
	event: z.string(),
	id: z.string().optional(),
	reason: z.string().optional(),
	inputs: z.record(z.string(), z.union([z.number(), z.string()])).optional(),
});

/** A log line that may belong to a job. */
export type LogLine = z.infer<typeof logLineSchema>;

/** The log lines of one job and a summary of them. */
export type JobExplanation = {
	/** The job's lines in order of time. */
	readonly lines: readonly LogLine[];
	/** The outcome of the job and the reason for it, in one line of text. */
	readonly summary: string;
	/** Number of lines that contain the identifier but are no complete log lines. */
	readonly unreadableCount: number;
};

/**
 * Explains the outcome of a job from the log text of any number of entry VMs. Lines with the identifier that other
 * programs wrote or that are truncated are only counted.
 */
export function explainJob(id: string, text: string): JobExplanation {
	const candidates = text.split('\n').filter((line) => line.includes(id));
	const lines = candidates.flatMap((line) => parseLine(line));
	const jobLines = lines
		.filter((line) => line.id === id)
		.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));
	return {
		lines: jobLines,
		summary: describeOutcome(jobLines, text),
		unreadableCount: candidates.length - lines.length,
	};
}

/** Parses a log line, which may have a prefix before the JSON object; returns an empty list for any other line. */
function parseLine(line: string): readonly LogLine[] {
	const start = line.indexOf('{');
	try {
		const parsed = logLineSchema.safeParse(JSON.parse(line.slice(start)));
		return parsed.success ? [parsed.data] : [];
	} catch {
		// The caller counts the line as unreadable.
		return [];
	}
}

/** Describes how a job ended, and why. */
function describeOutcome(lines: readonly LogLine[], text: string): string {
	const answered = lines.findLast(({event}) => event === 'answered');
	const rejected = lines.findLast(({event}) => event === 'rejected');
	if (lines.length === 0) {
		return 'no log line has this job identifier: the job did not reach these entry VMs, or the logs cover another period';
	}

	if (answered === undefined) {
		return rejected === undefined
			? describeMissingAnswer(lines, text)
			: `rejected with status ${String(rejected.status)}: ${rejected.reason ?? ''}`;
	}

	const answer = String(answered.answer);
	const tookMs = String(answered.tookMs);
	const disconnected = lines.find(({event}) => event === 'caller-left');
	const details = `${describeDecision(lines)}${describeDelays(lines)}${
		disconnected === undefined
			? ''
			: '; the caller disconnected before the answer'
	}`;
	return answer === 'completed'
		? `completed after ${tookMs} ms${describeSlowestRun(lines)}${details}`
		: `${answer} after ${tookMs} ms: ${answered.reason ?? 'no reason logged'}${details}`;
}

/** Describes why a job that was received has no answer. */
function describeMissingAnswer(
	lines: readonly LogLine[],
	text: string,
): string {
	if (lines.some(({event}) => event === 'caller-left')) {
		return `the caller disconnected before the answer${describeDelays(lines)}`;
	}

	const received = lines.findLast(({event}) => event === 'received');
	const next =
		received === undefined ? undefined : findNextStart(received, text);
	return next === undefined
		? 'no answer was logged: the entry VM that received the job ended, or its log is incomplete'
		: `no answer was logged: ${next.entryVm} ended without a graceful stop and restarted at ${next.time}`;
}

/** Finds the first start, after a job was received, of the entry VM that received it. */
function findNextStart(received: LogLine, text: string): LogLine | undefined {
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

/** Describes the inputs of the decision to refuse a job or give it up. */
function describeDecision(lines: readonly LogLine[]): string {
	const decision = lines.findLast(
		({event}) => event === 'refused' || event === 'given-up',
	);
	const inputs = decision?.inputs;
	if (inputs === undefined) {
		return '';
	}

	if (decision?.event === 'given-up') {
		return `; given up by ${decision.entryVm} after ${inputs.waitedMs ?? '?'} ms with ${inputs.waitingTasks ?? '?'} of ${inputs.tasks ?? '?'} tasks still waiting`;
	}

	return inputs.slackMs === undefined
		? `; refused by ${decision?.entryVm ?? '?'}`
		: `; its last task would have started in ${inputs.waitMs ?? '?'} ms but had to start within ${inputs.slackMs} ms, with ${inputs.waitingJobs ?? '?'} unfinished jobs`;
}

/** Describes the last start and the longest run of a completed job. */
function describeSlowestRun(lines: readonly LogLine[]): string {
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
		: `; last task started after ${lastStartMs} ms; longest run took ${longest.inputs?.ranMs ?? '?'} ms (${longest.inputs?.expectedMs ?? '?'} ms expected) on ${String(longest.worker)}`;
}

/** Describes a run that did not complete; for a run that was lost with its worker, also why and what ran beside it. */
function describeFailedRun({worker, task, reason, inputs}: LogLine): string {
	const end = `run on ${String(worker)} ended: ${String(reason)}`;
	return inputs?.cause === undefined
		? end
		: `${end} (task ${String(task)}, worker ${inputs.cause}, ${inputs.otherRuns ?? '?'} other runs)`;
}

/** Describes what delayed a job: runs that did not complete, and resubmissions to another leader. */
function describeDelays(lines: readonly LogLine[]): string {
	const failedRuns = lines.filter(
		({event, reason}) => event === 'run-ended' && reason !== 'done',
	);
	const resubmitted = lines.filter(
		({event, reason}) => event === 'admitted' && reason === 'resubmitted',
	);
	const rerouted = lines.filter(({event}) => event === 'rerouted');
	return [
		...rerouted.map(
			({zone}) =>
				`; sent to zone ${String(zone)}, as its own zone is evacuated`,
		),
		...failedRuns.map((line) => `; ${describeFailedRun(line)}`),
		...resubmitted.map(({entryVm}) => `; resubmitted to leader ${entryVm}`),
	].join('');
}
