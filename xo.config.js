/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{
		ignores: ['**/dist/**', '**/results/**', 'vitest.config.js'],
	},
	{
		prettier: true,
	},
];

export default xoConfig;
