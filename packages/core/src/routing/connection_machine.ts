/** State machine of one connection to a backend server. */

import { setup } from "xstate";

/** Events of a connection. */
export type ConnectionEvent =
  | { readonly type: "connected" }
  | { readonly type: "request-sent" }
  /** The response is complete, and the server keeps the connection open. */
  | { readonly type: "answer-completed" }
  /** The request was cancelled or late, or its response cut or malformed. */
  | { readonly type: "answer-spoiled" }
  | { readonly type: "peer-closed" }
  | { readonly type: "idle-timed-out" };

/**
 * A connection carries one request at a time and is reused only after a
 * complete response. In all other cases it is closed, so that no late response
 * can be taken for the response to another request.
 */
export const CONNECTION_MACHINE = setup({
  types: { events: {} as ConnectionEvent },
}).createMachine({
  id: "connection",
  initial: "connecting",
  states: {
    connecting: {
      on: { connected: "idle", "peer-closed": "closed" },
    },
    idle: {
      on: {
        "request-sent": "busy",
        "peer-closed": "closed",
        "idle-timed-out": "closed",
      },
    },
    busy: {
      on: {
        "answer-completed": "idle",
        "answer-spoiled": "closed",
        "peer-closed": "closed",
      },
    },
    closed: { type: "final" },
  },
});
