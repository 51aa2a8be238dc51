import {PeerLink, type Hello, type PeerLinkOptions} from '@verbenarouter/peer';
import {type ConnectedPeer, type SendRequest} from './catalogue-relay.js';

/** Options of {@link SeedPeers}. */
export type SeedPeersOptions = {
	/** Addresses of peer interfaces as `host:port`; not all of them have to be reachable. */
	readonly addresses: readonly string[];
	readonly link: PeerLinkOptions;
	/** Creates the hello message that this entry VM sends now. */
	readonly createHello: () => Hello;
	/** Receives the hello message of an entry VM and a function that sends it requests. */
	readonly onHello: (hello: Hello, sendRequest: SendRequest) => void;
};

/**
 * Links to the entry VMs that the settings name, so that an entry VM can start while the platform does not answer. The
 * links are closed once the list of VMs has led to others.
 */
export class SeedPeers {
	#links: readonly PeerLink[];

	constructor({
		addresses,
		link: options,
		createHello,
		onHello,
	}: SeedPeersOptions) {
		this.#links = addresses.map((address) => {
			const link: PeerLink = new PeerLink(address, options, createHello, {
				onHello(peerHello) {
					onHello(peerHello, createSendRequest(link));
				},
			});
			return link;
		});
	}

	/** The seed entry VMs whose links are connected. */
	get connected(): readonly ConnectedPeer[] {
		return this.#links.flatMap((link) =>
			link.peerHello === undefined
				? []
				: [
						{
							name: link.peerHello.incarnation.entryVm,
							sendRequest: createSendRequest(link),
						},
					],
		);
	}

	/** Closes all links. */
	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#links = [];
	}
}

function createSendRequest(link: PeerLink): SendRequest {
	return (request, timeoutMs) => link.request(request, timeoutMs);
}
