import {describe, expect, it} from 'vitest';
import {seededRandom, type Random} from '../seeded-random.js';
import {
	projectLastStartMs,
	projectLastStarts,
	type ProjectedJob,
	type ProjectedTask,
	type ProjectedWorker,
} from '../start-projection.js';

const now = 1000;

function workersFixture(random: Random): readonly ProjectedWorker[] {
	return Array.from({length: 4}, () => ({
		freeProcessorMillis: Math.floor(random() * 3) * 16_000,
		runEnds: Array.from({length: 2}, () => ({
			atMs: now + Math.floor(random() * 300),
			processorMillis: 16_000,
		})),
		slowdownFactor: 1 + random(),
	}));
}

function jobFixture(random: Random): ProjectedJob {
	const isLimited = random() < 0.7;
	return {
		tasks: Array.from({length: 1 + Math.floor(random() * 3)}, () => ({
			processorMillis: 12_000 + Math.floor(random() * 8000),
			expectedMs: 50 + Math.floor(random() * 200),
		})),
		limitMs: isLimited ? now + random() * 400 : Number.POSITIVE_INFINITY,
	};
}

/** Projects each job by itself behind the ones that were kept, as if they were submitted one after the other. */
function projectOneByOne(
	jobs: readonly ProjectedJob[],
	workers: readonly ProjectedWorker[],
): readonly number[] {
	const kept: ProjectedTask[] = [];
	return jobs.map(({tasks, limitMs}) => {
		const startMs = projectLastStartMs(kept, tasks, workers, now);
		if (startMs <= limitMs) {
			kept.push(...tasks);
		}

		return startMs;
	});
}

describe('projectLastStarts', () => {
	it.each(Array.from({length: 50}, (_, index) => index))(
		'keeps the same jobs as projections one by one, with the same starts (seed %i)',
		(seed) => {
			const random = seededRandom(seed);
			const workers = workersFixture(random);
			const jobs = Array.from({length: 20}, () => jobFixture(random));
			const decide = (starts: readonly number[]) =>
				jobs.flatMap(({limitMs}, index) =>
					Number.isFinite(limitMs)
						? [starts[index]! <= limitMs ? starts[index] : 'refused']
						: [],
				);
			expect(decide(projectLastStarts(jobs, workers, now))).toEqual(
				decide(projectOneByOne(jobs, workers)),
			);
		},
	);
});
