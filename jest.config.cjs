/** @type {import("jest").Config} */
module.exports = {
  testEnvironment: "node",
  roots: ["<rootDir>/packages"],
  testMatch: ["**/src/**/*_test.ts"],
  modulePathIgnorePatterns: ["/dist/"],
  transform: {
    "^.+\\.ts$": ["@swc/jest", {
      jsc: { parser: { syntax: "typescript" }, target: "es2022" },
      module: { type: "commonjs" },
    }],
  },
  moduleNameMapper: {
    "^@limpetford/([a-z]+)/(.*)$": "<rootDir>/packages/$1/src/$2.ts",
  },
  maxWorkers: 6,
  testTimeout: 60000,
};
