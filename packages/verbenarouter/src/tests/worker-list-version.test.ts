import {describe, expect, it} from 'vitest';
import {WorkerListVersion} from '../pool/worker-list-version.js';

const now = 50_000;
const maxReadAgeMs = 700;

/** An entry VM that has read a list with the version `2-1`. */
function versionFixture(): WorkerListVersion {
	const version = new WorkerListVersion();
	version.own = '2-1';
	return version;
}

describe('WorkerListVersion', () => {
	it('dates a list by a reader of the store that announces the same version', () => {
		const version = versionFixture();
		version.handleAnnounced('3-1', maxReadAgeMs, now);
		expect(version.confirmedAtMs).toBe(Number.NEGATIVE_INFINITY);
		version.handleAnnounced('2-1', maxReadAgeMs, now);
		expect(version.confirmedAtMs).toBe(now - maxReadAgeMs);
	});

	it('announces the version of the last list that was applied, until the store is read', () => {
		const version = versionFixture();
		version.handleReceived('3-1', true);
		expect(version.announced).toBe('3-1');
		version.handleAnnounced('3-1', maxReadAgeMs, now);
		expect(version.confirmedAtMs).toBe(now - maxReadAgeMs);
		version.handleStoreRead();
		expect(version.announced).toBe('2-1');
	});

	it('does not take a list that it lacks for its own, after it has received but not applied it', () => {
		const version = versionFixture();
		version.handleReceived('3-1', false);
		version.handleAnnounced('3-1', maxReadAgeMs, now);
		expect(version.confirmedAtMs).toBe(Number.NEGATIVE_INFINITY);
		expect(version.announced).toBe('2-1');
	});
});
