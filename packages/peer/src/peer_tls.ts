/** gRPC credentials for mutual TLS between VMs. */

import {
  type ChannelCredentials,
  credentials,
  ServerCredentials,
} from "@grpc/grpc-js";

/** PEM-encoded certificates and private key of a VM. */
export interface PeerTls {
  /** Certificate of the authority that signs the certificates of all VMs. */
  readonly authority: Buffer;
  readonly certificate: Buffer;
  readonly privateKey: Buffer;
}

/**
 * Builds the credentials of the client side of a connection between VMs.
 *
 * @param tls - certificates and key; undefined for plain text
 * @returns credentials for a channel
 */
export function buildChannelCredentials(
  tls: PeerTls | undefined,
): ChannelCredentials {
  if (tls === undefined) {
    return credentials.createInsecure();
  }
  return credentials.createSsl(
    tls.authority,
    tls.privateKey,
    tls.certificate,
  );
}

/**
 * Builds the credentials of the server side, which require client certificates.
 *
 * @param tls - certificates and key; undefined for plain text
 * @returns credentials for a server
 */
export function buildServerCredentials(
  tls: PeerTls | undefined,
): ServerCredentials {
  if (tls === undefined) {
    return ServerCredentials.createInsecure();
  }
  const pair = {
    private_key: tls.privateKey,
    cert_chain: tls.certificate,
  };
  return ServerCredentials.createSsl(tls.authority, [pair], true);
}
