// Starts the project's program as separate processes on loopback addresses, with
// small stand-ins for the platform's store, workers and clients. Node only, no
// packages. Every process that is started here is ended here.
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  "../..",
);
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** True unless the script runs as its own control, without the disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";

// What must not outlive this process, however it ends.
const children = new Set();
const folders = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
  for (const folder of folders) fs.rmSync(folder, { recursive: true, force: true });
});
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => process.exit(2));

// Bounds of the site files.
const BOUNDS = {
  gracePeriodSeconds: 6,
  revocationSeconds: 5,
  configurationSeconds: 2,
  drainSeconds: 2,
  retryBudgetRatio: 0.2,
  retryBudgetSlack: 60,
  quotaTolerance: 20,
  retryBudgetWindowSeconds: 10,
  minimumShare: 0.7,
};

/** Record of what was sent, answered and run, written to record.txt. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, "record.txt");
    this.lines = [];
    this.startedAt = performance.now();
  }
  now() {
    return (performance.now() - this.startedAt) / 1000;
  }
  add(text) {
    this.lines.push(`${this.now().toFixed(3).padStart(8)}  ${text}`);
  }
  /** Writes the record, without the paths of this machine. */
  save() {
    const text = this.lines.join("\n").replaceAll(ROOT, ".").replaceAll(os.tmpdir(), "TMP");
    fs.writeFileSync(this.file, text + "\n");
  }
}

/** The platform's store: keyed topics of one partition. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.era = 0;
    this.isDown = false;
    this.sockets = new Set();
    this.server = http.createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }
  async start() {
    await listen(this.server, 0, "127.0.0.1");
    this.address = `127.0.0.1:${this.server.address().port}`;
  }
  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) {
      topic = { records: [], newest: new Map(), waiters: new Set() };
      this.topics.set(name, topic);
    }
    return topic;
  }
  /** Appends a record; `value` is a buffer, a JSON value or undefined. */
  put(name, key, value) {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    const topic = this.topic(name);
    const offset = topic.records.length;
    topic.records.push({ key, bytes });
    if (bytes.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { bytes, offset });
    for (const wake of [...topic.waiters]) wake();
  }
  /** A copy of everything, for `restore`. */
  copy() {
    return new Map(
      [...this.topics].map(([name, topic]) => [name, {
        records: [...topic.records],
        newest: new Map(topic.newest),
      }]),
    );
  }
  /** Returns from a copy: what was written since is gone. */
  restore(copy) {
    this.era += 1;
    for (const [name, topic] of this.topics) {
      const copied = copy.get(name);
      topic.records = [...copied?.records ?? []];
      topic.newest = new Map(copied?.newest ?? []);
      for (const wake of [...topic.waiters]) wake();
    }
  }
  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const json = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "store-era": String(this.era),
      });
      response.end(text);
    };
    if (this.isDown) return json(503, {});
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const name = query.get("topic") ?? "";
    const topic = this.topic(name);
    if (url.pathname === "/log-append") {
      const body = Buffer.concat(chunks);
      const offset = topic.records.length;
      for (let at = 0; at < body.length;) {
        const length = body.readUInt32BE(at);
        const content = body.subarray(at + 4, at + 4 + length);
        const keyLength = content[0];
        this.put(
          name,
          content.toString("utf8", 1, 1 + keyLength),
          Buffer.from(content.subarray(1 + keyLength)),
        );
        at += 4 + length;
      }
      return json(200, { offset, end_offset: topic.records.length });
    }
    if (url.pathname === "/log-newest") {
      const after = query.get("after");
      const rows = [...topic.newest].sort(([a], [b]) => a < b ? -1 : 1)
        .filter(([key]) => after === null || key > after);
      return json(200, {
        items: rows.slice(0, 500).map(([key, { bytes, offset }]) => ({
          key,
          value: bytes.toString("base64"),
          offset,
        })),
        has_more: rows.length > 500,
        end_offset: topic.records.length,
      });
    }
    if (url.pathname === "/log-read") {
      const from = Number(query.get("from"));
      const waitMs = Number(query.get("wait_ms") ?? 0);
      if (from > topic.records.length) return json(410, { first_offset: 0 });
      if (from === topic.records.length && waitMs > 0) {
        await new Promise((resolve) => {
          const wake = () => {
            clearTimeout(timer);
            topic.waiters.delete(wake);
            resolve();
          };
          const timer = setTimeout(wake, waitMs);
          topic.waiters.add(wake);
        });
      }
      if (from > topic.records.length) return json(410, { first_offset: 0 });
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = [head];
      for (const { key, bytes } of topic.records.slice(from)) {
        const keyBytes = Buffer.from(key);
        const start = Buffer.alloc(5);
        start.writeUInt32BE(1 + keyBytes.length + bytes.length);
        start[4] = keyBytes.length;
        parts.push(start, keyBytes, bytes);
      }
      const body = Buffer.concat(parts);
      response.writeHead(200, {
        "content-length": body.length,
        "store-era": String(this.era),
      });
      return response.end(body);
    }
    json(404, {});
  }
}

