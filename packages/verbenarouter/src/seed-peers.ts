/** Links to the entry VMs that the settings name, for a start while the platform does not answer. */
import {PeerLink, type Hello, type PeerLinkOptions} from '@verbenarouter/peer';
import {type ConnectedPeer, type SendRequest} from './catalogue-relay.js';

/** Parts and settings of the links. */
export type SeedPeersOptions = {
	/** `host:port` of peer interfaces; they need not all answer. */
	readonly addresses: readonly string[];
	readonly link: PeerLinkOptions;
	readonly hello: () => Hello;
	/** Hears what the entry VM at an address says of itself, with a way to ask it. */
	readonly onHello: (hello: Hello, request: SendRequest) => void;
};

/** Links to the entry VMs that the settings name, until the list of VMs has led to other links. */
export class SeedPeers {
	#links: readonly PeerLink[];

	constructor({addresses, link: options, hello, onHello}: SeedPeersOptions) {
		this.#links = addresses.map((address) => {
			const link: PeerLink = new PeerLink(address, options, hello, {
				onHello(heard) {
					onHello(heard, requestOn(link));
				},
			});
			return link;
		});
	}

	/** The entry VMs that answered. */
	get connected(): readonly ConnectedPeer[] {
		return this.#links.flatMap((link) =>
			link.peerHello === undefined
				? []
				: [
						{
							name: link.peerHello.incarnation.entryVm,
							request: requestOn(link),
						},
					],
		);
	}

	/** Closes the links. */
	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#links = [];
	}
}

function requestOn(link: PeerLink): SendRequest {
	return (request, timeoutMs) => link.request(request, timeoutMs);
}
