import {ServerCredentials, type Server} from '@grpc/grpc-js';

/** Binds a gRPC server to `host:port`, without encryption. Rejects if the address cannot be bound. */
export async function bindServer(
	server: Server,
	address: string,
): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(address, ServerCredentials.createInsecure(), (error) => {
			if (error === null) {
				resolve();
			} else {
				reject(error);
			}
		});
	});
}
