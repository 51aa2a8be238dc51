/** The machines of one installation, as the platform's lagging list of VMs shows them. */
import {z} from 'zod';
import {nameSchema} from './identifier.js';

/** Whether a VM takes new work. */
export const machineStateSchema = z.enum(['live', 'leaving']);

/** A VM that runs an entry VM process. */
export const entryVmSchema = z
	.object({
		role: z.literal('entry'),
		name: nameSchema,
		zone: nameSchema,
		state: machineStateSchema,
		/** `host:port` of the peer interface. */
		peerAddress: z.string(),
	})
	.readonly();

/** A VM that runs an entry VM process. */
export type EntryVm = z.infer<typeof entryVmSchema>;

/** A worker that runs tasks. */
export const targetSchema = z
	.object({
		role: z.literal('target'),
		name: nameSchema,
		zone: nameSchema,
		rack: z.string(),
		state: machineStateSchema,
		/** `http://host:port` of the target. */
		address: z.string(),
		/** Tasks that it runs at once. */
		slots: z.number().int().positive(),
		processors: z.number().positive(),
		memoryMb: z.number().int().positive(),
		accelerators: z.number().int().nonnegative(),
	})
	.readonly();

/** A worker that runs tasks. */
export type Target = z.infer<typeof targetSchema>;

/** One row of the platform's list of VMs. */
export const machineSchema = z.discriminatedUnion('role', [
	entryVmSchema,
	targetSchema,
]);

/** One row of the platform's list of VMs. */
export type Machine = z.infer<typeof machineSchema>;

/** The platform's list of VMs, which lags behind the machines. */
export const machineListSchema = z
	.object({
		/** Grows with each change of the list. */
		version: z.number().int().nonnegative(),
		machines: z.array(machineSchema).readonly(),
	})
	.readonly();

/** The platform's list of VMs, which lags behind the machines. */
export type MachineList = z.infer<typeof machineListSchema>;
