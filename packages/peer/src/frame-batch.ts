import {type Frame} from './peer-message.js';

/** Batches the frames that are added in one turn of the event loop into one gRPC message. */
export class FrameBatch {
	readonly #write: (frames: readonly Frame[]) => void;
	#frames: Frame[] = [];

	constructor(write: (frames: readonly Frame[]) => void) {
		this.#write = write;
	}

	/** Adds a frame. The batch is written at the end of the current turn of the event loop. */
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
