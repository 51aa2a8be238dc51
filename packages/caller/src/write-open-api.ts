/** Writes the OpenAPI description: `npm run openapi`. */
import {writeFile} from 'node:fs/promises';
import {openApiDocument} from './open-api.js';

const file = new URL('../../../docs/openapi.json', import.meta.url);
await writeFile(
	file,
	`${JSON.stringify(openApiDocument(), undefined, '\t')}\n`,
);
