// Stand-ins for the platform, servers and clients, and a runner of the
// project's program, for the scripts of this review. Node's own modules only.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const TROUBLE = process.env.TROUBLE !== "0";

/** Writes lines with the time since the start of the script to record.txt. */
export class Recorder {
  constructor(folder) {
    this.file = join(folder, "record.txt");
    this.startedAtMs = performance.now();
    writeFileSync(this.file, "");
    this.lines = [];
  }
  get nowMs() {
    return performance.now() - this.startedAtMs;
  }
  write(text) {
    this.lines.push(`${(this.nowMs / 1000).toFixed(3)} s  ${text}`);
    if (this.lines.length >= 200) this.flush();
  }
  flush() {
    if (this.lines.length > 0) appendFileSync(this.file, this.lines.join("\n") + "\n");
    this.lines = [];
  }
}

function readBody(request) {
  return new Promise((done, fail) => {
    const parts = [];
    request.on("data", (part) => parts.push(part));
    request.on("end", () => done(Buffer.concat(parts)));
    request.on("error", fail);
    request.on("close", () => fail(new Error("closed")));
  });
}

/** The platform's store: a log with topics, of which `keyed.` ones keep the newest record of each key. */
export class Store {
  constructor(recorder) {
    this.recorder = recorder;
    this.topics = new Map();
    this.waiting = new Set();
    this.era = undefined;
    this.isDown = false;
    this.server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }
  async start(host) {
    await new Promise((done) => this.server.listen(0, host, done));
    this.address = `${host}:${this.server.address().port}`;
  }
  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
  topic(name) {
    const known = this.topics.get(name) ?? { records: [], newest: new Map() };
    this.topics.set(name, known);
    return known;
  }
  /** Appends a record as operator or worker; without a value the key goes. */
  put(name, key, value) {
    const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    return this.#append(name, Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), body]));
  }
  #append(name, content) {
    const topic = this.topic(name);
    const offset = topic.records.length;
    topic.records.push(content);
    if (name.startsWith("keyed.")) {
      const keyBytes = content[0];
      const key = content.toString("utf8", 1, 1 + keyBytes);
      const value = content.subarray(1 + keyBytes);
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, { offset, value });
    }
    for (const wake of [...this.waiting]) wake();
    return offset;
  }
  #json(response, status, document) {
    this.#raw(response, status, Buffer.from(JSON.stringify(document)), "application/json");
  }
  #raw(response, status, bytes, type) {
    const headers = { "content-type": type, "content-length": bytes.length };
    if (this.era !== undefined) headers["Store-Era"] = String(this.era);
    response.writeHead(status, headers).end(bytes);
  }
  async #serve(request, response) {
    const url = new URL(request.url, "http://store");
    const body = await readBody(request);
    if (this.isDown) {
      request.socket.destroy();
      return;
    }
    const name = url.searchParams.get("topic") ?? "";
    const topic = this.topic(name);
    if (url.pathname === "/log-append") {
      if (name === "keyed.op" || name === "keyed.servers") {
        this.#json(response, 403, {});
        return;
      }
      const first = topic.records.length;
      for (let at = 0; at < body.length;) {
        const end = at + 4 + body.readUInt32BE(at);
        this.#append(name, Buffer.from(body.subarray(at + 4, end)));
        at = end;
      }
      this.#json(response, 200, { offset: first, end_offset: topic.records.length });
    } else if (url.pathname === "/log-read") {
      const from = Number(url.searchParams.get("from"));
      const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
      if (from > topic.records.length) {
        this.#json(response, 410, { first_offset: 0 });
        return;
      }
      if (from >= topic.records.length && waitMs > 0) {
        await new Promise((done) => {
          const wake = () => {
            this.waiting.delete(wake);
            clearTimeout(timer);
            done();
          };
          const timer = setTimeout(wake, Math.min(waitMs, 30_000));
          this.waiting.add(wake);
        });
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = [head];
      for (const record of topic.records.slice(from)) {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        parts.push(length, record);
      }
      this.#raw(response, 200, Buffer.concat(parts), "application/octet-stream");
    } else if (url.pathname === "/log-newest") {
      const items = [...topic.newest].map(([key, { offset, value }]) => ({
        key,
        value: value.toString("base64"),
        offset,
      }));
      this.#json(response, 200, { items, has_more: false, end_offset: topic.records.length });
    } else {
      this.#json(response, 404, {});
    }
  }
}

