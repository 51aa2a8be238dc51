import {Buffer} from 'node:buffer';
import {
	type ChannelOptions,
	type Client,
	type ClientDuplexStream,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {z} from 'zod';
import {frameSchema, type Frame} from './peer-message.js';

const framesSchema = z.array(frameSchema);

/** Number of gRPC messages that this process has sent to peers since its start, and their total size in bytes. */
export const peerTraffic = {messages: 0, bytes: 0};

function serialize(frames: readonly Frame[]) {
	const bytes = Buffer.from(JSON.stringify(frames));
	peerTraffic.messages += 1;
	peerTraffic.bytes += bytes.length;
	return bytes;
}

function deserialize(bytes: Uint8Array): Frame[] {
	return framesSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
}

/** Definition of the gRPC service between entry VMs: a bidirectional stream whose messages hold several frames each. */
export const peerService = {
	exchange: {
		path: '/verbenarouter.Peer/Exchange',
		requestStream: true,
		responseStream: true,
		requestSerialize: serialize,
		requestDeserialize: deserialize,
		responseSerialize: serialize,
		responseDeserialize: deserialize,
	},
} satisfies ServiceDefinition;

/** Client end of a stream to another entry VM. */
export type PeerStream = ClientDuplexStream<readonly Frame[], Frame[]>;

/** Opens a stream on the client's connection. */
export function openStream(client: Client): PeerStream {
	return client.makeBidiStreamRequest(
		peerService.exchange.path,
		serialize,
		deserialize,
	);
}

/* eslint-disable @typescript-eslint/naming-convention -- the names are gRPC's */

/** Options of channels to peers. With a local subchannel pool, each new client opens a new connection. */
export const channelOptions: ChannelOptions = {
	'grpc.use_local_subchannel_pool': 1,
	'grpc.max_receive_message_length': -1,
};

/** Options of the gRPC server for peers. */
export const serverOptions: ChannelOptions = {
	'grpc.max_receive_message_length': -1,
};

/* eslint-enable @typescript-eslint/naming-convention */
