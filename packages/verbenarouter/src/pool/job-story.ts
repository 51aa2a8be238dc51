/** The story of one job from the log lines of several entry VMs. */
import {z} from 'zod';

/** A log line that concerns a job; fields beyond these are kept as they are. */
export const logLineSchema = z.looseObject({
	time: z.iso.datetime(),
	entryVm: z.string(),
	event: z.string(),
	id: z.string().optional(),
	reason: z.string().optional(),
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
		cause: causeOf(ofJob),
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

function causeOf(lines: readonly LogLine[]): string {
	const answered = lines.findLast(({event}) => event === 'answered');
	if (lines.length === 0) {
		return 'no line names this job: it never reached these entry VMs, or the logs are of another time';
	}

	if (answered === undefined) {
		const left = lines.find(({event}) => event === 'caller-left');
		return left === undefined
			? 'no answer was given: the entry VM that received it ended, or its log is missing'
			: 'the caller left before the answer';
	}

	const answer = String(answered.answer);
	const tookMs = String(answered.tookMs);
	if (answer === 'completed') {
		return `completed after ${tookMs} ms${delaysOf(lines)}`;
	}

	return `${answer} after ${tookMs} ms: ${answered.reason ?? 'no reason given'}${delaysOf(lines)}`;
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
