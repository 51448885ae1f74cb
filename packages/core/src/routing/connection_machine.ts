/** State machine of one connection to a backend server. */

import { setup } from "xstate";

/** Events of a connection. */
export type ConnectionEvent =
  | { readonly type: "connected" }
  | { readonly type: "request-sent" }
  /** The whole answer has arrived, and the server keeps the connection open. */
  | { readonly type: "answer-completed" }
  /** The request was cancelled or late, or its answer cut or malformed. */
  | { readonly type: "answer-spoiled" }
  | { readonly type: "peer-closed" }
  | { readonly type: "idle-timed-out" };

/**
 * A connection carries one request at a time and is reused only after a whole
 * answer. In all other cases it is closed, so that no late answer can be taken
 * for the answer to another request.
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
