/** Errors of calls between VMs. */

import type { ServiceError } from "@grpc/grpc-js";
import { status } from "@grpc/grpc-js";

/** Why a call to another VM gave no reply. */
export type PeerError =
  /** The request was not received. */
  | { readonly kind: "peer-unreachable"; readonly cause: string }
  /** The request may have been received and may have taken effect. */
  | { readonly kind: "peer-reply-lost"; readonly cause: string }
  /** The request was received and refused. */
  | { readonly kind: "peer-refused"; readonly cause: string };

/**
 * Converts an error of the gRPC library. Only status codes that prove a refusal
 * count as refused; after any other, the request may have taken effect.
 *
 * @param error - error of the gRPC library
 * @returns refused, or reply lost, with the error's details
 */
export function convertGrpcError(error: ServiceError): PeerError {
  switch (error.code) {
    case status.FAILED_PRECONDITION:
    case status.PERMISSION_DENIED:
    case status.UNAUTHENTICATED:
    case status.UNIMPLEMENTED:
    case status.INVALID_ARGUMENT:
      return { kind: "peer-refused", cause: error.details };
    default:
      return { kind: "peer-reply-lost", cause: error.details };
  }
}
