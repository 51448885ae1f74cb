// Bundles both binaries into target/, or into the directory that is named, each
// loading only what its command needs.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { rmSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const outdir = join(root, process.argv[2] ?? "target");

// When an assertion of a library fails, Node parses the line it stands in to word
// the message, on the one thread that does all. Long lines take seconds.
const MAX_LINE_CHARACTERS = 200;

// The commit that is bundled. Sources that were copied without their repository may
// lie in another one, whose commit is not theirs.
function readBuild() {
  try {
    const [upward, commit] = execFileSync(
      "git",
      ["rev-parse", "--show-cdup", "--short", "HEAD"],
      { cwd: root, encoding: "utf8", stdio: ["ignore", "pipe", "ignore"] },
    ).split("\n");
    return upward === "" && commit ? commit : "unknown";
  } catch {
    return "unknown";
  }
}

// Workspace packages are bundled from their sources.
const workspace = {
  name: "workspace",
  setup(bundler) {
    bundler.onResolve({ filter: /^@limpetford\// }, ({ path }) => {
      const [, name, ...rest] = path.split("/");
      return { path: join(root, "packages", name, "src", `${rest.join("/")}.ts`) };
    });
  },
};

rmSync(outdir, { recursive: true, force: true });
await build({
  entryPoints: {
    limpetford: join(root, "packages/entry/src/main.ts"),
    limpetctl: join(root, "packages/ctl/src/main.ts"),
  },
  outdir,
  bundle: true,
  splitting: true,
  format: "esm",
  platform: "node",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  lineLimit: MAX_LINE_CHARACTERS,
  legalComments: "none",
  logLevel: "warning",
  define: { LIMPETFORD_BUILD: JSON.stringify(readBuild()) },
  plugins: [workspace],
  // Libraries in CommonJS call require at run time.
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module";' +
      "const require = makeRequire(import.meta.url);",
  },
});
