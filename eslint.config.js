import js from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import simpleImportSort from "eslint-plugin-simple-import-sort";
import tseslint from "typescript-eslint";

// The verbs that docs/naming.md explains. Functions and methods begin with one.
const VERBS = [
  "abort", "accept", "acquire", "add", "admit", "advance", "append", "apply",
  "assert", "begin", "bind", "build", "cancel", "check", "choose", "claim",
  "clear", "close", "compare", "complete", "compute", "connect", "convert",
  "count", "create", "decide", "decode", "deliver", "derive", "describe", "detect",
  "dispatch", "drain", "drop", "eject", "encode", "enforce", "estimate",
  "evict", "execute", "expire", "explain", "fetch", "find", "flush", "fold",
  "format", "forward", "generate", "get", "grant", "handle", "has", "hash",
  "is", "issue", "join", "keep", "list", "load", "log", "map", "mark", "may",
  "measure", "merge", "notify", "observe", "offer", "open", "parse", "pass",
  "pick", "plan", "poll", "prepare", "print", "probe", "promise", "publish",
  "put", "quarantine", "read", "readmit", "receive", "record", "refill",
  "refuse", "register", "release", "remove", "renew", "report", "reserve",
  "reset", "resolve", "restore", "resume", "retire", "retry", "return", "route", "run",
  "sample", "schedule", "select", "send", "serve", "set", "settle", "should", "spend",
  "sort", "split", "start", "stop", "store", "subscribe", "sum", "take",
  "to", "track", "turn", "update", "validate", "verify", "visit", "wait",
  "withdraw", "write", "expect", "make", "render",
];
const VERB_PATTERN = `^(${VERBS.join("|")})([A-Z0-9]|$)`;

export default tseslint.config(
  {
    ignores: ["**/dist/**", "**/generated/**", "**/node_modules/**", "out/**",
      // Loaded by Node itself, so it is not TypeScript.
      "**/*_preload.cjs"],
  },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    files: ["packages/**/*.ts"],
    languageOptions: {
      parserOptions: { projectService: true },
    },
    plugins: { jsdoc, "simple-import-sort": simpleImportSort },
    rules: {
      "simple-import-sort/imports": "error",
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/explicit-module-boundary-types": "error",
      "@typescript-eslint/switch-exhaustiveness-check": ["error", {
        considerDefaultExhaustiveForUnions: true,
      }],
      "@typescript-eslint/restrict-template-expressions": ["error", {
        allowNumber: true,
      }],
      "@typescript-eslint/no-unused-vars": ["error", {
        argsIgnorePattern: "^_",
      }],
      "@typescript-eslint/naming-convention": [
        "error",
        {
          selector: ["function", "classMethod", "typeMethod"],
          format: ["camelCase"],
          custom: { regex: VERB_PATTERN, match: true },
          leadingUnderscore: "forbid",
        },
        {
          selector: "classMethod",
          modifiers: ["#private"],
          format: ["camelCase"],
          custom: { regex: VERB_PATTERN, match: true },
        },
        { selector: "typeLike", format: ["PascalCase"] },
      ],
      "no-restricted-syntax": ["error", {
        selector: "TSEnumDeclaration",
        message: "Use a constant object.",
      }, {
        selector: "PropertyDefinition[accessibility='private']",
        message: "Use #name.",
      }],
      "jsdoc/require-jsdoc": ["error", {
        publicOnly: true,
        require: {
          ClassDeclaration: true,
          FunctionDeclaration: true,
          MethodDefinition: false,
        },
        contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
      }],
      "jsdoc/require-param": ["error", { checkConstructors: false, checkDestructured: false }],
      "jsdoc/require-returns": "error",
      "jsdoc/require-description": "error",
      "jsdoc/no-types": "error",
      "max-lines": ["error", { max: 400, skipBlankLines: false }],
      // A component implements several contracts and can extend only one.
      "@typescript-eslint/no-unsafe-class-instance-assignment": "off",
      "max-params": "off",
      "@typescript-eslint/max-params": ["error", { max: 3 }],
      eqeqeq: "error",
    },
  },
  {
    files: ["packages/core/src/**/*.ts", "packages/domain/src/**/*.ts"],
    ignores: ["**/*_test.ts"],
    rules: {
      "no-restricted-imports": ["error", {
        patterns: [
          "node:*",
          "undici",
          "@grpc/*",
          "@limpetford/platform/*",
          "@limpetford/peer/*",
          "@limpetford/entry/*",
          "@limpetford/standins/*",
        ],
      }],
      "no-restricted-globals": [
        "error",
        "setTimeout",
        "setInterval",
        "setImmediate",
        "performance",
        "process",
        "fetch",
      ],
      "no-restricted-properties": [
        "error",
        { object: "Date", property: "now" },
        { object: "Math", property: "random" },
      ],
    },
  },
  {
    files: ["packages/**/*_test.ts"],
    rules: {
      "jsdoc/require-jsdoc": "off",
      "jsdoc/require-param": "off",
      "jsdoc/require-returns": "off",
      "@typescript-eslint/no-floating-promises": "error",
    },
  },
  {
    files: ["*.js", "*.cjs"],
    ...tseslint.configs.disableTypeChecked,
    languageOptions: { globals: { module: "writable" } },
  },
);