/**
 * A worker. `respond(run)` is called for each request that it runs; `run` has
 * `id`, `method`, `url`, `headers`, `body`, `socket` and `response`. The default
 * answers 200 with a signed body after `workMs`.
 */
export class Worker {
  constructor(id, record, options = {}) {
    this.id = id;
    this.record = record;
    this.service = options.service ?? "bands";
    this.zone = options.zone ?? "zone-0";
    this.slots = options.slots ?? 20;
    this.workMs = options.workMs ?? 20;
    this.respond = options.respond ?? ((run) => this.answer(run));
    this.refuse = options.refuse;
    /** Chooses the runs that the record names one by one. */
    this.isRecorded = options.isRecorded ?? (() => true);
    this.state = "ready";
    this.born = options.born ?? Date.now();
    this.sequence = 0;
    this.runs = [];
    this.arrivals = [];
    this.sockets = new Set();
    this.server = http.createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => this.sockets.delete(socket));
    });
  }
  async start() {
    await listen(this.server, 0, "127.0.0.1");
    this.address = `127.0.0.1:${this.server.address().port}`;
  }
  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
  entry() {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.published ?? this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      warmup_remaining_s: 0,
      sequence_number: this.sequence,
      born: this.born,
    };
  }
  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const { headers, method, url, socket } = request;
    const id = String(headers["request-id"] ?? "");
    if (url === "/health") {
      response.writeHead(200, { "instance-id": this.id });
      response.end();
      return;
    }
    const expected = headers["expected-instance"];
    const run = {
      id,
      method,
      url,
      headers,
      body: Buffer.concat(chunks),
      socket,
      response,
      at: this.record.now(),
    };
    this.arrivals.push(run);
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "not-executed": "1", "request-id": id });
      response.end();
      return;
    }
    if (this.refuse?.(run) === true) return;
    this.runs.push(run);
    if (this.isRecorded(run)) {
      this.record.add(`worker ${this.id} runs ${method} ${url} id ${id}`);
    }
    await this.respond(run);
  }
  async answer({ id, response, socket }, extra = {}) {
    await sleep(this.workMs);
    if (socket.destroyed) {
      this.record.add(`worker ${this.id} lost the connection of ${id}`);
      return;
    }
    const body = `result of ${id} by ${this.id}`;
    response.writeHead(200, {
      "request-id": id,
      "server-signature": `sig.${this.id}.${id}`,
      "content-length": Buffer.byteLength(body),
      ...extra,
    });
    response.end(body);
  }
}

/** A proxy between a machine and a server that can cut the link. */
export class Link {
  constructor(target) {
    this.target = target;
    /** `pass`, `silent` or `reset`. */
    this.mode = "pass";
    this.pairs = new Set();
    this.server = net.createServer({ allowHalfOpen: true }, (near) => this.join(near));
  }
  async start() {
    await listen(this.server, 0, "127.0.0.1");
    this.address = `127.0.0.1:${this.server.address().port}`;
  }
  join(near) {
    near.on("error", () => undefined);
    if (this.mode === "reset") {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(":");
    const far = net.connect({ host, port: Number(port), allowHalfOpen: true });
    far.on("error", () => near.destroy());
    const pair = { near, far };
    this.pairs.add(pair);
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on("data", (chunk) => {
        if (this.mode === "pass") to.write(chunk);
      });
      from.on("end", () => {
        if (this.mode === "pass") to.end();
      });
      from.on("close", () => {
        if (this.mode === "pass") to.destroy();
        this.pairs.delete(pair);
      });
    }
  }
  set(mode) {
    this.mode = mode;
    if (mode === "reset") {
      for (const { near, far } of this.pairs) {
        near.resetAndDestroy();
        far.resetAndDestroy();
      }
    }
  }
  stop() {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }
}