/** A worker: runs requests in slots, registers itself, and says what it ran. */
export class Worker {
  constructor(store, recorder, options) {
    Object.assign(this, { service: "web", zone: "z1", slots: 8, workMs: 20, heartbeatMs: 1500 }, options);
    this.store = store;
    this.recorder = recorder;
    this.runs = [];
    this.arrivals = [];
    this.sequence = 0;
    this.active = 0;
    this.queue = [];
    this.born = Date.now();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 10_000;
  }
  async start(host, port = 0) {
    await new Promise((done, fail) => {
      this.server.once("error", fail);
      this.server.listen(port, host, done);
    });
    this.host = host;
    this.port = this.server.address().port;
    this.announce("ready");
    this.beat = setInterval(() => this.announce(this.state), this.heartbeatMs);
  }
  announce(state) {
    this.state = state;
    this.sequence += 1;
    this.store.put("keyed.servers", this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state,
      warmup_remaining_s: 0,
      sequence_number: this.sequence,
      born: this.born,
    });
  }
  stop() {
    clearInterval(this.beat);
    this.server.close();
    this.server.closeAllConnections();
  }
  async serve(request, response) {
    const id = request.headers["request-id"];
    if (request.url === "/health") {
      response.writeHead(200, { "Instance-Id": this.id, "content-length": 0 }).end();
      return;
    }
    const arrivedAtMs = this.recorder.nowMs;
    const body = await readBody(request).catch(() => undefined);
    const expected = request.headers["expected-instance"];
    const about = `${request.method} ${request.url} id=${id} tenant=${request.headers.tenant}`;
    this.arrivals.push({ id, atMs: arrivedAtMs });
    if (body === undefined) {
      this.recorder.write(`worker ${this.id}: ${about} broke off before its end`);
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Request-Id": id, "Not-Executed": "1", "Instance-Id": this.id, "content-length": 0 }).end();
      return;
    }
    if (this.active >= this.slots) {
      response.writeHead(503, { "Request-Id": id, "Not-Executed": "1", "content-length": 0 }).end();
      this.recorder.write(`worker ${this.id}: ${about} turned away`);
      return;
    }
    this.active += 1;
    this.runs.push({ id, atMs: this.recorder.nowMs, tenant: request.headers.tenant, method: request.method, url: request.url, body });
    this.recorder.write(`worker ${this.id}: runs ${about}`);
    await sleep(this.workMs);
    this.active -= 1;
    this.answer(request, response, id);
  }
  answer(request, response, id) {
    const body = `done ${id}`;
    response.writeHead(200, {
      "Request-Id": id,
      "Server-Signature": `sig.${id}`,
      "content-length": Buffer.byteLength(body),
    }).end(body);
  }
}

/** One process of the project, started as the deploy file says. */
export class Vm {
  constructor(store, recorder, options) {
    Object.assign(this, { zone: "z1", cores: 0.54, firstStart: true, seeds: [], bounds: {} }, options);
    this.store = store;
    this.recorder = recorder;
  }
  writeSettings(folder) {
    const { host, ports } = this;
    const bounds = {
      gracePeriodSeconds: 6,
      revocationSeconds: 5,
      configurationSeconds: 2,
      drainSeconds: 2,
      retryBudgetRatio: 0.2,
      retryBudgetSlack: 60,
      quotaTolerance: 20,
      retryBudgetWindowSeconds: 10,
      minimumShare: 0.7,
      ...this.bounds,
    };
    const lines = [
      "vm:",
      `  id: ${JSON.stringify(this.id)}`,
      `  zone: ${JSON.stringify(this.zone)}`,
      `  region: "r1"`,
      `  cores: ${this.cores}`,
      "addresses:",
      `  caller: ${JSON.stringify(`${host}:${ports.caller}`)}`,
      `  ready: ${JSON.stringify(`${host}:${ports.ready}`)}`,
      `  directory: ${JSON.stringify(`${host}:${ports.directory}`)}`,
      `  peer: ${JSON.stringify(`${host}:${ports.peer}`)}`,
      `store: ${JSON.stringify(this.storeAddress ?? this.store.address)}`,
      `seeds: ${JSON.stringify(this.seeds)}`,
      `isFirstStart: ${this.firstStart}`,
      "bounds:",
      ...Object.entries(bounds).map(([name, value]) => `  ${name}: ${value}`),
    ];
    this.file = join(folder, `${this.id}.yaml`);
    writeFileSync(this.file, lines.join("\n") + "\n");
  }
  start(folder) {
    this.folder = folder;
    this.writeSettings(folder);
    const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
    const [, command] = /^run = "(.*)"$/m.exec(text);
    const [program, ...words] = command.split(" ");
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETFORD_SETTINGS: this.file };
    this.process = spawn(program, words, { cwd: ROOT, env, stdio: ["ignore", "pipe", "pipe"] });
    this.hasEnded = false;
    this.log = [];
    const child = this.process;
    child.stdout.on("data", (part) => this.log.push(part));
    child.stderr.on("data", (part) => this.log.push(part));
    this.ended = new Promise((done) => {
      child.on("exit", (code, signal) => {
        this.recorder.write(`vm ${this.id}: process ends, code ${code}, signal ${signal}`);
        if (child === this.process) this.hasEnded = true;
        done();
      });
    });
    this.recorder.write(`vm ${this.id}: process starts`);
  }
  kill(signal) {
    this.recorder.write(`vm ${this.id}: ${signal}`);
    this.process.kill(signal);
  }
  get logText() {
    return Buffer.concat(this.log).toString("utf8");
  }
  async isReady() {
    const answer = await call(`${this.host}:${this.ports.ready}`, { path: "/readiness", timeoutMs: 1000 });
    return answer.status === 200;
  }
  async waitReady(maxMs = 20_000) {
    const until = Date.now() + maxMs;
    while (Date.now() < until) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new Error(`vm ${this.id} is not ready`);
  }
}

