// Loaded into a VM's process under test, before the program. Injects faults of its
// links to backend servers, and exceptions, as messages of the parent process say.
"use strict";

const net = require("node:net");

/** Outgoing connections, with the ports that they go to. */
const sockets = new Map();
let fault = "none";
let ports = new Set();

const connect = net.Socket.prototype.connect;
net.Socket.prototype.connect = function connectWithFault(...args) {
  const [first] = args;
  const options = Array.isArray(first) ? first[0] : first;
  const port = Number(options?.port);
  if (ports.has(port) && (fault === "silent" || fault === "new-silent")) {
    this.connecting = true;
    return this;
  }
  if (ports.has(port) && (fault === "refused" || fault === "new-refused")) {
    process.nextTick(() => this.destroy(buildError("ECONNREFUSED")));
    return this;
  }
  sockets.set(this, port);
  this.once("close", () => sockets.delete(this));
  return connect.apply(this, args);
};

function buildError(code) {
  return Object.assign(new Error(`${code} (injected)`), { code });
}

function applyFault() {
  for (const [socket, port] of sockets) {
    if (!ports.has(port)) {
      continue;
    }
    if (fault === "refused") {
      socket.destroy(buildError("ECONNRESET"));
    } else {
      setSilent(socket, fault === "silent");
    }
  }
}

// What the VM sends arrives, and nothing comes back until the fault ends.
function setSilent(socket, isSilent) {
  const handle = socket._handle;
  if (!handle) {
    return;
  }
  if (isSilent) {
    handle.readStop();
    handle.readStart = () => 0;
  } else if (Object.hasOwn(handle, "readStart")) {
    delete handle.readStart;
    handle.readStart();
  }
}

const EXCEPTIONS = {
  "error": () => {
    throw new Error("injected");
  },
  "rejection": () => {
    void Promise.reject(new Error("injected"));
  },
  // Whatever reads a property of it, or converts it, throws in its turn.
  "unreadable": () => {
    throw new Proxy({}, {
      get() {
        throw new Error("unreadable");
      },
      getPrototypeOf() {
        throw new Error("unreadable");
      },
    });
  },
  "undefined": () => {
    throw undefined;
  },
  "repeated": () => {
    setInterval(() => {
      throw new Error("injected");
    }, 1);
  },
};

process.on("message", (message) => {
  if (message.exception !== undefined) {
    setTimeout(EXCEPTIONS[message.exception], 0);
    return;
  }
  fault = message.fault;
  ports = new Set(message.ports);
  applyFault();
});
process.channel?.unref();