/** A small deployment: store, workers and entry VMs. */
export class Deployment {
  constructor(record, options = {}) {
    this.record = record;
    this.store = new Store();
    this.workers = [];
    this.vms = [];
    this.version = 0;
    this.options = options;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    folders.add(this.folder);
    this.timers = [];
  }
  /** Starts `workers` and one VM for each zone in `zones`. */
  async start({ workers, zones }) {
    await this.store.start();
    this.workers = workers;
    for (const worker of workers) await worker.start();
    this.announce();
    this.timers.push(setInterval(() => this.announce(), 1_000));
    this.configure();
    const net24 = `127.${20 + rand(200)}.${1 + rand(250)}`;
    const ports = await freePorts(5);
    this.ports = ports;
    this.vms = zones.map((zone, index) => ({
      id: `vm-${index}`,
      zone,
      host: `${net24}.${10 + index}`,
      log: "",
      exits: [],
    }));
    for (const vm of this.vms) await this.startVm(vm, true);
    await this.waitReady();
  }
  announce() {
    for (const worker of this.workers) {
      if (worker.isUnlisted !== true) {
        this.store.put("keyed.servers", worker.id, worker.entry());
      }
    }
  }
  /** Publishes the next version of the configuration. */
  configure(change = {}) {
    this.version += 1;
    const route = {
      host: "bands.example",
      timeout_s: 4,
      target_latency_s: 1,
      priority: 1,
      service: "bands",
      maximum_attempts: 2,
      public: false,
      ...change.route,
    };
    this.store.put("keyed.op", "config", {
      version: this.version,
      routes: {
        read: { ...route, path_prefix: "/read/", kind: "safe" },
        book: { ...route, path_prefix: "/book/", kind: "unsafe" },
      },
      services: {
        bands: { health_path: "/health", connection_limit: 390, protocol: "h1", tls: false },
      },
      limits: {
        maximum_header_bytes: 16_384,
        maximum_body_bytes: 67_108_864,
        header_timeout_s: 3,
        idle_timeout_s: 15,
      },
      tenants: change.tenants ?? {
        dance: { api_keys: ["key-of-dance"], priority: 1, rate_per_s: 0, burst: 0 },
      },
    });
    this.record.add(`operator writes configuration ${this.version}`);
  }
  async startVm(vm, isFirstStart) {
    const [caller, ready, directory, peer, metrics] = this.ports;
    const file = path.join(this.folder, `${vm.id}.yaml`);
    fs.writeFileSync(file, JSON.stringify({
      vm: { id: vm.id, zone: vm.zone, region: "region-0", cores: 0.54 },
      addresses: {
        caller: `${vm.host}:${caller}`,
        ready: `${vm.host}:${ready}`,
        directory: `${vm.host}:${directory}`,
        peer: `${vm.host}:${peer}`,
        metrics: `${vm.host}:${metrics}`,
      },
      store: vm.storeAddress ?? this.store.address,
      seeds: this.vms.slice(0, 3).map(({ host }) => `${host}:${peer}`),
      isFirstStart,
      bounds: { ...BOUNDS, ...this.options.bounds },
    }));
    // The command of the deploy file.
    const deploy = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETFORD_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    child.stdout.on("data", (chunk) => vm.log += chunk);
    child.stderr.on("data", (chunk) => vm.log += chunk);
    child.on("exit", (code, signal) => {
      children.delete(child);
      vm.exits.push({ code, signal, at: this.record.now() });
      this.record.add(`process of ${vm.id} has ended: code ${code}, signal ${signal}`);
    });
    vm.child = child;
    vm.caller = { host: vm.host, port: caller };
    vm.ready = { host: vm.host, port: ready };
    vm.directory = { host: vm.host, port: directory };
  }
  isRunning(vm) {
    return vm.child.exitCode === null && vm.child.signalCode === null;
  }
  signal(vm, name) {
    this.record.add(`${name} to ${vm.id}`);
    vm.child.kill(name);
  }
  async waitReady(vms = this.vms) {
    const until = Date.now() + 20_000;
    for (const vm of vms) {
      while ((await get(vm.ready, "/readiness")) !== 200) {
        if (Date.now() > until) throw new Error(`${vm.id} is not ready: ${vm.log.slice(-600)}`);
        await sleep(50);
      }
    }
  }
  async stop() {
    this.timers.forEach(clearInterval);
    for (const vm of this.vms) {
      if (vm.child !== undefined && this.isRunning(vm)) vm.child.kill("SIGKILL");
    }
    await sleep(100);
    this.store.stop();
    this.workers.forEach((worker) => worker.stop());
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

let count = 0;
/**
 * Sends one request as a client. Resolves to `status`, `headers`, `body`,
 * `isWhole` and `end`; status 0 if the connection ends without a response.
 */
export function send(vm, record, options = {}) {
  count += 1;
  const id = options.id ?? `r${process.pid.toString(36)}-${count}`;
  const { method = "GET", path: target = `/read/${id}`, body, agent, key = "key-of-dance" } = options;
  record.add(`client sends ${method} ${target} id ${id} to ${vm.id}`);
  return new Promise((resolve) => {
    const sentAt = record.now();
    const finish = (result) => {
      const full = { id, target, sentAt, endedAt: record.now(), ...result };
      record.add(
        `client gets ${full.status === 0 ? `no answer (${full.end})` : full.status} for ${id}` +
          (full.status === 0 || full.isWhole ? "" : " (broken off)") +
          (full.body ? ` ${full.body.length} bytes` : ""),
      );
      resolve(full);
    };
    const request = http.request({
      ...vm.caller,
      method,
      path: target,
      agent: agent ?? false,
      headers: {
        host: "bands.example",
        "request-id": id,
        "request-deadline": String(options.deadlineMs ?? 4_000),
        ...key === undefined ? {} : { key },
        ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) },
        ...options.headers,
      },
    }, (response) => {
      const chunks = [];
      let isDone = false;
      const done = (isWhole, end) => {
        if (isDone) return;
        isDone = true;
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("utf8"),
          isWhole,
          end,
        });
      };
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => done(response.complete, "end"));
      response.on("error", (error) => done(false, error.code ?? error.message));
      response.on("close", () => done(response.complete, "close"));
    });
    request.setTimeout(options.timeoutMs ?? 8_000, () => request.destroy(new Error("client time-out")));
    request.on("error", (error) => {
      if (request.res === null || request.res === undefined) {
        finish({ status: 0, headers: {}, body: "", isWhole: false, end: error.code ?? error.message });
      }
    });
    if (options.leaveAfterMs !== undefined) {
      setTimeout(() => request.destroy(new Error("client left")), options.leaveAfterMs);
    }
    request.end(body);
  });
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run. `play` returns the list of breaches.
 */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const watchdog = setTimeout(() => {
    record.add("the case did not end in time");
    record.save();
    process.exit(2);
  }, 115_000);
  const deployments = [];
  const deploy = (options) => {
    const deployment = new Deployment(record, options);
    deployments.push(deployment);
    return deployment;
  };
  let code = 2;
  try {
    const breaches = await play({ record, deploy });
    breaches.forEach((breach) => record.add(`BROKEN ${breach}`));
    if (breaches.length === 0) record.add("the rule held");
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack ?? error}`);
  }
  for (const deployment of deployments) await deployment.stop();
  clearTimeout(watchdog);
  record.save();
  console.log(record.lines.filter((line) => /BROKEN|rule held|could not/.test(line)).slice(0, 20).join("\n"));
  if (process.env.SHOW_LOG) {
    for (const { vms } of deployments) vms.forEach((vm) => console.log(vm.id, vm.log.slice(-6000)));
  }
  process.exit(code);
}

function listen(server, port, host) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
}

function rand(limit) {
  return Math.floor(Math.random() * limit);
}

async function freePorts(number) {
  const servers = [];
  for (let index = 0; index < number; index++) {
    const server = net.createServer();
    await listen(server, 0, "0.0.0.0");
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Status of a GET; 0 if it fails. */
export function get(address, target) {
  return new Promise((resolve) => {
    const request = http.get({ ...address, path: target, agent: false, timeout: 1_000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(0));
  });
}
