import { formatNumber, renderPage } from "./capacity_page.ts";
import type { CapacityRow } from "./capacity_row.ts";

const ROW: CapacityRow = {
  id: "heartbeat-bytes-by-vms",
  role: "VM",
  resource: "heartbeat bytes",
  unit: "B/s",
  sizeUnit: "VMs",
  targetSize: 570,
  limit: 3_072,
  mechanism: "fixed number of partners",
  points: [{ size: 8, value: 300 }],
  fit: { slope: 0, intercept: 300, rSquared: 1 },
  atTarget: 300,
  ratio: 300 / 3_072,
};

describe("renderPage", () => {
  it("replaces the text between the markers", () => {
    const page =
      "head\n<!-- generated tables: begin -->\nold\n<!-- generated tables: end -->\ntail\n";
    expect(renderPage(page, [ROW])).toMatchSnapshot();
  });

  it("rejects a page without markers", () => {
    expect(() => renderPage("head", [ROW])).toThrow("needs the lines");
  });
});

describe("formatNumber", () => {
  it.each([[0, "0"], [1234.5, "1,230"], [0.012345, "0.0123"]])(
    "formats %d",
    (value, text) => {
      expect(formatNumber(value)).toBe(text);
    },
  );
});
