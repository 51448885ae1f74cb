// Guards against invalid settings that are accepted, and against errors that
// name the wrong line or setting.
import { formatSettingsError } from "./settings_error.ts";
import { parseSettings } from "./settings_parser.ts";

const VALID = `vm:
  id: vm-1
  zone: amba-a
  region: amba
addresses:
  caller: 127.0.0.1:8080
  peer: 127.0.0.1:8081
  operator: 127.0.0.1:8082
platform:
  log: http://127.0.0.1:8700
  vmList: http://127.0.0.1:8700
limits:
  headersTimeout: 5s
  headers: 16KiB
`;

function listErrors(text: string): readonly string[] {
  const parsed = parseSettings(text);
  return parsed.ok ? [] : parsed.error.map(formatSettingsError);
}

describe("parseSettings", () => {
  it("parses a valid file and fills in defaults", () => {
    expect(parseSettings(VALID)).toMatchSnapshot();
  });

  it.each([
    ["an unknown key", VALID + "  headerz: 1KiB\n"],
    ["an unknown section", VALID + "tellemetry:\n  statsd: 127.0.0.1:8125\n"],
    ["an unknown unit", VALID.replace("5s", "5 parsecs")],
    ["a duration without a unit", VALID.replace("5s", "5")],
    ["a size with a decimal unit", VALID.replace("16KiB", "16KB")],
    [
      "a host name instead of an IP address",
      VALID.replace("127.0.0.1:8081", "vm:8081"),
    ],
    ["a port above 65535", VALID.replace("8081", "80810")],
    ["a missing key", VALID.replace("  zone: amba-a\n", "")],
    ["an invalid URL", VALID.replace("http://127.0.0.1:8700", "log")],
    ["two errors", VALID.replace("5s", "5x").replace("vm-1", "VM 1")],
    ["a file with invalid YAML", "vm: [unclosed\n"],
    ["an empty file", ""],
  ])("reports the line of %s", (_name, text) => {
    expect(listErrors(text)).toMatchSnapshot();
  });
});
