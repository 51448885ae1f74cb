import { spawnSync } from "node:child_process";

import { resetSocket } from "./reset_socket.ts";

const TIMEOUT_MS = 10_000;

// Ends a socket, breaks it in the given way and lets the process exit.
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
  it("lets a process exit whose connection was being ended", () => {
    expect(runProcess(resetSocket.toString())).toBe(0);
  });
});
