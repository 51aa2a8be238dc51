/** Gathers the frames of one turn of the event loop into one message. */
import {type Frame} from './message.js';

/** Gathers the frames of one turn of the event loop into one message. */
export class FrameBatch {
	readonly #write: (frames: readonly Frame[]) => void;
	#frames: Frame[] = [];

	constructor(write: (frames: readonly Frame[]) => void) {
		this.#write = write;
	}

	/** Adds a frame; it is written at the end of this turn. */
	add(frame: Frame): void {
		this.#frames.push(frame);
		if (this.#frames.length === 1) {
			setImmediate(() => {
				const frames = this.#frames;
				this.#frames = [];
				this.#write(frames);
			});
		}
	}
}