/** Sends one request over a connection of its own and reads the whole answer. */
export function call(address, { method = "GET", path = "/", headers = {}, body, timeoutMs = 5000, agent = false } = {}) {
  const [host, port] = address.split(":");
  return new Promise((done) => {
    const request = http.request({ host, port, method, path, headers, agent, setHost: false }, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("end", () => {
        done({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts).toString("latin1"),
          isWhole: response.complete,
        });
      });
      response.on("error", (error) => done({ error: error.code ?? error.message, status: response.statusCode }));
    });
    request.setTimeout(timeoutMs, () => request.destroy(new Error("timeout")));
    request.on("error", (error) => done({ error: error.code ?? error.message }));
    request.end(body);
  });
}

/** Asks the directories, nearest first, for the addresses to use. */
export async function resolve(vms, { name = "site.example", zone = "z1" } = {}) {
  for (const vm of vms) {
    const answer = await call(`${vm.host}:${vm.ports.directory}`, {
      path: `/resolution?name=${name}&region=r1&zone=${zone}`,
      timeoutMs: 1000,
    });
    if (answer.status === 200) return JSON.parse(answer.body).addresses;
  }
  return [];
}

async function findPorts(host, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = net.createServer();
    await new Promise((done) => server.listen(0, host, done));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** A small deployment, with all that it starts. */
export class Deployment {
  constructor(folder) {
    this.recorder = new Recorder(folder);
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.store = new Store(this.recorder);
    this.vms = [];
    this.workers = [];
    this.version = 0;
  }
  async open() {
    await this.store.start("127.0.0.1");
  }
  publish(configuration) {
    this.version += 3;
    const document = {
      version: this.version,
      services: { web: { health_path: "/health", connection_limit: 390 } },
      limits: { maximum_header_bytes: 16384, maximum_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15 },
      ...configuration,
    };
    this.store.put("keyed.op", "config", document);
    this.recorder.write(`operator: version ${this.version} is acknowledged`);
    return document;
  }
  async addWorkers(count, options = {}) {
    for (let index = 0; index < count; index += 1) {
      const worker = new Worker(this.store, this.recorder, { id: `w-${this.workers.length + 1}`, ...options });
      await worker.start("127.0.0.1");
      this.workers.push(worker);
    }
  }
  async addVms(count, { zones = ["z1"], ...options } = {}) {
    const added = [];
    for (let index = 0; index < count; index += 1) {
      const host = "127.0.0.1";
      const [caller, ready, directory, peer] = await findPorts(host, 4);
      const id = `vm-${this.vms.length + 1}`;
      const zone = zones[index % zones.length];
      const vm = new Vm(this.store, this.recorder, { id, host, zone, ports: { caller, ready, directory, peer }, ...options });
      this.vms.push(vm);
      added.push(vm);
    }
    const seeds = this.vms.slice(0, 3).map((vm) => `${vm.host}:${vm.ports.peer}`);
    for (const vm of added) vm.seeds = seeds;
    return added;
  }
  startVms(vms = this.vms) {
    for (const vm of vms) vm.start(this.folder);
  }
  async close() {
    for (const vm of this.vms) {
      if (vm.process !== undefined && !vm.hasEnded) {
        vm.process.kill("SIGCONT");
        vm.process.kill("SIGKILL");
        await vm.ended;
      }
    }
    this.workers.forEach((worker) => worker.stop());
    this.store.stop();
    this.recorder.flush();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: 1 if it returns a broken rule, 0 if not, 2 if it couldn't run. */
export async function runCase(folder, play) {
  const deployment = new Deployment(folder);
  let code = 2;
  const limit = setTimeout(() => {
    deployment.recorder.write("the script took too long");
    void deployment.close().finally(() => process.exit(2));
  }, 110_000);
  try {
    await deployment.open();
    const broken = await play(deployment);
    code = broken === undefined ? 0 : 1;
    deployment.recorder.write(broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
    console.log(broken === undefined ? "held" : `broken: ${broken}`);
  } catch (error) {
    deployment.recorder.write(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  clearTimeout(limit);
  await deployment.close();
  process.exit(code);
}
