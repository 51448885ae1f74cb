// Guards against a process that hangs at exit: in Node 20 a socket that is
// reset after `end` keeps its handle open.
import { spawnSync } from "node:child_process";
import * as net from "node:net";

import { resetSocket } from "./reset_socket.ts";

const TIMEOUT_MS = 10_000;

// Runs a process that ends a socket, then closes it with the given function,
// and returns its exit code.
function runProcess(breakSocket: string): number | null {
  const script = `
    const net = require("node:net");
    const server = net.createServer((socket) => {
      socket.on("error", () => {});
      setTimeout(() => {
        socket.end();
        (${breakSocket})(socket);
        socket.destroy();
        setTimeout(() => {
          server.close();
          caller.destroy();
        }, 50);
      }, 50);
    });
    let caller;
    server.listen(0, "127.0.0.1", () => {
      caller = net.connect(server.address().port, "127.0.0.1");
      caller.on("error", () => {});
    });`;
  return spawnSync(process.execPath, ["-e", script], { timeout: TIMEOUT_MS })
    .status;
}

describe("resetSocket", () => {
  it("lets the process exit after a socket was ended and reset", () => {
    expect(runProcess(resetSocket.toString())).toBe(0);
  });

  // Otherwise a server that gives no answer holds one for two minutes.
  it("closes a socket that is still connecting", () => {
    const socket = net.connect({ host: "127.0.0.1", port: 1 });
    socket.on("error", () => undefined);
    resetSocket(socket);
    expect(socket.destroyed).toBe(true);
  });
});
