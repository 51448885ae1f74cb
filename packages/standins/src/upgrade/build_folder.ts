/** Builds commits of this repository, each in a folder of its own. */

import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

import * as z from "zod";

import { buildBundle } from "../fleet/bundle.ts";
import type { VmProgram } from "../fleet/vm_process_handle.ts";

/** Folder of all builds, which git ignores. */
const BUILDS_FOLDER = "out/upgrade";
const DEPLOY_FILE = "deploy/system.toml";
const LOCK_FILE = "package-lock.json";
const MODULES_FOLDER = "node_modules";
const BUNDLE_PATH = "target/limpetford.js";
const SHORT_COMMIT_LENGTH = 7;
/** End of a build's output that an error repeats. */
const OUTPUT_LENGTH = 2_000;

/** A program that VMs can run, with its name on pages. */
export interface UpgradeBuild {
  readonly name: string;
  readonly program: VmProgram;
}

/** A commit that is unknown or can't be built. */
export class BuildError extends Error {}

/** Lines of a deploy file: how to build and how to run. */
export interface DeployLines {
  /** Command of a shell. */
  readonly build: string;
  /** Flags of Node. */
  readonly nodeFlags: readonly string[];
}

/** Repository that builds come from. */
export interface BuildPlace {
  /** Path of the repository. */
  readonly repository: string;
}

/**
 * Builds a commit by its own deploy file, unless that has been done before.
 *
 * @param commit - name of the commit, as git resolves it
 * @param place - repository; the current folder by default
 * @returns the program
 * @throws BuildError if the commit is unknown or does not build
 */
export function prepareBuild(
  commit: string,
  { repository }: BuildPlace = { repository: "." },
): UpgradeBuild {
  const hash = resolveCommit(commit, repository);
  const folder = path.resolve(repository, BUILDS_FOLDER, hash);
  if (!fs.existsSync(path.join(folder, BUNDLE_PATH))) {
    buildFolder({ commit, hash, folder, repository: path.resolve(repository) });
  }
  return {
    name: hash.slice(0, SHORT_COMMIT_LENGTH),
    program: {
      scriptPath: path.join(folder, BUNDLE_PATH),
      nodeFlags: readDeployFile(folder).nodeFlags,
    },
  };
}

/**
 * Bundles this working copy beside the other builds.
 *
 * @returns the program
 */
export function prepareWorkingCopy(): UpgradeBuild {
  const folder = `${BUILDS_FOLDER}/working-copy`;
  buildBundle(folder);
  return {
    name: "working copy",
    program: {
      scriptPath: path.resolve(folder, path.basename(BUNDLE_PATH)),
      nodeFlags: readDeployFile(".").nodeFlags,
    },
  };
}

/**
 * Reads how a deploy file builds and runs the program.
 *
 * @param text - text of `deploy/system.toml`
 * @returns its lines; undefined if one is missing
 */
export function parseDeployFile(text: string): DeployLines | undefined {
  const build = /^build = "(.*)"$/m.exec(text)?.[1];
  const flags = /^run = "node (.*)target\/limpetford\.js fleet"$/m.exec(text)
    ?.[1];
  return build === undefined || flags === undefined
    ? undefined
    : { build, nodeFlags: flags.split(" ").filter((flag) => flag !== "") };
}

const lockSchema = z.object({
  packages: z.record(
    z.string(),
    z.object({
      version: z.string().optional(),
      integrity: z.string().optional(),
      link: z.boolean().optional(),
    }),
  ),
});

/**
 * Lists what a lock file installs. Which workspace package asks for it is of no
 * concern.
 *
 * @param text - text of `package-lock.json`
 * @returns a line for each installed package
 */
export function listInstalled(text: string): readonly string[] {
  const { packages } = lockSchema.parse(JSON.parse(text));
  return Object.entries(packages).filter(([place]) =>
    place.includes(MODULES_FOLDER)
  ).map(([place, { version, integrity, link }]) =>
    [place, version, integrity, link].join(" ")
  ).sort();
}

interface FolderBuild {
  /** Name of the commit, as the user gave it. */
  readonly commit: string;
  readonly hash: string;
  readonly folder: string;
  readonly repository: string;
}

function resolveCommit(commit: string, repository: string): string {
  try {
    return execFileSync(
      "git",
      ["rev-parse", "--verify", "--quiet", `${commit}^{commit}`],
      { cwd: repository, encoding: "utf8", stdio: ["ignore", "pipe", "pipe"] },
    ).trim();
  } catch {
    throw new BuildError(`this repository has no commit ${commit}`);
  }
}

// Works in another folder first, so that a folder of the final name is complete.
function buildFolder(
  { commit, hash, folder, repository }: FolderBuild,
): void {
  const partial = `${folder}.partial`;
  const archive = `${folder}.tar`;
  fs.rmSync(partial, { recursive: true, force: true });
  fs.mkdirSync(partial, { recursive: true });
  try {
    execFileSync("git", ["archive", `--output=${archive}`, hash], {
      cwd: repository,
    });
    execFileSync("tar", ["-xf", archive, "-C", partial]);
    const { build } = readDeployFile(partial);
    prepareModules(partial, repository);
    execFileSync("sh", ["-c", build], {
      cwd: partial,
      encoding: "utf8",
      stdio: "pipe",
    });
    if (!fs.existsSync(path.join(partial, BUNDLE_PATH))) {
      throw new BuildError(`its build made no ${BUNDLE_PATH}`);
    }
  } catch (error) {
    throw new BuildError(
      `commit ${commit} doesn't build: ${describeFailure(error)}`,
    );
  } finally {
    fs.rmSync(archive, { force: true });
  }
  fs.rmSync(folder, { recursive: true, force: true });
  fs.renameSync(partial, folder);
}

function describeFailure(error: unknown): string {
  const output = typeof error === "object" && error !== null &&
      "stderr" in error
    ? String(error.stderr).slice(-OUTPUT_LENGTH)
    : "";
  return output.trim() === "" ? String(error) : output;
}

function readDeployFile(folder: string): DeployLines {
  const lines = parseDeployFile(
    fs.readFileSync(path.join(folder, DEPLOY_FILE), "utf8"),
  );
  if (lines === undefined) {
    throw new BuildError(`${DEPLOY_FILE} has no line "build" or "run"`);
  }
  return lines;
}

// Without the links the deploy file installs the packages itself. They are links
// in a folder of its own: should it install all the same, which begins by clearing
// the folder, the repository's packages stay. The folder is newer than the lock
// file, which is what deploy files ask for.
function prepareModules(folder: string, repository: string): void {
  const modules = path.join(repository, MODULES_FOLDER);
  const [own, present] = [folder, repository].map((place) => {
    const lockPath = path.join(place, LOCK_FILE);
    return fs.existsSync(lockPath)
      ? listInstalled(fs.readFileSync(lockPath, "utf8")).join("\n")
      : undefined;
  });
  if (own !== undefined && own === present && fs.existsSync(modules)) {
    const linked = path.join(folder, MODULES_FOLDER);
    fs.mkdirSync(linked);
    for (const name of fs.readdirSync(modules)) {
      fs.symlinkSync(path.join(modules, name), path.join(linked, name));
    }
  }
}
