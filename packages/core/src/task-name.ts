/** Returns the identifier of the job that a task belongs to: the part of the task's name before the first dot. */
export function parseJobId(taskName: string): string {
	return taskName.slice(0, taskName.indexOf('.'));
}
