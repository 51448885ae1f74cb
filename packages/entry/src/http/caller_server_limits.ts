/** Address, timeouts and size limits of the server for callers. */

import * as http from "node:http";
import * as https from "node:https";

import type { SocketAddress } from "@limpetford/domain/vm";

import type { BackendConnectionOptions } from "../serving/backend_connection_pool.ts";
import type { PipelineOptions } from "../serving/pipeline_options.ts";
import type { CallerTls } from "../vm/vm_settings.ts";

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 60_000;
const DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 15_000;
const DEFAULT_MAX_CONNECTIONS = 10_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Limits of callers' connections, requests and responses. */
export interface CallerServerLimits extends PipelineOptions {
  /** Timeout for a request's headers, in milliseconds; default 10,000. */
  readonly headersTimeoutMs?: number;
  /** Timeout for a complete request, in milliseconds; default 60,000. */
  readonly requestTimeoutMs?: number;
  /**
   * Timeout of connections that are idle, or whose callers take nothing of a
   * response, in milliseconds; default 15,000.
   */
  readonly keepAliveTimeoutMs?: number;
  /** Maximum number of callers' connections; default 10,000. */
  readonly maxConnections?: number;
  /** Maximum size of a request's headers, in bytes; default 16,384. */
  readonly maxHeaderBytes?: number;
  /**
   * Time during a drain in which callers whose list of VMs is outdated are
   * still accepted, in milliseconds; default 0.
   */
  readonly lingerMs?: number;
  /** Limits of connections to backend servers. */
  readonly backend?: BackendConnectionOptions;
}

/** Address, certificates and limits of the server for callers. */
export interface CallerServerOptions extends CallerServerLimits {
  /** Address to listen on; port 0 takes any free port. */
  readonly address: SocketAddress;
  /** Certificate and key; plain HTTP if absent. */
  readonly tls?: CallerTls;
  /**
   * PEM certificates of the CA that signs the certificates which the other VMs
   * present to callers; needed with `tls` to forward requests to them.
   */
  readonly peerAuthority?: Buffer;
  /** Prefix of request identifiers, unique in the fleet; random by default. */
  readonly requestIdPrefix?: string;
}

/**
 * Creates an HTTP server, with TLS if there is a certificate.
 *
 * @param options - limits of callers' requests, and the certificate
 * @returns a server that does not listen yet
 */
export function createHttpServer(options: CallerServerOptions): http.Server {
  const limits: http.ServerOptions = {
    maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
    requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
    keepAliveTimeout: options.keepAliveTimeoutMs ??
      DEFAULT_KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    noDelay: true,
    insecureHTTPParser: false,
    // Node's own error responses do not state the outcome of the request, so
    // admission checks the `Host` header instead.
    requireHostHeader: false,
  };
  const server = options.tls === undefined
    ? http.createServer(limits)
    : https.createServer({
      ...limits,
      cert: options.tls.certificate,
      key: options.tls.privateKey,
    });
  server.timeout = options.keepAliveTimeoutMs ?? DEFAULT_KEEP_ALIVE_TIMEOUT_MS;
  server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  return server;
}
