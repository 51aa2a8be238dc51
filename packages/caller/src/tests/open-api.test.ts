import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {openApiDocument} from '../index.js';

describe('the OpenAPI description', () => {
	it('is the one that docs/openapi.json shows (npm run openapi writes it)', () => {
		const committed = readFileSync(
			new URL('../../../../docs/openapi.json', import.meta.url),
			'utf8',
		);
		expect(JSON.parse(committed)).toEqual(openApiDocument());
	});
});
