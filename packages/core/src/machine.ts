import {z} from 'zod';
import {nameSchema} from './identifier.js';

/** Schema of a VM's state: a `live` VM accepts new work, a `leaving` VM does not. */
export const machineStateSchema = z.enum(['live', 'leaving']);

/** Schema of an {@link EntryVm}. */
export const entryVmSchema = z
	.object({
		role: z.literal('entry'),
		name: nameSchema,
		zone: nameSchema,
		state: machineStateSchema,
		/** `host:port` on which the process listens for streams from other entry VMs. */
		peerAddress: z.string(),
	})
	.readonly();

/** A VM that runs an entry VM process. */
export type EntryVm = z.infer<typeof entryVmSchema>;

/** Schema of a {@link Target}. */
export const targetSchema = z
	.object({
		role: z.literal('target'),
		name: nameSchema,
		zone: nameSchema,
		rack: z.string(),
		state: machineStateSchema,
		/** `http://host:port` on which the target accepts tasks. */
		address: z.string(),
		/** Number of tasks that the target runs concurrently. */
		slots: z.number().int().positive(),
		processors: z.number().positive(),
		memoryMb: z.number().int().positive(),
		accelerators: z.number().int().nonnegative(),
	})
	.readonly();

/** A worker that runs tasks, with its capacity. */
export type Target = z.infer<typeof targetSchema>;

/** Schema of a {@link Machine}. */
export const machineSchema = z.discriminatedUnion('role', [
	entryVmSchema,
	targetSchema,
]);

/** One row of the platform's list of VMs. */
export type Machine = z.infer<typeof machineSchema>;

/** Schema of a {@link MachineList}. */
export const machineListSchema = z
	.object({
		/** Increases with each change of the list. */
		version: z.number().int().nonnegative(),
		machines: z.array(machineSchema).readonly(),
	})
	.readonly();

/** The platform's list of VMs, which lags behind the actual state of the VMs. */
export type MachineList = z.infer<typeof machineListSchema>;
